#include "cluster/scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sablespur::cluster {
namespace {

// A position is sent again once it has advanced by the staleness bound over this divisor: with as much again
// for the transfer, and the endpoint's own lag, it still proves what a read needs.
constexpr std::int64_t kPositionAdvanceDivisor = 4;
// A position that has used up three quarters of the bound before it is sent proves too little on arrival.
constexpr std::int64_t kFreshNumerator = 3;
constexpr std::int64_t kFreshDenominator = 4;
// Each status adds so many bytes, delivered at all peers together, to the budget: the cost of a request stays
// the same however many proxies there are. The cap always allows a full datagram to all.
constexpr double kBytesPerStatus = 512;
constexpr double kMinByteBudgetCap = 64 * 1024;
constexpr std::size_t kMaxEndpoints = 4096;
constexpr std::int64_t kStatusLifetimeMs = 60 * 1000;  // without an update
constexpr std::int64_t kExpiryIntervalMs = 1000;       // between scans of all endpoints
constexpr std::size_t kMaxPending = 4 * kGossipUpdatesPerDatagram;
// A small fleet sometimes has updates faster than its interval; it may use what it left unused for so long.
constexpr double kBurstMs = 250;
constexpr double kUrgentBurst = 3;  // datagrams beyond the first
// Factors of an interval; 1 in the mean.
constexpr double kMinJitter = 0.5;
constexpr double kMaxJitter = 1.5;
// The delay of a change of role: 900 proxies that see it at once spread over 200 ms, several times what a
// datagram takes to arrive, and the first is out after a fraction of one.
constexpr double kUrgentDelayMsPerPeer = 0.25;
constexpr double kMaxUrgentDelayMs = 200;
constexpr int kUrgentSends = 2;              // a datagram may be lost
constexpr std::int64_t kRepeatAfterMs = 80;  // more than a datagram takes to arrive
constexpr std::int64_t kUrgentForMs = 3000;  // by then an ordinary datagram has carried it

double budgetIntervalMs(std::size_t receivers, double perSecond) {
  return 1000.0 * static_cast<double>(receivers) / perSecond;
}

}  // namespace

std::int64_t RateLimiter::allowedFromMs() const {
  return static_cast<std::int64_t>(std::ceil(nextMs_ - burstMs_));
}
void RateLimiter::spend(std::int64_t nowMs, double jitter) {
  nextMs_ = std::max(nextMs_, static_cast<double>(nowMs)) + intervalMs_ * jitter;
}

GossipScheduler::GossipScheduler(const Policy& policy)
    : policy_(policy),
      receivers_(policy.broadcast ? policy.peers : std::min(policy.peers, kFanout)),
      random_(policy.seed),
      ordinary_(budgetIntervalMs(receivers_, kReceivedPerSecond), kBurstMs),
      urgent_(budgetIntervalMs(receivers_, kUrgentReceivedPerSecond),
              kUrgentBurst * budgetIntervalMs(receivers_, kUrgentReceivedPerSecond)),
      toRelay_(budgetIntervalMs(policy.peers, kRelayReceivedPerSecond), kBurstMs),
      relayed_(budgetIntervalMs(1, kReceivedPerSecond), 0),
      byteBudget_(std::max(kMinByteBudgetCap / 8, deliveredBytes(kGossipUpdatesPerDatagram))),
      order_(policy.peers) {
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  if (policy.broadcast && policy.peers > kMaxDirectPeers && policy.rankedBefore)
    relays_.emplace(*policy.rankedBefore, policy.peers);
}

void GossipScheduler::observedLocally(const GossipUpdate& update, std::int64_t nowMs) {
  if (policy_.peers == 0) return;
  if (!started_) {
    started_ = true;  // proxies that start together don't send together
    ordinary_.startAt(static_cast<double>(nowMs) + firstPhase() * ordinary_.intervalMs());
  }
  byteBudget_ = std::min(byteBudget_ + kBytesPerStatus,
                         std::max(kMinByteBudgetCap, deliveredBytes(kGossipUpdatesPerDatagram)));
  const std::optional<News> news = newsIn(update, nowMs);
  if (!news) return;
  if (relays_ && *news != News::RoleChange) {
    // The relay only passes on: who observed an update pays for its delivery to all.
    const auto cost = static_cast<double>(receivers_ * kGossipUpdateBytes);
    if (byteBudget_ < cost) return;
    byteBudget_ -= cost;
  }
  enqueue(update, *news, nowMs);
}

