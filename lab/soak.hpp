// The fault soak: seeded runs of real proxies under overlapping faults, judged by the lab's audit.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sablespur::lab {

enum class SoakKind {
  Faults,    // overlapping faults of all kinds
  Takeovers  // takeovers, quiet times, readers alone; all ways of load reports
};

struct SoakOptions {
  SoakKind kind = SoakKind::Faults;
  std::string program;    // the proxy's
  std::string directory;  // for settings and logs
  std::uint64_t firstSeed = 1, lastSeed = 1;
  int jobs = 4;
  bool trace = false;  // the proxies log each request, attempt and health check
};

// Plays the seeds, so many side by side, and prints a line for each. Returns 0 if no rule was broken, 1 if
// one was, 2 if over a tenth of the runs were void because this machine was too slow for the stand-ins.
int playSoak(const SoakOptions&);

}  // namespace sablespur::lab
