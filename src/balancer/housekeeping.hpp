// Work that no event calls for: waiting requests, silent endpoints. It goes on only while something is under
// way.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

constexpr Time kHousekeepingInterval = std::chrono::milliseconds(20);

// Schedules the next run unless one is scheduled.
void scheduleHousekeeping(Context&);

// A scheduled run.
void runHousekeeping(Context&);

}  // namespace sablespur::balancer
