#include "admission/connection_admission.hpp"

#include <algorithm>
#include <stdexcept>

#include "admission/weighted_share.hpp"

namespace sablespur::admission {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double toSeconds(Time time) { return static_cast<double>(time.count()) / kMicrosecondsPerSecond; }
Time fromSeconds(double seconds) { return Time(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond)); }

// Erases entries that reach zero, so that the map has at most as many entries as there are
// connections.
void decrement(std::unordered_map<IpAddress, std::size_t>& counts, const IpAddress& address) {
  const auto it = counts.find(address);
  if (it == counts.end()) return;
  --it->second;
  if (it->second == 0) counts.erase(it);
}

std::size_t countOf(const std::unordered_map<IpAddress, std::size_t>& counts, const IpAddress& address) {
  const auto it = counts.find(address);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

const char* rejectionReasonName(RejectionReason reason) {
  static const char* const names[] = {"none", "full", "group_full", "address_full", "prefix_full", "rate"};
  return names[static_cast<int>(reason)];
}

ConnectionAdmission::ConnectionAdmission(ConnectionAdmissionSettings settings,
                                         std::shared_ptr<const Networks> networks) {
  reload(std::move(settings), std::move(networks));
}

// ---- settings -----------------------------------------------------------------------------------

void ConnectionAdmission::reload(ConnectionAdmissionSettings settings,
                                 std::shared_ptr<const Networks> networks) {
  if (settings.groups.empty() || settings.maxConnections == 0)
    throw std::invalid_argument("connection admission requires a group and maxConnections > 0");
  std::vector<Group> groups = makeGroups(settings);
  const auto assigned = remapAssignments(groups);
  settings_ = std::move(settings);
  networks_ = std::move(networks);
  groups_ = std::move(groups);
  for (Group& group : groups_) refreshGauges(group);
  regroup(assigned);
}

// Returns the new groups, without connections. Counters and token buckets are copied from the old
// groups of the same name.
std::vector<ConnectionAdmission::Group> ConnectionAdmission::makeGroups(
    const ConnectionAdmissionSettings& settings) const {
  std::vector<Group> groups(settings.groups.size());
  for (std::size_t k = 0; k < groups.size(); ++k) {
    Group& group = groups[k];
    group.limits = settings.groups[k];
    group.tokens = group.limits.burst;
    for (const Group& old : groups_) {
      if (old.limits.name != group.limits.name) continue;
      group.counters.admitted = old.counters.admitted;
      group.counters.evicted = old.counters.evicted;
      group.counters.rejected = old.counters.rejected;
      group.tokens = std::min(old.tokens, group.limits.burst);  // a reload does not refill the bucket
      group.tokensAt = old.tokensAt;
      group.nextRetryAt = old.nextRetryAt;
    }
  }
  return groups;
}

// Returns the new group index of each connection whose assigned group still exists by name.
std::unordered_map<ConnectionId, std::size_t> ConnectionAdmission::remapAssignments(
    const std::vector<Group>& groups) const {
  std::unordered_map<ConnectionId, std::size_t> kept;
  for (const auto& [id, connection] : connections_) {
    if (!connection.groupAssigned) continue;
    const std::string& name = groups_[connection.group].limits.name;
    const auto same = std::find_if(groups.begin(), groups.end(),
                                   [&](const Group& group) { return group.limits.name == name; });
    if (same != groups.end()) kept.emplace(id, static_cast<std::size_t>(same - groups.begin()));
  }
  return kept;
}

void ConnectionAdmission::regroup(const std::unordered_map<ConnectionId, std::size_t>& assigned) {
  std::vector<std::pair<Time, ConnectionId>> idle;
  for (auto& [id, connection] : connections_) {
    const auto it = assigned.find(id);
    connection.groupAssigned = it != assigned.end();
    connection.group = connection.groupAssigned ? it->second : groupOf(connection.address);
    addToGroup(connection);
    if (connection.idle) idle.emplace_back(connection.idle->since, id);
  }
  std::sort(idle.begin(), idle.end());
  for (const auto& [since, id] : idle) {
    Connection& connection = connections_[id];
    Group& group = groups_[connection.group];
    connection.idle->position = group.idle.insert(group.idle.end(), id);
    refreshGauges(group);
  }
}

// ---- connections of a group ---------------------------------------------------------------------

std::size_t ConnectionAdmission::groupOf(ConnectionId id) const {
  const auto it = connections_.find(id);
  return it == connections_.end() ? groups_.size() : it->second.group;
}

void ConnectionAdmission::refreshGauges(Group& group) {
  group.counters.idle = group.idle.size();
  group.counters.reserveRemaining =
      group.limits.reserve - std::min(group.limits.reserve, group.counters.connections);
}

void ConnectionAdmission::addToGroup(const Connection& connection) {
  Group& group = groups_[connection.group];
  ++group.counters.connections;
  ++group.byAddress[connection.address];
  ++group.byPrefix[networkOf(connection.address)];
  refreshGauges(group);
}

void ConnectionAdmission::removeFromGroup(const Connection& connection) {
  Group& group = groups_[connection.group];
  --group.counters.connections;
  decrement(group.byAddress, connection.address);
  decrement(group.byPrefix, networkOf(connection.address));
  if (connection.idle) group.idle.erase(connection.idle->position);
  refreshGauges(group);
}

void ConnectionAdmission::remove(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  removeFromGroup(it->second);
  connections_.erase(it);
}

void ConnectionAdmission::markBusy(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || !it->second.idle) return;
  Group& group = groups_[it->second.group];
  group.idle.erase(it->second.idle->position);
  it->second.idle.reset();
  refreshGauges(group);
}

