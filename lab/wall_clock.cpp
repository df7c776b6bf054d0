#include "lab/wall_clock.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>
#include <stdexcept>
#include <utility>

#include "lab/wall_clock_shim.hpp"

namespace sablespur::lab {

SteppableWallClock::SteppableWallClock(std::string path) : path_(std::move(path)) {
  const int file = open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  void* memory = MAP_FAILED;
  if (file >= 0 && ftruncate(file, sizeof *offsetUs_) == 0)
    memory = mmap(nullptr, sizeof *offsetUs_, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  if (file >= 0) close(file);
  if (memory == MAP_FAILED) throw std::runtime_error("cannot create the wall clock file " + path_);
  offsetUs_ = static_cast<std::int64_t*>(memory);
}

SteppableWallClock::~SteppableWallClock() {
  munmap(offsetUs_, sizeof *offsetUs_);
  unlink(path_.c_str());
}

void SteppableWallClock::setOffset(std::chrono::milliseconds offset) {
  const std::int64_t offsetUs = std::chrono::microseconds(offset).count();
  __atomic_store_n(offsetUs_, offsetUs, __ATOMIC_RELAXED);
}

void SteppableWallClock::preload() const {
  constexpr int kReplace = 1;
  setenv("LD_PRELOAD", SABLESPUR_WALL_CLOCK_SHIM, kReplace);
  setenv(kWallClockFileVariable, path_.c_str(), kReplace);
  // AddressSanitizer otherwise refuses to run behind a preloaded library.
  const char* const options = getenv("ASAN_OPTIONS");
  const std::string linkOrder = "verify_asan_link_order=0";
  setenv("ASAN_OPTIONS", (options ? std::string(options) + ":" + linkOrder : linkOrder).c_str(), kReplace);
}

}  // namespace sablespur::lab
