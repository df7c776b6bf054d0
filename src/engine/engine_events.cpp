// The engine's handlers of queued events. Each passes one event to the balancer.
#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "engine/engine.hpp"
#include "engine/engine_trace.hpp"
#include "logging/log.hpp"

namespace sablespur {

using balancer::Lifecycle;
using balancer::ListKind;
using cluster::GossipUpdate;

namespace {

constexpr float kMinTokenAgeMs = 0.001f;  // 0 would mean that the session has written nothing
// The known list of the settings and the first list from discovery: their endpoints may have
// started long ago.
constexpr int kInitialLists = 2;
constexpr Time kGossipTimePerTurn = std::chrono::milliseconds(5);

std::optional<std::chrono::milliseconds> startStampOf(const DiscoveredEndpoint& endpoint) {
  if (endpoint.startedMs == 0) return std::nullopt;
  return std::chrono::milliseconds(endpoint.startedMs);
}

}  // namespace

void Engine::handle(engine_event::RequestReceived& event) {
  balancer::Request& request = event.request;
  trace::requestReceived(request);
  // The reference clock may have moved since the age of the session token was computed.
  if (const auto it = requests_.find(request.id); it != requests_.end() && request.sessionTokenAgeMs > 0) {
    const std::chrono::duration<float, std::milli> moved =
        reference_.offset() - it->second.message->clockOffset;
    request.sessionTokenAgeMs = std::max(kMinTokenAgeMs, request.sessionTokenAgeMs + moved.count());
  }
  if (dependsOnSessionCommits(request)) {
    detectUnseenCommits();
    readsWithUnseenCommits_ += unseenCommits_ ? 1 : 0;
  }
  balancer_->request(now_, request);
}

bool Engine::dependsOnSessionCommits(const balancer::Request& request) const {
  const auto classIndex = static_cast<std::size_t>(request.classIndex);
  const balancer::Settings& settings = config_.settings;
  return !settings.sessionTokensCarried && classIndex < settings.classes.size() &&
         settings.classes[classIndex].requirement == balancer::Requirement::Session;
}

void Engine::detectUnseenCommits() {
  if (!collaborators_.processes || processesCheckedAt_ == now_) return;
  processesCheckedAt_ = now_;
  const bool before = std::exchange(unseenCommits_, collaborators_.processes->othersRanSinceLastCheck());
  if (unseenCommits_) balancer_->unseenCommitsPossible(now_);
  if (unseenCommits_ != before)
    logEvent(LogLevel::Info, unseenCommits_ ? "other_process_began" : "other_process_ended",
             {{"session_reads", readsWithUnseenCommits_}});
}

void Engine::handle(engine_event::ClientDisconnected& event) {
  balancer_->clientDisconnected(now_, event.request);
  requests_.erase(event.request);
}

void Engine::handle(engine_event::ConnectionReady& event) {
  const auto it = requests_.find(event.request);
  const bool maySend = it != requests_.end() &&
                       balancer_->maySendNow(now_, event.request, it->second.attempt(event.attempt).endpoint);
  if (maySend) recordSend(event.request, it->second.attempt(event.attempt).endpoint, "connection_ready");
  actions_.emplace_back([this, id = event.request, attempt = event.attempt, maySend] {
    collaborators_.backend->continueAttempt(id, attempt, maySend);
  });
}

// A server should receive no more requests once half of its drain grace period has passed.
void Engine::recordSend(RequestId id, EndpointId to, const char* reason) {
  const auto* const endpoint = endpoints_.find(to);
  const bool ready = !endpoint || !endpoint->notReadySince;
  if (ready || now_ - *endpoint->notReadySince <= config_.settings.drainGrace / 2) return;
  ++sendsToDraining_;
  const auto request = requests_.find(id);
  logEvent(LogLevel::Warning, "request_sent_to_draining",
           {{"id", request == requests_.end() ? std::string() : request->second.message->id},
            {"endpoint", endpoint->name},
            {"draining_ms", (now_ - *endpoint->notReadySince).count() / 1000},
            {"reason", reason},
            {"count", sendsToDraining_}});
}

void Engine::handle(engine_event::AttemptEnded& event) {
  AttemptEnd& end = event.end;
  shareStatus(event);
  const auto it = requests_.find(event.request);
  const bool pending = it != requests_.end();
  observeAnswer(event.endpoint, replicationStatusOf(end),
                pending ? std::make_optional(it->second.attempt(event.attempt).sentAt) : std::nullopt,
                pending && isNewCommit(it->second, event));

  balancer::AttemptOutcome outcome = outcomeOf(event);
  if (outcome.result == AttemptResult::Ok && !balancer_->isFreshEnough(now_, outcome)) {
    withholdStaleAnswer(event.endpoint, end);
    outcome.result = end.result;
  }
  trace::attemptEnded(event.request, event.attempt, endpoints_, event.endpoint, end);
  if (collaborators_.attempts) collaborators_.attempts->attemptEnded(event.request, event.attempt, end);
  outcome.clientAnswered = !pending || outcome.result == AttemptResult::Ok || end.invalidStatement;
  if (pending && outcome.clientAnswered) {
    respond(it->second, end);
    requests_.erase(it);
  }
  balancer_->attemptEnded(now_, outcome);
}

bool Engine::isNewCommit(const PendingRequest& request, const engine_event::AttemptEnded& event) const {
  const auto classIndex = static_cast<std::size_t>(request.classIndex);
  const std::vector<balancer::ClassSettings>& classes = config_.settings.classes;
  const bool isWrite =
      classIndex < classes.size() && classes[classIndex].requirement == balancer::Requirement::Write;
  return isWrite && event.end.result == AttemptResult::Ok && event.attempt == 0 && !request.mayHaveRunBefore;
}

balancer::AttemptOutcome Engine::outcomeOf(const engine_event::AttemptEnded& event) const {
  balancer::AttemptOutcome outcome;
  outcome.request = event.request;
  outcome.attempt = event.attempt;
  outcome.endpoint = event.endpoint;
  // An invalid statement is the client's fault: it is neither retried nor counted as a failure of
  // the endpoint.
  outcome.result = event.end.invalidStatement ? AttemptResult::Cancelled : event.end.result;
  outcome.replicationStatus = replicationStatusWord(positionEpochUnix(), event.end);
  return outcome;
}

void Engine::withholdStaleAnswer(EndpointId endpoint, AttemptEnd& end) {
  end.result = AttemptResult::StaleAnswer;
  end.answer = Answer();
  ++staleAnswersWithheld_;
  const std::int64_t nowMs = unixNow().count() / 1000;
  logEvent(LogLevel::Warning, "stale_answer_withheld",
           {{"endpoint", endpoints_.name(endpoint)},
            {"role", end.role == Role::Replica ? "replica" : "unknown"},
            {"age_ms", end.positionMs > 0 ? nowMs - end.positionMs : -1},
            {"count", staleAnswersWithheld_}});
}

// Records the response to the client; moves the answer out of `end`.
void Engine::respond(const PendingRequest& request, AttemptEnd& end) {
  ResponseHandler* const handler = request.handler;
  if (!handler) return;
  if (end.invalidStatement && !end.answer.messages) {
    actions_.emplace_back([handler] { handler->failed(); });
    return;
  }
  // std::function requires a copyable callable, and Answer is not copyable.
  actions_.emplace_back([handler, answer = std::make_shared<Answer>(std::move(end.answer))] {
    handler->served(std::move(*answer));
  });
}

// Shares the replication status of a response with the other proxies if it contains a position, and
// its latency if the response is complete.
void Engine::shareStatus(const engine_event::AttemptEnded& event) {
  const auto* const endpoint = endpoints_.find(event.endpoint);
  const bool inFuture = event.end.positionMs > (now_ + reference_.offset()).count() / 1000;
  if (!collaborators_.replication || event.end.positionMs <= 0 || inFuture || !endpoint) return;
  GossipUpdate update = replicationStatusOf(event.end);
  update.endpointTag = endpoint->gossipTag;
  const auto it = requests_.find(event.request);
  if (it != requests_.end() && event.end.result == AttemptResult::Ok) {
    update.classIndex = it->second.classIndex;
    update.latencyUs = (now_ - it->second.attempt(event.attempt).sentAt).count();
  }
  collaborators_.replication->statusObserved(update);
}

void Engine::handle(engine_event::HealthCheckEnded& event) {
  const auto& fields = config_.settings.reportFields;
  const auto* const endpoint = endpoints_.find(event.endpoint);
  const GossipUpdate status = replicationStatusOf(event.healthy, event.report, fields);
  observeAnswer(event.endpoint, status, endpoint ? endpoint->healthCheckSentAt : std::nullopt, false);
  balancer::HealthCheckResult result;
  result.endpoint = event.endpoint;
  result.ok = event.healthy;
  result.report = reportSince(positionEpochUnix(), event.report, fields);
  trace::healthCheckEnded(endpoints_, event.endpoint, event.healthy, status);
  balancer_->healthCheckEnded(now_, result);
  shareStatus(event);
}

void Engine::shareStatus(const engine_event::HealthCheckEnded& event) {
  const auto* const endpoint = endpoints_.find(event.endpoint);
  if (!collaborators_.replication || !event.healthy || !endpoint) return;
  GossipUpdate update = replicationStatusOf(event.healthy, event.report, config_.settings.reportFields);
  update.endpointTag = endpoint->gossipTag;
  if (update.positionMs > 0) collaborators_.replication->statusObserved(update);
}

// An update may let many waiting requests try again, so the time for updates is limited; the rest
// waits for the next turn.
void Engine::handle(engine_event::GossipReceived&) {
  const Time end = clock_.now() + kGossipTimePerTurn;
  std::size_t handled = 0;
  while (handled < gossip_.size() && (handled == 0 || clock_.now() < end)) handleGossip(gossip_[handled++]);
  gossip_.erase(gossip_.begin(), gossip_.begin() + static_cast<std::ptrdiff_t>(handled));
  if (!gossip_.empty()) events_.emplace_back(engine_event::GossipReceived{});
}

void Engine::handleGossip(const GossipUpdate& update) {
  const auto endpoint = endpoints_.findByTag(update.endpointTag);
  if (!endpoint || millisecondsSince(positionEpochUnix(), update.positionMs) == 0) return;
  balancer_->gossipReceived(now_, *endpoint, replicationStatusWord(positionEpochUnix(), update),
                            update.classIndex, Time(update.latencyUs));
}

void Engine::handle(engine_event::SuspensionChanged& event) {
  if (event.suspended)
    suspended_.insert(event.name);
  else
    suspended_.erase(event.name);
  const auto id = endpoints_.findByName(event.name);
  if (!id) return;
  balancer_->suspend(now_, *id, event.suspended);
  // A restored endpoint warms up again, as in the balancer.
  const bool ready = !event.suspended && endpoints_.find(*id)->ready;
  const Time warmAt = now_ + config_.settings.warmUpPeriod;
  actions_.emplace_back([this, id = *id, ready, warmAt] {
    collaborators_.backend->endpointListed(id, Address(), ready, warmAt);
  });
}

void Engine::handle(engine_event::SettingsUpdated& event) {
  event.settings.positionEpoch = positionEpoch_;
  balancer_->updateSettings(now_, event.settings);
}

void Engine::handle(engine_event::DiscoveryFailed&) {
  balancer_->endpointsListed(now_, ListKind::Failed, {});
}

void Engine::handle(engine_event::ListLimited& event) {
  listLimit_.limited(now_, event.until, event.limit);
  balancer_->limitList(now_, event.until);
}

void Engine::handle(engine_event::EndpointsListed& event) {
  const bool cached = list_.applied == 0;  // the known list, which start() has queued
  const ListKind received = event.list.reset ? ListKind::Full : ListKind::Delta;
  list_.generation = event.list.generation;
  applyList(cached ? ListKind::Cached : received, event.list);
}

void Engine::applyList(ListKind kind, const EndpointList& list) {
  const bool inInitialLists = list_.applied < kInitialLists;
  ++list_.applied;
  std::vector<balancer::ListedEndpoint> listed;
  for (const DiscoveredEndpoint& discovered : list.instances) {
    const bool neverSeen = discovered.state == Lifecycle::Gone && !endpoints_.findByName(discovered.name);
    if (!neverSeen) listed.push_back(listEndpoint(discovered, inInitialLists));
  }
  if (kind != ListKind::Delta) markUnlistedNotReady(listed);
  balancer_->endpointsListed(now_, kind, listed);
}

// Updates the registry, the start times and the backend for a listed endpoint; returns the
// balancer's entry.
balancer::ListedEndpoint Engine::listEndpoint(const DiscoveredEndpoint& discovered, bool inInitialLists) {
  const bool ready = discovered.state == Lifecycle::Ready;
  const auto started = startStampOf(discovered);
  balancer::ListedEndpoint listed;
  listed.id = endpoints_.add(discovered.name);
  listed.group = discovered.group;
  listed.zone = zoneIndex(discovered.zone);
  listed.state = discovered.state;
  listed.weight = discovered.weight;
  listed.started =
      startTimes_.startOf(listed.id, started, inInitialLists, now_, reference_.offset()).value_or(Time(0));
  listed.suspended = suspended_.count(discovered.name) > 0;
  startTimes_.recordListed(listed);
  endpoints_.find(listed.id)->setReady(ready, now_);
  endpoints_.setGroup(listed.id, listed.group);
  reference_.setGroupCount(endpoints_.groupCount());
  endpoints_.recordListed(discovered.name);
  const Time warmAt = listed.started > Time(0) ? listed.started + config_.settings.warmUpPeriod : Time(0);
  collaborators_.backend->endpointListed(listed.id, discovered.address, ready && !listed.suspended, warmAt);
  return listed;
}

// Returns the number of zones for a zone that the settings do not contain.
int Engine::zoneIndex(const std::string& zone) const {
  const auto it = std::find(config_.zones.begin(), config_.zones.end(), zone);
  return static_cast<int>(it - config_.zones.begin());
}

void Engine::markUnlistedNotReady(const std::vector<balancer::ListedEndpoint>& listed) {
  std::unordered_set<EndpointId> listedIds;
  for (const balancer::ListedEndpoint& endpoint : listed) listedIds.insert(endpoint.id);
  for (const auto& [name, id] : endpoints_.idsByName()) {
    if (listedIds.count(id) > 0) continue;
    endpoints_.find(id)->setReady(false, now_);
    collaborators_.backend->endpointListed(id, Address(), false, Time(0));
  }
}

}  // namespace sablespur
