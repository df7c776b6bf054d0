#include "cluster/scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sablespur::cluster {
namespace {

// A position is sent again once it has advanced by the staleness bound over this divisor. With the
// same time for the transfer, plus the endpoint's own lag, it is still fresh enough for a read when
// it arrives.
constexpr std::int64_t kPositionAdvanceDivisor = 4;
// A position older than three quarters of the bound is not sent: it would be too old on arrival.
constexpr std::int64_t kMaxSendAgeNumerator = 3;
constexpr std::int64_t kMaxSendAgeDenominator = 4;
// Each local status adds this many bytes, counted once per receiver, to the byte budget, so the
// gossip cost of a request does not grow with the fleet. The budget's cap always allows one full
// datagram to all receivers.
constexpr double kBytesPerStatus = 512;
constexpr double kMinByteBudgetCap = 64 * 1024;
constexpr std::size_t kMaxEndpoints = 4096;
constexpr std::int64_t kStatusLifetimeMs = 60 * 1000;  // without an update
constexpr std::int64_t kExpiryIntervalMs = 1000;       // between scans of all endpoints
constexpr std::size_t kMaxPending = 4 * kGossipUpdatesPerDatagram;
// The updates of a small fleet may arrive faster than its interval. A sender may catch up on the
// unused allowance of this time.
constexpr double kBurstMs = 250;
constexpr double kUrgentBurst = 3;  // datagrams beyond the first
// Factors of an interval; 1 on average.
constexpr double kMinJitter = 0.5;
constexpr double kMaxJitter = 1.5;
// The random delay before a change of role is sent. 900 proxies that observe it at once spread over
// 200 ms, several times the transfer time of a datagram. The first sends after a fraction of that
// time and suppresses most of the others.
constexpr double kUrgentDelayMsPerPeer = 0.25;
constexpr double kMaxUrgentDelayMs = 200;
constexpr int kUrgentSends = 2;                   // a datagram may be lost
constexpr std::int64_t kRepeatAfterMs = 80;       // longer than the transfer of a datagram
constexpr std::int64_t kUrgentLifetimeMs = 3000;  // by then an ordinary datagram has included it

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
      ordinaryLimiter_(budgetIntervalMs(receivers_, kReceivedPerSecond), kBurstMs),
      urgentLimiter_(budgetIntervalMs(receivers_, kUrgentReceivedPerSecond),
                     kUrgentBurst * budgetIntervalMs(receivers_, kUrgentReceivedPerSecond)),
      toRelayLimiter_(budgetIntervalMs(policy.peers, kRelayReceivedPerSecond), kBurstMs),
      relayLimiter_(budgetIntervalMs(1, kReceivedPerSecond), 0),
      byteBudget_(std::max(kMinByteBudgetCap / 8, deliveredBytes(kGossipUpdatesPerDatagram))),
      order_(policy.peers) {
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  if (policy.broadcast && policy.peers > kMaxDirectPeers && policy.rankedBefore)
    relaySelection_.emplace(*policy.rankedBefore, policy.peers);
}

void GossipScheduler::observedLocally(const GossipUpdate& update, std::int64_t nowMs) {
  if (policy_.peers == 0) return;
  if (!started_) {
    started_ = true;  // a random first interval, so that proxies started together don't send at once
    ordinaryLimiter_.startAt(static_cast<double>(nowMs) + firstPhase() * ordinaryLimiter_.intervalMs());
  }
  byteBudget_ = std::min(byteBudget_ + kBytesPerStatus,
                         std::max(kMinByteBudgetCap, deliveredBytes(kGossipUpdatesPerDatagram)));
  const std::optional<UpdateKind> kind = classify(update, nowMs);
  if (!kind) return;
  if (relaySelection_ && *kind != UpdateKind::RoleChange) {
    // The relay spends no byte budget on what it forwards; the proxy that observed the update pays
    // for the delivery to all receivers.
    const auto cost = static_cast<double>(receivers_ * kGossipUpdateBytes);
    if (byteBudget_ < cost) return;
    byteBudget_ -= cost;
  }
  enqueue(update, *kind, nowMs);
}

void GossipScheduler::datagramReceived(std::size_t peer) {
  if (relaySelection_) relaySelection_->receivedFrom(peer);
}

// A datagram does not say whether it was sent to all peers or only to the relay. Changes of role
// are always broadcast and need no forwarding. Other updates count as sent only once this proxy has
// broadcast them, so none is forwarded twice.
void GossipScheduler::receivedByRelay(const GossipUpdate& update, std::int64_t nowMs) {
  const std::optional<UpdateKind> kind = classify(update, nowMs);
  if (!kind) return;
  if (*kind == UpdateKind::RoleChange)
    recordStatus(update, nowMs);
  else
    enqueue(update, *kind, nowMs);
}

void GossipScheduler::receivedFromPeer(const GossipUpdate& update, std::int64_t nowMs) {
  if (!sendsToSample()) {
    const auto own = find(update.endpointTag);
    if (own != pending_.end() && own->kind == UpdateKind::RoleChange && own->update.role == update.role)
      pending_.erase(own);  // the peer's broadcast has reached all other proxies as well
    if (isRelay(nowMs))
      receivedByRelay(update, nowMs);
    else
      recordStatus(update, nowMs);
    return;
  }
  // The update was sent to kFanout peers only. Forwards changes of role, once, and nothing else.
  if (!changesRole(update)) return;
  recordStatus(update, nowMs);
  enqueue(update, UpdateKind::RoleChange, nowMs);
}

bool GossipScheduler::changesRole(const GossipUpdate& update) const {
  if (update.role == GossipRole::Unknown) return false;
  const auto known = endpointStatuses_.find(update.endpointTag);
  if (known == endpointStatuses_.end() || known->second.role == GossipRole::Unknown)
    return update.role == GossipRole::Primary;
  return known->second.role != update.role && update.positionMs >= known->second.positionMs;
}

std::optional<GossipScheduler::UpdateKind> GossipScheduler::classify(const GossipUpdate& update,
                                                                     std::int64_t nowMs) const {
  if (changesRole(update)) return UpdateKind::RoleChange;
  const auto known = endpointStatuses_.find(update.endpointTag);
  if (known == endpointStatuses_.end()) return UpdateKind::Position;
  const bool tooOld = nowMs - update.positionMs >= policy_.boundMs;
  if (tooOld && update.role == GossipRole::Replica && !known->second.lagging &&
      update.positionMs >= known->second.positionMs)
    return UpdateKind::Lag;
  // A position too old for any read is not worth sending.
  if (tooOld || update.positionMs - known->second.positionMs < policy_.boundMs / kPositionAdvanceDivisor)
    return std::nullopt;
  return UpdateKind::Position;
}

void GossipScheduler::enqueue(const GossipUpdate& update, UpdateKind kind, std::int64_t nowMs) {
  auto entry = find(update.endpointTag);
  if (entry == pending_.end()) {
    evictPending(nowMs);
    entry = pending_.insert(pending_.end(), PendingUpdate{update, kind});
  } else {
    if (update.positionMs < entry->update.positionMs) return;
    const GossipRole role = update.role != GossipRole::Unknown ? update.role : entry->update.role;
    const bool sameChange = entry->kind == UpdateKind::RoleChange && entry->update.role == role;
    entry->update = update;
    entry->update.role = role;
    if (sameChange) return;
    entry->kind = kind;
  }
  if (kind != UpdateKind::RoleChange) return;
  entry->dueMs = nowMs + urgentDelayMs();
  entry->sendsLeft = sendsToSample() ? 1 : kUrgentSends;
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

// Returns the first delay as a fraction of the interval, drawn as if the proxy had always been
// sending (the stationary distribution of a renewal process, in which long intervals are more
// likely to be sampled). With a plain uniform draw, a fleet that starts at once would exceed
// the budget later.
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
  const auto known = endpointStatuses_.find(p.update.endpointTag);
  switch (p.kind) {
    case UpdateKind::RoleChange: {
      const bool outdated = known != endpointStatuses_.end() &&
                            known->second.positionMs > p.update.positionMs &&
                            known->second.role != p.update.role;
      return !outdated && age < std::max(kUrgentLifetimeMs, policy_.boundMs);
    }
    case UpdateKind::Lag:
      return known == endpointStatuses_.end() || !known->second.lagging;
    case UpdateKind::Position:
      break;
  }
  if (known == endpointStatuses_.end()) return true;
  return age * kMaxSendAgeDenominator < policy_.boundMs * kMaxSendAgeNumerator &&
         p.update.positionMs - known->second.positionMs >= policy_.boundMs / kPositionAdvanceDivisor;
}

void GossipScheduler::dropOutdated(std::int64_t nowMs) {
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                [&](const PendingUpdate& p) { return !worthSending(p, nowMs); }),
                 pending_.end());
}

