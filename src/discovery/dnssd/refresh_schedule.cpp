#include "discovery/dnssd/refresh_schedule.hpp"

#include <algorithm>
#include <chrono>

namespace sablespur {
namespace {

constexpr Time kInitialBackoff = std::chrono::milliseconds(250);
constexpr int kMaxDoublings = 10;
constexpr double kBackoffJitter = 0.5;
constexpr double kRandomRange = 4294967296.0;  // 2^32

}  // namespace

Time RefreshSchedule::afterAnswer(Time now, std::uint32_t ttl) {
  const Time bounded =
      std::clamp<Time>(std::chrono::seconds(ttl), settings_.minRefresh, settings_.maxRefresh);
  return now + shorten(bounded, settings_.jitter);
}

Time RefreshSchedule::afterFailure(Time now, int failures) {
  const Time doubled = kInitialBackoff * (std::int64_t{1} << std::min(failures - 1, kMaxDoublings));
  const Time longest = std::max(settings_.maxRefresh, kInitialBackoff);
  return now + shorten(std::min(doubled, longest), kBackoffJitter);
}

Time RefreshSchedule::shorten(Time span, double maxFraction) {
  const double factor = 1 - maxFraction * static_cast<double>(random_()) / kRandomRange;
  return Time(static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

}  // namespace sablespur
