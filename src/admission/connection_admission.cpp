#include "admission/connection_admission.hpp"

#include <algorithm>
#include <stdexcept>

namespace sablespur::admission {
namespace {

double seconds(Time t) { return static_cast<double>(t.count()) / 1e6; }
Time time(double s) { return Time(static_cast<std::int64_t>(s * 1e6)); }
void down(std::unordered_map<IpAddress, std::size_t>& counts, const IpAddress& a) {
  const auto it = counts.find(a);
  if (it != counts.end() && --it->second == 0)
    counts.erase(it);  // guards the memory: who is gone is forgotten
}
std::size_t at(const std::unordered_map<IpAddress, std::size_t>& counts, const IpAddress& a) {
  const auto it = counts.find(a);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

const char* rejectionReasonName(RejectionReason w) {
  static const char* const names[] = {"none", "full", "group_full", "address_full", "prefix_full", "rate"};
  return names[static_cast<int>(w)];
}

ConnectionAdmission::ConnectionAdmission(ConnectionAdmissionSettings s, std::shared_ptr<const Networks> n) {
  reload(std::move(s), std::move(n));
}

void ConnectionAdmission::reload(ConnectionAdmissionSettings s, std::shared_ptr<const Networks> n) {
  if (s.groups.empty() || s.maxConnections == 0)
    throw std::invalid_argument("a door without a group or without room");
  std::vector<Group> groups(s.groups.size());
  for (std::size_t k = 0; k < groups.size(); ++k) {
    Group& g = groups[k];
    g.limits = s.groups[k];
    g.tokens = g.limits.burst;
    for (const Group& old : groups_) {
      if (old.limits.name != g.limits.name) continue;
      g.count.admitted = old.count.admitted;
      g.count.evicted = old.count.evicted;
      g.count.rejected = old.count.rejected;
      g.count.refusing = old.count.refusing;
      g.tokens = std::min(old.tokens, g.limits.burst);  // a reload is no way to a fresh burst
      g.filled = old.filled;
      g.nextSlot = old.nextSlot;
    }
  }
  // Whoever was put into a group by name stays there if it still is one; the others go by their address.
  const auto named = [&](const Connection& c) {
    for (std::size_t k = 0; c.named && k < groups.size(); ++k)
      if (groups[k].limits.name == groups_[c.group].limits.name) return k;
    return groups.size();
  };
  std::unordered_map<ConnectionId, std::size_t> stays;
  for (const auto& [id, c] : connections_)
    if (const std::size_t k = named(c); k < groups.size()) stays.emplace(id, k);
  settings_ = std::move(s);
  networks_ = std::move(n);
  groups_ = std::move(groups);
  for (Group& g : groups_) count(g);
  std::vector<std::pair<Time, ConnectionId>> idle;
  for (auto& [id, c] : connections_) {
    const auto stay = stays.find(id);
    c.named = stay != stays.end();
    c.group = c.named ? stay->second : groupOf(c.address);
    enter(id, c);
    if (c.idle) idle.emplace_back(c.since, id);
  }
  std::sort(idle.begin(), idle.end());
  for (const auto& [since, id] : idle) {
    Connection& c = connections_[id];
    Group& g = groups_[c.group];
    c.place = g.idle.insert(g.idle.end(), id);
    count(g);
  }
}

std::size_t ConnectionAdmission::groupOf(ConnectionId id) const {
  const auto it = connections_.find(id);
  return it == connections_.end() ? groups_.size() : it->second.group;
}

void ConnectionAdmission::count(Group& g) {
  g.count.idle = g.idle.size();
  g.count.reserveRemaining = g.limits.reserve - std::min(g.limits.reserve, g.count.connections);
}
void ConnectionAdmission::enter(ConnectionId, Connection& c) {
  Group& g = groups_[c.group];
  ++g.count.connections;
  ++g.byAddress[c.address];
  ++g.byPrefix[prefix(c.address)];
  count(g);
}
void ConnectionAdmission::leave(Connection& c) {
  Group& g = groups_[c.group];
  --g.count.connections;
  down(g.byAddress, c.address);
  down(g.byPrefix, prefix(c.address));
  if (c.idle) g.idle.erase(c.place);
  count(g);
}

bool ConnectionAdmission::rate(Group& g, Time now) {
  if (g.limits.connectionsPerSecond <= 0) return true;
  g.tokens = std::min(g.limits.burst, g.tokens + g.limits.connectionsPerSecond * seconds(now - g.filled));
  g.filled = now;
  if (g.tokens < 1) return false;
  g.tokens -= 1;
  return true;
}

// Each is asked to come back in a slot of its own: at the group's rate, or as many within a second as it may
// hold.
ConnectionDecision ConnectionAdmission::refuse(Group& g, Time now, RejectionReason why) {
  ++g.count.rejected[why];
  g.count.refusing = true;
  const double perSecond =
      g.limits.connectionsPerSecond > 0
          ? g.limits.connectionsPerSecond
          : static_cast<double>(std::max<std::size_t>(
                g.limits.maxConnections > 0 ? g.limits.maxConnections : settings_.maxConnections, 1));
  const Time first = now + settings_.minRetryAfter, last = now + settings_.maxRetryAfter;
  // Beyond the longest wait the slots begin anew: what is asked of clients is bounded.
  if (g.nextSlot < first || g.nextSlot > last) g.nextSlot = first;
  ConnectionDecision w;
  w.rejection = why;
  w.retryAfter = g.nextSlot - now;
  g.nextSlot += std::max(time(1 / perSecond), Time(1));
  return w;
}

std::size_t ConnectionAdmission::keptForOthers(std::size_t group) const {
  std::size_t kept = 0;
  for (std::size_t k = 0; k < groups_.size(); ++k)
    if (k != group) kept += groups_[k].count.reserveRemaining;
  return kept;
}

// Of the group that holds most by its weight, beyond its reserve and beyond what the newcomer's would hold
// then: the one that has been idle longest. The newcomer's own group may swap one for another.
ConnectionId ConnectionAdmission::victim(Time now, std::size_t group) const {
  const auto share = [&](std::size_t k, std::size_t held) {
    return static_cast<double>(held) / std::max(groups_[k].limits.weight, 1e-9);
  };
  const double mine = share(group, groups_[group].count.connections + 1);
  const Group* best = nullptr;
  double most = 0;
  for (std::size_t k = 0; k < groups_.size(); ++k) {
    const Group& g = groups_[k];
    if (g.idle.empty() || now - connections_.at(g.idle.front()).since < settings_.minIdleTime) continue;
    const bool own = k == group;
    const double theirs = share(k, g.count.connections);
    if (!own && (g.count.connections <= g.limits.reserve || theirs <= mine)) continue;
    if (!best || theirs > most) {
      best = &g;
      most = theirs;
    }
  }
  return best ? best->idle.front() : 0;
}

ConnectionDecision ConnectionAdmission::admit(Time now, ConnectionId id, const IpAddress& from,
                                              std::optional<std::size_t> group) {
  const std::size_t k = group ? std::min(*group, groups_.size() - 1) : groupOf(from);
  Group& g = groups_[k];
  const GroupLimits& l = g.limits;
  // The narrowest bound first: an abuser is told of its own, and takes nothing from its neighbours' rate.
  if (l.maxPerAddress > 0 && at(g.byAddress, from) >= l.maxPerAddress)
    return refuse(g, now, RejectionReason::AddressFull);
  if (l.maxPerPrefix > 0 && at(g.byPrefix, prefix(from)) >= l.maxPerPrefix)
    return refuse(g, now, RejectionReason::PrefixFull);
  ConnectionDecision w;
  const bool groupFull = l.maxConnections > 0 && g.count.connections >= l.maxConnections;
  if (groupFull) {
    const bool spare =
        !g.idle.empty() && now - connections_.at(g.idle.front()).since >= settings_.minIdleTime;
    if (!spare) return refuse(g, now, RejectionReason::GroupFull);
    w.evict = g.idle.front();
  } else if (connections_.size() + keptForOthers(k) >= maxConnections() && g.count.reserveRemaining == 0) {
    w.evict = victim(now, k);
    if (w.evict == 0) return refuse(g, now, RejectionReason::Full);
  } else if (connections_.size() >= maxConnections()) {
    w.evict = victim(now, k);  // its reserve is owed, but others were let in by earlier settings
    if (w.evict == 0) return refuse(g, now, RejectionReason::Full);
  }
  if (!rate(g, now)) return refuse(g, now, RejectionReason::Rate);
  if (w.evict != 0) {
    Connection& c = connections_[w.evict];
    ++groups_[c.group].count.evicted;
    leave(c);
    connections_.erase(w.evict);
  }
  Connection c;
  c.group = k;
  c.address = from;
  c.named = group.has_value();
  enter(id, connections_.emplace(id, c).first->second);
  ++g.count.admitted;
  g.count.refusing = false;
  w.admitted = true;
  return w;
}

void ConnectionAdmission::remove(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  leave(it->second);
  connections_.erase(it);
}

void ConnectionAdmission::markBusy(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || !it->second.idle) return;
  Group& g = groups_[it->second.group];
  g.idle.erase(it->second.place);
  it->second.idle = false;
  count(g);
}

void ConnectionAdmission::markIdle(Time now, ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || it->second.idle) return;
  Group& g = groups_[it->second.group];
  it->second.idle = true;
  it->second.since = now;
  it->second.place = g.idle.insert(g.idle.end(), id);
  count(g);
}

void ConnectionAdmission::assignGroup(ConnectionId id, std::size_t group) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || it->second.group == group || group >= groups_.size()) return;
  Connection& c = it->second;
  leave(c);
  c.group = group;
  c.named = true;
  enter(id, c);
  if (!c.idle) return;
  // Into its place by time: the longest idle stands first.
  Group& g = groups_[group];
  auto at = g.idle.begin();
  while (at != g.idle.end() && connections_.at(*at).since <= c.since) ++at;
  c.place = g.idle.insert(at, id);
  count(g);
}

