#include "balancer/primary_discovery.hpp"

#include <algorithm>

#include "balancer/endpoint_state.hpp"
#include "balancer/health_checks.hpp"
#include "balancer/housekeeping.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/slow_start.hpp"

namespace sablespur::balancer {
namespace {

// Interval between health checks of an endpoint while its group searches for a primary.
constexpr Time kPrimaryDiscoveryInterval = std::chrono::milliseconds(250);
// Pause between rounds of trying the endpoints, where no health check can identify the primary.
constexpr Time kMinRoundPause = std::chrono::milliseconds(250);
constexpr Time kMaxRoundPause = std::chrono::seconds(1);

void setPrimary(Group& group, EndpointId id) {
  group.primary = id;
  group.discovery.exhaustedInUpdate = 0;
  group.discovery.nextRoundAt = kNever;
  group.discovery.roundBackoff = Time(0);
}

// Returns whether a write may begin to try the endpoints in turn.
bool mayBeginRound(const Context& context, const PrimaryDiscovery& discovery) {
  if (discovery.write != 0) return false;
  const bool isExhausted = discovery.exhaustedInUpdate == context.listUpdates;
  if (context.canHealthCheck()) return !isExhausted;
  // A takeover may complete without a change of the list. Without health checks only a write can
  // detect it.
  return context.now >= discovery.nextRoundAt;
}

// Begins a round for this write. Jitter keeps proxies whose rounds fail together from retrying
// together.
void beginRound(const Context& context, PrimaryDiscovery& discovery, RequestId write) {
  discovery.write = write;
  const Time pause = std::max(discovery.roundBackoff, kMinRoundPause);
  const double jitter = 0.5 + context.random.fraction(write);
  discovery.nextRoundAt = context.now + scaled(pause, jitter);
  discovery.roundBackoff = std::min(2 * pause, kMaxRoundPause);
}

// Returns the interval between checks of an endpoint that are started for reads. Reads are
// frequent, so where proxies share what they observe through gossip, the interval grows with the
// number of proxies. Otherwise all of them would send checks at once.
Time readCheckInterval(const Context& context, EndpointId id) {
  if (!context.gossipReceived) return kPrimaryDiscoveryInterval;
  const double jitter = 0.5 + context.random.fraction(id);
  const Time sharedInterval = scaled(context.settings.proxyCount * kUnknownEndpointProbeInterval, jitter);
  return std::max(sharedInterval, kPrimaryDiscoveryInterval);
}

}  // namespace

void recordRole(Context& context, Endpoint& endpoint, Role role, Time at) {
  if (at < endpoint.role.at) return;
  Group& group = context.groups[endpoint.listed.group];
  const bool wasPrimary = group.primary == endpoint.listed.id;
  if (role == Role::Primary) {
    Endpoint* const other = wasPrimary ? nullptr : context.findEndpoint(group.primary);
    if (other && other->role.at > at) return;
    if (other) other->role.role = Role::Unknown;
    setPrimary(group, endpoint.listed.id);
  } else if (wasPrimary) {
    setPrimary(group, 0);
  }
  endpoint.role = {role, at};
}

void recordListedPrimary(Context& context, Endpoint& endpoint) {
  Group& group = context.groups[endpoint.listed.group];
  if (endpoint.role.at != kNever || group.primary != 0) return;
  group.primary = endpoint.listed.id;
  endpoint.role = {Role::Primary, Time(0)};
}

Endpoint* primaryOf(Context& context, const Group& group) {
  Endpoint* const primary = context.findEndpoint(group.primary);
  return primary && isUsable(context.settings, *primary) ? primary : nullptr;
}

Endpoint* nextPrimaryCandidate(Context& context, Group& group, const PendingRequest& write) {
  PrimaryDiscovery& discovery = group.discovery;
  const RequestId id = write.request.id;
  if (mayBeginRound(context, discovery)) beginRound(context, discovery, id);
  if (discovery.write != id) return nullptr;
  for (const EndpointId candidate : group.endpoints) {
    Endpoint& endpoint = context.endpoints.at(candidate);
    if (!isUsable(context.settings, endpoint) || !isHealthy(context, endpoint)) continue;
    if (mayAttempt(context, write, endpoint) && slowStartAdmits(context, endpoint, write)) return &endpoint;
  }
  discovery.exhaustedInUpdate = context.listUpdates;
  discovery.write = 0;
  return nullptr;
}

void checkForPrimary(Context& context, const Group& group) {
  if (!context.canHealthCheck()) return;
  const PrimaryDiscovery& discovery = group.discovery;
  const bool writeWaits = context.now <= discovery.wantedAt + kHousekeepingInterval;
  const bool readWaits = context.now <= discovery.dataWantedAt + kHousekeepingInterval;
  if (!writeWaits && !readWaits) return;
  const Endpoint* const primary = primaryOf(context, group);
  if (primary && isHealthy(context, *primary)) return;
  for (const EndpointId id : group.endpoints) {
    Endpoint& endpoint = context.endpoints.at(id);
    const Time interval = writeWaits ? kPrimaryDiscoveryInterval : readCheckInterval(context, id);
    if (isUsable(context.settings, endpoint)) checkIfDue(context, endpoint, interval);
  }
}

}  // namespace sablespur::balancer
