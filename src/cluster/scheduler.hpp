// Decides which gossip updates a proxy sends to its peers and when. Pure: no sockets, no clock.
//
// What one proxy receives stays within a budget however many proxies there are. Each proxy sends one
// datagram in an interval that grows with the number of receivers, and that datagram carries all updates
// gathered meanwhile. Updates that a peer has sent already are left out. A change of role may go out sooner,
// from a small budget of its own, after a random delay in which another proxy may send it first.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "cluster/gossip.hpp"

namespace sablespur::cluster {

// Datagrams a second that a proxy receives from all its peers together if each of them has updates. One
// costs about 10 us, so 80 take under a thousandth of a core; with a few positions in each, every member of a
// group of twenty is reported more than ten times a second.
constexpr double kReceivedPerSecond = 80;
// The same for changes of role; rare, and most are suppressed because a peer was first.
constexpr double kUrgentReceivedPerSecond = 20;
// Receivers of one datagram if no broadcast address reaches all peers; drawn anew each time.
constexpr std::size_t kFanout = 16;

// A sender's share of a budget: one datagram an interval on average, some in a row after a pause (the generic
// cell rate algorithm, ITU-T I.371).
class RateLimiter {
 public:
  RateLimiter(double intervalMs, double burstMs) : intervalMs_(intervalMs), burstMs_(burstMs) {}
  void startAt(double ms) { nextMs_ = ms; }
  std::int64_t allowedFromMs() const;
  bool allows(std::int64_t nowMs) const { return nowMs >= allowedFromMs(); }
  void spend(std::int64_t nowMs, double jitter);  // jitter: factor of the interval, 1 in the mean
  double intervalMs() const { return intervalMs_; }

 private:
  double intervalMs_, burstMs_;
  double nextMs_ = 0;
};

class GossipScheduler {
 public:
  struct Policy {
    std::size_t peers = 0;       // the other proxies
    std::int64_t boundMs = 200;  // data older than this serve no read
    bool broadcast = true;       // one address reaches all peers
    std::uint64_t seed = 0;      // has to differ between proxies
  };
  explicit GossipScheduler(const Policy&);

  // A status from a response or a health check. Each call adds to the byte budget.
  void observedLocally(const GossipUpdate&, std::int64_t nowMs);
  // An update from a peer.
  void receivedFromPeer(const GossipUpdate&, std::int64_t nowMs);
  // Fills `datagram` with the updates of one that is due now, at most kGossipUpdatesPerDatagram. False: none
  // is due.
  bool takeDatagram(std::int64_t nowMs, std::vector<GossipUpdate>& datagram);
  // When a change of role is due next; other updates wait for the first turn in which the budget allows them.
  std::optional<std::int64_t> urgentAtMs() const;
  // Receivers of the next datagram: all peers, or kFanout of them drawn at random. Valid until the next call.
  const std::vector<std::size_t>& drawReceivers();

  std::size_t knownEndpoints() const { return endpointStatuses_.size(); }

 private:
  enum class News { Position, Lag, RoleChange };
  struct EndpointStatus {  // last sent by this proxy or any peer
    std::int64_t positionMs = 0;
    std::int64_t atMs = 0;
    GossipRole role = GossipRole::Unknown;
    bool lagging = false;
  };
  struct PendingUpdate {
    GossipUpdate update;
    News news = News::Position;
    std::int64_t dueMs = 0;  // RoleChange
    int sendsLeft = 0;       // RoleChange: datagrams that still have to carry it
  };

  bool sampled() const { return receivers_ < policy_.peers; }
  bool changesRole(const GossipUpdate&) const;
  std::optional<News> newsIn(const GossipUpdate&, std::int64_t nowMs) const;
  void enqueue(const GossipUpdate&, News, std::int64_t nowMs);
  std::vector<PendingUpdate>::iterator find(std::uint64_t tag);
  void evictPending(std::int64_t nowMs);
  void dropOutdated(std::int64_t nowMs);
  bool worthSending(const PendingUpdate&, std::int64_t nowMs) const;
  bool urgentDue(std::int64_t nowMs) const;
  void fillDatagram(std::int64_t nowMs, bool urgent, std::vector<GossipUpdate>& datagram);
  void recordStatus(const GossipUpdate&, std::int64_t nowMs);
  void expireStatuses(std::int64_t nowMs);
  double deliveredBytes(std::size_t updates) const;
  double firstPhase();
  std::int64_t urgentDelayMs();

  const Policy policy_;
  const std::size_t receivers_;  // of one datagram
  std::mt19937_64 random_;
  RateLimiter ordinary_;
  RateLimiter urgent_;
  bool started_ = false;
  double byteBudget_;                   // bytes that may still be delivered, counted at the receivers
  std::vector<PendingUpdate> pending_;  // at most one an endpoint
  std::unordered_map<std::uint64_t, EndpointStatus> endpointStatuses_;
  std::int64_t lastExpiryMs_ = 0;
  std::vector<std::size_t> order_;  // of the peers; shuffled as far as needed
  std::vector<std::size_t> drawnPeers_;
};

}  // namespace sablespur::cluster
