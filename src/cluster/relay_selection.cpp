#include "cluster/relay_selection.hpp"

namespace sablespur::cluster {
namespace {

// A relay that is silent for this long after an update becomes suspected. A relay sends many times
// a second while there are updates, and a datagram takes up to 40 ms each way.
constexpr std::int64_t kSilenceMs = 300;
// A suspected peer is tried again after this time, about the duration of a restart, or as soon as a
// datagram arrives from it.
constexpr std::int64_t kSuspicionMs = 3000;

}  // namespace

RelaySelection::RelaySelection(const std::vector<std::size_t>& rankedBefore, std::size_t peers)
    : rankOf_(peers) {
  for (const std::size_t peer : rankedBefore) {
    rankOf_[peer] = candidates_.size();
    candidates_.push_back(Candidate{peer, 0, std::nullopt});
  }
}

std::optional<std::size_t> RelaySelection::relay(std::int64_t nowMs) {
  for (Candidate& candidate : candidates_) {
    if (candidate.unansweredSinceMs && nowMs - *candidate.unansweredSinceMs > kSilenceMs) {
      candidate.unansweredSinceMs.reset();
      candidate.suspectedUntilMs = nowMs + kSuspicionMs;
    }
    if (candidate.suspectedUntilMs <= nowMs) return candidate.peer;
  }
  return std::nullopt;
}

void RelaySelection::sentTo(std::size_t peer, std::int64_t nowMs) {
  if (!rankOf_[peer]) return;
  std::optional<std::int64_t>& since = candidates_[*rankOf_[peer]].unansweredSinceMs;
  if (!since) since = nowMs;
}

void RelaySelection::receivedFrom(std::size_t peer) {
  if (!rankOf_[peer]) return;
  Candidate& candidate = candidates_[*rankOf_[peer]];
  candidate.unansweredSinceMs.reset();
  candidate.suspectedUntilMs = 0;
}

}  // namespace sablespur::cluster
