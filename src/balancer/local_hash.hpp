// Pseudo-random numbers that depend only on their arguments and the seed.
#pragma once

#include <cstdint>

namespace sablespur::balancer {

// Returns the same number for the same arguments at this proxy, and different ones at other
// proxies, whose seeds differ.
class LocalHash {
 public:
  explicit LocalHash(std::uint64_t seed) : seed_(seed) {}

  std::uint64_t hash(std::uint64_t a, std::uint64_t b = 0) const {
    constexpr int kMixingRounds = 2;
    std::uint64_t x = seed_ + 0x9e3779b97f4a7c15ull * (a + 1) + 0xc2b2ae3d27d4eb4full * b;
    for (int round = 0; round < kMixingRounds; ++round) x = (x ^ (x >> 31)) * 0xbf58476d1ce4e5b9ull;
    return x ^ (x >> 29);
  }

  // Returns a number in [0, 1), from the upper 53 bits, the precision of a double.
  double fraction(std::uint64_t a, std::uint64_t b = 0) const {
    return static_cast<double>(hash(a, b) >> 11) * 0x1p-53;
  }

 private:
  std::uint64_t seed_;
};

}  // namespace sablespur::balancer
