// Remembers the last commit of each session, for session reads whose clients do not send it.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "balancer/time_math.hpp"

namespace sablespur::balancer {

class SessionCommits {
 public:
  // Stores the newer of the remembered commit and `commit`. At the limit of sessions, all are
  // forgotten and the newest commit among them is returned; the caller must require it of reads of
  // every unknown session. Otherwise returns `std::nullopt`.
  std::optional<Time> record(std::uint64_t session, Time commit);

  std::optional<Time> find(std::uint64_t session) const;

  // Shifts all commits after the caller's estimate of the clock behind them has changed.
  void shift(Time by);

 private:
  std::unordered_map<std::uint64_t, Time> lastCommit_;
};

}  // namespace sablespur::balancer