void GossipScheduler::datagramReceived(std::size_t peer) {
  if (relays_) relays_->receivedFrom(peer);
}

// Datagrams do not tell whether they were sent to all. A change of role always is. A position counts as sent
// once this proxy has broadcast it, so none is passed on twice.
void GossipScheduler::receivedByRelay(const GossipUpdate& update, std::int64_t nowMs) {
  const std::optional<News> news = newsIn(update, nowMs);
  if (!news) return;
  if (*news == News::RoleChange)
    recordStatus(update, nowMs);
  else
    enqueue(update, *news, nowMs);
}

void GossipScheduler::receivedFromPeer(const GossipUpdate& update, std::int64_t nowMs) {
  if (!sampled()) {
    const auto own = find(update.endpointTag);
    if (own != pending_.end() && own->news == News::RoleChange && own->update.role == update.role)
      pending_.erase(own);  // the broadcast has reached all others too
    if (isRelay(nowMs))
      receivedByRelay(update, nowMs);
    else
      recordStatus(update, nowMs);
    return;
  }
  // Only kFanout peers have got it. A change of role is passed on, once; nothing else is.
  if (!changesRole(update)) return;
  recordStatus(update, nowMs);
  enqueue(update, News::RoleChange, nowMs);
}

bool GossipScheduler::changesRole(const GossipUpdate& update) const {
  if (update.role == GossipRole::Unknown) return false;
  const auto told = endpointStatuses_.find(update.endpointTag);
  if (told == endpointStatuses_.end() || told->second.role == GossipRole::Unknown)
    return update.role == GossipRole::Primary;
  return told->second.role != update.role && update.positionMs >= told->second.positionMs;
}

std::optional<GossipScheduler::News> GossipScheduler::newsIn(const GossipUpdate& update,
                                                             std::int64_t nowMs) const {
  if (changesRole(update)) return News::RoleChange;
  const auto told = endpointStatuses_.find(update.endpointTag);
  if (told == endpointStatuses_.end()) return News::Position;
  const bool tooOld = nowMs - update.positionMs >= policy_.boundMs;
  if (tooOld && update.role == GossipRole::Replica && !told->second.lagging &&
      update.positionMs >= told->second.positionMs)
    return News::Lag;
  // A position too old for any read proves nothing useful.
  if (tooOld || update.positionMs - told->second.positionMs < policy_.boundMs / kPositionAdvanceDivisor)
    return std::nullopt;
  return News::Position;
}

void GossipScheduler::enqueue(const GossipUpdate& update, News news, std::int64_t nowMs) {
  auto entry = find(update.endpointTag);
  if (entry == pending_.end()) {
    evictPending(nowMs);
    entry = pending_.insert(pending_.end(), PendingUpdate{update, news});
  } else {
    if (update.positionMs < entry->update.positionMs) return;
    const GossipRole role = update.role != GossipRole::Unknown ? update.role : entry->update.role;
    const bool sameChange = entry->news == News::RoleChange && entry->update.role == role;
    entry->update = update;
    entry->update.role = role;
    if (sameChange) return;
    entry->news = news;
  }
  if (news != News::RoleChange) return;
  entry->dueMs = nowMs + urgentDelayMs();
  entry->sendsLeft = sampled() ? 1 : kUrgentSends;
}

std::vector<GossipScheduler::PendingUpdate>::iterator GossipScheduler::find(std::uint64_t tag) {
  return std::find_if(pending_.begin(), pending_.end(),
                      [&](const PendingUpdate& p) { return p.update.endpointTag == tag; });
}

void GossipScheduler::evictPending(std::int64_t nowMs) {
  if (pending_.size() < kMaxPending) return;
  dropOutdated(nowMs);
  if (pending_.size() >= kMaxPending) pending_.erase(pending_.begin());  // the oldest
}

