// Rejection period: detects when a series of rejections begins and ends, so that each series is
// logged once regardless of the number of rejections. Performs no I/O and reads no clock.
#pragma once

#include <chrono>
#include <cstdint>

#include "admission/time.hpp"

namespace sablespur::admission {

class RejectionPeriod {
 public:
  enum class Transition { None, Began, Ended };

  // A period ends after `quietTime` without a rejection.
  explicit RejectionPeriod(Time quietTime = std::chrono::seconds(1)) : quietTime_(quietTime) {}

  // `total` is the number of rejections so far. Must be called at regular intervals.
  Transition update(Time now, std::uint64_t total) {
    if (total != total_) return onRejections(now, total);
    if (!active_ || now - lastAt_ < quietTime_) return Transition::None;
    active_ = false;
    return Transition::Ended;
  }

  bool active() const { return active_; }
  // Rejections and duration of the current period, or of the last one if none is active.
  std::uint64_t rejections() const { return total_ - totalBefore_; }
  Time duration() const { return lastAt_ - firstAt_; }

 private:
  Transition onRejections(Time now, std::uint64_t total) {
    const bool began = !active_;
    if (began) {
      firstAt_ = now;
      totalBefore_ = total_;
    }
    lastAt_ = now;
    total_ = total;
    active_ = true;
    return began ? Transition::Began : Transition::None;
  }

  Time quietTime_;
  bool active_ = false;
  std::uint64_t total_ = 0;
  std::uint64_t totalBefore_ = 0;
  Time firstAt_{};
  Time lastAt_{};
};

}  // namespace sablespur::admission
