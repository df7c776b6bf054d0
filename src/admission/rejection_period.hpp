// When a spell of refusals begins and ends: one word each, however many are refused within it. Pure.
#pragma once

#include <chrono>
#include <cstdint>

namespace sablespur::admission {

using Time = std::chrono::microseconds;

class RejectionPeriod {
 public:
  explicit RejectionPeriod(Time calm = std::chrono::seconds(1)) : calm_(calm) {}
  enum class Transition { None, Began, Ended };
  // `total`: refusals so far. A spell has ended once none has come for as long as `calm`.
  Transition update(Time now, std::uint64_t total) {
    if (total != total_) {
      const bool began = !on_;
      if (began) {
        since_ = now;
        before_ = total_;
      }
      last_ = now;
      total_ = total;
      on_ = true;
      return began ? Transition::Began : Transition::None;
    }
    if (!on_ || now - last_ < calm_) return Transition::None;
    on_ = false;
    return Transition::Ended;
  }
  bool active() const { return on_; }
  std::uint64_t rejections() const { return total_ - before_; }  // of the spell that is on, or was last
  Time duration() const { return last_ - since_; }

 private:
  Time calm_;
  bool on_ = false;
  std::uint64_t total_ = 0, before_ = 0;
  Time since_{}, last_{};
};

}  // namespace sablespur::admission
