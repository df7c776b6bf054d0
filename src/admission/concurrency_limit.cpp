#include "admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace sablespur::admission {
namespace {

constexpr double kDeviationWeight = 1.0 / 32;  // weight of one sample in the smoothed deviation
constexpr double kWindowWeight = 0.2;          // weight of one window in limit and typical latency
// Growth per window without queueing. It is exponential so that the limit recovers within seconds
// after a failed server has reduced it.
constexpr double kGrowthFactor = 1.1;
constexpr double kMinGradient = 0.5;  // lower bound of the gradient of a single window

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings& settings)
    : settings_(settings), limit_(std::clamp(settings.initial, settings.min, settings.max)) {}

void ConcurrencyLimit::recordCompletion(Time now, Time latency, std::size_t inFlight, bool dropped) {
  if (settings_.kind == LimitKind::Fixed) return;
  if (!window_) window_ = Window{now};
  Window& window = *window_;
  window.maxInFlight = std::max(window.maxInFlight, inFlight);
  if (dropped) ++window.dropped;
  // Requests that began before a probe ran under the full limit, so their latency is no probe
  // sample.
  const bool beganBeforeProbe = probing_ && now - latency < window.openedAt;
  if (!dropped && !beganBeforeProbe) {
    const double us = static_cast<double>(latency.count());
    if (typicalLatencyUs_ > 0)
      deviationUs_ += (std::abs(us - typicalLatencyUs_) - deviationUs_) * kDeviationWeight;
    window.latencySumUs += us;
    ++window.samples;
  }
  if (now - window.openedAt >= settings_.window && window.samples + window.dropped >= settings_.minSamples)
    closeWindow(now);
}

bool ConcurrencyLimit::overloaded(const Window& window) const {
  const auto completions = static_cast<double>(window.samples + window.dropped);
  return window.dropped > 0 &&
         static_cast<double>(window.dropped) >= settings_.overloadDropFraction * completions;
}

bool ConcurrencyLimit::limitReached(const Window& window) const {
  return 2 * static_cast<double>(window.maxInFlight) >= limit_;
}

void ConcurrencyLimit::closeWindow(Time now) {
  const Window window = *window_;
  const double mean = window.meanLatencyUs();
  if (mean > 0)
    typicalLatencyUs_ =
        typicalLatencyUs_ > 0 ? typicalLatencyUs_ + (mean - typicalLatencyUs_) * kWindowWeight : mean;
  const bool gradient = settings_.kind == LimitKind::Gradient;
  if (gradient && mean > 0) lowestUs_ = lowestUs_ > 0 ? std::min(lowestUs_, mean) : mean;
  const double next = gradient ? nextGradientLimit(window) : nextAimdLimit(window);
  limit_ = std::clamp(next, settings_.min, settings_.max);
  if (gradient) startNextEpochIfDue();
  window_ = Window{now};
}

double ConcurrencyLimit::nextAimdLimit(const Window& window) const {
  if (overloaded(window) || window.meanLatencyUs() > static_cast<double>(settings_.latencyBound.count()))
    return limit_ * settings_.backoff;
  return limitReached(window) ? limit_ + 1 : limit_;
}

double ConcurrencyLimit::baselineLatencyUs() const {
  return previousLowestUs_ > 0 && lowestUs_ > 0 ? std::min(previousLowestUs_, lowestUs_)
                                                : std::max(previousLowestUs_, lowestUs_);
}

double ConcurrencyLimit::nextGradientLimit(const Window& window) const {
  if (overloaded(window)) return limit_ * settings_.backoff;
  const double mean = window.meanLatencyUs();
  if (mean <= 0 || probing_) return limit_;
  const double gradient = std::clamp(settings_.tolerance * baselineLatencyUs() / mean, kMinGradient, 1.0);
  // The square root allows a short queue, which shows that the limit is in use.
  const double target = limit_ * gradient + std::sqrt(limit_);
  const double smoothed = limit_ * (1 - kWindowWeight) + target * kWindowWeight;
  const bool reached = limitReached(window);
  if (reached && gradient >= 1) return std::max(limit_ * kGrowthFactor, smoothed);
  if (reached || target < limit_) return smoothed;
  return limit_;
}

void ConcurrencyLimit::startNextEpochIfDue() {
  ++closedWindows_;
  probing_ = closedWindows_ % settings_.windowsPerEpoch == 0;
  if (!probing_) return;
  previousLowestUs_ = lowestUs_;
  lowestUs_ = 0;
}

}  // namespace sablespur::admission
