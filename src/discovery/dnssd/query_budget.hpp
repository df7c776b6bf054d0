// A budget of queries a second; what is left of a second may be saved up for one second. Pure.
#pragma once

#include <optional>

#include "config/config.hpp"

namespace sablespur {

class QueryBudget {
 public:
  explicit QueryBudget(double queriesPerSecond) : queriesPerSecond_(queriesPerSecond) {}

  // False: there is nothing left, and nothing is spent.
  bool spend(Time now);
  // When the budget allows the next query; an instant in the past if it does already, or is unlimited.
  Time nextAllowedAt() const;

 private:
  const double queriesPerSecond_;
  double left_ = 0;
  std::optional<Time> updatedAt_;
};

}  // namespace sablespur
