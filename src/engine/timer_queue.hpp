// Timers ordered by due time, each with a token chosen by the caller. Pure: no I/O, no clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace sablespur {

class TimerQueue {
 public:
  using Time = std::chrono::microseconds;
  using Token = std::uint64_t;

  void schedule(Time due, Token token) { timers_.push({due, ++lastSequence_, token}); }
  // Removes the first timer that is due at `now` and returns its token; std::nullopt if none is
  // due.
  std::optional<Token> popDue(Time now) {
    if (timers_.empty() || timers_.top().due > now) return std::nullopt;
    const Token token = timers_.top().token;
    timers_.pop();
    return token;
  }
  // Returns the due time of the first timer; std::nullopt if there is none.
  std::optional<Time> nextDue() const {
    return timers_.empty() ? std::nullopt : std::make_optional(timers_.top().due);
  }

 private:
  struct Timer {
    Time due;
    std::uint64_t sequence;  // timers with equal due times fire in the order of scheduling
    Token token;
    bool operator>(const Timer& other) const {
      return due != other.due ? due > other.due : sequence > other.sequence;
    }
  };

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t lastSequence_ = 0;
};

}  // namespace sablespur