bool GossipScheduler::urgentDue(std::int64_t nowMs) const {
  return urgentLimiter_.allows(nowMs) &&
         std::any_of(pending_.begin(), pending_.end(), [&](const PendingUpdate& p) {
           return p.kind == UpdateKind::RoleChange && p.dueMs <= nowMs;
         });
}

std::optional<std::size_t> GossipScheduler::takeForRelay(std::int64_t nowMs,
                                                         std::vector<GossipUpdate>& datagram) {
  datagram.clear();
  if (!relaySelection_ || pending_.empty() || !toRelayLimiter_.allows(nowMs)) return std::nullopt;
  const std::optional<std::size_t> relay = relaySelection_->relay(nowMs);
  if (!relay) return std::nullopt;
  dropOutdated(nowMs);
  std::vector<PendingUpdate> remaining;
  for (const PendingUpdate& p : pending_) {
    if (p.kind == UpdateKind::RoleChange || datagram.size() == kGossipUpdatesPerDatagram) {
      remaining.push_back(p);
      continue;
    }
    datagram.push_back(p.update);
    recordStatus(p.update, nowMs);
  }
  pending_.swap(remaining);
  if (datagram.empty()) return std::nullopt;
  toRelayLimiter_.spend(nowMs, std::uniform_real_distribution<>(kMinJitter, kMaxJitter)(random_));
  relaySelection_->sentTo(*relay, nowMs);
  return relay;
}