void ConnectionAdmission::askBack(Group& g, std::vector<ConnectionId>& all) {
  const ConnectionId id = g.idle.front();
  ++g.count.evicted;
  remove(id);
  all.push_back(id);
}

ConnectionAdmission::Group* ConnectionAdmission::widest(Time now) {
  Group* best = nullptr;
  const auto share = [](const Group& g) {
    return static_cast<double>(g.count.connections) / std::max(g.limits.weight, 1e-9);
  };
  for (Group& g : groups_)
    if (!g.idle.empty() && now - connections_.at(g.idle.front()).since >= settings_.minIdleTime &&
        g.count.connections > g.limits.reserve && (!best || share(g) > share(*best)))
      best = &g;
  return best;
}

std::vector<ConnectionId> ConnectionAdmission::evictSurplus(Time now, std::size_t most) {
  std::vector<ConnectionId> all;
  for (Group& g : groups_)
    while (all.size() < most && g.limits.maxConnections > 0 &&
           g.count.connections > g.limits.maxConnections && !g.idle.empty() &&
           now - connections_.at(g.idle.front()).since >= settings_.minIdleTime)
      askBack(g, all);
  while (all.size() < most && connections_.size() > this->maxConnections()) {
    Group* const g = widest(now);
    if (!g) break;
    askBack(*g, all);
  }
  return all;
}

std::vector<ConnectionId> ConnectionAdmission::evictForExhaustion(Time now, std::size_t most) {
  std::vector<ConnectionId> all;
  while (all.size() < most) {
    Group* const g = widest(now);
    if (!g) break;
    askBack(*g, all);
  }
  return all;
}

}  // namespace sablespur::admission
