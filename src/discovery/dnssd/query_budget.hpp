// A token bucket for queries; holds at most the tokens of one second. Pure.
#pragma once

#include <optional>

#include "config/config.hpp"

namespace sablespur {

class QueryBudget {
 public:
  explicit QueryBudget(double queriesPerSecond) : queriesPerSecond_(queriesPerSecond) {}

  // Takes one token. Returns false, and takes none, if less than one is available.
  bool spend(Time now);
  // Returns when the next token is available; Time(0) if one is now or the rate is not above 0.
  Time nextAllowedAt() const;

 private:
  const double queriesPerSecond_;
  double tokens_ = 0;
  std::optional<Time> updatedAt_;
};

}  // namespace sablespur
