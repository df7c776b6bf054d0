// Chooses the proxy that gathers the gossip of a large fleet and broadcasts it in full datagrams. Pure: no
// sockets, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sablespur::cluster {

// All proxies rank each other alike; the relay is the first that is not suspected to be down. A peer is
// suspected for a while if nothing at all comes from it after an update was sent to it. Proxies that disagree
// for a moment lose a few updates or send them twice, which is harmless.
class RelaySelection {
 public:
  // The peers that rank before this proxy, the first one first; `peers` is the number of all of them.
  RelaySelection(const std::vector<std::size_t>& rankedBefore, std::size_t peers);

  // The relay's index among the peers; nothing: it is this proxy.
  std::optional<std::size_t> relay(std::int64_t nowMs);
  // An update went to the relay `peer`, whose datagrams show that it is alive.
  void sentTo(std::size_t peer, std::int64_t nowMs);
  // A datagram came from `peer`: whatever it holds, it is alive.
  void receivedFrom(std::size_t peer);

 private:
  struct Candidate {
    std::size_t peer = 0;
    std::int64_t suspectedUntilMs = 0;
    std::optional<std::int64_t> unansweredSinceMs;
  };

  std::vector<Candidate> candidates_;               // by rank
  std::vector<std::optional<std::size_t>> rankOf_;  // by peer; nothing: ranked after this proxy
};

}  // namespace sablespur::cluster
