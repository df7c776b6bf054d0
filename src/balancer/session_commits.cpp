#include "balancer/session_commits.hpp"

#include <algorithm>

namespace sablespur::balancer {
namespace {

constexpr std::size_t kMaxRememberedSessions = 200000;  // bounds memory

}  // namespace

void SessionCommits::record(std::uint64_t session, Time commit) {
  Time& last = lastCommit_[session];
  last = std::max(last, commit);
  if (lastCommit_.size() <= kMaxRememberedSessions) return;
  for (const auto& entry : lastCommit_) newestForgotten_ = std::max(newestForgotten_, entry.second);
  lastCommit_.clear();
}

Time SessionCommits::requiredBy(std::uint64_t session) const {
  const auto found = lastCommit_.find(session);
  const Time remembered = found == lastCommit_.end() ? newestForgotten_ : found->second;
  return std::max(remembered, unseenUntil_);
}

void SessionCommits::shift(Time by) {
  for (auto& entry : lastCommit_) shiftInstant(entry.second, by);
  shiftInstant(newestForgotten_, by);
}

}  // namespace sablespur::balancer
