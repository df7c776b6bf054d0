// How many requests may be out at once, learned from how long they take. Free of I/O and clocks.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace sablespur::admission {

using Time = std::chrono::microseconds;

enum class LimitKind {
  Fixed,
  Aimd,     // grows by one a window, shrinks by a factor when latency passes a bound or something was dropped
  Gradient  // follows the ratio of the least latency of late to that of the last window
};

struct ConcurrencyLimitSettings {
  LimitKind kind = LimitKind::Gradient;
  double initial = 20, min = 4, max = 1000;
  Time window = std::chrono::milliseconds(200);
  std::size_t minSamples = 8;                          // a window with fewer says nothing and goes on
  Time latencyBound = std::chrono::milliseconds(400);  // Aimd
  double backoff = 0.9;                                // Aimd, and Gradient where too much was dropped
  double overloadDropFraction = 0.1;  // of a window's ends: a few that ran out of time are no overload
  std::size_t windowsPerEpoch = 50;   // Gradient: windows after which half the limit is tried for one
  double tolerance = 1.5;             // Gradient: so much slower than the least is still no queue
};

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings&);
  // A request has ended. `out`: how many were out with it, itself included. `dropped`: its time ran out, or
  // it was refused behind this limit. What failed early says nothing of the load and is not told here.
  void recordCompletion(Time now, Time latency, std::size_t out, bool dropped);
  std::size_t value() const {
    return static_cast<std::size_t>(probing_ ? std::max(limit_ / 2, s_.min) : limit_);
  }
  // Latency of late; 0: nothing is known.
  Time typicalLatency() const { return Time(static_cast<std::int64_t>(usual_)); }
  // What nearly all take: the mean and four deviations (as RFC 6298 reckons a time-out, section 2).
  Time latencyUpperBound() const { return Time(static_cast<std::int64_t>(usual_ + 4 * deviation_)); }

 private:
  void close(Time now);
  const ConcurrencyLimitSettings s_;
  double limit_, usual_ = 0, deviation_ = 0;
  // The least mean of a window, in the epoch before and in this one. Guards against taking a queue that lasts
  // for what is usual: half the limit, tried now and then, shows what it is without.
  double leastBefore_ = 0, least_ = 0;
  std::size_t windows_ = 0;
  bool probing_ = false;
  Time opened_{};
  double sum_ = 0;
  std::size_t samples_ = 0, dropped_ = 0, mostOut_ = 0;
  bool open_ = false;
};

}  // namespace sablespur::admission
