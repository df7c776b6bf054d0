// Shared by the steppable wall clock and the library that the stepped process preloads.
#pragma once

namespace sablespur::lab {

// Environment variable with the path of the file that holds the clock's offset, in microseconds.
constexpr const char* kWallClockFileVariable = "SABLESPUR_LAB_WALL_CLOCK";

}  // namespace sablespur::lab
