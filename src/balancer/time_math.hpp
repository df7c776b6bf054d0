// Arithmetic on spans of time, and the sentinel for an instant that has not been.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "balancer/settings.hpp"

namespace sablespur::balancer {

// Stands for "not yet"; it is before every instant, so that `position < need` holds where no position is
// known.
constexpr Time kNever{-1};

// What was seen longer ago than this says little about the present.
constexpr Time kRecentPeriod = std::chrono::seconds(8);

inline double ratio(Time a, Time b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

// Rounded down to a whole microsecond.
inline Time scaled(Time span, double factor) {
  return Time(static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

// Moves an instant, not before 0; kNever stays.
inline void shiftInstant(Time& instant, Time by) {
  if (instant != kNever) instant = std::max(instant + by, Time(0));
}

inline std::size_t toIndex(int number) { return static_cast<std::size_t>(number); }

}  // namespace sablespur::balancer
