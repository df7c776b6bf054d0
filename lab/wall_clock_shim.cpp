// Preloaded into a process of the lab or of a test: adds an offset to the wall clock that the process
// reads. The offset is read from the file that kWallClockFileVariable names, each time.
#include "lab/wall_clock_shim.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1000000000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1000;

// Returns null if the file cannot be mapped.
const std::int64_t* mapOffset() {
  const char* const path = getenv(sablespur::lab::kWallClockFileVariable);
  const int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
  if (file < 0) return nullptr;
  void* const memory = mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
  close(file);
  return memory == MAP_FAILED ? nullptr : static_cast<const std::int64_t*>(memory);
}

std::int64_t offsetNanoseconds() {
  static const std::int64_t* const offsetUs = mapOffset();
  return offsetUs ? __atomic_load_n(offsetUs, __ATOMIC_RELAXED) * kNanosecondsPerMicrosecond : 0;
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* result) noexcept {
  const long status = syscall(SYS_clock_gettime, clock, result);
  if (status != 0 || clock != CLOCK_REALTIME) return static_cast<int>(status);
  const std::int64_t shifted = result->tv_sec * kNanosecondsPerSecond + result->tv_nsec + offsetNanoseconds();
  result->tv_sec = shifted / kNanosecondsPerSecond;
  result->tv_nsec = shifted % kNanosecondsPerSecond;
  return 0;
}

extern "C" int gettimeofday(timeval* result, void*) noexcept {
  timespec now{};
  if (clock_gettime(CLOCK_REALTIME, &now) != 0) return -1;
  result->tv_sec = now.tv_sec;
  result->tv_usec = now.tv_nsec / kNanosecondsPerMicrosecond;
  return 0;
}
