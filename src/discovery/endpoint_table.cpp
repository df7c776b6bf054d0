#include "discovery/endpoint_table.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace sablespur {

using balancer::Lifecycle;

namespace {

// A withdrawn name whose penalty has decayed to this is forgotten.
constexpr double kNegligiblePenalty = 0.02;

// How long an older list cannot bring back one that has left, and how many of them are remembered.
constexpr EndpointTable::Time kTombstoneRetention = std::chrono::minutes(10);
constexpr std::size_t kMaxTombstones = 8192;

std::int64_t unixMs(EndpointTable::Time time) { return time.count() / 1000; }

DiscoveredEndpoint asGone(DiscoveredEndpoint endpoint) {
  endpoint.state = Lifecycle::Gone;
  return endpoint;
}

double halfLives(EndpointTable::Time span, const EndpointTablePolicy& policy) {
  return static_cast<double>(span.count()) /
         static_cast<double>(std::max<std::int64_t>(policy.halfLife.count(), 1));
}

}  // namespace

double EndpointTable::currentPenalty(const Entry& entry, Time now) const {
  if (entry.flaps.penalty == 0) return 0;
  return entry.flaps.penalty * std::exp2(-halfLives(now - entry.flaps.penaltyUpdatedAt, policy_));
}

void EndpointTable::recordAppearance(Entry& entry, Time now, bool first) {
  entry.present = true;
  entry.presenceChangedAt = now;
  entry.inferredStartMs = first && entry.flaps.withdrawals == 0 ? 0 : unixMs(now);
  entry.flaps.suppressedUntil.reset();
  const double penalty = currentPenalty(entry, now);
  if (!policy_.flapDamping || penalty < policy_.suppressThreshold) return;
  const double decay = std::log2(penalty / policy_.reuseThreshold);
  const Time wait(static_cast<std::int64_t>(static_cast<double>(policy_.halfLife.count()) * decay));
  entry.flaps.suppressedUntil = now + std::clamp(wait, Time(0), policy_.maxSuppression);
}

void EndpointTable::recordWithdrawal(Entry& entry, Time now) {
  // RFC 2439 section 4.2: a ceiling, from which the penalty decays to reuseThreshold within maxSuppression.
  // Else hours of flapping would exclude a server for hours.
  const double ceiling = policy_.reuseThreshold * std::exp2(halfLives(policy_.maxSuppression, policy_));
  entry.flaps.penalty = std::min(currentPenalty(entry, now) + 1, std::max(ceiling, 1.0));
  entry.flaps.penaltyUpdatedAt = now;
  entry.flaps.suppressedUntil.reset();
  ++entry.flaps.withdrawals;
  entry.present = false;
  entry.presenceChangedAt = now;
}

void EndpointTable::recordList(Time now) {
  hasList_ = true;
  expired_ = false;
  lastUpdate_ = now;
  failingSince_.reset();
}

void EndpointTable::applySnapshot(Time now, std::vector<DiscoveredEndpoint> all, bool first) {
  first = first || !hasList_;
  publishWholeList_ = publishWholeList_ || !hasList_;
  recordList(now);
  fromRegistry_ = false;
  changed_ = true;

  std::set<std::string_view> listed;
  for (const DiscoveredEndpoint& endpoint : all) listed.insert(endpoint.name);
  // Starts of the servers whose names are withdrawn, by what a renamed server keeps.
  std::map<std::pair<std::string, balancer::GroupId>, std::int64_t> withdrawnStarts;
  for (auto& [name, entry] : entries_) {
    if (!entry.present || listed.count(name) > 0) continue;
    withdrawnStarts[{entry.endpoint.address.text(), entry.endpoint.group}] = entry.inferredStartMs;
    recordWithdrawal(entry, now);
  }
  for (DiscoveredEndpoint& endpoint : all) {
    Entry& entry = entries_[endpoint.name];
    if (!entry.present) {
      recordAppearance(entry, now, first);
      // Renamed. Else a fleet would count as cold because its zone was published anew.
      const auto renamed = withdrawnStarts.find({endpoint.address.text(), endpoint.group});
      if (renamed != withdrawnStarts.end()) entry.inferredStartMs = renamed->second;
    } else if (entry.endpoint.address != endpoint.address || entry.endpoint.group != endpoint.group) {
      entry.presenceChangedAt = now;  // another server under the old name
      entry.inferredStartMs = first ? 0 : unixMs(now);
    }
    entry.endpoint = std::move(endpoint);
  }
  removeExpired(now);
}