// Where in its interval a proxy starts, as if it had always been sending (the stationary distribution of a
// renewal process): long intervals are met more often than short ones. With a plain uniform draw a fleet that
// starts together would exceed the budget later on.
double GossipScheduler::firstPhase() {
  std::uniform_real_distribution<> unit(0, 1);
  const double interval = std::sqrt(kMinJitter * kMinJitter +
                                    unit(random_) * (kMaxJitter * kMaxJitter - kMinJitter * kMinJitter));
  return unit(random_) * interval;
}

std::int64_t GossipScheduler::urgentDelayMs() {
  const double most = std::min(kMaxUrgentDelayMs, kUrgentDelayMsPerPeer * static_cast<double>(policy_.peers));
  return static_cast<std::int64_t>(std::uniform_real_distribution<>(0, most)(random_));
}

bool GossipScheduler::worthSending(const PendingUpdate& p, std::int64_t nowMs) const {
  const std::int64_t age = nowMs - p.update.positionMs;
  const auto told = endpointStatuses_.find(p.update.endpointTag);
  switch (p.news) {
    case News::RoleChange: {
      const bool outdated = told != endpointStatuses_.end() &&
                            told->second.positionMs > p.update.positionMs &&
                            told->second.role != p.update.role;
      return !outdated && age < std::max(kUrgentForMs, policy_.boundMs);
    }
    case News::Lag:
      return told == endpointStatuses_.end() || !told->second.lagging;
    case News::Position:
      break;
  }
  if (told == endpointStatuses_.end()) return true;
  return age * kFreshDenominator < policy_.boundMs * kFreshNumerator &&
         p.update.positionMs - told->second.positionMs >= policy_.boundMs / kPositionAdvanceDivisor;
}

void GossipScheduler::dropOutdated(std::int64_t nowMs) {
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                [&](const PendingUpdate& p) { return !worthSending(p, nowMs); }),
                 pending_.end());
}

bool GossipScheduler::urgentDue(std::int64_t nowMs) const {
  return urgent_.allows(nowMs) && std::any_of(pending_.begin(), pending_.end(), [&](const PendingUpdate& p) {
           return p.news == News::RoleChange && p.dueMs <= nowMs;
         });
}

std::optional<std::size_t> GossipScheduler::takeForRelay(std::int64_t nowMs,
                                                         std::vector<GossipUpdate>& datagram) {
  datagram.clear();
  if (!relays_ || pending_.empty() || !toRelay_.allows(nowMs)) return std::nullopt;
  const std::optional<std::size_t> relay = relays_->relay(nowMs);
  if (!relay) return std::nullopt;
  dropOutdated(nowMs);
  std::vector<PendingUpdate> kept;
  for (const PendingUpdate& p : pending_) {
    if (p.news == News::RoleChange || datagram.size() == kGossipUpdatesPerDatagram) {
      kept.push_back(p);
      continue;
    }
    datagram.push_back(p.update);
    recordStatus(p.update, nowMs);
  }
  pending_.swap(kept);
  if (datagram.empty()) return std::nullopt;
  toRelay_.spend(nowMs, std::uniform_real_distribution<>(kMinJitter, kMaxJitter)(random_));
  relays_->sentTo(*relay, nowMs);
  return relay;
}

bool GossipScheduler::broadcastAllowed(std::int64_t nowMs) {
  if (!relays_) return ordinary_.allows(nowMs);
  return isRelay(nowMs) && relayed_.allows(nowMs);
}

bool GossipScheduler::takeDatagram(std::int64_t nowMs, std::vector<GossipUpdate>& datagram) {
  datagram.clear();
  if (pending_.empty()) return false;
  const bool ordinary = broadcastAllowed(nowMs);
  if (!ordinary && !urgentDue(nowMs)) return false;
  dropOutdated(nowMs);
  if (pending_.empty()) return false;
  const bool urgent = urgentDue(nowMs);
  const bool paidFor =
      relays_ || byteBudget_ >= deliveredBytes(std::min(pending_.size(), kGossipUpdatesPerDatagram));
  if (!urgent && (!ordinary || !paidFor)) return false;
  fillDatagram(nowMs, urgent, datagram);
  if (datagram.empty()) return false;
  const double jitter = std::uniform_real_distribution<>(kMinJitter, kMaxJitter)(random_);
  RateLimiter& ordinaryLimiter = relays_ ? relayed_ : ordinary_;
  (urgent ? urgent_ : ordinaryLimiter).spend(nowMs, jitter);
  if (!urgent && !relays_) byteBudget_ -= deliveredBytes(datagram.size());
  return true;
}

