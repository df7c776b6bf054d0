// The time type of the admission decisions.
#pragma once

#include <chrono>

namespace sablespur::admission {

// An instant on the caller's monotonic clock, or a span; the decisions never read a clock themselves.
using Time = std::chrono::microseconds;

}  // namespace sablespur::admission
