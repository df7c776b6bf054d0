// Chooses the relay: the proxy that gathers the gossip updates of a large fleet and broadcasts them
// in full datagrams. Uses no sockets and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sablespur::cluster {

// All proxies compute the same ranking; the relay is the first proxy in it that is not suspected to
// be down. A peer becomes suspected for a limited time if no datagram arrives from it after an
// update was sent to it. Proxies that disagree temporarily lose a few updates or send them twice,
// which is harmless.
class RelaySelection {
 public:
  // `rankedBefore`: the peers that rank before this proxy, in rank order. `peers`: the number of
  // all peers.
  RelaySelection(const std::vector<std::size_t>& rankedBefore, std::size_t peers);

  // Returns the relay's index among the peers; std::nullopt if this proxy is the relay.
  std::optional<std::size_t> relay(std::int64_t nowMs);
  // Records that an update was sent to the relay `peer`, which is expected to send datagrams of its
  // own.
  void sentTo(std::size_t peer, std::int64_t nowMs);
  // Records that a datagram arrived from `peer`. Any datagram shows that the peer is alive.
  void receivedFrom(std::size_t peer);

 private:
  struct Candidate {
    std::size_t peer = 0;
    std::int64_t suspectedUntilMs = 0;
    std::optional<std::int64_t> unansweredSinceMs;
  };

  std::vector<Candidate> candidates_;               // by rank
  std::vector<std::optional<std::size_t>> rankOf_;  // by peer; std::nullopt: ranked after this proxy
};

}  // namespace sablespur::cluster
