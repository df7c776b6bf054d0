#include "balancer/health_checks.hpp"

#include <algorithm>

#include "balancer/consistency.hpp"
#include "balancer/housekeeping.hpp"
#include "balancer/outlier_detection.hpp"

namespace sablespur::balancer {
namespace {

constexpr int kCheckedCandidates = 2;  // asked before a choice: one may be the worse of two
constexpr int kWaitsPerObjective = 8;  // a request waits for replies for 1/8 of its latency objective at most
constexpr int kChecksPerBound = 4;     // positions are asked for four times in a staleness bound at most
// So long an answer as primary is believed without a check. A takeover within it shows in the read's own
// answer.
constexpr Time kPrimaryRoleValidity = std::chrono::seconds(1);

// Whether what was last heard of the endpoint will do for a choice now: where endpoints do not check it, a
// proven position; where reports tell the load, or for a write that must not be lost, a reply within the
// latency objective.
bool isKnownWellEnough(const Context& context, const PendingRequest& pending, const Endpoint& endpoint) {
  const Time required = requiredPosition(context, pending);
  const Group& group = context.groups.at(pending.request.group);
  if (context.settings.laggingReplicaPolicy == LaggingReplicaPolicy::Serve && required != kNever &&
      endpoint.listed.id != group.primary && knownPosition(endpoint) < required)
    return false;
  const ClassSettings& settings = context.classOf(pending);
  if (!context.reportsCarryLoad && settings.requirement != Requirement::Write) return true;
  const Time heard = std::max(endpoint.contact.lastReply, endpoint.contact.lastGossip);
  return heard != kNever && context.now - heard < settings.latencyObjective;
}

// Reads leave the primary alone; for a write it is the one to be asked. 0: none is left out.
EndpointId uncheckedPrimary(Context& context, const PendingRequest& pending) {
  const bool isWrite = context.classOf(pending).requirement == Requirement::Write;
  return isWrite ? 0 : context.groups[pending.request.group].primary;
}

// Where proxies pass on what they hear, an endpoint that none hears of is checked by all in turn, lest they
// all check at once.
void checkUnheard(Context& context, const PendingRequest& pending, Endpoint& endpoint) {
  const double jitter = 0.5 + context.random.fraction(pending.request.id);
  const Time interval = scaled(context.settings.proxyCount * kUnknownEndpointProbeInterval, jitter);
  const Health& health = endpoint.health;
  if (!health.checkInProgress && context.now - health.checkedAt >= interval)
    startHealthCheck(context, endpoint);
}

// Checks the first candidates of which too little is known.
bool checkFirstCandidates(Context& context, const PendingRequest& pending,
                          const std::vector<Endpoint*>& candidates, EndpointId leftOut) {
  const Time interval = context.reportsCarryLoad ? kHousekeepingInterval
                                                 : tightestStalenessBound(context.settings) / kChecksPerBound;
  bool someKnown = false;
  bool someInProgress = false;
  int remaining = kCheckedCandidates;
  for (Endpoint* const endpoint : candidates) {
    if (endpoint->listed.id == leftOut) continue;
    const bool isKnown = isKnownWellEnough(context, pending, *endpoint);
    someKnown = someKnown || isKnown;
    const bool isAmongFirst = remaining > 0;
    --remaining;
    if (!isAmongFirst || isKnown) continue;
    checkIfDue(context, *endpoint, interval);
    someInProgress = someInProgress || endpoint->health.checkInProgress;
  }
  // A choice by load needs the reply of all that were asked; else one known endpoint is enough.
  return someInProgress && (!someKnown || context.reportsCarryLoad);
}

}  // namespace

void startHealthCheck(Context& context, Endpoint& endpoint) {
  endpoint.health.checkInProgress = true;
  endpoint.health.checkedAt = context.now;
  context.sink.startHealthCheck(endpoint.listed.id);
}

void checkIfDue(Context& context, Endpoint& endpoint, Time interval) {
  const Health& health = endpoint.health;
  if (health.checkInProgress) return;
  if (health.checkedAt == kNever || context.now - health.checkedAt >= interval)
    startHealthCheck(context, endpoint);
}

bool checksNeededBeforeChoice(Context& context, const PendingRequest& pending,
                              const std::vector<Endpoint*>& candidates) {
  if (!context.canHealthCheck() || pending.healthChecksAwaited) return false;
  // No replica's report can be new enough for a strong read.
  if (context.classOf(pending).requirement == Requirement::Strong) return false;
  const EndpointId leftOut = uncheckedPrimary(context, pending);
  const auto isKnown = [&](const Endpoint* endpoint) {
    return endpoint->listed.id != leftOut && isKnownWellEnough(context, pending, *endpoint);
  };
  if (context.gossipReceived && std::any_of(candidates.begin(), candidates.end(), isKnown)) {
    const auto unheard = std::find_if_not(candidates.begin(), candidates.end(), isKnown);
    if (unheard != candidates.end()) checkUnheard(context, pending, **unheard);
    return false;
  }
  return checkFirstCandidates(context, pending, candidates, leftOut);
}

bool primaryCheckNeeded(Context& context, const PendingRequest& pending, Endpoint& choice) {
  if (!context.canHealthCheck()) return false;
  if (context.settings.laggingReplicaPolicy != LaggingReplicaPolicy::Serve) return false;
  const Time required = requiredPosition(context, pending);
  if (required == kNever || knownPosition(choice) >= required) return false;
  if (context.now - choice.role.at < kPrimaryRoleValidity) return false;
  checkIfDue(context, choice, kHousekeepingInterval);
  return choice.health.checkInProgress;
}

Time healthCheckWait(const Context& context, const PendingRequest& pending) {
  return std::max(context.settings.timerResolution,
                  context.classOf(pending).latencyObjective / kWaitsPerObjective);
}

bool awaitsHealthChecks(const Context& context, const Group& group) {
  return std::any_of(group.endpoints.begin(), group.endpoints.end(), [&](EndpointId id) {
    const Health& health = context.endpoints.at(id).health;
    return health.checkInProgress && context.now - health.checkedAt <= kHealthCheckTimeout;
  });
}

}  // namespace sablespur::balancer
