#include "recovery/peer_state_exchange.hpp"

#include <algorithm>

namespace sablespur::recovery {
namespace {

constexpr std::size_t kFixed = 1 + 1 + 4 + 8 + 8 + 8, kEach = 4 + 5;
constexpr std::size_t kMostClaims = 8;  // of a group: whoever tells more is not listened to for those

void put(std::string& to, std::uint64_t v, int bytes) {
  for (int k = bytes - 1; k >= 0; --k) to += static_cast<char>(v >> (8 * k));
}
std::uint64_t take(std::string_view& from, int bytes) {
  std::uint64_t v = 0;
  for (int k = 0; k < bytes; ++k) v = v << 8 | static_cast<unsigned char>(from[static_cast<std::size_t>(k)]);
  from.remove_prefix(static_cast<std::size_t>(bytes));
  return v;
}

}  // namespace

std::string encode(const SnapshotHeader& h) {
  std::string d(1, kHeadVersion);
  put(d, (h.question ? 1u : 0u) | (h.serving ? 2u : 0u), 1);
  put(d, h.nonce, 4);
  put(d, h.epoch, 8);
  put(d, h.sequence, 8);
  put(d, static_cast<std::uint64_t>(h.wallMs), 8);
  for (const SnapshotHeader::Primary& p : h.primaries) {
    if (d.size() + kEach > kLongestHead) break;
    put(d, p.group, 4);
    put(d, p.tag, 5);
  }
  return d;
}

std::optional<SnapshotHeader> decodeHead(std::string_view d) {
  if (d.size() < kFixed || d.size() > kLongestHead || d[0] != kHeadVersion ||
      (d.size() - kFixed) % kEach != 0)
    return std::nullopt;
  d.remove_prefix(1);
  SnapshotHeader h;
  const std::uint64_t flags = take(d, 1);
  if (flags > 3) return std::nullopt;
  h.question = (flags & 1) != 0;
  h.serving = (flags & 2) != 0;
  h.nonce = static_cast<std::uint32_t>(take(d, 4));
  h.epoch = take(d, 8);
  h.sequence = take(d, 8);
  h.wallMs = static_cast<std::int64_t>(take(d, 8));
  if (h.wallMs < 0) return std::nullopt;
  while (!d.empty()) {
    SnapshotHeader::Primary p;
    p.group = static_cast<std::uint32_t>(take(d, 4));
    p.tag = take(d, 5);
    h.primaries.push_back(p);
  }
  return h;
}

PeerStateExchange::PeerStateExchange(const PeerStateExchangePolicy& policy, std::uint64_t seed, Time now,
                                     const SnapshotHeader& own)
    : policy_(policy),
      seed_(seed),
      nonce_(static_cast<std::uint32_t>(dice(0))),
      own_(own.epoch),
      newest_(own.epoch),
      heard_(policy.peers) {
  for (const SnapshotHeader::Primary& p : own.primaries)
    claim(p.group, {p.tag, own.epoch, own.sequence, own.wallMs});
  if (policy_.peers == 0) round_ = policy_.rounds;
  // All proxies together start at once at the most.
  const double questions =
      static_cast<double>((policy_.peers + 1) * policy_.fanout) * static_cast<double>(policy_.rounds);
  const double spread = questions / policy_.fleetPerSecond;
  next_ = now + Time(static_cast<std::int64_t>(spread * 1e6 * static_cast<double>(dice(1) >> 11) * 0x1p-53));
  end_ = policy_.peers == 0 ? now : next_ + policy_.rounds * policy_.round;
}

std::uint64_t PeerStateExchange::dice(std::uint64_t k) const {
  std::uint64_t x = seed_ + 0x9e3779b97f4a7c15ull * (k + 1);
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ x >> 27) * 0x94d049bb133111ebull;
  return x ^ x >> 31;
}

std::optional<Time> PeerStateExchange::next() const {
  return round_ < policy_.rounds ? std::optional<Time>(next_) : std::nullopt;
}

std::vector<std::size_t> PeerStateExchange::due(Time now) {
  std::vector<std::size_t> ask;
  if (round_ >= policy_.rounds || now < next_) return ask;
  // Those that have not answered yet, others in each round: a peer that is gone must not be all that is
  // asked.
  const std::size_t first = static_cast<std::size_t>(dice(2) % policy_.peers);
  const std::size_t from = first + static_cast<std::size_t>(round_) * policy_.fanout;
  for (std::size_t k = 0; k < policy_.peers && ask.size() < policy_.fanout; ++k) {
    const std::size_t peer = (from + k) % policy_.peers;
    if (!heard_[peer]) ask.push_back(peer);
  }
  ++round_;
  next_ +=
      policy_.round / 2 + Time(static_cast<std::int64_t>(dice(3 + static_cast<std::uint64_t>(round_)) %
                                                         static_cast<std::uint64_t>(policy_.round.count())));
  end_ = now + policy_.round;
  return ask;
}

bool PeerStateExchange::answered(std::size_t peer, const SnapshotHeader& h, std::int64_t nowMs) {
  if (h.question || h.nonce != nonce_ || peer >= heard_.size() || heard_[peer]) return false;
  heard_[peer] = true;
  if (h.epoch < own_ || h.wallMs > nowMs + policy_.ahead.count() / 1000) {
    ++turnedAway_;
    return false;
  }
  ++believed_;
  newest_ = std::max(newest_, h.epoch);
  if (h.serving) serving_ = std::max(serving_, h.epoch);
  for (const SnapshotHeader::Primary& p : h.primaries) claim(p.group, {p.tag, h.epoch, h.sequence, h.wallMs});
  return true;
}

// Those who serve were there all along. Guards against one that comes late into an epoch that others began.
std::uint64_t PeerStateExchange::epoch() const {
  return serving_ >= own_ && serving_ > 0 ? serving_ : newest_ + 1;
}

void PeerStateExchange::claim(std::uint32_t group, const Claim& c) {
  std::vector<Claim>& all = claims_[group];
  const auto same = std::find_if(all.begin(), all.end(), [&](const Claim& x) { return x.tag == c.tag; });
  if (same != all.end()) {
    if (c.newer(*same)) *same = c;
  } else if (all.size() < kMostClaims) {
    all.push_back(c);
  }
  std::sort(all.begin(), all.end(), [](const Claim& a, const Claim& b) { return a.newer(b); });
}

std::vector<std::uint64_t> PeerStateExchange::claims(std::uint32_t group) const {
  std::vector<std::uint64_t> tags;
  if (const auto it = claims_.find(group); it != claims_.end())
    for (const Claim& c : it->second) tags.push_back(c.tag);
  return tags;
}

std::optional<std::uint64_t> PeerStateExchange::confirmed(std::uint32_t group, std::uint64_t tag) {
  std::optional<std::uint64_t> by;
  if (const auto it = claims_.find(group); it != claims_.end())
    for (const Claim& c : it->second)
      if (c.tag == tag) by = c.epoch;
  const std::uint64_t epoch = by.value_or(own_);
  const auto was = confirmed_.find(group);
  if (was == confirmed_.end() || epoch >= was->second.epoch) confirmed_[group] = {tag, epoch};
  return by;
}

std::optional<std::uint64_t> PeerStateExchange::primary(std::uint32_t group) const {
  const auto it = confirmed_.find(group);
  return it == confirmed_.end() ? std::nullopt : std::optional<std::uint64_t>(it->second.tag);
}

}  // namespace sablespur::recovery
