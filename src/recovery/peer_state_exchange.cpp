#include "recovery/peer_state_exchange.hpp"

#include <algorithm>

namespace sablespur::recovery {
namespace {

constexpr std::size_t kFixedBytes = 1 + 1 + 4 + 8 + 8 + 8;
constexpr std::size_t kBytesPerPrimary = 4 + 5;
constexpr std::size_t kMaxClaimsPerGroup = 8;  // more are ignored, to bound memory

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
  std::string d(1, kSnapshotHeaderVersion);
  put(d, (h.isRequest ? 1u : 0u) | (h.serving ? 2u : 0u), 1);
  put(d, h.nonce, 4);
  put(d, h.epoch, 8);
  put(d, h.sequence, 8);
  put(d, static_cast<std::uint64_t>(h.wallMs), 8);
  for (const SnapshotHeader::Primary& p : h.primaries) {
    if (d.size() + kBytesPerPrimary > kMaxSnapshotHeaderBytes) break;
    put(d, p.group, 4);
    put(d, p.tag, 5);
  }
  return d;
}

std::optional<SnapshotHeader> decodeSnapshotHeader(std::string_view d) {
  if (d.size() < kFixedBytes || d.size() > kMaxSnapshotHeaderBytes || d[0] != kSnapshotHeaderVersion ||
      (d.size() - kFixedBytes) % kBytesPerPrimary != 0)
    return std::nullopt;
  d.remove_prefix(1);
  SnapshotHeader h;
  const std::uint64_t flags = take(d, 1);
  if (flags > 3) return std::nullopt;
  h.isRequest = (flags & 1) != 0;
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
      nonce_(static_cast<std::uint32_t>(randomNumber(0))),
      ownEpoch_(own.epoch),
      newestEpoch_(own.epoch),
      responded_(policy.peers) {
  for (const SnapshotHeader::Primary& p : own.primaries)
    recordClaim(p.group, {p.tag, own.epoch, own.sequence, own.wallMs});
  if (policy_.peers == 0) round_ = policy_.rounds;
  // Assumes the worst case: all proxies start at once.
  const double fleetRequests =
      static_cast<double>((policy_.peers + 1) * policy_.fanout) * static_cast<double>(policy_.rounds);
  const double spreadSeconds = fleetRequests / policy_.fleetRequestsPerSecond;
  nextDue_ = now + Time(static_cast<std::int64_t>(spreadSeconds * 1e6 *
                                                  static_cast<double>(randomNumber(1) >> 11) * 0x1p-53));
  endsAt_ = policy_.peers == 0 ? now : nextDue_ + policy_.rounds * policy_.roundInterval;
}

std::uint64_t PeerStateExchange::randomNumber(std::uint64_t k) const {
  std::uint64_t x = seed_ + 0x9e3779b97f4a7c15ull * (k + 1);
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ x >> 27) * 0x94d049bb133111ebull;
  return x ^ x >> 31;
}

std::optional<Time> PeerStateExchange::nextDue() const {
  return round_ < policy_.rounds ? std::optional<Time>(nextDue_) : std::nullopt;
}

std::vector<std::size_t> PeerStateExchange::duePeers(Time now) {
  std::vector<std::size_t> due;
  if (round_ >= policy_.rounds || now < nextDue_) return due;
  // Skips peers that have responded. Each round starts at other peers, because all peers of one
  // round may be down.
  const std::size_t first = static_cast<std::size_t>(randomNumber(2) % policy_.peers);
  const std::size_t from = first + static_cast<std::size_t>(round_) * policy_.fanout;
  for (std::size_t k = 0; k < policy_.peers && due.size() < policy_.fanout; ++k) {
    const std::size_t peer = (from + k) % policy_.peers;
    if (!responded_[peer]) due.push_back(peer);
  }
  ++round_;
  nextDue_ += policy_.roundInterval / 2 +
              Time(static_cast<std::int64_t>(randomNumber(3 + static_cast<std::uint64_t>(round_)) %
                                             static_cast<std::uint64_t>(policy_.roundInterval.count())));
  endsAt_ = now + policy_.roundInterval;
  return due;
}

bool PeerStateExchange::responseReceived(std::size_t peer, const SnapshotHeader& h, std::int64_t nowMs) {
  if (h.isRequest || h.nonce != nonce_ || peer >= responded_.size() || responded_[peer]) return false;
  responded_[peer] = true;
  if (h.epoch < ownEpoch_ || h.wallMs > nowMs + policy_.clockTolerance.count() / 1000) {
    ++rejectedResponses_;
    return false;
  }
  ++acceptedResponses_;
  newestEpoch_ = std::max(newestEpoch_, h.epoch);
  if (h.serving) servingEpoch_ = std::max(servingEpoch_, h.epoch);
  for (const SnapshotHeader::Primary& p : h.primaries)
    recordClaim(p.group, {p.tag, h.epoch, h.sequence, h.wallMs});
  return true;
}

// Joins the epoch of peers that serve. A proxy that starts later than the others would otherwise
// begin a new epoch while theirs is still in use.
std::uint64_t PeerStateExchange::epoch() const {
  return servingEpoch_ >= ownEpoch_ && servingEpoch_ > 0 ? servingEpoch_ : newestEpoch_ + 1;
}

void PeerStateExchange::recordClaim(std::uint32_t group, const Claim& c) {
  std::vector<Claim>& all = claims_[group];
  const auto same = std::find_if(all.begin(), all.end(), [&](const Claim& x) { return x.tag == c.tag; });
  if (same != all.end()) {
    if (c.newer(*same)) *same = c;
  } else if (all.size() < kMaxClaimsPerGroup) {
    all.push_back(c);
  }
  std::sort(all.begin(), all.end(), [](const Claim& a, const Claim& b) { return a.newer(b); });
}

std::vector<std::uint64_t> PeerStateExchange::primaryClaims(std::uint32_t group) const {
  std::vector<std::uint64_t> tags;
  if (const auto it = claims_.find(group); it != claims_.end())
    for (const Claim& c : it->second) tags.push_back(c.tag);
  return tags;
}

std::optional<std::uint64_t> PeerStateExchange::confirmPrimary(std::uint32_t group, std::uint64_t tag) {
  std::optional<std::uint64_t> claimedEpoch;
  if (const auto it = claims_.find(group); it != claims_.end())
    for (const Claim& c : it->second)
      if (c.tag == tag) claimedEpoch = c.epoch;
  const std::uint64_t epoch = claimedEpoch.value_or(ownEpoch_);
  const auto previous = confirmed_.find(group);
  if (previous == confirmed_.end() || epoch >= previous->second.epoch) confirmed_[group] = {tag, epoch};
  return claimedEpoch;
}

std::optional<std::uint64_t> PeerStateExchange::confirmedPrimary(std::uint32_t group) const {
  const auto it = confirmed_.find(group);
  return it == confirmed_.end() ? std::nullopt : std::optional<std::uint64_t>(it->second.tag);
}

}  // namespace sablespur::recovery