void ConnectionAdmission::markIdle(Time now, ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || it->second.idle) return;
  Group& group = groups_[it->second.group];
  it->second.idle = IdleState{now, group.idle.insert(group.idle.end(), id)};
  refreshGauges(group);
}

void ConnectionAdmission::assignGroup(ConnectionId id, std::size_t newGroup) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || it->second.group == newGroup || newGroup >= groups_.size()) return;
  Connection& connection = it->second;
  removeFromGroup(connection);
  connection.group = newGroup;
  connection.groupAssigned = true;
  addToGroup(connection);
  if (!connection.idle) return;
  Group& group = groups_[newGroup];
  auto next = group.idle.begin();
  while (next != group.idle.end() && connections_.at(*next).idle->since <= connection.idle->since) ++next;
  connection.idle->position = group.idle.insert(next, id);
  refreshGauges(group);
}

// ---- admission ----------------------------------------------------------------------------------

bool ConnectionAdmission::takeToken(Group& group, Time now) {
  const GroupLimits& limits = group.limits;
  if (limits.connectionsPerSecond <= 0) return true;
  const double refill = limits.connectionsPerSecond * toSeconds(now - group.tokensAt);
  group.tokens = std::min(limits.burst, group.tokens + refill);
  group.tokensAt = now;
  if (group.tokens < 1) return false;
  group.tokens -= 1;
  return true;
}

// Gives each rejected client its own retry time. Retry times are spaced by the group's connection
// rate, or, if it has none, by as many per second as the group may have connections.
ConnectionDecision ConnectionAdmission::reject(Group& group, Time now, RejectionReason reason) const {
  ++group.counters.rejected[reason];
  const GroupLimits& limits = group.limits;
  const std::size_t capacity = limits.maxConnections > 0 ? limits.maxConnections : settings_.maxConnections;
  const double perSecond = limits.connectionsPerSecond > 0
                               ? limits.connectionsPerSecond
                               : static_cast<double>(std::max<std::size_t>(capacity, 1));
  const Time first = now + settings_.minRetryAfter;
  const Time last = now + settings_.maxRetryAfter;
  // Beyond maxRetryAfter, retry times start over at minRetryAfter, so no client waits longer.
  if (group.nextRetryAt < first || group.nextRetryAt > last) group.nextRetryAt = first;
  ConnectionDecision decision;
  decision.rejection = reason;
  decision.retryAfter = group.nextRetryAt - now;
  group.nextRetryAt += std::max(fromSeconds(1 / perSecond), Time(1));
  return decision;
}

std::size_t ConnectionAdmission::reservedForOthers(std::size_t group) const {
  std::size_t reserved = 0;
  for (std::size_t k = 0; k < groups_.size(); ++k)
    if (k != group) reserved += groups_[k].counters.reserveRemaining;
  return reserved;
}

bool ConnectionAdmission::hasEvictable(const Group& group, Time now) const {
  return !group.idle.empty() &&
         now - connections_.at(group.idle.front()).idle->since >= settings_.minIdleTime;
}

// Returns the longest idle connection of the group with the largest weighted share. Other groups
// qualify only if they exceed both their reserve and the share that the group of the new connection
// would have with it. The group of the new connection itself always qualifies, as its total does
// not grow.
std::optional<ConnectionId> ConnectionAdmission::evictionCandidate(Time now, std::size_t groupIndex) const {
  const auto share = [](const Group& group, std::size_t connections) {
    return weightedShare(connections, group.limits.weight);
  };
  const Group& ownGroup = groups_[groupIndex];
  const double ownShare = share(ownGroup, ownGroup.counters.connections + 1);
  const Group* best = nullptr;
  double bestShare = 0;
  for (const Group& group : groups_) {
    if (!hasEvictable(group, now)) continue;
    const double groupShare = share(group, group.counters.connections);
    const bool qualifies =
        &group == &ownGroup || (group.counters.connections > group.limits.reserve && groupShare > ownShare);
    if (!qualifies || (best && groupShare <= bestShare)) continue;
    best = &group;
    bestShare = groupShare;
  }
  if (!best) return std::nullopt;
  return best->idle.front();
}

