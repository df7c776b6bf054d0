// When the steps of a graceful shutdown are due, counted from SIGTERM. Pure: no clock, no I/O.
#pragma once

#include <algorithm>

#include "engine/clock.hpp"

namespace sablespur {

// SIGKILL may follow SIGTERM this long after the longest deadline of a class, of which no more than
// kLongestDeadlineWaitedFor counts.
constexpr Clock::Time kKillAfterDeadline = std::chrono::milliseconds(700);
constexpr Clock::Time kLongestDeadlineWaitedFor = std::chrono::seconds(3);
// New connections may keep coming for 0.4 s after SIGTERM.
constexpr Clock::Time kStopAccepting = std::chrono::milliseconds(500);
// Between the last final answer and the earliest SIGKILL: the process may be held up for 0.15 s, and the
// answer has to be written out.
constexpr Clock::Time kKillMargin = std::chrono::milliseconds(200);
// For clients that are still reading their answers, where no SIGKILL comes.
constexpr Clock::Time kFlushAnswers = std::chrono::seconds(1);

struct ShutdownTimes {
  Clock::Time stopAccepting;  // the listener closes; connections between two requests are ended
  Clock::Time answerBy;       // every request that was read has its final answer
  Clock::Time earliestKill;
  Clock::Time exit;  // at the latest
};

// A request that is read before the listener closes keeps its whole deadline, up to
// kLongestDeadlineWaitedFor.
constexpr ShutdownTimes shutdownTimes(Clock::Time longestDeadline) {
  const Clock::Time kill = std::min(longestDeadline, kLongestDeadlineWaitedFor) + kKillAfterDeadline;
  const Clock::Time answerBy = kill - kKillMargin;
  return {kStopAccepting, answerBy, kill, answerBy + kFlushAnswers};
}

}  // namespace sablespur