bool GossipScheduler::broadcastAllowed(std::int64_t nowMs) {
  if (!relaySelection_) return ordinaryLimiter_.allows(nowMs);
  return isRelay(nowMs) && relayLimiter_.allows(nowMs);
}

bool GossipScheduler::takeDatagram(std::int64_t nowMs, std::vector<GossipUpdate>& datagram) {
  datagram.clear();
  if (pending_.empty()) return false;
  const bool ordinary = broadcastAllowed(nowMs);
  if (!ordinary && !urgentDue(nowMs)) return false;
  dropOutdated(nowMs);
  if (pending_.empty()) return false;
  const bool urgent = urgentDue(nowMs);
  const bool withinByteBudget =
      relaySelection_ || byteBudget_ >= deliveredBytes(std::min(pending_.size(), kGossipUpdatesPerDatagram));
  if (!urgent && (!ordinary || !withinByteBudget)) return false;
  fillDatagram(nowMs, urgent, datagram);
  if (datagram.empty()) return false;
  const double jitter = std::uniform_real_distribution<>(kMinJitter, kMaxJitter)(random_);
  RateLimiter& broadcastLimiter = relaySelection_ ? relayLimiter_ : ordinaryLimiter_;
  (urgent ? urgentLimiter_ : broadcastLimiter).spend(nowMs, jitter);
  if (!urgent && !relaySelection_) byteBudget_ -= deliveredBytes(datagram.size());
  return true;
}

// Adds changes of role first, then replicas that started to lag, then positions, the newest first.
void GossipScheduler::fillDatagram(std::int64_t nowMs, bool urgent, std::vector<GossipUpdate>& datagram) {
  std::sort(pending_.begin(), pending_.end(), [](const PendingUpdate& a, const PendingUpdate& b) {
    return a.kind != b.kind ? a.kind > b.kind : a.update.positionMs > b.update.positionMs;
  });
  const std::size_t count = std::min(pending_.size(), kGossipUpdatesPerDatagram);
  std::vector<PendingUpdate> remaining;
  for (std::size_t k = 0; k < count; ++k) {
    PendingUpdate& p = pending_[k];
    const bool change = p.kind == UpdateKind::RoleChange;
    if (change && !urgent && p.dueMs > nowMs) {
      remaining.push_back(p);
      continue;
    }
    datagram.push_back(p.update);
    recordStatus(p.update, nowMs);
    if (!change || --p.sendsLeft <= 0) continue;
    p.dueMs = nowMs + kRepeatAfterMs;
    remaining.push_back(p);
  }
  pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(count));
  pending_.insert(pending_.end(), remaining.begin(), remaining.end());
}

std::optional<std::int64_t> GossipScheduler::urgentAtMs() const {
  std::optional<std::int64_t> first;
  for (const PendingUpdate& p : pending_)
    if (p.kind == UpdateKind::RoleChange) first = std::min(first.value_or(p.dueMs), p.dueMs);
  if (first) first = std::max(*first, urgentLimiter_.allowedFromMs());
  return first;
}

std::optional<std::int64_t> GossipScheduler::relayAtMs(std::int64_t nowMs) {
  if (pending_.empty() || !isRelay(nowMs)) return std::nullopt;
  return relayLimiter_.allowedFromMs();
}

const std::vector<std::size_t>& GossipScheduler::drawReceivers() {
  drawnPeers_.clear();
  for (std::size_t k = 0; k < receivers_; ++k) {
    if (sendsToSample())
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
  EndpointStatus& known = it->second;
  known.positionMs = update.positionMs;
  known.atMs = nowMs;
  if (update.role != GossipRole::Unknown) known.role = update.role;
  known.lagging = nowMs - update.positionMs >= policy_.boundMs;
}

void GossipScheduler::expireStatuses(std::int64_t nowMs) {
  if (nowMs - lastExpiryMs_ < kExpiryIntervalMs) return;
  lastExpiryMs_ = nowMs;
  for (auto it = endpointStatuses_.begin(); it != endpointStatuses_.end();)
    it = nowMs - it->second.atMs > kStatusLifetimeMs ? endpointStatuses_.erase(it) : std::next(it);
}

}  // namespace sablespur::cluster
