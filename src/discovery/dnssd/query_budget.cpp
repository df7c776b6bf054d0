#include "discovery/dnssd/query_budget.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace sablespur {

bool QueryBudget::spend(Time now) {
  if (updatedAt_) {
    const std::chrono::duration<double> passed = now - *updatedAt_;
    tokens_ = std::min(queriesPerSecond_, tokens_ + passed.count() * queriesPerSecond_);
  } else {
    tokens_ = queriesPerSecond_;
  }
  updatedAt_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

Time QueryBudget::nextAllowedAt() const {
  if (tokens_ >= 1 || queriesPerSecond_ <= 0) return Time(0);
  const double microseconds = (1 - tokens_) / queriesPerSecond_ * 1e6;
  return updatedAt_.value_or(Time(0)) + Time(static_cast<std::int64_t>(microseconds) + 1);
}

}  // namespace sablespur
