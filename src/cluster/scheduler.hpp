// Decides what a proxy tells its peers and when: pure, no sockets, no clock.
//
// What one proxy receives stays within a budget however many proxies there are. Each proxy sends one
// datagram in an interval that grows with the number that receive it, and that datagram carries all the news
// gathered meanwhile. News that a peer has told is left out. A change of role may go out sooner, from a small
// budget of its own, after a random delay in which another proxy may tell it first.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "cluster/gossip.hpp"

namespace sablespur::cluster {

// Datagrams a second that a proxy receives from all its peers together, where each of them has news. One
// costs about 10 us, so 80 take under a thousandth of a core; with a few positions in each, every member of a
// group of twenty is heard of more than ten times a second.
constexpr double kReceivedPerSecond = 80;
// The same for changes of role; rare, and most are held back since a peer told them first.
constexpr double kUrgentReceivedPerSecond = 20;
// Peers that one datagram goes to where no address reaches all of them: receivers are drawn anew each time.
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
    bool broadcast = true;       // one address reaches all of them
    std::uint64_t seed = 0;      // another one for each proxy
  };
  explicit GossipScheduler(const Policy&);

  // What an answer or a probe has told this proxy. Each call earns its part of the budget of bytes.
  void observedLocally(const GossipUpdate&, std::int64_t nowMs);
  // What a peer told.
  void receivedFromPeer(const GossipUpdate&, std::int64_t nowMs);
  // Fills `datagram` with the hints of one that is due now, at most kHintsPerDatagram. False: none is due.
  bool takeDatagram(std::int64_t nowMs, std::vector<GossipUpdate>& datagram);
  // When a change of role is due next; other news waits for the next turn in which it may go.
  std::optional<std::int64_t> urgentAtMs() const;
  // Whom the next datagram goes to: all peers, or kFanout of them drawn at random. Valid until the next call.
  const std::vector<std::size_t>& drawReceivers();

  std::size_t knownEndpoints() const { return endpointStatuses_.size(); }

 private:
  enum class News { Position, Lag, RoleChange };
  struct EndpointStatus {  // of a member, by whomever
    std::int64_t positionMs = 0;
    std::int64_t atMs = 0;
    GossipRole role = GossipRole::Unknown;
    bool lagging = false;
  };
  struct PendingUpdate {
    GossipUpdate update;
    News news = News::Position;
    std::int64_t dueMs = 0;  // RoleChange
    int sendsLeft = 0;       // RoleChange: datagrams that are still to carry it
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
  double deliveredBytes(std::size_t hints) const;
  double firstPhase();
  std::int64_t urgentDelayMs();

  const Policy policy_;
  const std::size_t receivers_;  // of one datagram
  std::mt19937_64 random_;
  RateLimiter ordinary_, urgent_;
  bool started_ = false;
  double byteBudget_;                   // bytes that may still be delivered
  std::vector<PendingUpdate> pending_;  // at most one a member
  std::unordered_map<std::uint64_t, EndpointStatus> endpointStatuses_;
  std::int64_t lastExpiryMs_ = 0;
  std::vector<std::size_t> order_;  // of the peers, shuffled as far as needed
  std::vector<std::size_t> drawnPeers_;
};

}  // namespace sablespur::cluster
