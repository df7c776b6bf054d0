#include "durability/store_clock.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>

namespace sablespur::durability {

MachineTime machineTime() {
  // Read once, since it only changes when the machine boots.
  static const std::string boot = [] {
    std::string id;
    std::ifstream("/proc/sys/kernel/random/boot_id") >> id;
    return id;
  }();
  timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {boot, static_cast<std::int64_t>(t.tv_sec) * 1000000 + t.tv_nsec / 1000,
          std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
}

StoreClock::StoreClock(const std::optional<ClockRecord>& last, const MachineTime& now)
    : boot_(now.bootId), bootUs_(now.sinceBootUs), base_(1), last_(base_) {
  if (!last) return;
  gapAt_ = last->gapAt;
  // An empty boot id, or less time since boot than in the record (a virtual machine restored from a
  // snapshot), is treated like another boot.
  if (!now.bootId.empty() && last->bootId == now.bootId && now.sinceBootUs >= last->sinceBootUs) {
    base_ = last->at + Time(now.sinceBootUs - last->sinceBootUs);
  } else {
    gap_ = true;
    gapAt_ = base_ = last->at + Time(1);
  }
  last_ = base_;
}

Time StoreClock::at(const MachineTime& now) {
  last_ = std::max(last_, base_ + Time(std::max<std::int64_t>(now.sinceBootUs - bootUs_, 0)));
  return last_;
}
ClockRecord StoreClock::record(const MachineTime& now) { return {at(now), boot_, now.sinceBootUs, gapAt_}; }

}  // namespace sablespur::durability
