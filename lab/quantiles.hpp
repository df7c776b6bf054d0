// Quantiles of what was measured, by prometheus-cpp's summary (Cormode, Korn, Muthukrishnan, Srivastava
// 2005).
#pragma once

#include <prometheus/summary.h>

#include <algorithm>
#include <chrono>

namespace sablespur::lab {

class Quantiles {
 public:
  void add(double v) {
    summary_.Observe(v);
    most_ = std::max(most_, v);
    ++n_;
  }
  std::size_t count() const { return n_; }
  double most() const { return most_; }
  // Of 0.5, 0.9 and 0.99; 0 where nothing was measured.
  double at(double q) const {
    if (n_ == 0) return 0;
    for (const auto& one : summary_.Collect().summary.quantile)
      if (one.quantile == q) return one.value;
    return 0;
  }

 private:
  prometheus::Summary summary_{{{0.5, 0.005}, {0.9, 0.005}, {0.99, 0.0005}}, std::chrono::hours(24), 1};
  double most_ = 0;
  std::size_t n_ = 0;
};

}  // namespace sablespur::lab
