// Adaptive connection limit: how many connections the available file descriptors suffice for. This
// can be fewer than configured when descriptors are in use that the resource budget does not
// account for. It is adjusted like a congestion window (RFC 5681, section 3.1): reduced by a tenth
// on exhaustion, then raised by 1 at a time. Performs no I/O and reads no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

#include "admission/time.hpp"

namespace sablespur::admission {

class ConnectionLimit {
 public:
  // Lowers the limit after descriptors ran out with `openConnections` open, to no less than
  // `minLimit`. Further calls within kExhaustionWindow are ignored: many connections fail in a
  // single shortage.
  void onExhaustion(Time now, std::size_t openConnections, std::size_t minLimit) {
    if (reduced_ && now - reduced_->loweredAt < kExhaustionWindow) return;
    const std::size_t from = reduced_ ? std::min(reduced_->limit, openConnections) : openConnections;
    const std::size_t lowered = from - from / 10 - std::min<std::size_t>(from, 2);
    reduced_ = Reduced{std::max({lowered, minLimit, std::size_t{1}}), now, now};
  }

  // Returns the current limit, at most `configured`.
  std::size_t value(Time now, std::size_t configured) {
    if (!reduced_) return configured;
    while (now - reduced_->raisedAt >= kRaiseInterval && reduced_->limit < configured) {
      ++reduced_->limit;
      reduced_->raisedAt += kRaiseInterval;
    }
    if (reduced_->limit < configured) return reduced_->limit;
    reduced_.reset();
    return configured;
  }

  // Returns whether the limit is below the configured one.
  bool active() const { return reduced_.has_value(); }

 private:
  struct Reduced {
    std::size_t limit;
    Time loweredAt;
    Time raisedAt;
  };

  static constexpr Time kExhaustionWindow = std::chrono::milliseconds(300);
  static constexpr Time kRaiseInterval = std::chrono::seconds(1);

  std::optional<Reduced> reduced_;
};

}  // namespace sablespur::admission
