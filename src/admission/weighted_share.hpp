// Weighted fair sharing: how much a group uses relative to its weight.
#pragma once

#include <algorithm>
#include <cstddef>

namespace sablespur::admission {

// Keeps the division defined for a weight of zero, which then counts as a very small one.
constexpr double kMinWeight = 1e-9;

// The group with the smallest share is served next; the one with the largest gives way first.
inline double weightedShare(std::size_t used, double weight) {
  return static_cast<double>(used) / std::max(weight, kMinWeight);
}

}  // namespace sablespur::admission
