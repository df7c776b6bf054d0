// A retry budget that is earned by requests, so that retries cannot amplify an overload.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/time_math.hpp"

namespace sablespur::balancer {

class RetryBudget {
 public:
  // Adds the fraction of a retry that a request earns. Saved retries decay, down to one, because
  // hundreds of them would amplify an overload.
  void requestArrived(Time now) {
    const double decay = std::exp(-ratio(now - updatedAt_, kRetryBudgetWindow));
    updatedAt_ = now;
    balance_ = std::max(std::min(balance_, 1.0), balance_ * decay) + kRetriesPerRequest;
  }

  bool canSpend() const { return balance_ >= 1; }

  // Takes one retry; returns false if none is left.
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
