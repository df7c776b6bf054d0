// A counter of events whose weight decays with their age.
#pragma once

#include <cmath>

#include "balancer/time_math.hpp"

namespace sablespur::balancer {

// An event of age `a` counts as e^(-a / kRecentPeriod). At a steady rate the value approaches rate
// x kRecentPeriod.
class DecayingCounter {
 public:
  double valueAt(Time now) const { return value_ * std::exp(-ratio(now - updatedAt_, kRecentPeriod)); }

  void add(Time now, double work) {
    value_ = valueAt(now) + work;
    updatedAt_ = now;
  }

 private:
  double value_ = 0;
  Time updatedAt_{};
};

}  // namespace sablespur::balancer