void EndpointTable::adoptKnown(Time now, const EndpointList& known) {
  generation_ = known.generation;
  newestGeneration_ = known.generation;
  newestListAt_ = now;
  for (const DiscoveredEndpoint& endpoint : known.instances) {
    if (endpoint.state == Lifecycle::Gone) continue;
    Entry& entry = entries_[endpoint.name];
    entry.presenceChangedAt = now;
    entry.present = true;
    entry.published = true;
    entry.endpoint = endpoint;
    entry.lastPublished = endpoint;
    entry.generation = known.generation;
  }
}

void EndpointTable::applyUpdate(Time now, EndpointList list) {
  recordList(now);
  fromRegistry_ = true;
  removeOldTombstones(now);
  if (list.generation >= newestGeneration_ || startsAnotherHistory(list)) {
    newestGeneration_ = list.generation;
    newestListAt_ = now;
  }
  dropContradictions(list);
  keepDraining(list);
  if (list.reset) removeUnlisted(now, list);
  generation_ = list.generation;
  for (const DiscoveredEndpoint& endpoint : list.instances) {
    const auto known = entries_.find(endpoint.name);
    if (endpoint.state == Lifecycle::Gone) {
      if (known == entries_.end()) continue;
      recordLeft(now, endpoint.name, known->second, list.generation);
      entries_.erase(known);
      continue;
    }
    tombstones_.erase(endpoint.name);
    Entry& entry = entries_[endpoint.name];
    const bool staysDraining = entry.present && entry.generation > list.generation &&
                               entry.endpoint.state == Lifecycle::Draining &&
                               endpoint.startedMs <= entry.endpoint.startedMs;
    if (!entry.present) entry.presenceChangedAt = now;
    entry.present = true;
    entry.published = true;
    entry.endpoint = endpoint;
    entry.lastPublished = endpoint;
    if (!staysDraining) entry.generation = list.generation;
  }
  registryUpdates_.push_back(std::move(list));
}

// Whether a list with a lower generation than the newest one cannot be an earlier list of the same registry.
bool EndpointTable::startsAnotherHistory(const EndpointList& list) const {
  std::set<std::string_view> listed;
  bool hasReady = false;
  for (const DiscoveredEndpoint& endpoint : list.instances) {
    listed.insert(endpoint.name);
    const auto known = entries_.find(endpoint.name);
    const bool startsLater = known != entries_.end() && list.generation < known->second.generation &&
                             endpoint.startedMs > known->second.endpoint.startedMs;
    if (startsLater) return true;
    hasReady =
        hasReady || (endpoint.state == Lifecycle::Ready && !contradictsNewerList(endpoint, list.generation));
  }
  if (!list.reset) return false;
  bool hadReady = false;
  for (const auto& [name, entry] : entries_) {
    const bool isReady = entry.endpoint.state == Lifecycle::Ready;
    const bool isLacking = listed.count(name) == 0;
    if (isLacking && entry.endpoint.startedMs == 0) return true;
    hadReady = hadReady || isReady;
    hasReady = hasReady || (isReady && isLacking && !entry.missedByOlderList);
  }
  return hadReady && !hasReady;
}

// Whether an older list tells of an earlier life of this endpoint: of one that has left since, or of the
// process before the one that runs.
bool EndpointTable::contradictsNewerList(const DiscoveredEndpoint& endpoint, std::uint64_t generation) const {
  const bool isGone = endpoint.state == Lifecycle::Gone;
  const auto tombstone = tombstones_.find(endpoint.name);
  if (tombstone != tombstones_.end() && generation < tombstone->second.generation)
    return !isGone && endpoint.startedMs <= tombstone->second.startedMs;
  const auto known = entries_.find(endpoint.name);
  if (known == entries_.end()) return !isGone && hasLeftSince(endpoint, generation);
  if (generation >= known->second.generation) return false;
  // One that has left may come without its start.
  const bool tellsStart = !isGone || endpoint.startedMs > 0;
  return tellsStart && endpoint.startedMs < known->second.endpoint.startedMs;
}

// The newest list lacks it; only one that has started after that list came may be new all the same.
bool EndpointTable::hasLeftSince(const DiscoveredEndpoint& unknown, std::uint64_t generation) const {
  return generation < newestGeneration_ && unknown.startedMs <= unixMs(newestListAt_);
}

