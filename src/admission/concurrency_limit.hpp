// Concurrency limit: how many requests may be in flight at once, learned from their latency.
// Pure: no I/O and no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "admission/time.hpp"

namespace sablespur::admission {

enum class LimitKind {
  Fixed,    // always `initial`
  Aimd,     // plus one per window; times `backoff` when the latency bound is passed or too much was dropped
  Gradient  // follows the ratio of the lowest recent latency to that of the last window
};

struct ConcurrencyLimitSettings {
  LimitKind kind = LimitKind::Gradient;
  double initial = 20;
  double min = 4;
  double max = 1000;
  Time window = std::chrono::milliseconds(200);
  std::size_t minSamples = 8;                          // a window stays open until it has as many completions
  Time latencyBound = std::chrono::milliseconds(400);  // Aimd: mean latency of a window
  double backoff = 0.9;                                // Aimd, and Gradient after too many drops
  // Fraction of a window's completions; a few requests that ran out of time are no overload.
  double overloadDropFraction = 0.1;
  // Gradient: once in as many windows half the limit is in force for one, to measure the latency without a
  // queue.
  std::size_t windowsPerEpoch = 50;
  double tolerance = 1.5;  // Gradient: latency up to so many times the lowest counts as no queue
};

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings&);

  // Records the end of a request. `inFlight` includes the request itself. `dropped`: it ran out of time, or
  // was rejected behind this limit. Early failures say nothing about load and are not to be recorded.
  void recordCompletion(Time now, Time latency, std::size_t inFlight, bool dropped);

  // The limit in force now.
  std::size_t value() const {
    return static_cast<std::size_t>(probing_ ? std::max(limit_ / 2, settings_.min) : limit_);
  }
  // Smoothed mean latency; zero until the first window with a sample has closed.
  Time typicalLatency() const { return Time(static_cast<std::int64_t>(typicalLatencyUs_)); }
  // What nearly all requests stay under: mean plus four deviations, as RFC 6298 (section 2) computes a
  // retransmission timeout.
  Time latencyUpperBound() const {
    return Time(static_cast<std::int64_t>(typicalLatencyUs_ + 4 * deviationUs_));
  }

 private:
  struct Window {
    Time openedAt{};
    double latencySumUs = 0;
    std::size_t samples = 0;
    std::size_t dropped = 0;
    std::size_t maxInFlight = 0;

    double meanLatencyUs() const { return samples > 0 ? latencySumUs / static_cast<double>(samples) : 0; }
  };

  void closeWindow(Time now);
  bool overloaded(const Window&) const;
  // A limit that was not nearly reached has not been tested, and does not grow.
  bool limitReached(const Window&) const;
  double nextAimdLimit(const Window&) const;
  double nextGradientLimit(const Window&) const;
  void startNextEpochIfDue();
  double baselineLatencyUs() const;

  const ConcurrencyLimitSettings settings_;
  double limit_;
  double typicalLatencyUs_ = 0;
  double deviationUs_ = 0;
  // Lowest mean latency of a window, in the previous epoch and in this one; zero: none yet. Two epochs, so
  // that a queue that persists is not taken for the normal latency.
  double previousLowestUs_ = 0;
  double lowestUs_ = 0;
  std::size_t closedWindows_ = 0;
  bool probing_ = false;          // half the limit is in force for this window
  std::optional<Window> window_;  // from the first completion on
};

}  // namespace sablespur::admission
