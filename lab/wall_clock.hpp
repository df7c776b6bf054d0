// A wall clock of one process that can be stepped while the process runs. The process preloads the
// library built from wall_clock_shim.cpp, which adds the offset stored in a file to the system's
// time. The monotonic clock is not affected.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sablespur::lab {

class SteppableWallClock {
 public:
  // Creates the file, with an offset of 0. Throws std::runtime_error if it cannot.
  explicit SteppableWallClock(std::string path);
  ~SteppableWallClock();  // removes the file
  SteppableWallClock(const SteppableWallClock&) = delete;
  SteppableWallClock& operator=(const SteppableWallClock&) = delete;

  // Sets how far the clock is ahead of the system's.
  void setOffset(std::chrono::milliseconds);
  // Sets the environment of the calling process so that the program it executes next reads this
  // clock. Called between fork and exec.
  void preload() const;

 private:
  const std::string path_;
  std::int64_t* offsetUs_ = nullptr;  // in the mapped file
};

}  // namespace sablespur::lab
