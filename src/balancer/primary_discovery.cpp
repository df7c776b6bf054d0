#include "balancer/primary_discovery.hpp"

#include "balancer/endpoint_state.hpp"
#include "balancer/health_checks.hpp"
#include "balancer/housekeeping.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/slow_start.hpp"

namespace sablespur::balancer {
namespace {

constexpr Time kPrimaryDiscoveryInterval = std::chrono::milliseconds(250);  // between checks of an endpoint

void setPrimary(Group& group, EndpointId id) {
  group.primary = id;
  group.discovery.exhaustedInUpdate = 0;
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
  const bool isFree = discovery.write == 0 || discovery.write == write.request.id;
  if (discovery.exhaustedInUpdate != context.listUpdates && isFree) {
    for (const EndpointId id : group.endpoints) {
      Endpoint& endpoint = context.endpoints.at(id);
      if (!isUsable(context.settings, endpoint) || !isHealthy(context, endpoint)) continue;
      if (!mayTake(context, write, endpoint) || !slowStartAdmits(context, endpoint, write)) continue;
      discovery.write = write.request.id;
      return &endpoint;
    }
    discovery.exhaustedInUpdate = context.listUpdates;
  }
  if (discovery.write == write.request.id) discovery.write = 0;
  return nullptr;
}

void checkForPrimary(Context& context, const Group& group) {
  if (!context.canHealthCheck()) return;
  if (context.now > group.discovery.wantedAt + kHousekeepingInterval) return;
  const Endpoint* const primary = primaryOf(context, group);
  if (primary && isHealthy(context, *primary)) return;
  for (const EndpointId id : group.endpoints) {
    Endpoint& endpoint = context.endpoints.at(id);
    if (isUsable(context.settings, endpoint)) checkIfDue(context, endpoint, kPrimaryDiscoveryInterval);
  }
}

}  // namespace sablespur::balancer