// In a whole list the newer knowledge stands in the place of what contradicts it.
void EndpointTable::dropContradictions(EndpointList& list) const {
  std::vector<DiscoveredEndpoint> kept;
  kept.reserve(list.instances.size());
  for (DiscoveredEndpoint& endpoint : list.instances) {
    if (!contradictsNewerList(endpoint, list.generation)) {
      kept.push_back(std::move(endpoint));
      continue;
    }
    const auto known = entries_.find(endpoint.name);
    if (list.reset && known != entries_.end()) kept.push_back(known->second.endpoint);
  }
  list.instances = std::move(kept);
}

// A list may be older than what is known, as after a change of address or an outage of discovery. An endpoint
// that has begun to drain does not become ready by it, unless it has started anew.
void EndpointTable::keepDraining(EndpointList& list) const {
  for (DiscoveredEndpoint& endpoint : list.instances) {
    const auto known = entries_.find(endpoint.name);
    if (known == entries_.end() || known->second.generation <= list.generation) continue;
    const DiscoveredEndpoint& before = known->second.endpoint;
    if (before.state == Lifecycle::Draining && endpoint.state == Lifecycle::Ready &&
        endpoint.startedMs <= before.startedMs)
      endpoint.state = Lifecycle::Draining;
  }
}

// An older list may lack one that has come since: it stays, once, if it did not start long ago.
void EndpointTable::removeUnlisted(Time now, EndpointList& list) {
  wantsWholeList_ = false;
  std::set<std::string> listed;
  for (const DiscoveredEndpoint& endpoint : list.instances) listed.insert(endpoint.name);
  for (auto at = entries_.begin(); at != entries_.end();) {
    Entry& entry = at->second;
    const bool isListed = listed.count(at->first) > 0;
    const bool mayBeNewer = entry.generation > list.generation && entry.endpoint.startedMs > 0;
    if (!isListed && mayBeNewer && !entry.missedByOlderList) {
      entry.missedByOlderList = true;
      wantsWholeList_ = true;
      list.instances.push_back(entry.endpoint);
    } else if (!isListed) {
      recordLeft(now, at->first, entry, list.generation);
      at = entries_.erase(at);
      continue;
    } else {
      entry.missedByOlderList = false;
    }
    ++at;
  }
}

void EndpointTable::recordLeft(Time now, const std::string& name, const Entry& entry,
                               std::uint64_t generation) {
  if (tombstones_.size() >= kMaxTombstones) {
    const auto oldest =
        std::min_element(tombstones_.begin(), tombstones_.end(),
                         [](const auto& a, const auto& b) { return a.second.leftAt < b.second.leftAt; });
    tombstones_.erase(oldest);
  }
  tombstones_[name] = Tombstone{std::max(entry.generation, generation), entry.endpoint.startedMs, now};
}

void EndpointTable::removeOldTombstones(Time now) {
  for (auto tombstone = tombstones_.begin(); tombstone != tombstones_.end();) {
    const bool isOld = now - tombstone->second.leftAt >= kTombstoneRetention;
    tombstone = isOld ? tombstones_.erase(tombstone) : std::next(tombstone);
  }
}

void EndpointTable::recordFailure(Time now, std::string why) {
  if (!failingSince_) failingSince_ = now;
  lastError_ = std::move(why);
}

std::optional<EndpointTable::Time> EndpointTable::listExpiry() const {
  if (!failingSince_ || !lastUpdate_ || policy_.maxListAge <= Time(0)) return std::nullopt;
  return *lastUpdate_ + policy_.maxListAge;
}

std::optional<EndpointTable::Time> EndpointTable::nextDeadline() const {
  std::optional<Time> earliest;
  const auto consider = [&](Time time) { earliest = earliest ? std::min(*earliest, time) : time; };
  for (const auto& [name, entry] : entries_)
    if (entry.present && entry.flaps.suppressedUntil) consider(*entry.flaps.suppressedUntil);
  const auto expiry = listExpiry();
  if (expiry && !expired_) consider(*expiry);
  return earliest;
}

// Clamped once and then kept: clamped to the present each time, the same start would be a new one each time.
std::int64_t EndpointTable::startNoLaterThan(Entry& entry, Time now) {
  const std::int64_t reported = entry.endpoint.startedMs;
  if (entry.clampedStart && entry.clampedStart->reportedMs == reported)
    return entry.clampedStart->publishedMs;
  if (reported <= unixMs(now)) return reported;
  entry.clampedStart = ClampedStart{reported, unixMs(now)};
  return entry.clampedStart->publishedMs;
}

