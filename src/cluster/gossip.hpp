// Gossip updates between proxies and the encoding of their datagrams. Pure: no sockets, no clock. The
// GossipScheduler decides what is sent when.
//
// An update carries an endpoint's replication position and role as some proxy had them from the endpoint
// itself. Positions only grow, so an update that is old, repeated or out of order proves less and harms
// nothing; a lost one costs a health check. Senders are not authenticated here: the caller has to pass only
// datagrams from known peers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::cluster {

constexpr std::size_t kMaxDatagramBytes = 256;  // the platform forwards no longer ones

enum class GossipRole : std::uint8_t { Unknown, Primary, Replica };
struct GossipUpdate {
  std::uint64_t endpointTag = 0;  // endpointTag() of its name
  std::int64_t positionMs = 0;    // Unix time
  GossipRole role = GossipRole::Unknown;
  int classIndex = -1;         // of the request that was answered; -1: no latency
  std::int64_t latencyUs = 0;  // of its complete response; encoded to within 5%
};

// A 40-bit hash of an endpoint's name, the same at every proxy (FNV-1a, folded). Of 1,000 endpoints two share
// a tag in one of two million fleets; a receiver ignores tags that two of its own endpoints share.
std::uint64_t endpointTag(std::string_view name);

// A datagram is one byte of version, then 10 bytes an update: the tag; two bits of role and the low 22 bits
// of the position, which stand for the latest such instant that the receiver accepts (within 70 minutes);
// the class; the latency on a logarithmic scale.
constexpr std::size_t kGossipUpdateBytes = 10;
constexpr std::size_t kGossipUpdatesPerDatagram = (kMaxDatagramBytes - 1) / kGossipUpdateBytes;

// Encodes the updates from index `from` on, at most as many as fit into one datagram.
std::string encode(const std::vector<GossipUpdate>&, std::size_t from = 0);
bool isGossip(std::string_view datagram);  // checks the version alone
// How many updates the datagram holds; 0 if it is malformed.
std::size_t gossipUpdateCount(std::string_view datagram);
// One of them; `index` is below gossipUpdateCount(). Its position is at most nowMs + 1000, the skew that the
// clocks of two machines may have.
GossipUpdate gossipUpdateAt(std::string_view datagram, std::size_t index, std::int64_t nowMs);
// All of them; empty if the datagram is malformed.
std::vector<GossipUpdate> decode(std::string_view datagram, std::int64_t nowMs);

}  // namespace sablespur::cluster
