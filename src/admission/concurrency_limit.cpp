#include "admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace sablespur::admission {
namespace {

constexpr double kSmoothOne = 1.0 / 32;  // how far one latency moves the deviation
constexpr double kGrow = 1.1;
constexpr double kSmooth = 0.2;  // how far one window moves the limit, and what is usual

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings& s)
    : s_(s), limit_(std::clamp(s.initial, s.min, s.max)) {}

void ConcurrencyLimit::recordCompletion(Time now, Time latency, std::size_t out, bool dropped) {
  if (s_.kind == LimitKind::Fixed) return;
  if (!open_) {
    open_ = true;
    opened_ = now;
  }
  mostOut_ = std::max(mostOut_, out);
  dropped_ += dropped;
  // While half the limit is tried, what began before tells of the whole one.
  if (!dropped && !(probing_ && now - latency < opened_)) {
    const double us = static_cast<double>(latency.count());
    if (usual_ > 0) deviation_ += (std::abs(us - usual_) - deviation_) * kSmoothOne;
    sum_ += us;
    ++samples_;
  }
  if (now - opened_ >= s_.window && samples_ + dropped_ >= s_.minSamples) close(now);
}

void ConcurrencyLimit::close(Time now) {
  const double mean = samples_ > 0 ? sum_ / static_cast<double>(samples_) : 0;
  // Guards against growing where nothing pushes: a limit that was not reached has not been tried.
  const bool overrun =
      static_cast<double>(dropped_) >= s_.overloadDropFraction * static_cast<double>(samples_ + dropped_) &&
      dropped_ > 0;
  const bool pushed = 2 * static_cast<double>(mostOut_) >= limit_;
  if (mean > 0) usual_ = usual_ > 0 ? usual_ + (mean - usual_) * kSmooth : mean;
  double next = limit_;
  if (s_.kind == LimitKind::Aimd) {
    if (overrun || mean > static_cast<double>(s_.latencyBound.count()))
      next = limit_ * s_.backoff;
    else if (pushed)
      next = limit_ + 1;
  } else {
    if (mean > 0) least_ = least_ > 0 ? std::min(least_, mean) : mean;
    const double base =
        leastBefore_ > 0 && least_ > 0 ? std::min(leastBefore_, least_) : std::max(leastBefore_, least_);
    if (overrun) {
      next = limit_ * s_.backoff;
    } else if (mean > 0) {
      const double gradient = std::clamp(s_.tolerance * base / mean, 0.5, 1.0);
      const double wanted = limit_ * gradient + std::sqrt(limit_);
      // Where nothing queues it grows by a tenth a window: it has to be back within seconds after a server's
      // failure brought it low.
      if (!probing_ && pushed && gradient >= 1)
        next = std::max(limit_ * kGrow, limit_ * (1 - kSmooth) + wanted * kSmooth);
      else if (!probing_ && (pushed || wanted < limit_))
        next = limit_ * (1 - kSmooth) + wanted * kSmooth;
    }
    probing_ = ++windows_ % s_.windowsPerEpoch == 0;
    if (probing_) {
      leastBefore_ = least_;
      least_ = 0;
    }
  }
  limit_ = std::clamp(next, s_.min, s_.max);
  opened_ = now;
  sum_ = 0;
  samples_ = dropped_ = mostOut_ = 0;
}

}  // namespace sablespur::admission
