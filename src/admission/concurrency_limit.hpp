// Adaptive limit on the number of requests in flight, derived from their latency.
// Performs no I/O and reads no clock.
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
  Aimd,     // +1 per window; multiplied by `backoff` on high latency or too many drops
  Gradient  // follows the ratio of the lowest recent latency to the latency of the last window
};

struct ConcurrencyLimitSettings {
  LimitKind kind = LimitKind::Gradient;
  double initial = 20;
  double min = 4;
  double max = 1000;
  Time window = std::chrono::milliseconds(200);
  std::size_t minSamples = 8;                          // completions needed to close a window
  Time latencyBound = std::chrono::milliseconds(400);  // Aimd: highest mean latency of a window
  double backoff = 0.9;                                // Aimd, and Gradient after too many drops
  // A window is overloaded if at least this fraction of its completions was dropped. A few requests
  // that time out are not a sign of overload.
  double overloadDropFraction = 0.1;
  // Gradient: one window per epoch runs at half the limit, to measure the latency without queueing.
  std::size_t windowsPerEpoch = 50;
  double tolerance = 1.5;  // Gradient: latencies up to this multiple of the lowest mean no queueing
};

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings&);

  // Records the end of a request. `inFlight` includes the request itself. `dropped` means that the
  // request timed out or was rejected after this limit had admitted it. Requests that fail early
  // must not be recorded: their latency says nothing about load.
  void recordCompletion(Time now, Time latency, std::size_t inFlight, bool dropped);

  // Returns the current limit; half of it while probing.
  std::size_t value() const {
    return static_cast<std::size_t>(probing_ ? std::max(limit_ / 2, settings_.min) : limit_);
  }
  // Returns the smoothed mean latency; zero until the first window with a sample has closed.
  Time typicalLatency() const { return Time(static_cast<std::int64_t>(typicalLatencyUs_)); }
  // Returns a latency that nearly all requests stay below: the mean plus four deviations, as RFC
  // 6298 (section 2) computes a retransmission timeout.
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
  // Returns whether at least half the limit was in use. The limit grows only then, since an unused
  // limit says nothing about the capacity behind it.
  bool limitReached(const Window&) const;
  double nextAimdLimit(const Window&) const;
  double nextGradientLimit(const Window&) const;
  void startNextEpochIfDue();
  double baselineLatencyUs() const;

  const ConcurrencyLimitSettings settings_;
  double limit_;
  double typicalLatencyUs_ = 0;
  double deviationUs_ = 0;
  // Lowest mean latency of a window in the previous and in the current epoch; zero if not measured
  // yet. Two epochs are kept so that the latency of a persistent queue does not become the
  // baseline.
  double previousLowestUs_ = 0;
  double lowestUs_ = 0;
  std::size_t closedWindows_ = 0;
  bool probing_ = false;          // the current window runs at half the limit
  std::optional<Window> window_;  // unset until the first completion
};

}  // namespace sablespur::admission