// Checked before the limits of the group, so that a client above its own limit learns of that limit
// and does not consume the group's rate.
RejectionReason ConnectionAdmission::checkAddressLimits(const Group& group, const IpAddress& address) const {
  const GroupLimits& limits = group.limits;
  if (limits.maxPerAddress > 0 && countOf(group.byAddress, address) >= limits.maxPerAddress)
    return RejectionReason::AddressFull;
  if (limits.maxPerPrefix > 0 && countOf(group.byPrefix, networkOf(address)) >= limits.maxPerPrefix)
    return RejectionReason::PrefixFull;
  return RejectionReason::None;
}

// Returns RejectionReason::None if the connection fits, or fits once `evict` (if set) has been
// closed.
RejectionReason ConnectionAdmission::checkCapacity(Time now, std::size_t groupIndex,
                                                   std::optional<ConnectionId>& evict) const {
  const Group& group = groups_[groupIndex];
  if (group.limits.maxConnections > 0 && group.counters.connections >= group.limits.maxConnections) {
    if (!hasEvictable(group, now)) return RejectionReason::GroupFull;
    evict = group.idle.front();
    return RejectionReason::None;
  }
  const bool withinReserve = group.counters.reserveRemaining > 0;
  const std::size_t taken = connections_.size() + (withinReserve ? 0 : reservedForOthers(groupIndex));
  if (taken < maxConnections()) return RejectionReason::None;
  // A group within its reserve gets here only if others were admitted under earlier settings.
  evict = evictionCandidate(now, groupIndex);
  return evict ? RejectionReason::None : RejectionReason::Full;
}

ConnectionDecision ConnectionAdmission::admit(Time now, ConnectionId id, const IpAddress& address,
                                              std::optional<std::size_t> assignedGroup) {
  const std::size_t groupIndex =
      assignedGroup ? std::min(*assignedGroup, groups_.size() - 1) : groupOf(address);
  Group& group = groups_[groupIndex];
  ConnectionDecision decision;
  RejectionReason reason = checkAddressLimits(group, address);
  if (reason == RejectionReason::None) reason = checkCapacity(now, groupIndex, decision.evict);
  if (reason == RejectionReason::None && !takeToken(group, now)) reason = RejectionReason::Rate;
  if (reason != RejectionReason::None) return reject(group, now, reason);
  if (decision.evict) {
    ++groups_[groupOf(*decision.evict)].counters.evicted;
    remove(*decision.evict);
  }
  const Connection connection{groupIndex, address, assignedGroup.has_value(), std::nullopt};
  connections_.emplace(id, connection);
  addToGroup(connection);
  ++group.counters.admitted;
  decision.admitted = true;
  return decision;
}

// ---- eviction -----------------------------------------------------------------------------------

ConnectionId ConnectionAdmission::evictLongestIdle(Group& group) {
  const ConnectionId id = group.idle.front();
  ++group.counters.evicted;
  remove(id);
  return id;
}

ConnectionAdmission::Group* ConnectionAdmission::groupWithLargestShare(Time now) {
  const auto share = [](const Group& group) {
    return weightedShare(group.counters.connections, group.limits.weight);
  };
  Group* largest = nullptr;
  for (Group& group : groups_) {
    if (!hasEvictable(group, now) || group.counters.connections <= group.limits.reserve) continue;
    if (!largest || share(group) > share(*largest)) largest = &group;
  }
  return largest;
}

std::vector<ConnectionId> ConnectionAdmission::evictSurplus(Time now, std::size_t count) {
  std::vector<ConnectionId> evicted;
  for (Group& group : groups_) {
    const std::size_t limit = group.limits.maxConnections;
    if (limit == 0) continue;
    while (evicted.size() < count && group.counters.connections > limit && hasEvictable(group, now))
      evicted.push_back(evictLongestIdle(group));
  }
  while (evicted.size() < count && connections_.size() > maxConnections()) {
    Group* const group = groupWithLargestShare(now);
    if (!group) break;
    evicted.push_back(evictLongestIdle(*group));
  }
  return evicted;
}

std::vector<ConnectionId> ConnectionAdmission::evictForExhaustion(Time now, std::size_t count) {
  std::vector<ConnectionId> evicted;
  while (evicted.size() < count) {
    Group* const group = groupWithLargestShare(now);
    if (!group) break;
    evicted.push_back(evictLongestIdle(*group));
  }
  return evicted;
}

}  // namespace sablespur::admission
