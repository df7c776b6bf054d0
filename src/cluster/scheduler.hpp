// Decides which gossip updates a proxy sends to its peers and when. Uses no sockets and reads no
// clock.
//
// The number of datagrams that a proxy receives stays within a budget, whatever the size of the
// fleet:
//   Ordinary updates: each proxy sends one datagram per interval, with all updates gathered in it.
//     The interval grows with the number of receivers. Updates that a peer has already sent are
//     left out.
//   Changes of role: may be sent earlier, from a small budget of their own, after a random delay.
//     They are dropped if another proxy broadcasts them first.
//   Relay: in a fleet of more than kMaxDirectPeers with a broadcast address, the interval would be
//     longer than a position stays useful. There each proxy sends its updates without that delay to
//     one proxy, the relay (RelaySelection), and only the relay broadcasts them, in nearly full
//     datagrams.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "cluster/gossip.hpp"
#include "cluster/relay_selection.hpp"

namespace sablespur::cluster {

// Datagrams per second that a proxy receives from all peers together if each of them has updates.
// One costs about 10 us, so 80 take under a thousandth of a core; with a few positions in each,
// every endpoint of a group of twenty is reported more than ten times a second.
constexpr double kReceivedPerSecond = 80;
// The same limit for changes of role. They are rare, and most are suppressed because a peer sent
// them first.
constexpr double kUrgentReceivedPerSecond = 20;
// Receivers of one datagram if there is no broadcast address; drawn at random for each datagram.
constexpr std::size_t kFanout = 16;
// Datagrams per second that a relay receives from all other proxies together; about 2% of a core.
constexpr double kRelayReceivedPerSecond = 2000;
// Up to this number of peers each proxy broadcasts its own updates; its interval is then at most a
// quarter of a second.
constexpr std::size_t kMaxDirectPeers = 20;

// Limits a sender to one datagram per interval on average, with bursts after a pause (the generic
// cell rate algorithm, ITU-T I.371).
class RateLimiter {
 public:
  RateLimiter(double intervalMs, double burstMs) : intervalMs_(intervalMs), burstMs_(burstMs) {}
  void startAt(double ms) { nextMs_ = ms; }
  std::int64_t allowedFromMs() const;
  bool allows(std::int64_t nowMs) const { return nowMs >= allowedFromMs(); }
  // Records that a datagram was sent. `jitter` is a factor of the interval, 1 on average.
  void spend(std::int64_t nowMs, double jitter);
  double intervalMs() const { return intervalMs_; }

 private:
  double intervalMs_, burstMs_;
  double nextMs_ = 0;
};

class GossipScheduler {
 public:
  struct Policy {
    std::size_t peers = 0;       // number of other proxies
    std::int64_t boundMs = 200;  // staleness bound: older data serve no read
    bool broadcast = true;       // one address reaches all peers
    std::uint64_t seed = 0;      // has to differ between proxies
    // The peers that rank before this proxy as relays; std::nullopt if this proxy's rank is not
    // known.
    std::optional<std::vector<std::size_t>> rankedBefore = std::nullopt;
  };
  explicit GossipScheduler(const Policy&);

  // Handles a status from a response or a health check of this proxy. Each call adds to the byte
  // budget.
  void observedLocally(const GossipUpdate&, std::int64_t nowMs);
  // Handles an update from a peer.
  void receivedFromPeer(const GossipUpdate&, std::int64_t nowMs);
  // Records that a datagram arrived from `peer`.
  void datagramReceived(std::size_t peer);
  // Fills `datagram` with at most kGossipUpdatesPerDatagram updates for the relay and returns the
  // relay's index among the peers. Returns std::nullopt if no updates are due, if this proxy is the
  // relay, or if the fleet uses no relay.
  std::optional<std::size_t> takeForRelay(std::int64_t nowMs, std::vector<GossipUpdate>& datagram);
  // Fills `datagram` with at most kGossipUpdatesPerDatagram updates for the receivers of
  // drawReceivers(). Returns false if no datagram is due.
  bool takeDatagram(std::int64_t nowMs, std::vector<GossipUpdate>& datagram);
  // Returns when the next change of role is due. Other updates need no timer: they are sent in the
  // first event-loop turn in which the budget allows them.
  std::optional<std::int64_t> urgentAtMs() const;
  // Returns when this proxy sends its next datagram as the relay; std::nullopt if it is not the
  // relay or has no updates.
  std::optional<std::int64_t> relayAtMs(std::int64_t nowMs);
  // Returns the receivers of the next datagram: all peers, or kFanout of them drawn at random. The
  // reference is valid until the next call.
  const std::vector<std::size_t>& drawReceivers();

  std::size_t knownEndpoints() const { return endpointStatuses_.size(); }

 private:
  // The reason to send an update, by increasing priority. Lag: a replica has fallen behind the bound.
  enum class UpdateKind { Position, Lag, RoleChange };
  struct EndpointStatus {  // as last sent by this proxy or a peer
    std::int64_t positionMs = 0;
    std::int64_t atMs = 0;
    GossipRole role = GossipRole::Unknown;
    bool lagging = false;
  };
  struct PendingUpdate {
    GossipUpdate update;
    UpdateKind kind = UpdateKind::Position;
    std::int64_t dueMs = 0;  // RoleChange only: earliest time to send
    int sendsLeft = 0;       // RoleChange only: datagrams in which it still has to be sent
  };

  bool sendsToSample() const { return receivers_ < policy_.peers; }
  bool isRelay(std::int64_t nowMs) { return relaySelection_ && !relaySelection_->relay(nowMs); }
  bool broadcastAllowed(std::int64_t nowMs);
  void receivedByRelay(const GossipUpdate&, std::int64_t nowMs);
  bool changesRole(const GossipUpdate&) const;
  // Returns why the update is worth sending; std::nullopt if it is not.
  std::optional<UpdateKind> classify(const GossipUpdate&, std::int64_t nowMs) const;
  void enqueue(const GossipUpdate&, UpdateKind, std::int64_t nowMs);
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
  RateLimiter ordinaryLimiter_;
  RateLimiter urgentLimiter_;
  RateLimiter toRelayLimiter_;
  RateLimiter relayLimiter_;  // for the relay's broadcasts, which may use the whole budget
  std::optional<RelaySelection> relaySelection_;  // std::nullopt: each proxy broadcasts its own updates
  bool started_ = false;
  double byteBudget_;                   // bytes that may still be sent, counted once per receiver
  std::vector<PendingUpdate> pending_;  // at most one per endpoint
  std::unordered_map<std::uint64_t, EndpointStatus> endpointStatuses_;
  std::int64_t lastExpiryMs_ = 0;
  std::vector<std::size_t> order_;  // peer indices, partially shuffled by drawReceivers()
  std::vector<std::size_t> drawnPeers_;
};

}  // namespace sablespur::cluster
