// A count of events of which each is worth less as it ages.
#pragma once

#include <cmath>

#include "balancer/time_math.hpp"

namespace sablespur::balancer {

// An event of age `a` is worth e^(-a / kRecentPeriod): at a steady rate the value is rate x kRecentPeriod.
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
