// Decides which gossip updates a proxy sends to its peers and when. Pure: no sockets, no clock.
//
// What one proxy receives stays within a budget however many proxies there are. Each proxy sends one
// datagram in an interval that grows with the number of receivers, and that datagram carries all updates
// gathered meanwhile. Updates that a peer has sent already are left out. A change of role may go out sooner,
// from a small budget of its own, after a random delay in which another proxy may send it first.
//
// In a fleet of more than kMaxDirectPeers with a broadcast address, that interval would be longer than a
// position is of use. There each proxy sends what it has at once to one of them, the relay (RelaySelection),
// and the relay alone broadcasts, in datagrams that are nearly full.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "cluster/gossip.hpp"
#include "cluster/relay_selection.hpp"

namespace sablespur::cluster {

// Datagrams a second that a proxy receives from all its peers together if each of them has updates. One
// costs about 10 us, so 80 take under a thousandth of a core; with a few positions in each, every member of a
// group of twenty is reported more than ten times a second.
constexpr double kReceivedPerSecond = 80;
// The same for changes of role; rare, and most are suppressed because a peer was first.
constexpr double kUrgentReceivedPerSecond = 20;
// Receivers of one datagram if no broadcast address reaches all peers; drawn anew each time.
constexpr std::size_t kFanout = 16;
// Datagrams a second that a relay receives from all others together; about 2% of a core.
constexpr double kRelayReceivedPerSecond = 2000;
// Up to here each proxy broadcasts by itself: its interval is at most a quarter of a second.
constexpr std::size_t kMaxDirectPeers = 20;

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
    // The peers that rank before this proxy as relays; nothing: its place among them is not known.
    std::optional<std::vector<std::size_t>> rankedBefore = std::nullopt;
  };
  explicit GossipScheduler(const Policy&);

  // A status from a response or a health check. Each call adds to the byte budget.
  void observedLocally(const GossipUpdate&, std::int64_t nowMs);
  // An update from a peer.
  void receivedFromPeer(const GossipUpdate&, std::int64_t nowMs);
  // A datagram came from `peer`.
  void datagramReceived(std::size_t peer);
  // Fills `datagram` with updates for the relay, at most kGossipUpdatesPerDatagram, and returns its index
  // among the peers. Nothing: there are none, or this proxy is the relay, or there is no relay.
  std::optional<std::size_t> takeForRelay(std::int64_t nowMs, std::vector<GossipUpdate>& datagram);
  // Fills `datagram` with the updates of one to all receivers that is due now, at most
  // kGossipUpdatesPerDatagram. False: none is due.
  bool takeDatagram(std::int64_t nowMs, std::vector<GossipUpdate>& datagram);
  // When a change of role is due next; other updates wait for the first turn in which the budget allows them.
  std::optional<std::int64_t> urgentAtMs() const;
  // When this proxy, as the relay, sends its next datagram.
  std::optional<std::int64_t> relayAtMs(std::int64_t nowMs);
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
  bool isRelay(std::int64_t nowMs) { return relays_ && !relays_->relay(nowMs); }
  bool broadcastAllowed(std::int64_t nowMs);
  void receivedByRelay(const GossipUpdate&, std::int64_t nowMs);
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
  RateLimiter toRelay_;
  RateLimiter relayed_;                   // of the relay, which has the whole budget
  std::optional<RelaySelection> relays_;  // nothing: each proxy broadcasts by itself
  bool started_ = false;
  double byteBudget_;                   // bytes that may still be delivered, counted at the receivers
  std::vector<PendingUpdate> pending_;  // at most one an endpoint
  std::unordered_map<std::uint64_t, EndpointStatus> endpointStatuses_;
  std::int64_t lastExpiryMs_ = 0;
  std::vector<std::size_t> order_;  // of the peers; shuffled as far as needed
  std::vector<std::size_t> drawnPeers_;
};

}  // namespace sablespur::cluster
