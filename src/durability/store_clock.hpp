// The store's clock: it never goes back, and no step of the wall clock moves it. Within one boot of the
// machine it counts the time since the boot, suspension included, so it continues through restarts of the
// proxy. How long the machine was off is not known without trusting its wall clock: the clock then continues
// from its last value, and what is older than that gap counts as too old to be retried and too young to
// expire. Pure but for machineTime().
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "durability/record.hpp"

namespace sablespur::durability {

struct MachineTime {
  std::string bootId;            // names this start of the machine
  std::int64_t sinceBootUs = 0;  // since then, CLOCK_BOOTTIME
  std::int64_t wallMs = 0;
};
MachineTime machineTime();

class StoreClock {
 public:
  StoreClock(const std::optional<ClockRecord>& last, const MachineTime& now);
  bool gap() const { return gap_; }      // between the last record and now lies a time that is not known
  Time gapAt() const { return gapAt_; }  // of the last gap; 0: there was none
  Time at(const MachineTime&);           // never less than before
  ClockRecord record(const MachineTime&);

 private:
  std::string boot_;
  std::int64_t bootUs_;
  Time base_, last_, gapAt_{};
  bool gap_ = false;
};

}  // namespace sablespur::durability
