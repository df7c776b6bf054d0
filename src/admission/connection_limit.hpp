// Connection limit: how many connections the machine has descriptors for, where that is fewer than the
// settings allow because something else holds descriptors that the budget does not know of. Learned like a
// congestion window (RFC 5681, section 3.1): down by a tenth on exhaustion, up by one at a time. Pure.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

#include "admission/time.hpp"

namespace sablespur::admission {

class ConnectionLimit {
 public:
  // `held` connections were open and there was no descriptor for another. The limit does not fall under
  // `least`. Further calls within kExhaustionWindow are ignored: many connections meet one shortage.
  void onExhaustion(Time now, std::size_t held, std::size_t least) {
    if (reduced_ && now - reduced_->loweredAt < kExhaustionWindow) return;
    const std::size_t from = reduced_ ? std::min(reduced_->limit, held) : held;
    const std::size_t lowered = from - from / 10 - std::min<std::size_t>(from, 2);
    reduced_ = Reduced{std::max({lowered, least, std::size_t{1}}), now, now};
  }

  // The limit now, at most `configured`.
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

  // The limit is under the configured one.
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
