#include "cluster/gossip.hpp"

#include <algorithm>
#include <cmath>

namespace sablespur::cluster {
namespace {

constexpr char kVersion = 1;
constexpr int kPositionBits = 22;
constexpr std::int64_t kWrap = std::int64_t{1} << kPositionBits;
constexpr int kNoClass = 255;
constexpr double kLatencyStepsPerOctave = 10;   // from 100 us on; 255 steps reach an hour
constexpr std::int64_t kMaxClockSkewMs = 1000;  // between the clocks of two machines

void put(std::string& to, std::uint64_t v, int bytes) {
  for (int k = bytes - 1; k >= 0; --k) to += static_cast<char>(v >> (8 * k));
}
std::uint64_t get(std::string_view from, std::size_t at, int bytes) {
  std::uint64_t v = 0;
  for (int k = 0; k < bytes; ++k)
    v = v << 8 | static_cast<unsigned char>(from[at + static_cast<std::size_t>(k)]);
  return v;
}

std::uint64_t scaleOf(std::int64_t us) {
  return static_cast<std::uint64_t>(
      std::clamp(std::lround(std::log2(static_cast<double>(std::max<std::int64_t>(us, 1)) / 100) *
                             kLatencyStepsPerOctave),
                 0l, 255l));
}
std::int64_t latencyOf(std::uint64_t scale) {
  return std::llround(100 * std::exp2(static_cast<double>(scale) / kLatencyStepsPerOctave));
}

std::uint64_t positionWordOf(std::string_view datagram, std::size_t index) {
  return get(datagram, 1 + index * kGossipUpdateBytes + 5, 3);
}

}  // namespace

std::uint64_t endpointTag(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return (h ^ h >> 40) & 0xffffffffffull;
}

std::string encode(const std::vector<GossipUpdate>& updates, std::size_t from) {
  std::string bytes(1, kVersion);
  const std::size_t end = std::min(updates.size(), from + kGossipUpdatesPerDatagram);
  for (std::size_t k = from; k < end; ++k) {
    put(bytes, updates[k].endpointTag, 5);
    const auto position = static_cast<std::uint64_t>(updates[k].positionMs % kWrap);
    put(bytes, static_cast<std::uint64_t>(updates[k].role) << kPositionBits | position, 3);
    const bool hasLatency = updates[k].classIndex >= 0 && updates[k].classIndex < kNoClass;
    put(bytes, static_cast<std::uint64_t>(hasLatency ? updates[k].classIndex : kNoClass), 1);
    put(bytes, hasLatency ? scaleOf(updates[k].latencyUs) : 0, 1);
  }
  return bytes;
}

bool isGossip(std::string_view d) { return !d.empty() && d[0] == kVersion; }

std::size_t gossipUpdateCount(std::string_view d) {
  if (d.size() <= 1 || d.size() > kMaxDatagramBytes || d[0] != kVersion ||
      (d.size() - 1) % kGossipUpdateBytes != 0)
    return 0;
  const std::size_t count = (d.size() - 1) / kGossipUpdateBytes;
  for (std::size_t k = 0; k < count; ++k)
    if (positionWordOf(d, k) >> kPositionBits > static_cast<std::uint64_t>(GossipRole::Replica)) return 0;
  return count;
}

GossipUpdate gossipUpdateAt(std::string_view d, std::size_t index, std::int64_t nowMs) {
  const std::size_t at = 1 + index * kGossipUpdateBytes;
  const std::uint64_t word = positionWordOf(d, index);
  const auto low = static_cast<std::int64_t>(word) % kWrap;
  std::int64_t back = (nowMs + kMaxClockSkewMs - low) % kWrap;  // distance to the latest accepted instant
  if (back < 0) back += kWrap;
  GossipUpdate update{get(d, at, 5), nowMs + kMaxClockSkewMs - back,
                      static_cast<GossipRole>(word >> kPositionBits)};
  const auto cls = static_cast<int>(get(d, at + 8, 1));
  if (cls != kNoClass) {
    update.classIndex = cls;
    update.latencyUs = latencyOf(get(d, at + 9, 1));
  }
  return update;
}

std::vector<GossipUpdate> decode(std::string_view d, std::int64_t nowMs) {
  std::vector<GossipUpdate> updates;
  const std::size_t count = gossipUpdateCount(d);
  for (std::size_t k = 0; k < count; ++k) updates.push_back(gossipUpdateAt(d, k, nowMs));
  return updates;
}

}  // namespace sablespur::cluster
