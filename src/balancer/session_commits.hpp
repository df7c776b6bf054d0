// The last commit of each session, for session reads where clients do not bring it along.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "balancer/time_math.hpp"

namespace sablespur::balancer {

class SessionCommits {
 public:
  // Keeps the newer of what is known and `commit`. At the bound on sessions all are forgotten, and the newest
  // commit among them is returned: the caller must hold every unknown session to it.
  std::optional<Time> record(std::uint64_t session, Time commit);

  std::optional<Time> find(std::uint64_t session) const;

  // Moves all commits: the caller's idea of the clock that they were taken from has changed.
  void shift(Time by);

 private:
  std::unordered_map<std::uint64_t, Time> lastCommit_;
};

}  // namespace sablespur::balancer
