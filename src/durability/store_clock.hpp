// The store's clock. It is monotonic and independent of steps of the wall clock. Within one boot of
// the machine it follows the time since boot, including suspension, so it continues across restarts
// of the proxy. After a reboot the time that the machine was off is unknown, since the wall clock
// is not trusted: the clock continues from its last value (a gap). Keys from before the gap are too
// old to be retried, and the unknown time does not count towards their expiry. Pure except for
// machineTime().
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "durability/record.hpp"

namespace sablespur::durability {

struct MachineTime {
  std::string bootId;            // identifies the boot of the machine
  std::int64_t sinceBootUs = 0;  // CLOCK_BOOTTIME
  std::int64_t wallMs = 0;
};
MachineTime machineTime();

class StoreClock {
 public:
  StoreClock(const std::optional<ClockRecord>& last, const MachineTime& now);
  bool gap() const { return gap_; }      // the time between the last record and construction is unknown
  Time gapAt() const { return gapAt_; }  // store time of the last gap; 0: none
  Time at(const MachineTime&);           // never decreases
  ClockRecord record(const MachineTime&);

 private:
  std::string boot_;
  std::int64_t bootUs_;
  Time base_, last_, gapAt_{};
  bool gap_ = false;
};

}  // namespace sablespur::durability
