#include "discovery/endpoint_table.hpp"

#include <algorithm>
#include <cmath>
#include <set>
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

double EndpointTable::penalty(const Entry& e, Time now) const {
  if (e.penalty == 0) return 0;
  const double halves = static_cast<double>((now - e.penaltyAt).count()) /
                        static_cast<double>(std::max<std::int64_t>(policy_.halfLife.count(), 1));
  return e.penalty * std::exp2(-halves);
}

void EndpointTable::appear(Entry& e, Time now, bool first) {
  e.present = true;
  e.since = now;
  e.startedMs = first && e.withdrawals == 0 ? 0 : unixMs(now);
  const double p = penalty(e, now);
  e.held = policy_.dampens && p >= policy_.suppressAt;
  if (!e.held) return;
  const double halves = std::log2(p / policy_.reuseAt);
  const Time wait(static_cast<std::int64_t>(static_cast<double>(policy_.halfLife.count()) * halves));
  e.heldUntil = now + std::clamp(wait, Time(0), policy_.mostHeld);
}

void EndpointTable::withdraw(Entry& e, Time now) {
  // No higher than what lets it back after mostHeld: guards against a flap of hours that shuts a server out
  // for hours.
  const double most =
      policy_.reuseAt * std::exp2(static_cast<double>(policy_.mostHeld.count()) /
                                  static_cast<double>(std::max<std::int64_t>(policy_.halfLife.count(), 1)));
  e.penalty = std::min(penalty(e, now) + 1, std::max(most, 1.0));
  e.penaltyAt = now;
  e.present = false;
  e.held = false;
  e.since = now;
  ++e.withdrawals;
}

void EndpointTable::found(Time now, std::vector<DiscoveredEndpoint> all, bool first) {
  first = first || !listed_;
  whole_ = whole_ || !listed_;
  listed_ = dirty_ = true;
  registry_ = expired_ = false;
  toldAt_ = now;
  failingSince_.reset();

  std::set<std::string> names;
  for (const DiscoveredEndpoint& i : all) names.insert(i.name);
  std::vector<DiscoveredEndpoint> leaving;
  std::vector<std::int64_t> leavingStarts;
  for (auto& [name, e] : entries_)
    if (e.present && names.count(name) == 0) {
      leaving.push_back(e.instance);
      leavingStarts.push_back(e.startedMs);
      withdraw(e, now);
    }
  for (DiscoveredEndpoint& i : all) {
    Entry& e = entries_[i.name];
    if (!e.present) {
      appear(e, now, first);
      // Renamed: guards against a fleet that all counts as cold since its zone was published anew.
      for (std::size_t k = 0; k < leaving.size(); ++k)
        if (leaving[k].address == i.address && leaving[k].group == i.group) e.startedMs = leavingStarts[k];
    } else if (e.instance.address != i.address || e.instance.group != i.group) {
      e.since = now;  // another server under the old name
      e.startedMs = first ? 0 : unixMs(now);
    }
    e.instance = std::move(i);
  }
  forget(now);
}

void EndpointTable::changed(Time now, EndpointList list) {
  registry_ = listed_ = true;
  expired_ = false;
  toldAt_ = now;
  failingSince_.reset();
  // Guards against a list that is older than what was told, as after a move or a return of discovery: what
  // has begun to leave does not come back by it, unless it has started anew.
  for (DiscoveredEndpoint& i : list.instances) {
    const auto known = list.generation < generation_ ? entries_.find(i.name) : entries_.end();
    if (known != entries_.end() && known->second.instance.state == Lifecycle::Draining &&
        i.state == Lifecycle::Ready && i.startedMs <= known->second.instance.startedMs)
      i.state = Lifecycle::Draining;
  }
  generation_ = list.generation;
  if (list.reset)
    for (auto it = entries_.begin(); it != entries_.end();) {
      const bool stays = std::any_of(list.instances.begin(), list.instances.end(),
                                     [&](const DiscoveredEndpoint& i) { return i.name == it->first; });
      it = stays ? std::next(it) : entries_.erase(it);
    }
  for (const DiscoveredEndpoint& i : list.instances) {
    if (i.state == Lifecycle::Gone) {
      entries_.erase(i.name);
      continue;
    }
    Entry& e = entries_[i.name];
    if (!e.present) e.since = now;
    e.present = e.toldEngine = true;
    e.instance = e.told = i;
  }
  raw_.push_back(std::move(list));
}

