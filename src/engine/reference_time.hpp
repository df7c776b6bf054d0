// The reference clock as the engine uses it: fed at intervals, its offset in whole milliseconds.
#pragma once

#include <chrono>
#include <optional>

#include "balancer/balancer.hpp"
#include "engine/clock.hpp"
#include "engine/reference_clock.hpp"

namespace sablespur {

class ReferenceTime {
 public:
  using Time = Clock::Time;

  // Reads the wall clock, unless the last reading is recent.
  void followWallClock(const Clock&, Time now);
  void primaryAnswered(balancer::EndpointId id, Time position, Time sentAt, Time receivedAt) {
    clock_.primaryAnswered(id, position, sentAt, receivedAt);
  }
  // It was removed, or is no longer a primary.
  void forget(balancer::EndpointId id) { clock_.forget(id); }

  // Takes over what the above have changed. Returns by how much the offset has moved, if it has.
  std::optional<Time> updateOffset();
  // Unix time of other machines less that of the process's clock, as of the last updateOffset().
  Time offset() const { return offset_; }

 private:
  ReferenceClock clock_;
  Time offset_{};
  Time wallReadAt_{};
};

}  // namespace sablespur
