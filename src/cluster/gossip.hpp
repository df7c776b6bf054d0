// What proxies tell each other of members and the form of their datagrams: pure, no sockets, no clock. What
// is sent when is the GossipScheduler's decision.
//
// A hint is a fact that some proxy had from a member itself: up to where its data went, and its role then. A
// position never goes back, so an old hint, a repeated one or one out of order proves less and harms nothing;
// a lost one costs a probe. Nothing here vouches for the sender: whoever passes datagrams on sees to that.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::cluster {

constexpr std::size_t kLongestDatagram = 256;  // bytes; the platform takes no more

enum class GossipRole : std::uint8_t { Unknown, Primary, Replica };
struct GossipUpdate {
  std::uint64_t endpointTag = 0;  // of the member's name, see tagOf
  std::int64_t positionMs = 0;    // Unix time
  GossipRole role = GossipRole::Unknown;
  int classIndex = -1;         // of the request that was answered; -1: not told
  std::int64_t latencyUs = 0;  // until its answer; told to within 5%
};

// The same 40 bits for the same name at every proxy (FNV-1a, folded): of 1,000 members two share a tag once
// in two million fleets; a receiver believes no tag that two of its own members share.
std::uint64_t endpointTag(std::string_view name);

// One byte of version, then 10 bytes a hint: the tag; two bits of role and 22 of the position, which stand
// for the latest such instant that the receiver believes (within 70 minutes); the class; the latency on a
// scale of octaves. Takes at most what one datagram holds.
constexpr std::size_t kGossipUpdateBytes = 10,
                      kGossipUpdatesPerDatagram = (kLongestDatagram - 1) / kGossipUpdateBytes;
std::string encode(const std::vector<GossipUpdate>&, std::size_t from = 0);
bool isGossip(std::string_view datagram);  // by its version alone
// How many hints the datagram holds; 0 where the bytes are no such datagram.
std::size_t gossipUpdateCount(std::string_view datagram);
// One of them, by its index below gossipUpdateCount(). No position lies after nowMs + 1000: no member is
// there.
GossipUpdate gossipUpdateAt(std::string_view datagram, std::size_t index, std::int64_t nowMs);
// All of them; empty where the bytes are no such datagram.
std::vector<GossipUpdate> decode(std::string_view datagram, std::int64_t nowMs);

}  // namespace sablespur::cluster
