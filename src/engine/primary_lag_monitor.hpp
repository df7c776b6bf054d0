// Detects primaries whose reported positions lag behind the reference clock, for the log and the
// status. Pure: no I/O, no clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace sablespur {

class PrimaryLagMonitor {
 public:
  using Time = std::chrono::microseconds;
  using ServerId = std::uint64_t;

  enum class Change { None, Began, Ended };

  // Records how far a primary's position was behind the reference clock in an answer received at
  // `now`. Returns whether a lag began or ended with it.
  Change observe(ServerId, Time behind, Time now);
  // Called for a server that was removed or is no longer a primary.
  void forget(ServerId server) { laggingSince_.erase(server); }

  // Returns when the lag of a server began; std::nullopt if it does not lag.
  std::optional<Time> laggingSince(ServerId) const;
  std::size_t laggingCount() const { return laggingSince_.size(); }

 private:
  std::unordered_map<ServerId, Time> laggingSince_;
};

}  // namespace sablespur
