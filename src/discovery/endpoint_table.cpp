#include "discovery/endpoint_table.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <utility>

namespace sablespur {

using balancer::Lifecycle;

namespace {

// What is left of a name that has gone for good: its penalty has all but worn off.
constexpr double kNoPenalty = 0.02;

std::int64_t unixMs(EndpointTable::Time t) { return t.count() / 1000; }

DiscoveredEndpoint gone(DiscoveredEndpoint i) {
  i.state = Lifecycle::Gone;
  return i;
}

}  // namespace

double EndpointTable::currentPenalty(const Entry& e, Time now) const {
  if (e.penalty == 0) return 0;
  const double halves = static_cast<double>((now - e.penaltyUpdatedAt).count()) /
                        static_cast<double>(std::max<std::int64_t>(policy_.halfLife.count(), 1));
  return e.penalty * std::exp2(-halves);
}

void EndpointTable::recordAppearance(Entry& e, Time now, bool first) {
  e.present = true;
  e.presenceChangedAt = now;
  e.inferredStartMs = first && e.withdrawals == 0 ? 0 : unixMs(now);
  const double p = currentPenalty(e, now);
  e.suppressed = policy_.flapDamping && p >= policy_.suppressThreshold;
  if (!e.suppressed) return;
  const double halves = std::log2(p / policy_.reuseThreshold);
  const Time wait(static_cast<std::int64_t>(static_cast<double>(policy_.halfLife.count()) * halves));
  e.suppressedUntil = now + std::clamp(wait, Time(0), policy_.maxSuppression);
}

void EndpointTable::recordWithdrawal(Entry& e, Time now) {
  // No higher than what lets it back after mostHeld: guards against a flap of hours that shuts a server out
  // for hours.
  const double most = policy_.reuseThreshold *
                      std::exp2(static_cast<double>(policy_.maxSuppression.count()) /
                                static_cast<double>(std::max<std::int64_t>(policy_.halfLife.count(), 1)));
  e.penalty = std::min(currentPenalty(e, now) + 1, std::max(most, 1.0));
  e.penaltyUpdatedAt = now;
  e.present = false;
  e.suppressed = false;
  e.presenceChangedAt = now;
  ++e.withdrawals;
}

void EndpointTable::applySnapshot(Time now, std::vector<DiscoveredEndpoint> all, bool first) {
  first = first || !hasList_;
  publishWholeList_ = publishWholeList_ || !hasList_;
  hasList_ = changed_ = true;
  fromRegistry_ = expired_ = false;
  lastUpdate_ = now;
  failingSince_.reset();

  std::set<std::string> names;
  for (const DiscoveredEndpoint& i : all) names.insert(i.name);
  std::map<std::pair<std::string, balancer::GroupId>, std::int64_t> leavingStarts;
  for (auto& [name, e] : entries_)
    if (e.present && names.count(name) == 0) {
      leavingStarts[{e.endpoint.address.text(), e.endpoint.group}] = e.inferredStartMs;
      recordWithdrawal(e, now);
    }
  for (DiscoveredEndpoint& i : all) {
    Entry& e = entries_[i.name];
    if (!e.present) {
      recordAppearance(e, now, first);
      // Renamed: guards against a fleet that all counts as cold since its zone was published anew.
      const auto renamed = leavingStarts.find({i.address.text(), i.group});
      if (renamed != leavingStarts.end()) e.inferredStartMs = renamed->second;
    } else if (e.endpoint.address != i.address || e.endpoint.group != i.group) {
      e.presenceChangedAt = now;  // another server under the old name
      e.inferredStartMs = first ? 0 : unixMs(now);
    }
    e.endpoint = std::move(i);
  }
  removeExpired(now);
}

void EndpointTable::applyUpdate(Time now, EndpointList list) {
  fromRegistry_ = hasList_ = true;
  expired_ = false;
  lastUpdate_ = now;
  failingSince_.reset();
  // Guards against a list that is older than what was told, as after a move or a return of discovery: what
  // has begun to leave does not come back by it, unless it has started anew.
  for (DiscoveredEndpoint& i : list.instances) {
    const auto known = list.generation < generation_ ? entries_.find(i.name) : entries_.end();
    if (known != entries_.end() && known->second.endpoint.state == Lifecycle::Draining &&
        i.state == Lifecycle::Ready && i.startedMs <= known->second.endpoint.startedMs)
      i.state = Lifecycle::Draining;
  }
  generation_ = list.generation;
  if (list.reset) {
    std::set<std::string_view> names;
    for (const DiscoveredEndpoint& i : list.instances) names.insert(i.name);
    for (auto it = entries_.begin(); it != entries_.end();)
      it = names.count(it->first) > 0 ? std::next(it) : entries_.erase(it);
  }
  for (const DiscoveredEndpoint& i : list.instances) {
    if (i.state == Lifecycle::Gone) {
      entries_.erase(i.name);
      continue;
    }
    Entry& e = entries_[i.name];
    if (!e.present) e.presenceChangedAt = now;
    e.present = e.published = true;
    e.endpoint = e.lastPublished = i;
  }
  registryUpdates_.push_back(std::move(list));
}

void EndpointTable::recordFailure(Time now, std::string why) {
  if (!failingSince_) failingSince_ = now;
  lastError_ = std::move(why);
}

std::optional<EndpointTable::Time> EndpointTable::nextDeadline() const {
  std::optional<Time> at;
  const auto sooner = [&](Time t) { at = at ? std::min(*at, t) : t; };
  for (const auto& [name, e] : entries_)
    if (e.present && e.suppressed) sooner(e.suppressedUntil);
  if (failingSince_ && lastUpdate_ && policy_.maxListAge > Time(0) && !expired_)
    sooner(*lastUpdate_ + policy_.maxListAge);
  return at;
}

// Clamped once and then kept: told as a later now each time, the same start would be a new one each time.
std::int64_t EndpointTable::clampedStart(Entry& e, Time now) {
  const std::int64_t stamp = e.endpoint.startedMs;
  if (stamp == e.futureStartMs) return e.clampedStartMs;
  if (stamp <= unixMs(now)) return stamp;
  e.futureStartMs = stamp;
  e.clampedStartMs = unixMs(now);
  return e.clampedStartMs;
}

std::optional<EndpointList> EndpointTable::nextUpdate(Time now) {
  if (!registryUpdates_.empty()) {
    EndpointList list = std::move(registryUpdates_.front());
    registryUpdates_.pop_front();
    return list;
  }
  if (fromRegistry_) return std::nullopt;
  const auto due = nextDeadline();
  if (!changed_ && !(due && *due <= now)) return std::nullopt;
  if (failingSince_ && lastUpdate_ && policy_.maxListAge > Time(0) &&
      now >= *lastUpdate_ + policy_.maxListAge)
    expired_ = true;
  changed_ = false;

  // Who comes first at an address: the one that is there longest, by name among equals.
  std::vector<std::pair<const std::string*, Entry*>> order;
  for (auto& [name, e] : entries_) order.emplace_back(&name, &e);
  std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    if (a.second->published != b.second->published) return a.second->published;
    return a.second->presenceChangedAt < b.second->presenceChangedAt;
  });
  std::set<std::string> taken;  // addresses
  EndpointList list;
  for (auto& [name, e] : order) {
    e->exclusionReason = nullptr;
    if (e->suppressed && now >= e->suppressedUntil) e->suppressed = false;
    if (!e->present) continue;
    if (expired_)
      e->exclusionReason = "the list is too old";
    else if (e->suppressed)
      e->exclusionReason = "it flaps";
    else if (!taken.insert(e->endpoint.address.text()).second)
      e->exclusionReason = "another has its address";
  }
  for (auto& [name, e] : order) {
    const bool wanted = e->present && !e->exclusionReason;
    DiscoveredEndpoint next = e->endpoint;
    next.startedMs = next.startedMs > 0 ? clampedStart(*e, now) : e->inferredStartMs;
    // An id stands for one server: with another address or group it is another server, under a name of its
    // own.
    const bool other = !e->lastPublished.name.empty() &&
                       (next.address != e->lastPublished.address || next.group != e->lastPublished.group);
    if (e->published && (!wanted || other)) {
      list.instances.push_back(gone(e->lastPublished));
      e->published = false;
    }
    if (!wanted) continue;
    if (other) ++e->incarnation;
    next.name = e->incarnation > 1 ? *name + "#" + std::to_string(e->incarnation) : *name;
    if (e->published && next == e->lastPublished) continue;
    e->lastPublished = next;
    e->published = true;
    list.instances.push_back(std::move(next));
  }
  list.reset = publishWholeList_;
  if (list.instances.empty() && !publishWholeList_) return std::nullopt;
  publishWholeList_ = false;
  list.generation = ++generation_;
  return list;
}

// Guards against growth where instances come under names that are always new.
void EndpointTable::removeExpired(Time now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& e = it->second;
    const bool old = !e.present && !e.published && currentPenalty(e, now) < kNoPenalty;
    it = old ? entries_.erase(it) : std::next(it);
  }
}

EndpointTable::View EndpointTable::view(Time now) const {
  View v{{}, lastUpdate_, failingSince_, failingSince_ ? lastError_ : std::string()};
  for (const auto& [name, e] : entries_) {
    if (!e.present && !e.published && currentPenalty(e, now) < kNoPenalty) continue;
    Row row{e.endpoint, e.exclusionReason ? e.exclusionReason : "", currentPenalty(e, now), e.withdrawals};
    if (!e.present) {
      row.endpoint.state = Lifecycle::Gone;
      row.exclusionReason = "withdrawn";
    } else if (row.endpoint.startedMs == 0) {
      row.endpoint.startedMs = e.inferredStartMs;
    }
    v.rows.push_back(std::move(row));
  }
  return v;
}

}  // namespace sablespur
