// The time type of the admission decisions.
#pragma once

#include <chrono>

namespace sablespur::admission {

// A point in time on the caller's monotonic clock, or a duration. This module never reads a clock
// itself.
using Time = std::chrono::microseconds;

}  // namespace sablespur::admission
