// Tokens that identify the module's timers: the kind in the low byte, an id in the bytes above.
#pragma once

#include <cstdint>

namespace sablespur::balancer {

enum class TimerKind : std::uint64_t { Housekeeping, DiscoveryPoll, RequestWait };

constexpr int kTimerKindBits = 8;

constexpr std::uint64_t timerToken(TimerKind kind, std::uint64_t id = 0) {
  return static_cast<std::uint64_t>(kind) | id << kTimerKindBits;
}
constexpr TimerKind timerKind(std::uint64_t token) {
  return static_cast<TimerKind>(token & ((1U << kTimerKindBits) - 1));
}
constexpr std::uint64_t timerId(std::uint64_t token) { return token >> kTimerKindBits; }

}  // namespace sablespur::balancer
