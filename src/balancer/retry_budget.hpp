// Retries are earned by requests, so that an overload cannot feed itself.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/time_math.hpp"

namespace sablespur::balancer {

class RetryBudget {
 public:
  // Each request earns a fraction of a retry. What has been saved fades, down to one retry: hundreds of saved
  // retries would feed an overload.
  void requestArrived(Time now) {
    const double kept = std::exp(-ratio(now - updatedAt_, kRetryBudgetWindow));
    updatedAt_ = now;
    balance_ = std::max(std::min(balance_, 1.0), balance_ * kept) + kRetriesPerRequest;
  }

  bool canSpend() const { return balance_ >= 1; }

  // Takes one retry; false where none is left.
  bool trySpend() {
    if (!canSpend()) return false;
    balance_ -= 1;
    return true;
  }

 private:
  static constexpr double kRetriesPerRequest = 0.05;
  static constexpr Time kRetryBudgetWindow = std::chrono::seconds(2);

  double balance_ = 1;
  Time updatedAt_{};
};

}  // namespace sablespur::balancer
