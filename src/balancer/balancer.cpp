// Passes the events of the public interface to the modules that handle them.
#include "balancer/balancer.hpp"

#include <algorithm>

#include "balancer/attempt_outcome.hpp"
#include "balancer/consistency.hpp"
#include "balancer/context.hpp"
#include "balancer/endpoint_list.hpp"
#include "balancer/endpoint_state.hpp"
#include "balancer/health_checks.hpp"
#include "balancer/housekeeping.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/primary_discovery.hpp"
#include "balancer/request_completion.hpp"
#include "balancer/request_dispatch.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/timer_token.hpp"

namespace sablespur::balancer {
namespace {

bool isKnownClass(const Settings& settings, int classIndex) {
  return classIndex >= 0 && toIndex(classIndex) < settings.classes.size();
}

}  // namespace

Balancer::Balancer(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : context_(std::make_unique<Context>(settings, seed, sink)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;

void Balancer::endpointsListed(Time now, ListKind kind, const std::vector<ListedEndpoint>& entries) {
  Context& context = *context_;
  context.now = now;
  updateEndpoints(context, kind, entries);
  if (context.started) return;
  context.started = true;
  context.traffic.started(now);
  if (context.settings.discoveryMode == DiscoveryMode::Subscribe)
    context.discovery.poll(context.discoveryEnvironment());
}

void Balancer::request(Time now, const Request& request) {
  Context& context = *context_;
  context.now = now;
  if (context.requests.count(request.id) > 0) return;
  if (!isKnownClass(context.settings, request.classIndex)) {
    context.sink.reject(request.id, Time(0));
    return;
  }
  context.retryBudget.requestArrived(now);
  const ClassSettings& settings = context.settings.classes[toIndex(request.classIndex)];
  const bool isWrite = settings.requirement == Requirement::Write;
  context.traffic.requestArrived(now, context.latencies.relativeCost(request.classIndex), isWrite);
  PendingRequest& pending = context.requests[request.id];
  pending.request = request;
  pending.arrivedAt = now;
  if (request.mayHaveRunSince > Time(0))
    pending.possibleExecution = PossibleExecution{request.mayHaveRunSince, 0};
  pending.requiredPosition = initialRequiredPosition(context, pending);
  advance(context, pending);
}

void Balancer::attemptEnded(Time now, const AttemptOutcome& outcome) {
  Context& context = *context_;
  context.now = now;
  const auto found = context.requests.find(outcome.request);
  if (!context.settings.sessionTokensCarried && outcome.result == AttemptResult::Ok &&
      found != context.requests.end())
    recordSessionCommit(context, found->second, outcome);
  handleOutcome(context, outcome);
}

void Balancer::clientDisconnected(Time now, RequestId id) {
  Context& context = *context_;
  context.now = now;
  const auto found = context.requests.find(id);
  if (found != context.requests.end()) closeRequest(context, found->second);
}

void Balancer::healthCheckEnded(Time now, const HealthCheckResult& result) {
  Context& context = *context_;
  context.now = now;
  Endpoint* const endpoint = context.findEndpoint(result.endpoint);
  if (!endpoint) return;
  endpoint->health.checkInProgress = false;
  if (result.ok) {
    recordReport(context, *endpoint, result.report);
    endpoint->contact.lastReply = now;
    endpoint->health.consecutiveFailures = 0;
    // Endpoints with stale data are not sent reads. Counting the check as a use moves this endpoint
    // back in the order of candidates, so that other endpoints are checked next.
    if (endpoint->replication.position < now - tightestStalenessBound(context.settings))
      endpoint->contact.lastUsed = now;
  } else {
    recordFailedHealthCheck(context, *endpoint);
  }
  // A choice by load needs the replies of all endpoints that were checked.
  Group& group = context.groups[endpoint->listed.group];
  if (!context.reportsCarryLoad || !awaitsHealthChecks(context, group)) resumeWaiting(context, group);
}

void Balancer::gossipReceived(Time now, EndpointId id, std::uint32_t replicationStatus, int classIndex,
                              Time latency) {
  Context& context = *context_;
  context.now = now;
  Endpoint* const endpoint = context.findEndpoint(id);
  const Time repliedAt =
      positionOf(context.settings, replicationStatus).value_or(context.settings.positionEpoch);
  if (!endpoint || repliedAt > now || now - repliedAt > kRecentPeriod) return;
  context.gossipReceived = true;
  endpoint->contact.lastGossip = std::max(endpoint->contact.lastGossip, repliedAt);
  if (repliedAt > endpoint->replication.position) recordPosition(context, *endpoint, repliedAt);
  if (carriesRole(replicationStatus)) {
    const bool isPrimary = roleOf(replicationStatus) == Role::Primary;
    recordRole(context, *endpoint, isPrimary ? Role::Primary : Role::Replica, repliedAt);
  }
  if (isKnownClass(context.settings, classIndex)) {
    const InFlightAttempt attempt{0, 0, classIndex, outstandingLoad(context, *endpoint), now, false};
    context.latencies.addSample(*endpoint, attempt, static_cast<double>(latency.count()), now);
  }
  Group& group = context.groups[endpoint->listed.group];
  if (!group.waiting.empty()) resumeWaiting(context, group);
}

void Balancer::timerFired(Time now, std::uint64_t token) {
  Context& context = *context_;
  context.now = now;
  switch (timerKind(token)) {
    case TimerKind::Housekeeping:
      if (timerId(token) == 0) runHousekeeping(context);
      break;
    // A separate timer, because a waiting request must not outlive its client.
    case TimerKind::RequestWait:
      resumeRequest(context, timerId(token));
      break;
    case TimerKind::DiscoveryPoll:
      if (context.discovery.isDue(timerId(token))) context.discovery.poll(context.discoveryEnvironment());
      break;
  }
}

bool Balancer::maySendNow(Time now, RequestId id, EndpointId to) {
  Context& context = *context_;
  context.now = now;
  const auto found = context.requests.find(id);
  const Endpoint* const endpoint = context.findEndpoint(to);
  if (found == context.requests.end() || !endpoint || !isUsable(context.settings, *endpoint)) return false;
  if (context.isListTooOld()) return false;
  PendingRequest& pending = found->second;
  if (!repeatIsSafe(context, pending)) return false;
  const Group& group = context.groups[endpoint->listed.group];
  const Time required = requiredPosition(context, pending);
  // The staleness bound applies at the time of the send.
  if (!pending.attempts.empty() && pending.attempts.back().endpoint == to)
    pending.attempts.back().requiredPosition = required;
  return freshProbability(context, *endpoint, group, required).has_value();
}

bool Balancer::isFreshEnough(Time now, const AttemptOutcome& outcome) {
  Context& context = *context_;
  context.now = now;
  const auto found = context.requests.find(outcome.request);
  const Endpoint* const endpoint = context.findEndpoint(outcome.endpoint);
  if (found == context.requests.end() || !endpoint) return true;
  const PendingRequest& pending = found->second;
  if (context.classOf(pending).requirement == Requirement::Write) return true;
  const Attempt& attempt = pending.attempts[toIndex(outcome.attempt)];
  return !showsStaleData(context, *endpoint, attempt, outcome.replicationStatus);
}

void Balancer::limitList(Time now, std::optional<Time> until) {
  Context& context = *context_;
  context.now = now;
  const bool wasTooOld = context.isListTooOld();
  context.listUsableUntil = until;
  if (wasTooOld && !context.isListTooOld()) resumeAllWaiting(context, PrimaryChecks::No);
}

void Balancer::unseenCommitsPossible(Time now) {
  context_->now = now;
  context_->sessionCommits.assumeUnseenUntil(now);
}

std::vector<EndpointId> Balancer::removeExpiredEndpoints(Time now) {
  context_->now = now;
  return removeExpired(*context_);
}

void Balancer::suspend(Time now, EndpointId id, bool suspended) {
  context_->now = now;
  setSuspended(*context_, id, suspended);
}

void Balancer::updateSettings(Time now, const Settings& settings) {
  Context& context = *context_;
  context.now = now;
  if (!hasSessionReads(context.settings) && hasSessionReads(settings)) startSessionReads(context);
  const Time positionEpoch = context.settings.positionEpoch;
  context.settings = settings;
  context.settings.positionEpoch = positionEpoch;
  context.traffic.endpointsChanged();
  context.latencies.growTo(settings.classes.size());
}

void Balancer::setPositionEpoch(Time epoch) { context_->settings.positionEpoch = epoch; }

// Instants taken from this proxy's own clock (roles, arrivals of strong reads) do not change.
void Balancer::referenceClockMoved(Time now, Time by) {
  Context& context = *context_;
  context.now = now;
  for (auto& [id, endpoint] : context.endpoints) {
    shiftInstant(endpoint.replication.position, by);
    for (LagSample& sample : endpoint.replication.lags) sample.lag -= by;
  }
  context.sessionCommits.shift(by);
  for (auto& [id, pending] : context.requests) {
    if (context.classOf(pending).requirement == Requirement::Session)
      shiftInstant(pending.requiredPosition, by);
  }
}

}  // namespace sablespur::balancer