std::optional<EndpointList> EndpointTable::nextUpdate(Time now) {
  if (!registryUpdates_.empty()) {
    EndpointList list = std::move(registryUpdates_.front());
    registryUpdates_.pop_front();
    return list;
  }
  if (fromRegistry_) return std::nullopt;
  const auto deadline = nextDeadline();
  if (!changed_ && !(deadline && *deadline <= now)) return std::nullopt;
  const auto expiry = listExpiry();
  if (expiry && now >= *expiry) expired_ = true;
  changed_ = false;

  const std::vector<NamedEntry> order = entriesBySeniority();
  exclude(order, now);
  EndpointList list;
  for (const auto& [name, entry] : order) publish(*name, *entry, now, list.instances);
  if (list.instances.empty() && !publishWholeList_) return std::nullopt;
  list.reset = publishWholeList_;
  publishWholeList_ = false;
  list.generation = ++generation_;
  return list;
}

// Which name comes first at an address: those that the engine has, then the one that is there longest, by
// name among equals.
std::vector<EndpointTable::NamedEntry> EndpointTable::entriesBySeniority() {
  std::vector<NamedEntry> order;
  order.reserve(entries_.size());
  for (auto& [name, entry] : entries_) order.emplace_back(&name, &entry);
  std::stable_sort(order.begin(), order.end(), [](const NamedEntry& a, const NamedEntry& b) {
    if (a.second->published != b.second->published) return a.second->published;
    return a.second->presenceChangedAt < b.second->presenceChangedAt;
  });
  return order;
}

// Settles for each entry whether it may be published.
void EndpointTable::exclude(const std::vector<NamedEntry>& order, Time now) const {
  std::set<std::string> takenAddresses;
  for (const auto& [name, entry] : order) {
    entry->exclusionReason = nullptr;
    auto& suppressedUntil = entry->flaps.suppressedUntil;
    if (suppressedUntil && now >= *suppressedUntil) suppressedUntil.reset();
    if (!entry->present) continue;
    if (expired_)
      entry->exclusionReason = "the list is too old";
    else if (suppressedUntil)
      entry->exclusionReason = "it flaps";
    else if (!takenAddresses.insert(entry->endpoint.address.text()).second)
      entry->exclusionReason = "another has its address";
  }
}

// Appends what the engine has to be given of this entry: that it has gone, that it is there, or both.
void EndpointTable::publish(const std::string& name, Entry& entry, Time now,
                            std::vector<DiscoveredEndpoint>& changes) {
  const bool wanted = entry.present && !entry.exclusionReason;
  DiscoveredEndpoint endpoint = entry.endpoint;
  endpoint.startedMs = endpoint.startedMs > 0 ? startNoLaterThan(entry, now) : entry.inferredStartMs;
  // A published name stands for one server: with another address or group it is another server, under a name
  // of its own.
  const bool otherServer =
      !entry.lastPublished.name.empty() &&
      (endpoint.address != entry.lastPublished.address || endpoint.group != entry.lastPublished.group);
  if (entry.published && (!wanted || otherServer)) {
    changes.push_back(asGone(entry.lastPublished));
    entry.published = false;
  }
  if (!wanted) return;
  if (otherServer) ++entry.incarnation;
  endpoint.name = entry.incarnation > 1 ? name + "#" + std::to_string(entry.incarnation) : name;
  if (entry.published && endpoint == entry.lastPublished) return;
  entry.lastPublished = endpoint;
  entry.published = true;
  changes.push_back(std::move(endpoint));
}

bool EndpointTable::isExpired(const Entry& entry, Time now) const {
  return !entry.present && !entry.published && currentPenalty(entry, now) < kNegligiblePenalty;
}

// Bounds the table where a source names its endpoints anew again and again.
void EndpointTable::removeExpired(Time now) {
  for (auto entry = entries_.begin(); entry != entries_.end();)
    entry = isExpired(entry->second, now) ? entries_.erase(entry) : std::next(entry);
}

EndpointTable::View EndpointTable::view(Time now) const {
  View view{{}, lastUpdate_, failingSince_, failingSince_ ? lastError_ : std::string()};
  for (const auto& [name, entry] : entries_) {
    if (isExpired(entry, now)) continue;
    Row row{entry.endpoint, entry.exclusionReason ? entry.exclusionReason : "", currentPenalty(entry, now),
            entry.flaps.withdrawals};
    if (!entry.present) {
      row.endpoint.state = Lifecycle::Gone;
      row.exclusionReason = "withdrawn";
    } else if (row.endpoint.startedMs == 0) {
      row.endpoint.startedMs = entry.inferredStartMs;
    }
    view.rows.push_back(std::move(row));
  }
  return view;
}

}  // namespace sablespur
