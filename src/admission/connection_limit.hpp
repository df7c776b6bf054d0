// How many connections the machine really has room for, where that is less than the settings say: something
// else holds descriptors that the account does not know. Learned as congestion windows are (RFC 5681, 3.1):
// down by a tenth when there was none left, up by one at a time. Pure.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace sablespur::admission {

using Time = std::chrono::microseconds;

class ConnectionLimit {
 public:
  // `held` connections, and there was no descriptor for one more. Once in `kAtOnce` it counts: one want is
  // met by many at the same time.
  void onExhaustion(Time now, std::size_t held, std::size_t least) {
    if (bound_ && now - loweredAt_ < kAtOnce) return;
    const std::size_t from = bound_ ? std::min(value_, held) : held;
    value_ = std::max({from - from / 10 - std::min<std::size_t>(from, 2), least, std::size_t{1}});
    bound_ = true;
    loweredAt_ = raisedAt_ = now;
  }
  // Of so many that the settings allow.
  std::size_t value(Time now, std::size_t most) {
    if (!bound_) return most;
    for (; now - raisedAt_ >= kRaise && value_ < most; raisedAt_ += kRaise) ++value_;
    bound_ = value_ < most;
    return std::min(value_, most);
  }
  bool active() const { return bound_; }

 private:
  static constexpr Time kAtOnce = std::chrono::milliseconds(300), kRaise = std::chrono::seconds(1);
  bool bound_ = false;
  std::size_t value_ = 0;
  Time loweredAt_{}, raisedAt_{};
};

}  // namespace sablespur::admission
