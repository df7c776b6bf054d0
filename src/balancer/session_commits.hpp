// Remembers the last commit of each session, for session reads whose clients do not send it.
//
// A session that is not remembered has not necessarily written nothing: it may have been forgotten,
// or its commit may never have been seen. Lower bounds that apply to every session cover both.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "balancer/time_math.hpp"

namespace sablespur::balancer {

class SessionCommits {
 public:
  // Remembers `commit` if it is the session's newest. At the limit of sessions, all are forgotten,
  // and the newest commit among them applies to every session.
  void record(std::uint64_t session, Time commit);

  // Any session may have committed until `instant`, which is of the caller's own clock, without a
  // call of record().
  void assumeUnseenUntil(Time instant) { unseenUntil_ = std::max(unseenUntil_, instant); }

  // Returns the position that a read of the session needs; kNever if the session has certainly
  // written nothing.
  Time requiredBy(std::uint64_t session) const;

  // Shifts the commits after the caller's estimate of the clock behind them has changed.
  void shift(Time by);

 private:
  std::unordered_map<std::uint64_t, Time> lastCommit_;
  Time newestForgotten_ = kNever;
  Time unseenUntil_ = kNever;
};

}  // namespace sablespur::balancer
