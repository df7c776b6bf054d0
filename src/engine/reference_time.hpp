// Wraps ReferenceClock for the engine: reads the wall clock at intervals and rounds the offset to
// whole milliseconds.
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

  // Reads the wall clock unless it was read less than 100 ms ago.
  void followWallClock(const Clock&, Time now);
  void primaryAnswered(balancer::EndpointId id, Time position, Time sentAt, Time receivedAt) {
    clock_.primaryAnswered(id, position, sentAt, receivedAt);
  }
  void writeCommitted(balancer::EndpointId id, Time commit, Time sentAt, Time receivedAt) {
    clock_.writeCommitted(id, commit, sentAt, receivedAt);
  }
  void setGroupCount(std::size_t count) { clock_.setGroupCount(count); }
  // Called for an endpoint that was removed or is no longer a primary.
  void forget(balancer::EndpointId id) { clock_.forget(id); }

  // Applies the changes of the calls above to offset(). Returns the difference, or std::nullopt if
  // offset() is unchanged.
  std::optional<Time> updateOffset();
  // The reference clock's Unix time minus the process's clock, as of the last updateOffset().
  Time offset() const { return offset_; }
  ReferenceClock::Summary summary() const { return clock_.summary(); }

 private:
  ReferenceClock clock_;
  Time offset_{};
  Time wallReadAt_{};
};

}  // namespace sablespur
