// Schedule of the graceful shutdown. All times count from SIGTERM. Pure: no clock, no I/O.
#pragma once

#include <algorithm>

#include "engine/clock.hpp"

namespace sablespur {

// SIGKILL may follow SIGTERM after the longest deadline of a request class plus kKillAfterDeadline.
// Of the longest deadline at most kMaxDeadlineCounted counts.
constexpr Clock::Time kKillAfterDeadline = std::chrono::milliseconds(700);
constexpr Clock::Time kMaxDeadlineCounted = std::chrono::seconds(3);
// When the listener closes; new connections may arrive for 0.4 s after SIGTERM.
constexpr Clock::Time kStopAccepting = std::chrono::milliseconds(500);
// Margin between the answer deadline and the earliest SIGKILL: the process may be stalled for
// 0.15 s, and the answer still has to be written to the socket.
constexpr Clock::Time kKillMargin = std::chrono::milliseconds(200);
// Time for clients to read their answers after the answer deadline, if no SIGKILL arrives.
constexpr Clock::Time kFlushAnswers = std::chrono::seconds(1);

struct ShutdownTimes {
  Clock::Time stopAccepting;  // the listener closes, and so do connections between two requests
  Clock::Time answerBy;       // deadline for the final answer to every request that was read
  Clock::Time earliestKill;   // earliest time of a SIGKILL
  Clock::Time exit;           // the process exits at the latest
};

// Returns the schedule for the longest deadline of all request classes. A request that is read
// before the listener closes keeps its full deadline, up to kMaxDeadlineCounted.
constexpr ShutdownTimes shutdownTimes(Clock::Time longestDeadline) {
  const Clock::Time kill = std::min(longestDeadline, kMaxDeadlineCounted) + kKillAfterDeadline;
  const Clock::Time answerBy = kill - kKillMargin;
  return {kStopAccepting, answerBy, kill, answerBy + kFlushAnswers};
}

}  // namespace sablespur
