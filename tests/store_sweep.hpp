// Crash tests of the idempotency store. A recorded workload (store_run.hpp) is cut off at every
// byte that it wrote; separately, sectors and single bits are corrupted. Each time the store is
// reopened and checked against what it had guaranteed. See docs/design/store.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace sablespur::test {

struct SweepResult {
  // Trials, by what was injected.
  std::size_t processCrashes = 0, powerLosses = 0, badSectors = 0, bitFlips = 0;
  // Trials, by result: opened and all guarantees met; opening reported damage.
  std::size_t recovered = 0, damageReported = 0;
  std::size_t violations = 0;             // trials with neither result
  std::size_t falseDamage = 0;            // damage that was reported where nothing durable was damaged
  std::size_t damageWithoutFile = 0;      // reports of damage that name no file
  std::string firstViolation;             // the first violation or false report of damage
  std::size_t bytes = 0, operations = 0;  // of the workload
};

// Workloads during which a window of file operations fails. Each is cut off by process crashes and
// power losses at random points in the window and after it.
struct FailureSweepResult {
  std::size_t windows = 0, processCrashes = 0, powerLosses = 0;
  std::size_t failedOperations = 0;
  std::size_t violations = 0;  // a guarantee not met, or damage reported
  std::string firstViolation;
};
FailureSweepResult sweepFailures(std::size_t windows, std::uint64_t seed);

// Runs the fraction `share` of the trials, selected at random by `seed`; 1 runs all of them.
SweepResult sweep(double share, std::uint64_t seed, int threads);

}  // namespace sablespur::test
