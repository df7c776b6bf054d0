#include "discovery/endpoint_table.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace sablespur {

using balancer::Lifecycle;

namespace {

// A withdrawn name is removed once its penalty has decayed below this.
constexpr double kNegligiblePenalty = 0.02;

// How long tombstones prevent older lists from bringing an endpoint back, and their maximum number.
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
  // Ceiling of RFC 2439, section 4.2: the penalty decays from it to reuseThreshold within
  // maxSuppression. Without it, hours of flapping would exclude a server for hours.
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
  listExpired_ = false;
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
  // Start times of withdrawn servers by address and group, which a renamed server retains.
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
      // A renamed server retains its start time. Otherwise all servers would count as cold after
      // their DNS zone was republished under new names.
      const auto renamed = withdrawnStarts.find({endpoint.address.text(), endpoint.group});
      if (renamed != withdrawnStarts.end()) entry.inferredStartMs = renamed->second;
    } else if (entry.endpoint.address != endpoint.address || entry.endpoint.group != endpoint.group) {
      entry.presenceChangedAt = now;  // a different server under the same name
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
  if (list.generation >= newestGeneration_ || isAfterGenerationRestart(list)) {
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
      addTombstone(now, endpoint.name, known->second, list.generation);
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

std::optional<EndpointList> EndpointTable::registryList() const {
  if (!fromRegistry_) return std::nullopt;
  EndpointList list;
  list.generation = newestGeneration_;
  list.reset = true;
  for (const auto& [name, entry] : entries_)
    if (entry.present) list.instances.push_back(entry.endpoint);
  return list;
}

// Returns whether a list with a lower generation than the newest one cannot be an earlier list of
// the same registry, so that the registry must have restarted its generations: an endpoint has a
// later start time, one that started long ago is absent, or no endpoint would be left ready.
bool EndpointTable::isAfterGenerationRestart(const EndpointList& list) const {
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
    hasReady = hasReady || (isReady && isLacking && !entry.absentFromOlderList);
  }
  return hadReady && !hasReady;
}

// Returns whether an older list describes an earlier state of this endpoint: one that has left
// since, or the process before the one that runs now.
bool EndpointTable::contradictsNewerList(const DiscoveredEndpoint& endpoint, std::uint64_t generation) const {
  const bool isGone = endpoint.state == Lifecycle::Gone;
  const auto tombstone = tombstones_.find(endpoint.name);
  if (tombstone != tombstones_.end() && generation < tombstone->second.generation)
    return !isGone && endpoint.startedMs <= tombstone->second.startedMs;
  const auto known = entries_.find(endpoint.name);
  if (known == entries_.end()) return !isGone && hasLeftBeforeNewestList(endpoint, generation);
  if (generation >= known->second.generation) return false;
  // The start time may be missing for an endpoint that has left.
  const bool hasStart = !isGone || endpoint.startedMs > 0;
  return hasStart && endpoint.startedMs < known->second.endpoint.startedMs;
}

// An endpoint of an older list that the newest list lacks has left, unless it started after the
// newest list was received.
bool EndpointTable::hasLeftBeforeNewestList(const DiscoveredEndpoint& unknown,
                                            std::uint64_t generation) const {
  return generation < newestGeneration_ && unknown.startedMs <= unixMs(newestListAt_);
}

// Removes endpoints that contradict newer knowledge. In a whole list, known endpoints are replaced
// by their newer state instead, so that they do not count as withdrawn.
void EndpointTable::dropContradictions(EndpointList& list) const {
  std::vector<DiscoveredEndpoint> retained;
  retained.reserve(list.instances.size());
  for (DiscoveredEndpoint& endpoint : list.instances) {
    if (!contradictsNewerList(endpoint, list.generation)) {
      retained.push_back(std::move(endpoint));
      continue;
    }
    const auto known = entries_.find(endpoint.name);
    if (list.reset && known != entries_.end()) retained.push_back(known->second.endpoint);
  }
  list.instances = std::move(retained);
}

// An older list, as received after a change of address or an outage of discovery, does not make a
// draining endpoint ready unless the endpoint has been restarted.
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

// Removes endpoints that a whole list lacks. One that may have started after an older list was made
// is retained the first time and a whole list is requested; the second list without it removes it.
void EndpointTable::removeUnlisted(Time now, EndpointList& list) {
  wantsWholeList_ = false;
  std::set<std::string> listed;
  for (const DiscoveredEndpoint& endpoint : list.instances) listed.insert(endpoint.name);
  for (auto at = entries_.begin(); at != entries_.end();) {
    Entry& entry = at->second;
    const bool isListed = listed.count(at->first) > 0;
    const bool mayBeNewer = entry.generation > list.generation && entry.endpoint.startedMs > 0;
    if (!isListed && mayBeNewer && !entry.absentFromOlderList) {
      entry.absentFromOlderList = true;
      wantsWholeList_ = true;
      list.instances.push_back(entry.endpoint);
    } else if (!isListed) {
      addTombstone(now, at->first, entry, list.generation);
      at = entries_.erase(at);
      continue;
    } else {
      entry.absentFromOlderList = false;
    }
    ++at;
  }
}

void EndpointTable::addTombstone(Time now, const std::string& name, const Entry& entry,
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
  if (expiry && !listExpired_) consider(*expiry);
  return earliest;
}

// Replaces a start time in the future by the present. The replacement is stored: if it were
// computed for each list, the same start time would be published as a new start each time.
std::int64_t EndpointTable::clampStart(Entry& entry, Time now) {
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
  if (expiry && now >= *expiry) listExpired_ = true;
  changed_ = false;

  const std::vector<NamedEntry> order = entriesBySeniority();
  updateExclusions(order, now);
  EndpointList list;
  for (const auto& [name, entry] : order) publish(*name, *entry, now, list.instances);
  if (list.instances.empty() && !publishWholeList_) return std::nullopt;
  list.reset = publishWholeList_;
  publishWholeList_ = false;
  list.generation = ++generation_;
  return list;
}

// Orders entries by their claim to an address: published ones first, then by how long they have
// been present, then by name.
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

// Sets or clears the exclusion reason of each entry.
void EndpointTable::updateExclusions(const std::vector<NamedEntry>& order, Time now) const {
  std::set<std::string> takenAddresses;
  for (const auto& [name, entry] : order) {
    entry->exclusionReason = nullptr;
    auto& suppressedUntil = entry->flaps.suppressedUntil;
    if (suppressedUntil && now >= *suppressedUntil) suppressedUntil.reset();
    if (!entry->present) continue;
    if (listExpired_)
      entry->exclusionReason = "the list is too old";
    else if (suppressedUntil)
      entry->exclusionReason = "it flaps";
    else if (!takenAddresses.insert(entry->endpoint.address.text()).second)
      entry->exclusionReason = "another has its address";
  }
}

// Appends the changes of this entry for the engine: its removal, its new state, or both.
void EndpointTable::publish(const std::string& name, Entry& entry, Time now,
                            std::vector<DiscoveredEndpoint>& changes) {
  const bool shouldPublish = entry.present && !entry.exclusionReason;
  DiscoveredEndpoint endpoint = entry.endpoint;
  endpoint.startedMs = endpoint.startedMs > 0 ? clampStart(entry, now) : entry.inferredStartMs;
  // A published name identifies one server. An entry whose address or group has changed is a
  // different server and is published under a new name.
  const bool isDifferentServer =
      !entry.lastPublished.name.empty() &&
      (endpoint.address != entry.lastPublished.address || endpoint.group != entry.lastPublished.group);
  if (entry.published && (!shouldPublish || isDifferentServer)) {
    changes.push_back(asGone(entry.lastPublished));
    entry.published = false;
  }
  if (!shouldPublish) return;
  if (isDifferentServer) ++entry.incarnation;
  endpoint.name = entry.incarnation > 1 ? name + "#" + std::to_string(entry.incarnation) : name;
  if (entry.published && endpoint == entry.lastPublished) return;
  entry.lastPublished = endpoint;
  entry.published = true;
  changes.push_back(std::move(endpoint));
}

bool EndpointTable::isExpired(const Entry& entry, Time now) const {
  return !entry.present && !entry.published && currentPenalty(entry, now) < kNegligiblePenalty;
}

// Bounds the size of the table when a source keeps renaming its endpoints.
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
