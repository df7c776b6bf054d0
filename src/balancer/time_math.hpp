// Arithmetic on durations, and the sentinel for an instant that has not occurred.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "balancer/settings.hpp"

namespace sablespur::balancer {

// Means "not yet". It is before every instant, so `position < required` holds for an unknown
// position.
constexpr Time kNever{-1};

// Age beyond which an observation says little about the current state.
constexpr Time kRecentPeriod = std::chrono::seconds(8);

inline double ratio(Time a, Time b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

// Rounded down to a whole microsecond.
inline Time scaled(Time span, double factor) {
  return Time(static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

// Shifts an instant, clamped at 0; kNever is unchanged.
inline void shiftInstant(Time& instant, Time by) {
  if (instant != kNever) instant = std::max(instant + by, Time(0));
}

inline std::size_t toIndex(int number) { return static_cast<std::size_t>(number); }

}  // namespace sablespur::balancer
