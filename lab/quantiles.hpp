// Estimates quantiles of a stream of values, using the summary of prometheus-cpp (Cormode, Korn,
// Muthukrishnan, Srivastava 2005).
#pragma once

#include <prometheus/summary.h>

#include <algorithm>
#include <chrono>

namespace sablespur::lab {

class Quantiles {
 public:
  void add(double v) {
    summary_.Observe(v);
    max_ = std::max(max_, v);
    ++count_;
  }
  std::size_t count() const { return count_; }
  double most() const { return max_; }
  // Supports the quantiles 0.5, 0.9 and 0.99. Returns 0 if there are no values.
  double at(double q) const {
    if (count_ == 0) return 0;
    for (const auto& estimate : summary_.Collect().summary.quantile)
      if (estimate.quantile == q) return estimate.value;
    return 0;
  }

 private:
  prometheus::Summary summary_{{{0.5, 0.005}, {0.9, 0.005}, {0.99, 0.0005}}, std::chrono::hours(24), 1};
  double max_ = 0;
  std::size_t count_ = 0;
};

}  // namespace sablespur::lab
