#include "app/status_json.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace sablespur {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

std::int64_t wholeSeconds(Time time) {
  return std::chrono::duration_cast<std::chrono::seconds>(time).count();
}
std::int64_t wholeMilliseconds(Time time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}
double milliseconds(Time time) { return std::chrono::duration<double, std::milli>(time).count(); }

Json descriptorShare(const ResourceBudget::DescriptorShare& share) {
  return {{"held", share.held}, {"most", share.limit}, {"peak", share.peak}};
}

Json descriptors(const ResourceBudget& budget) {
  return {{"clients", descriptorShare(budget.share(DescriptorHolder::Clients))},
          {"servers", descriptorShare(budget.share(DescriptorHolder::Servers))},
          {"short_of_descriptors", budget.exhaustionCount(ResourceExhaustion::Descriptors)},
          {"short_of_memory", budget.exhaustionCount(ResourceExhaustion::Memory)}};
}

Json storeStatus(const IdempotencyView& view) {
  return {{"directory", view.directory},
          {"state", view.state},
          {"why", view.why},
          {"start", view.epoch},
          {"keys", view.keys},
          {"sessions", view.sessions},
          {"bytes", view.bytesOnDisk},
          {"operations", view.operations},
          {"commits", view.commits},
          {"largest_group", view.largestGroup},
          {"lost", view.lostOperations},
          {"waiting", view.waiting},
          {"last_commit_ms", milliseconds(view.lastCommit)},
          {"longest_commit_ms", milliseconds(view.longestCommit)},
          {"verdicts",
           {{"run", view.executed},
            {"again", view.retried},
            {"recorded", view.replayed},
            {"unknown", view.outcomeUnknown},
            {"turned_away", view.rejected},
            {"not_durable", view.notDurable},
            {"waited_for_another", view.waitedForSameKey}}}};
}

Json recoveryStatus(const RecoveryView& view) {
  return {{"state", view.state},
          {"snapshot", view.snapshot},
          {"epoch", view.epoch},
          {"joined", view.joinedEpoch},
          {"sequence", view.sequence},
          {"heads_believed", view.peerStatesAccepted},
          {"heads_turned_away", view.peerStatesRejected},
          {"requests_turned_away", view.requestsRejected},
          {"written", view.snapshotsWritten},
          {"not_written", view.snapshotsFailed},
          {"took_ms", wholeMilliseconds(view.duration)}};
}

Json admissionGroup(const AdmissionView::Group& group) {
  return {{"name", group.name},
          {"held", group.connections},
          {"idle", group.idleConnections},
          {"most", group.maxConnections},
          {"reserve", group.reserve},
          {"reserve_left", group.reserveRemaining},
          {"weight", group.weight},
          {"admitted", group.connectionsAdmitted},
          {"asked_back", group.connectionsEvicted},
          {"refused", Json(group.connectionsRejected)},
          {"refusing", group.rejecting},
          {"requests",
           {{"out", group.requestsInFlight},
            {"waiting", group.requestsQueued},
            {"went", group.requestsAdmitted},
            {"waited", group.requestsEnqueued},
            {"turned_away", Json(group.requestsRejected)}}}};
}

Json requestQueue(const AdmissionView::Queue& queue) {
  return {{"group", queue.group < 0 ? Json("rest") : Json(queue.group)},
          {"primary", queue.primary},
          {"limit", queue.limit},
          {"out", queue.inFlight},
          {"waiting", queue.queued},
          {"usual_ms", milliseconds(queue.typicalLatency)}};
}

Json admissionStatus(const AdmissionView& view) {
  Json groups = Json::array();
  for (const AdmissionView::Group& group : view.groups) groups.push_back(admissionGroup(group));
  Json status{{"held", view.connections},
              {"most", view.maxConnections},
              {"antechamber", view.maxUnadmittedConnections},
              {"known_addresses", view.recentClients},
              {"groups", std::move(groups)}};
  if (!view.limitsRequests) return status;
  Json queues = Json::array();
  for (const AdmissionView::Queue& queue : view.queues) queues.push_back(requestQueue(queue));
  status["lanes"] = std::move(queues);
  return status;
}

// Returns null for other sources than a registry.
Json registryStatus(const std::optional<RegistryWatch::View>& view) {
  if (!view) return {};
  return {{"generation", view->generation},
          {"confirmed_ms_ago", view->confirmedAgo ? Json(wholeMilliseconds(*view->confirmedAgo)) : Json()},
          {"calls_open", view->openCalls},
          {"calls", view->calls},
          {"calls_failed", view->failures},
          {"last_call_ended", view->lastEnding}};
}

Json referenceClockStatus(const Engine& engine) {
  const ReferenceClock::Summary summary = engine.referenceClock();
  return {{"offset_ms", wholeMilliseconds(engine.clockOffset())},
          {"source", nameOf(summary.source)},
          {"wall_offset_ms", wholeMilliseconds(summary.wallOffset)},
          {"primaries", summary.primaries},
          {"wall_clock_behind", summary.wallClockBehind},
          {"wall_clock_ahead", summary.wallClockAhead},
          {"wall_clock_confirmed", summary.wallClockConfirmed},
          {"lagging_primaries", engine.laggingPrimaries()}};
}

}  // namespace

std::string statusJson(const StatusSources& sources, Time uptime) {
  const ResourceBudget& budget = sources.budget;
  Json status{
      {"name", sources.config.name},
      {"up_s", wholeSeconds(uptime)},
      {"descriptors", descriptors(budget)},
      {"statement_bytes",
       {{"held", budget.bytes()}, {"most", budget.maxBytes()}, {"peak", budget.peakBytes()}}},
      {"registry", registryStatus(sources.discovery.registryView())},
      {"sent_to_draining", sources.engine.sendsToDraining()},
      {"stale_answers_withheld", sources.engine.staleAnswersWithheld()},
      {"reference_clock", referenceClockStatus(sources.engine)},
      {"store", sources.idempotency ? storeStatus(sources.idempotency->view()) : Json()},
      {"recovery", sources.recovery ? recoveryStatus(sources.recovery->view()) : Json()},
      {"door", sources.admission ? admissionStatus(sources.admission->view()) : Json()},
  };
  // Names may come from the network: invalid UTF-8 is replaced.
  return status.dump(kIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace sablespur
