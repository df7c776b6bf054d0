// The soak: seeded runs of real proxies under overlapping faults, checked by the lab's audit.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sablespur::lab {

enum class SoakKind {
  Faults,    // overlapping faults of all kinds
  Clocks,    // groups that lag or restart, takeovers, stepped wall clocks of proxies
  Takeovers  // takeovers, idle periods, read-only load; all kinds of load reports
};

struct SoakOptions {
  SoakKind kind = SoakKind::Faults;
  std::string program;    // path of the proxy's executable
  std::string directory;  // for the runs' settings and logs
  std::uint64_t firstSeed = 1, lastSeed = 1;
  int jobs = 4;
  bool trace = false;  // the proxies log each request, attempt and health check
};

// Plays the seeds, `jobs` of them in parallel, and prints a line for each. Returns the exit code: 0
// if no rule was broken, 1 if one was or a run failed to play, 2 if over a tenth of the runs are
// void because this machine was too slow for the stand-ins.
int playSoak(const SoakOptions&);

}  // namespace sablespur::lab
