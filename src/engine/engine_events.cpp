// The engine's handlers of queued events: each hands one event to the balancer.
#include <algorithm>
#include <chrono>
#include <utility>

#include "engine/engine.hpp"
#include "engine/engine_trace.hpp"

namespace sablespur {

using balancer::Lifecycle;
using balancer::ListKind;
using cluster::GossipRole;
using cluster::GossipUpdate;

namespace {

constexpr float kMinTokenAgeMs = 0.001f;  // 0 would mean that the session has written nothing
// The list of the settings and the first from discovery: endpoints in them need not be new.
constexpr int kInitialLists = 2;

}  // namespace

void Engine::handle(RequestReceived& event) {
  balancer::Request& request = event.request;
  trace::requestReceived(request);
  // The reference clock may have moved since the age of the session token was computed.
  if (const auto it = requests_.find(request.id); it != requests_.end() && request.sessionTokenAgeMs > 0) {
    const Time moved = clockOffset_ - it->second.message->clockOffset;
    request.sessionTokenAgeMs =
        std::max(kMinTokenAgeMs, request.sessionTokenAgeMs + static_cast<float>(moved.count()) / 1e3f);
  }
  balancer_->request(now_, request);
}

void Engine::handle(ClientDisconnected& event) {
  balancer_->clientDisconnected(now_, event.request);
  requests_.erase(event.request);
}

void Engine::handle(ConnectionReady& event) {
  const auto it = requests_.find(event.request);
  const bool fit = it != requests_.end() &&
                   balancer_->maySendNow(now_, event.request, it->second.attempt(event.attempt).endpoint);
  actions_.emplace_back([this, id = event.request, attempt = event.attempt, fit] {
    backend_->continueAttempt(id, attempt, fit);
  });
}

void Engine::handle(AttemptEnded& event) {
  AttemptEnd& end = event.end;
  shareStatus(event);
  const auto it = requests_.find(event.request);
  const bool pending = it != requests_.end();
  trace::attemptEnded(event.request, event.attempt, endpoints_, event.endpoint, end);
  if (attemptObserver_) attemptObserver_->attemptEnded(event.request, event.attempt, end);

  balancer::AttemptOutcome outcome;
  outcome.request = event.request;
  outcome.attempt = event.attempt;
  outcome.endpoint = event.endpoint;
  // An invalid statement is the client's fault: it is not retried, nor held against the endpoint.
  outcome.result = end.invalidStatement ? AttemptResult::Cancelled : end.result;
  outcome.clientAnswered = !pending || outcome.result == AttemptResult::Ok || end.invalidStatement;
  if (end.role == Role::Primary && end.positionMs > 0 && pending)
    primaryAnswered(event.endpoint, std::chrono::milliseconds(end.positionMs),
                    it->second.attempt(event.attempt).sentAt);
  else if (end.role == Role::Replica)
    reference_.forget(event.endpoint);
  outcome.replicationStatus = replicationStatusWord(positionEpochUnix(), end);
  if (pending && outcome.clientAnswered) {
    respond(it->second, end);
    requests_.erase(it);
  }
  balancer_->attemptEnded(now_, outcome);
}

// Records the response to the client; moves the answer out of `end`.
void Engine::respond(const PendingRequest& request, AttemptEnd& end) {
  ResponseHandler* const handler = request.handler;
  if (!handler) return;
  if (end.invalidStatement && !end.answer.messages) {
    actions_.emplace_back([handler] { handler->failed(); });
    return;
  }
  // std::function has to be copyable, and an answer is not.
  actions_.emplace_back([handler, answer = std::make_shared<Answer>(std::move(end.answer))] {
    handler->served(std::move(*answer));
  });
}

// A response with a position is shared with the other proxies; its latency too, if it was complete.
void Engine::shareStatus(const AttemptEnded& event) {
  const auto tag = endpoints_.tag(event.endpoint);
  const bool inFuture = event.end.positionMs > (now_ + clockOffset_).count() / 1000;
  if (!replicationObserver_ || event.end.positionMs <= 0 || inFuture || !tag) return;
  GossipUpdate update = replicationStatusOf(event.end);
  update.endpointTag = *tag;
  const auto it = requests_.find(event.request);
  if (it != requests_.end() && event.end.result == AttemptResult::Ok) {
    update.classIndex = it->second.classIndex;
    update.latencyUs = (now_ - it->second.attempt(event.attempt).sentAt).count();
  }
  replicationObserver_->statusObserved(update);
}

void Engine::handle(HealthCheckEnded& event) {
  const auto& fields = config_.settings.reportFields;
  const auto sent = healthCheckSentAt_.find(event.endpoint);
  const Time sentAt = sent == healthCheckSentAt_.end() ? Time(0) : sent->second;
  const GossipUpdate status = replicationStatusOf(event.ok, event.report, fields);
  if (status.role == GossipRole::Primary && status.positionMs > 0)
    primaryAnswered(event.endpoint, std::chrono::milliseconds(status.positionMs), sentAt);
  else if (status.role == GossipRole::Replica)
    reference_.forget(event.endpoint);
  balancer::HealthCheckResult result;
  result.endpoint = event.endpoint;
  result.ok = event.ok;
  result.report = reportSince(positionEpochUnix(), event.report, fields);
  trace::healthCheckEnded(endpoints_, event.endpoint, event.ok);
  balancer_->healthCheckEnded(now_, result);
  shareStatus(event);
}

void Engine::shareStatus(const HealthCheckEnded& event) {
  const auto tag = endpoints_.tag(event.endpoint);
  if (!replicationObserver_ || !event.ok || !tag) return;
  GossipUpdate update = replicationStatusOf(event.ok, event.report, config_.settings.reportFields);
  update.endpointTag = *tag;
  if (update.positionMs > 0) replicationObserver_->statusObserved(update);
}

void Engine::handle(GossipReceived&) {
  for (const GossipUpdate& update : gossip_) {
    const auto endpoint = endpoints_.findByTag(update.endpointTag);
    if (!endpoint || millisecondsSince(positionEpochUnix(), update.positionMs) == 0) continue;
    balancer_->gossipReceived(now_, *endpoint, replicationStatusWord(positionEpochUnix(), update),
                              update.classIndex, Time(update.latencyUs));
  }
  gossip_.clear();
}

void Engine::handle(SuspensionChanged& event) {
  if (event.on)
    suspended_.insert(event.name);
  else
    suspended_.erase(event.name);
  const auto id = endpoints_.find(event.name);
  if (!id) return;
  balancer_->suspend(now_, *id, event.on);
  // A restored endpoint is warming up again, as in the balancer.
  const bool ready = !event.on && ready_.count(*id) > 0;
  const Time warmAt = now_ + config_.settings.warmUpPeriod;
  actions_.emplace_back(
      [this, id = *id, ready, warmAt] { backend_->endpointListed(id, Address(), ready, warmAt); });
}

void Engine::handle(SettingsUpdated& event) {
  event.settings.positionEpoch = positionEpoch_;
  balancer_->updateSettings(now_, event.settings);
}

void Engine::handle(DiscoveryFailed&) { balancer_->endpointsListed(now_, ListKind::Failed, {}); }

void Engine::handle(EndpointsListed& event) {
  const bool cached = !endpoints_.everHadEndpoints() && generation_ == 0;
  generation_ = event.list.generation;
  applyList(cached ? ListKind::Cached : event.list.reset ? ListKind::Full : ListKind::Delta, event.list);
}

void Engine::applyList(ListKind kind, const EndpointList& list) {
  const bool inInitialLists = listsApplied_ < kInitialLists;
  ++listsApplied_;
  std::vector<balancer::ListedEndpoint> listed;
  for (const DiscoveredEndpoint& discovered : list.instances) {
    const bool neverSeen = discovered.state == Lifecycle::Gone && !endpoints_.find(discovered.name);
    if (!neverSeen) listed.push_back(listEndpoint(discovered, inInitialLists));
  }
  if (kind != ListKind::Delta) markUnlistedNotReady(listed);
  balancer_->endpointsListed(now_, kind, listed);
}

// The balancer's entry for an endpoint; the tables here and the backend follow it.
balancer::ListedEndpoint Engine::listEndpoint(const DiscoveredEndpoint& discovered, bool inInitialLists) {
  const auto zone = std::find(config_.zones.begin(), config_.zones.end(), discovered.zone);
  const bool ready = discovered.state == Lifecycle::Ready;
  balancer::ListedEndpoint listed;
  listed.id = endpoints_.add(discovered.name);
  listed.group = discovered.group;
  listed.zone = static_cast<int>(zone - config_.zones.begin());
  listed.state = discovered.state;
  listed.weight = discovered.weight;
  listed.started = startTimes_.startOf(listed.id, discovered.startedMs, inInitialLists, now_, clockOffset_);
  listed.suspended = suspended_.count(discovered.name) > 0;
  startTimes_.recordListed(listed);
  if (ready)
    ready_.insert(listed.id);
  else
    ready_.erase(listed.id);
  endpoints_.recordListed(discovered.name);
  const Time warmAt = listed.started > Time(0) ? listed.started + config_.settings.warmUpPeriod : Time(0);
  backend_->endpointListed(listed.id, discovered.address, ready && !listed.suspended, warmAt);
  return listed;
}

void Engine::markUnlistedNotReady(const std::vector<balancer::ListedEndpoint>& listed) {
  std::unordered_set<EndpointId> listedIds;
  for (const balancer::ListedEndpoint& endpoint : listed) listedIds.insert(endpoint.id);
  for (const auto& [name, id] : endpoints_.idsByName()) {
    if (listedIds.count(id) > 0) continue;
    ready_.erase(id);
    backend_->endpointListed(id, Address(), false, Time(0));
  }
}

}  // namespace sablespur
