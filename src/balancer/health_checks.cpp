#include "balancer/health_checks.hpp"

#include <algorithm>

#include "balancer/consistency.hpp"
#include "balancer/housekeeping.hpp"
#include "balancer/outlier_detection.hpp"

namespace sablespur::balancer {
namespace {

constexpr int kCheckedCandidates = 2;  // before a choice; a single one may be the worse of two
constexpr int kWaitsPerObjective = 8;  // a request waits at most 1/8 of its latency objective
constexpr int kChecksPerBound = 4;     // at most four position checks per staleness bound
// How long evidence of the role of primary is trusted without a check. A takeover within this
// period is detected by the answer to the read itself.
constexpr Time kPrimaryRoleValidity = std::chrono::seconds(1);

// Returns whether the endpoint can be chosen now without a health check:
// - If endpoints serve reads from stale data, a replica needs a proven position.
// - If reports carry the load, or the request is a write, a reply within the latency objective is
//   needed. A write must not be lost at an endpoint that is down.
bool hasEnoughInformation(const Context& context, const PendingRequest& pending, const Endpoint& endpoint) {
  const Time required = requiredPosition(context, pending);
  const Group& group = context.groups.at(pending.request.group);
  if (context.settings.laggingReplicaPolicy == LaggingReplicaPolicy::Serve && required != kNever &&
      endpoint.listed.id != group.primary && knownPosition(endpoint) < required)
    return false;
  const ClassSettings& settings = context.classOf(pending);
  if (!context.reportsCarryLoad && settings.requirement != Requirement::Write) return true;
  const Time lastContact = std::max(endpoint.contact.lastReply, endpoint.contact.lastGossip);
  return lastContact != kNever && context.now - lastContact < settings.latencyObjective;
}

// Returns the primary, which is not checked for reads; 0 if no endpoint is excluded. For a write
// the primary is the endpoint to check.
EndpointId primaryExcludedFromChecks(Context& context, const PendingRequest& pending) {
  const bool isWrite = context.classOf(pending).requirement == Requirement::Write;
  return isWrite ? 0 : context.groups[pending.request.group].primary;
}

// Checks an endpoint about which no proxy receives anything. Proxies that share what they observe
// through gossip spread these checks over time, because otherwise all of them would check at once.
void checkUnknownEndpoint(Context& context, const PendingRequest& pending, Endpoint& endpoint) {
  const double jitter = 0.5 + context.random.fraction(pending.request.id);
  const Time interval = scaled(context.settings.proxyCount * kUnknownEndpointProbeInterval, jitter);
  const Health& health = endpoint.health;
  if (!health.checkInProgress && context.now - health.checkedAt >= interval)
    startHealthCheck(context, endpoint);
}

// Checks the first candidates about which too little is known. Returns whether to wait for replies.
bool checkFirstCandidates(Context& context, const PendingRequest& pending,
                          const std::vector<Endpoint*>& candidates, EndpointId excluded) {
  const Time interval = context.reportsCarryLoad ? kHousekeepingInterval
                                                 : tightestStalenessBound(context.settings) / kChecksPerBound;
  bool anyKnown = false;
  bool anyInProgress = false;
  int remaining = kCheckedCandidates;
  for (Endpoint* const endpoint : candidates) {
    if (endpoint->listed.id == excluded) continue;
    const bool isKnown = hasEnoughInformation(context, pending, *endpoint);
    anyKnown = anyKnown || isKnown;
    const bool isAmongFirst = remaining > 0;
    --remaining;
    if (!isAmongFirst || isKnown) continue;
    checkIfDue(context, *endpoint, interval);
    anyInProgress = anyInProgress || endpoint->health.checkInProgress;
  }
  // A choice by load needs the replies of all checked endpoints; otherwise one known endpoint is
  // enough.
  return anyInProgress && (!anyKnown || context.reportsCarryLoad);
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

bool checkCandidatesIfNeeded(Context& context, const PendingRequest& pending,
                             const std::vector<Endpoint*>& candidates) {
  if (!context.canHealthCheck() || pending.healthChecksAwaited) return false;
  // No replica can prove a position that is fresh enough for a strong read.
  if (context.classOf(pending).requirement == Requirement::Strong) return false;
  const EndpointId excluded = primaryExcludedFromChecks(context, pending);
  const auto isKnown = [&](const Endpoint* endpoint) {
    return endpoint->listed.id != excluded && hasEnoughInformation(context, pending, *endpoint);
  };
  if (context.gossipReceived && std::any_of(candidates.begin(), candidates.end(), isKnown)) {
    const auto unknown = std::find_if_not(candidates.begin(), candidates.end(), isKnown);
    if (unknown != candidates.end()) checkUnknownEndpoint(context, pending, **unknown);
    return false;
  }
  return checkFirstCandidates(context, pending, candidates, excluded);
}

bool checkPrimaryIfNeeded(Context& context, const PendingRequest& pending, Endpoint& choice) {
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
