// Periodic work that no event triggers: resumes waiting requests and detects silent endpoints. Runs
// only while attempts are in flight or requests wait.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

constexpr Time kHousekeepingInterval = std::chrono::milliseconds(20);

// Schedules the next run unless one is already scheduled.
void scheduleHousekeeping(Context&);

// Performs a scheduled run.
void runHousekeeping(Context&);

}  // namespace sablespur::balancer
