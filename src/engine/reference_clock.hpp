// Estimates the Unix time of other machines, to compute the age of their time stamps. Pure: no I/O
// and no system clock.
//
// Endpoints report replication positions in Unix time. The staleness of a position depends on the
// time at the endpoint, and this machine's wall clock may be stepped. The reference time is
// therefore stored as an offset to the process's monotonic clock: reference = monotonic + offset().
//
// A step back makes data look fresher than they are, so it needs more evidence than a step forward
// (docs/design/time.md):
//
// - The offset follows the wall clock unless most primaries contradict it, so a single endpoint
//   with a wrong clock has no effect.
// - It is never below what answers have proven as a lower bound (PrimaryClockEvidence), whichever
//   server is the primary now.
// - Positions behind the wall clock are evidence against the wall clock only back to an offset that
//   was in use before. Otherwise the primaries' positions may lag; only commits of writes, in most
//   groups, prove that the wall clock is ahead.
// - A step back of the wall clock is followed only if most primaries confirm it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "engine/primary_clock_evidence.hpp"

namespace sablespur {

class ReferenceClock {
 public:
  using Time = std::chrono::microseconds;
  using ServerId = std::uint64_t;

  // Records how far the wall clock is ahead of the monotonic clock.
  void updateWallOffset(Time wallOffset);
  // Records a response of a primary. `sent` and `received` are monotonic times, `position` is Unix
  // time.
  void primaryAnswered(ServerId, Time position, Time sent, Time received);
  // Records the commit of a write that was sent once and had not run before.
  void writeCommitted(ServerId, Time commit, Time sent, Time received);
  // Called for a server that was removed or is no longer a primary.
  void forget(ServerId);
  // Number of replication groups whose servers are listed.
  void setGroupCount(std::size_t count) { groupCount_ = count; }

  Time offset() const { return offset_; }

  // What offset() follows.
  enum class Source {
    WallClock,
    PrimariesAheadOfWallClock,
    PrimariesBehindWallClock,  // back to an offset that was in use before
    CommitsBehindWallClock,
    EarlierAnswers,  // the lower bound that answers have proven
  };
  // State of the estimate, for the log and the status.
  struct Summary {
    Source source = Source::WallClock;
    Time wallOffset{};
    std::optional<Time> provenOffset;
    std::size_t primaries = 0;  // that have answered
    // How many of them show that the wall clock is behind, is ahead, or is right.
    std::size_t wallClockBehind = 0;
    std::size_t wallClockAhead = 0;
    std::size_t wallClockConfirmed = 0;
  };
  Summary summary() const;

 private:
  using Status = PrimaryClockEvidence::WallClockStatus;

  void observe(ServerId, const PrimaryClockEvidence::Answer&);
  bool isMajority(std::size_t primaries) const { return 2 * primaries > evidence_.primaries(); }
  bool isMajorityOfGroups(std::size_t primaries) const;
  std::size_t countAhead() const;
  bool wasInUseBefore(Time offset) const;
  void updateProvenOffset();
  void expireProvenOffset(Time now);
  void updateOffset();
  void adopt(Time target, Source);

  PrimaryClockEvidence evidence_;
  std::size_t groupCount_ = 0;
  Time wallOffset_{};
  Time offset_{};
  Time lowestOffset_{};  // the least that offset_ has been
  Source source_ = Source::WallClock;
  std::optional<Time> provenOffset_;
  // Since when most primaries agree with the wall clock, or prove that it is ahead.
  std::optional<Time> agreedSince_;
};

// Returns the name of the source in the log and the status.
const char* nameOf(ReferenceClock::Source);

}  // namespace sablespur
