#include "balancer/endpoint_list.hpp"

#include <algorithm>
#include <iterator>

#include "balancer/endpoint_state.hpp"
#include "balancer/primary_discovery.hpp"
#include "balancer/request_dispatch.hpp"

namespace sablespur::balancer {
namespace {

constexpr Time kGoneEndpointRetention = std::chrono::seconds(10);

void markGone(Context& context, EndpointId id, Endpoint& endpoint) {
  if (endpoint.goneAt == kNever) endpoint.goneAt = context.now;
  context.work.goneEndpoints.insert(id);
}

void markListed(Context& context, EndpointId id, Endpoint& endpoint) {
  endpoint.goneAt = kNever;
  context.work.goneEndpoints.erase(id);
}

void removeId(std::vector<EndpointId>& ids, EndpointId id) {
  ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

// Marks every endpoint that a full list omits as gone.
void markAbsentGone(Context& context, const std::vector<ListedEndpoint>& entries) {
  std::vector<EndpointId> listed;
  listed.reserve(entries.size());
  for (const ListedEndpoint& entry : entries) listed.push_back(entry.id);
  std::sort(listed.begin(), listed.end());
  auto next = listed.cbegin();  // both sequences ascend by id
  for (auto& [id, endpoint] : context.endpoints) {
    while (next != listed.cend() && *next < id) ++next;
    if (next == listed.cend() || *next != id) endpoint.listed.state = Lifecycle::Gone;
    if (endpoint.listed.state == Lifecycle::Gone) markGone(context, id, endpoint);
  }
}

// Adds the endpoint to the group of the entry and removes it from its previous group.
void placeInGroup(Context& context, const Endpoint& endpoint, const ListedEndpoint& entry) {
  const bool isNew = endpoint.listed.id == 0;
  if (!isNew && endpoint.listed.group == entry.group) return;
  std::vector<EndpointId>& ids = context.groups[entry.group].endpoints;
  ids.insert(std::lower_bound(ids.begin(), ids.end(), entry.id), entry.id);
  if (!isNew) removeId(context.groups[endpoint.listed.group].endpoints, entry.id);
}

// Discards what was learned about the previous process at this address.
void resetForRestart(Context& context, Endpoint& endpoint, const ListedEndpoint& entry) {
  endpoint.latencies.immediate.clear();
  endpoint.latencies.delayed.clear();
  endpoint.served = {};
  endpoint.readBudget = {};
  endpoint.writeBudget = {};
  endpoint.health.ejectedUntil = kNever;
  endpoint.health.consecutiveFailures = 0;
  endpoint.health.ejectionBackoff = Time(0);
  if (endpoint.listed.id == 0) return;
  endpoint.listed = entry;
  const Time restartedAt = std::min(entry.started, context.now);
  recordRole(context, endpoint, Role::Unknown, std::max(endpoint.role.at, restartedAt));
}

// Applies one entry of a list.
void updateEndpoint(Context& context, Endpoint& endpoint, const ListedEndpoint& entry) {
  endpoint.tieBreaker = context.random.hash(entry.id);
  placeInGroup(context, endpoint, entry);
  if (entry.started > endpoint.listed.started) resetForRestart(context, endpoint, entry);
  endpoint.listed = entry;
  endpoint.suspended = endpoint.suspended || entry.suspended;
  if (entry.state == Lifecycle::Gone)
    markGone(context, entry.id, endpoint);
  else
    markListed(context, entry.id, endpoint);
  const bool stillDraining = endpoint.seenDraining && entry.state != Lifecycle::Ready;
  endpoint.seenDraining = entry.state == Lifecycle::Draining || stillDraining;
  if (!isUsable(context.settings, endpoint)) {
    if (context.groups[entry.group].primary == entry.id)
      recordRole(context, endpoint, Role::Unknown, std::max(endpoint.role.at, context.now));
  } else if (entry.primary && context.settings.listedRolePolicy != ListedRolePolicy::NotListed) {
    recordListedPrimary(context, endpoint);
  }
}

// Removes groups that hold no state. Clients may name groups that do not exist, so unused records
// must not accumulate.
void removeUnusedGroups(std::map<GroupId, Group>& groups) {
  for (auto it = groups.begin(); it != groups.end();) {
    const Group& group = it->second;
    const bool isUnused = group.endpoints.empty() && group.waiting.empty() && group.discovery.write == 0;
    it = isUnused ? groups.erase(it) : std::next(it);
  }
}

}  // namespace

void updateEndpoints(Context& context, ListKind kind, const std::vector<ListedEndpoint>& entries) {
  context.discovery.responseReceived(context.discoveryEnvironment(), kind);
  if (kind == ListKind::Failed) return;
  context.traffic.endpointsChanged();
  if (kind != ListKind::Delta) markAbsentGone(context, entries);
  // Most lists ascend by id; then no search is needed.
  auto position = context.endpoints.begin();
  for (const ListedEndpoint& entry : entries) {
    if (position == context.endpoints.end() || position->first != entry.id)
      position = context.endpoints.try_emplace(entry.id).first;
    updateEndpoint(context, position->second, entry);
    ++position;
  }
  ++context.listUpdates;
  resumeAllWaiting(context, PrimaryChecks::No);
}

void setSuspended(Context& context, EndpointId id, bool suspended) {
  Endpoint* const endpoint = context.findEndpoint(id);
  if (!endpoint || endpoint->suspended == suspended) return;
  endpoint->suspended = suspended;
  context.traffic.endpointsChanged();
  if (suspended) {
    endpoint->suspendedAt = context.now;
    recordRole(context, *endpoint, Role::Unknown, std::max(endpoint->role.at, context.now));
    return;
  }
  // The reason for the suspension may have affected the endpoint. Unless the list reports a start
  // since then, it counts as just started.
  if (endpoint->listed.started < endpoint->suspendedAt) {
    endpoint->listed.started = context.now;
    endpoint->served = {};
  }
  endpoint->health.ejectedUntil = kNever;
  endpoint->health.consecutiveFailures = 0;
  context.groups[endpoint->listed.group].discovery.exhaustedInUpdate = 0;
}

std::vector<EndpointId> removeExpired(Context& context) {
  std::vector<EndpointId> expired;
  for (const EndpointId id : context.work.goneEndpoints) {
    const Endpoint& endpoint = context.endpoints.at(id);
    const bool isRetained = context.now < endpoint.goneAt + kGoneEndpointRetention;
    if (isUsable(context.settings, endpoint) || isRetained) continue;
    if (endpoint.inFlight.empty() && !endpoint.health.checkInProgress) expired.push_back(id);
  }
  if (!expired.empty()) context.traffic.endpointsChanged();
  for (const EndpointId id : expired) {
    Group& group = context.groups[context.endpoints.at(id).listed.group];
    removeId(group.endpoints, id);
    if (group.primary == id) group.primary = 0;
    context.endpoints.erase(id);
    context.work.goneEndpoints.erase(id);
  }
  removeUnusedGroups(context.groups);
  return expired;
}

}  // namespace sablespur::balancer
