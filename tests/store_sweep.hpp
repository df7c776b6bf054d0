// Ends a recorded life of a ledger at every byte that it wrote, and separately spoils sectors, and looks each
// time at what opens again. See docs/design/store.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace sablespur::test {

struct SweepResult {
  std::size_t cuts = 0, losses = 0, sectors = 0,
              flips = 0;                    // trials: the process ends, the machine ends, sectors, bytes
  std::size_t recovered = 0, reported = 0;  // of all: opened and whole; damage named
  std::size_t silent = 0;                   // neither: a broken promise
  std::size_t damagedCuts = 0;              // of cuts and losses: taken for damage, wrongly
  std::size_t withoutOffset = 0;            // of flips reported: without file
  std::string first;                        // broken promise
  std::size_t bytes = 0, operations = 0;    // of the life
};

// Lives during which a window of operations fails, then works again, ended at bytes drawn from the window and
// what follows it, by the process's end and by the machine's.
struct FailureSweepResult {
  std::size_t windows = 0, kills = 0, losses = 0;
  std::size_t failedOperations = 0;
  std::size_t broken = 0;  // a promise broken, or an end taken for damage
  std::string first;
};
FailureSweepResult sweepFailures(std::size_t windows, std::uint64_t seed);

// `share` of the trials, drawn by `seed`; 1: all.
SweepResult sweep(double share, std::uint64_t seed, int threads);

}  // namespace sablespur::test
