// When records are queried again: after their TTL, within the bounds of the settings, or after a backoff.
// Both are shortened by a random part, so that proxies started together drift apart. Pure.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>

#include "config/config.hpp"

namespace sablespur {

class RefreshSchedule {
 public:
  RefreshSchedule(const DnsSdSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

  Time afterAnswer(Time now, std::uint32_t ttl);
  // `failures` in a row, at least one.
  Time afterFailure(Time now, int failures);

 private:
  // `span`, shortened by a random part of up to `part` of it.
  Time shorten(Time span, double part);

  const DnsSdSettings settings_;
  pcg32 random_;
};

}  // namespace sablespur
