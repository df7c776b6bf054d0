// Computes when records are queried again: after their TTL, clamped to the bounds of the settings,
// or after a backoff that doubles with each failure. Both are shortened by a random fraction, so
// that proxies started together do not query in step. Pure.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>

#include "config/config.hpp"

namespace sablespur {

class RefreshSchedule {
 public:
  RefreshSchedule(const DnsSdSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

  Time afterAnswer(Time now, std::uint32_t ttl);
  // `failures`: consecutive failures, at least 1.
  Time afterFailure(Time now, int failures);

 private:
  // Shortens `span` by a random fraction of at most `maxFraction`.
  Time shorten(Time span, double maxFraction);

  const DnsSdSettings settings_;
  pcg32 random_;
};

}  // namespace sablespur
