// The process's clock, and the time source that tests replace.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <utility>

namespace sablespur {

// Source of time, replaceable by tests. `wall` is the system clock in Unix time and may be stepped;
// `steady` is monotonic.
struct ClockSource {
  using Time = std::chrono::microseconds;
  std::function<Time()> wall = [] {
    return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
  };
  std::function<Time()> steady = [] {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
  };
};

// The wall clock's time at construction, advanced by the monotonic clock: now() never decreases,
// and steps of the wall clock do not affect it. Durations (deadlines, windows, waits) are
// differences of now(). To get the Unix time of other machines, add the offset of a ReferenceClock.
// Unit: microseconds.
class Clock {
 public:
  using Time = std::chrono::microseconds;
  explicit Clock(ClockSource source = {})
      : source_(std::move(source)), wall_(source_.wall()), start_(source_.steady()) {}
  Time now() const { return wall_ + (source_.steady() - start_); }

  // Returns how far the wall clock is ahead of now(); std::nullopt if the process was stalled
  // between the two readings.
  std::optional<Time> wallOffset() const {
    constexpr Time kMaxReadDelay = std::chrono::milliseconds(1);
    const Time before = now();
    const Time wall = source_.wall();
    if (now() - before > kMaxReadDelay) return std::nullopt;
    return wall - before;
  }

 private:
  ClockSource source_;
  Time wall_;   // wall clock at construction
  Time start_;  // monotonic clock at construction
};

}  // namespace sablespur
