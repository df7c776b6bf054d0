#include "balancer/session_commits.hpp"

#include <algorithm>

namespace sablespur::balancer {
namespace {

constexpr std::size_t kMaxRememberedSessions = 200000;  // bounds memory

}  // namespace

std::optional<Time> SessionCommits::record(std::uint64_t session, Time commit) {
  Time& last = lastCommit_[session];
  last = std::max(last, commit);
  if (lastCommit_.size() <= kMaxRememberedSessions) return std::nullopt;
  Time newest = kNever;
  for (const auto& entry : lastCommit_) newest = std::max(newest, entry.second);
  lastCommit_.clear();
  return newest;
}

std::optional<Time> SessionCommits::find(std::uint64_t session) const {
  const auto found = lastCommit_.find(session);
  if (found == lastCommit_.end()) return std::nullopt;
  return found->second;
}

void SessionCommits::shift(Time by) {
  for (auto& entry : lastCommit_) shiftInstant(entry.second, by);
}

}  // namespace sablespur::balancer