// Changes of role first, then lag, then the newest positions.
void GossipScheduler::fillDatagram(std::int64_t nowMs, bool urgent, std::vector<GossipUpdate>& datagram) {
  std::sort(pending_.begin(), pending_.end(), [](const PendingUpdate& a, const PendingUpdate& b) {
    return a.news != b.news ? a.news > b.news : a.update.positionMs > b.update.positionMs;
  });
  const std::size_t count = std::min(pending_.size(), kGossipUpdatesPerDatagram);
  std::vector<PendingUpdate> kept;
  for (std::size_t k = 0; k < count; ++k) {
    PendingUpdate& p = pending_[k];
    const bool change = p.news == News::RoleChange;
    if (change && !urgent && p.dueMs > nowMs) {
      kept.push_back(p);
      continue;
    }
    datagram.push_back(p.update);
    recordStatus(p.update, nowMs);
    if (!change || --p.sendsLeft <= 0) continue;
    p.dueMs = nowMs + kRepeatAfterMs;
    kept.push_back(p);
  }
  pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(count));
  pending_.insert(pending_.end(), kept.begin(), kept.end());
}

std::optional<std::int64_t> GossipScheduler::urgentAtMs() const {
  std::optional<std::int64_t> first;
  for (const PendingUpdate& p : pending_)
    if (p.news == News::RoleChange) first = std::min(first.value_or(p.dueMs), p.dueMs);
  if (first) first = std::max(*first, urgent_.allowedFromMs());
  return first;
}

std::optional<std::int64_t> GossipScheduler::relayAtMs(std::int64_t nowMs) {
  if (pending_.empty() || !isRelay(nowMs)) return std::nullopt;
  return relayed_.allowedFromMs();
}

const std::vector<std::size_t>& GossipScheduler::drawReceivers() {
  drawnPeers_.clear();
  for (std::size_t k = 0; k < receivers_; ++k) {
    if (sampled())
      std::swap(order_[k], order_[std::uniform_int_distribution<std::size_t>(k, order_.size() - 1)(random_)]);
    drawnPeers_.push_back(order_[k]);
  }
  return drawnPeers_;
}

double GossipScheduler::deliveredBytes(std::size_t updates) const {
  return static_cast<double>(receivers_ * (1 + updates * kGossipUpdateBytes));
}

void GossipScheduler::recordStatus(const GossipUpdate& update, std::int64_t nowMs) {
  auto it = endpointStatuses_.find(update.endpointTag);
  if (it == endpointStatuses_.end()) {
    if (endpointStatuses_.size() >= kMaxEndpoints) expireStatuses(nowMs);
    if (endpointStatuses_.size() >= kMaxEndpoints) return;
    it = endpointStatuses_.emplace(update.endpointTag, EndpointStatus{}).first;
  } else if (update.positionMs < it->second.positionMs) {
    return;
  }
  EndpointStatus& told = it->second;
  told.positionMs = update.positionMs;
  told.atMs = nowMs;
  if (update.role != GossipRole::Unknown) told.role = update.role;
  told.lagging = nowMs - update.positionMs >= policy_.boundMs;
}

void GossipScheduler::expireStatuses(std::int64_t nowMs) {
  if (nowMs - lastExpiryMs_ < kExpiryIntervalMs) return;
  lastExpiryMs_ = nowMs;
  for (auto it = endpointStatuses_.begin(); it != endpointStatuses_.end();)
    it = nowMs - it->second.atMs > kStatusLifetimeMs ? endpointStatuses_.erase(it) : std::next(it);
}

}  // namespace sablespur::cluster
