#include "discovery/dnssd/query_budget.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace sablespur {

bool QueryBudget::spend(Time now) {
  if (updatedAt_) {
    const std::chrono::duration<double> passed = now - *updatedAt_;
    left_ = std::min(queriesPerSecond_, left_ + passed.count() * queriesPerSecond_);
  } else {
    left_ = queriesPerSecond_;
  }
  updatedAt_ = now;
  if (left_ < 1) return false;
  left_ -= 1;
  return true;
}

Time QueryBudget::nextAllowedAt() const {
  if (left_ >= 1 || queriesPerSecond_ <= 0) return Time(0);
  const double microseconds = (1 - left_) / queriesPerSecond_ * 1e6;
  return updatedAt_.value_or(Time(0)) + Time(static_cast<std::int64_t>(microseconds) + 1);
}

}  // namespace sablespur
