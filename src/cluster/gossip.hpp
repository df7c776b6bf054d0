// Gossip updates between proxies and the encoding of their datagrams. Uses no sockets and reads no
// clock. The GossipScheduler decides which updates are sent and when.
//
// An update carries an endpoint's replication position and role, which one of the proxies received
// from the endpoint itself. Positions only grow, so old, repeated or reordered updates are
// harmless; a lost update costs a health check. Senders are not authenticated here: the caller must
// pass only datagrams from known peers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::cluster {

constexpr std::size_t kMaxDatagramBytes = 256;  // the platform does not forward longer datagrams

enum class GossipRole : std::uint8_t { Unknown, Primary, Replica };
struct GossipUpdate {
  std::uint64_t endpointTag = 0;  // endpointTag() of the endpoint's name
  std::int64_t positionMs = 0;    // Unix time
  GossipRole role = GossipRole::Unknown;
  int classIndex = -1;         // request class that latencyUs belongs to; -1: no latency
  std::int64_t latencyUs = 0;  // until the response was complete; encoded to within 5%
};

// Returns a 40-bit hash of an endpoint's name (FNV-1a, folded), the same at every proxy. In a fleet
// of 1,000 endpoints, two share a tag with a probability of one in two million. A receiver ignores
// tags that two of its own endpoints share.
std::uint64_t endpointTag(std::string_view name);

// A datagram is one version byte followed by 10 bytes per update:
//   5 bytes   the endpoint's tag
//   3 bytes   the role (2 bits) and the low 22 bits of the position; the receiver takes the latest
//             instant with these bits that it accepts, which is unique within 70 minutes
//   1 byte    the request class
//   1 byte    the latency on a logarithmic scale
constexpr std::size_t kGossipUpdateBytes = 10;
constexpr std::size_t kGossipUpdatesPerDatagram = (kMaxDatagramBytes - 1) / kGossipUpdateBytes;

// Encodes the updates from index `from` on, as many as fit into one datagram.
std::string encode(const std::vector<GossipUpdate>&, std::size_t from = 0);
bool isGossip(std::string_view datagram);  // checks only the version
// Returns the number of updates in the datagram; 0 if it is malformed.
std::size_t gossipUpdateCount(std::string_view datagram);
// Decodes one update; `index` has to be below gossipUpdateCount(). The position is at most nowMs +
// 1000, the allowed skew between the clocks of two machines.
GossipUpdate gossipUpdateAt(std::string_view datagram, std::size_t index, std::int64_t nowMs);
// Decodes all updates; empty if the datagram is malformed.
std::vector<GossipUpdate> decode(std::string_view datagram, std::int64_t nowMs);

}  // namespace sablespur::cluster
