#include "peers/gossip.hpp"

#include <algorithm>
#include <cmath>

namespace sablespur::peers {
namespace {

constexpr char kVersion = 1;
constexpr int kPositionBits = 22;
constexpr std::int64_t kWrap = std::int64_t{1} << kPositionBits;
constexpr int kNoClass = 255;
constexpr double kSteps = 10;          // of latency, an octave: 100 us to an hour
constexpr std::int64_t kAhead = 1000;  // ms: clocks of two machines may differ so much
// A position is told again once it has gone on by this share of the bound: with as much again for the way,
// and the member's own lag, it still proves what a read needs.
constexpr std::int64_t kNewsShare = 4;
// Guards against a large fleet that talks more than it serves: each answer earns so many bytes delivered at
// all peers together, so that the price of a request stays the same however many proxies there are.
constexpr double kBytesAnAnswer = 512, kMostBytes = 64 * 1024;
constexpr std::size_t kMostKnown = 4096;       // members
constexpr std::int64_t kForgetMs = 60 * 1000;  // after so long without a word

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
  return static_cast<std::uint64_t>(std::clamp(
      std::lround(std::log2(static_cast<double>(std::max<std::int64_t>(us, 1)) / 100) * kSteps), 0l, 255l));
}
std::int64_t latencyOf(std::uint64_t scale) {
  return std::llround(100 * std::exp2(static_cast<double>(scale) / kSteps));
}

}  // namespace

std::uint64_t tagOf(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return (h ^ h >> 40) & 0xffffffffffull;
}

std::string encode(const std::vector<Hint>& hints, std::size_t from) {
  std::string bytes(1, kVersion);
  const std::size_t end = std::min(hints.size(), from + kHintsPerDatagram);
  for (std::size_t k = from; k < end; ++k) {
    put(bytes, hints[k].tag, 5);
    const auto position = static_cast<std::uint64_t>(hints[k].positionMs % kWrap);
    put(bytes, static_cast<std::uint64_t>(hints[k].role) << kPositionBits | position, 3);
    const bool timed = hints[k].cls >= 0 && hints[k].cls < kNoClass;
    put(bytes, static_cast<std::uint64_t>(timed ? hints[k].cls : kNoClass), 1);
    put(bytes, timed ? scaleOf(hints[k].latencyUs) : 0, 1);
  }
  return bytes;
}

bool holdsHints(std::string_view d) { return !d.empty() && d[0] == kVersion; }

std::vector<Hint> decode(std::string_view d, std::int64_t nowMs) {
  std::vector<Hint> hints;
  if (d.size() <= 1 || d.size() > kLongestDatagram || d[0] != kVersion || (d.size() - 1) % kHintBytes != 0)
    return hints;
  for (std::size_t at = 1; at < d.size(); at += kHintBytes) {
    const std::uint64_t word = get(d, at + 5, 3), role = word >> kPositionBits;
    if (role > static_cast<std::uint64_t>(HintRole::Replica)) return {};
    const auto low = static_cast<std::int64_t>(word) % kWrap;
    std::int64_t back = (nowMs + kAhead - low) % kWrap;  // how far before the latest instant that is believed
    if (back < 0) back += kWrap;
    Hint h{get(d, at, 5), nowMs + kAhead - back, static_cast<HintRole>(role)};
    const auto cls = static_cast<int>(get(d, at + 8, 1));
    if (cls != kNoClass) h.cls = cls, h.latencyUs = latencyOf(get(d, at + 9, 1));
    hints.push_back(h);
  }
  return hints;
}

Gossip::Gossip(const Policy& policy) : policy_(policy), purse_(kMostBytes / 8) {}

bool Gossip::learned(const Hint& h, std::int64_t nowMs) {
  const double cost = static_cast<double>(policy_.peers * (kHintBytes + 1));
  purse_ = std::min(purse_ + kBytesAnAnswer, std::max(kMostBytes, cost));
  const auto it = told_.find(h.tag);
  const bool other = it == told_.end() || it->second.role != h.role;
  if (!other && h.positionMs - it->second.positionMs < policy_.boundMs / kNewsShare) return false;
  // Data too old for any read prove nothing that is of use; another role is news all the same.
  if (!other && nowMs - h.positionMs >= policy_.boundMs) return false;
  if (policy_.peers == 0 || purse_ < cost) return false;
  purse_ -= cost;
  note(h, nowMs);
  return true;
}

void Gossip::heard(const Hint& h, std::int64_t nowMs) { note(h, nowMs); }

void Gossip::note(const Hint& h, std::int64_t nowMs) {
  const auto it = told_.find(h.tag);
  if (it != told_.end()) {
    if (h.positionMs >= it->second.positionMs) it->second = {h.positionMs, nowMs, h.role};
    return;
  }
  if (told_.size() >= kMostKnown)
    for (auto old = told_.begin(); old != told_.end();)
      old = nowMs - old->second.atMs > kForgetMs ? told_.erase(old) : std::next(old);
  if (told_.size() < kMostKnown) told_[h.tag] = {h.positionMs, nowMs, h.role};
}

}  // namespace sablespur::peers
