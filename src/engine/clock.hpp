// The process's clock, and the seam by which tests set it.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <utility>

namespace sablespur {

// Where time comes from; tests put their own in. `wall` is the system's idea of Unix time and may be stepped;
// `steady` never goes back.
struct ClockSource {
  using Time = std::chrono::microseconds;
  std::function<Time()> wall = [] {
    return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
  };
  std::function<Time()> steady = [] {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
  };
};

// The wall clock at the start, advanced by the monotonic clock: it never goes back, and no step of the wall
// clock moves it. Spans (deadlines, windows, waits) are differences of its instants. Whoever needs Unix time
// as other machines tell it adds the offset of a ReferenceClock. Microseconds.
class Clock {
 public:
  using Time = std::chrono::microseconds;
  explicit Clock(ClockSource source = {})
      : source_(std::move(source)), wall_(source_.wall()), start_(source_.steady()) {}
  Time now() const { return wall_ + (source_.steady() - start_); }

  // How far the wall clock is ahead of now(). Nothing if the process was held up between reading the two.
  std::optional<Time> wallOffset() const {
    constexpr Time kHeldUp = std::chrono::milliseconds(1);
    const Time before = now();
    const Time wall = source_.wall();
    if (now() - before > kHeldUp) return std::nullopt;
    return wall - before;
  }

 private:
  ClockSource source_;
  Time wall_;   // at the start
  Time start_;  // on the monotonic clock
};

}  // namespace sablespur
