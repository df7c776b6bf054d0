// Weighted fair sharing: how much a group uses relative to its weight.
#pragma once

#include <algorithm>
#include <cstddef>

namespace sablespur::admission {

// Lower bound of a weight, so that a weight of zero does not divide by zero.
constexpr double kMinWeight = 1e-9;

// The group with the smallest share is served next; the group with the largest share loses a
// connection or a queued request first.
inline double weightedShare(std::size_t used, double weight) {
  return static_cast<double>(used) / std::max(weight, kMinWeight);
}

}  // namespace sablespur::admission