void EndpointTable::failed(Time now, std::string why) {
  if (!failingSince_) failingSince_ = now;
  why_ = std::move(why);
}

std::optional<EndpointTable::Time> EndpointTable::next() const {
  std::optional<Time> at;
  const auto sooner = [&](Time t) { at = at ? std::min(*at, t) : t; };
  for (const auto& [name, e] : entries_)
    if (e.present && e.held) sooner(e.heldUntil);
  if (failingSince_ && toldAt_ && policy_.keepFor > Time(0) && !expired_) sooner(*toldAt_ + policy_.keepFor);
  return at;
}

// Clamped once and then kept: told as a later now each time, the same start would be a new one each time.
std::int64_t EndpointTable::startedNoLaterThan(Entry& e, Time now) {
  const std::int64_t stamp = e.instance.startedMs;
  if (stamp == e.aheadStampMs) return e.aheadToldMs;
  if (stamp <= unixMs(now)) return stamp;
  e.aheadStampMs = stamp;
  e.aheadToldMs = unixMs(now);
  return e.aheadToldMs;
}

std::optional<EndpointList> EndpointTable::take(Time now) {
  if (!raw_.empty()) {
    EndpointList list = std::move(raw_.front());
    raw_.pop_front();
    return list;
  }
  if (registry_) return std::nullopt;
  const auto due = next();
  if (!dirty_ && !(due && *due <= now)) return std::nullopt;
  if (failingSince_ && toldAt_ && policy_.keepFor > Time(0) && now >= *toldAt_ + policy_.keepFor)
    expired_ = true;
  dirty_ = false;

  // Who comes first at an address: the one that is there longest, by name among equals.
  std::vector<std::pair<const std::string*, Entry*>> order;
  for (auto& [name, e] : entries_) order.emplace_back(&name, &e);
  std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    if (a.second->toldEngine != b.second->toldEngine) return a.second->toldEngine;
    return a.second->since < b.second->since;
  });
  std::vector<Address> taken;
  EndpointList list;
  for (auto& [name, e] : order) {
    e->leftOut = nullptr;
    if (e->held && now >= e->heldUntil) e->held = false;
    if (!e->present) continue;
    if (expired_)
      e->leftOut = "the list is too old";
    else if (e->held)
      e->leftOut = "it flaps";
    else if (std::find(taken.begin(), taken.end(), e->instance.address) != taken.end())
      e->leftOut = "another has its address";
    else
      taken.push_back(e->instance.address);
  }
  for (auto& [name, e] : order) {
    const bool wanted = e->present && !e->leftOut;
    DiscoveredEndpoint next = e->instance;
    next.startedMs = next.startedMs > 0 ? startedNoLaterThan(*e, now) : e->startedMs;
    // An id stands for one server: with another address or group it is another server, under a name of its
    // own.
    const bool other =
        !e->told.name.empty() && (next.address != e->told.address || next.group != e->told.group);
    if (e->toldEngine && (!wanted || other)) {
      list.instances.push_back(gone(e->told));
      e->toldEngine = false;
    }
    if (!wanted) continue;
    if (other) ++e->incarnation;
    next.name = e->incarnation > 1 ? *name + "#" + std::to_string(e->incarnation) : *name;
    if (e->toldEngine && next == e->told) continue;
    e->told = next;
    e->toldEngine = true;
    list.instances.push_back(std::move(next));
  }
  list.reset = whole_;
  if (list.instances.empty() && !whole_) return std::nullopt;
  whole_ = false;
  list.generation = ++generation_;
  return list;
}

// Guards against growth where instances come under names that are always new.
void EndpointTable::forget(Time now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& e = it->second;
    const bool old = !e.present && !e.toldEngine && penalty(e, now) < kNoPenalty;
    it = old ? entries_.erase(it) : std::next(it);
  }
}

EndpointTable::View EndpointTable::view(Time now) const {
  View v{{}, toldAt_, failingSince_, failingSince_ ? why_ : std::string()};
  for (const auto& [name, e] : entries_) {
    if (!e.present && !e.toldEngine && penalty(e, now) < kNoPenalty) continue;
    Row row{e.instance, e.leftOut ? e.leftOut : "", penalty(e, now), e.withdrawals};
    if (!e.present) {
      row.instance.state = Lifecycle::Gone;
      row.leftOut = "withdrawn";
    } else if (row.instance.startedMs == 0) {
      row.instance.startedMs = e.startedMs;
    }
    v.rows.push_back(std::move(row));
  }
  return v;
}

}  // namespace sablespur
