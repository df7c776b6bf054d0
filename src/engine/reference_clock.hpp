// Estimates the Unix time of other machines, to compute the age of their time stamps. Pure: no I/O
// and no system clock.
//
// Endpoints report replication positions in Unix time. The staleness of a position depends on the
// time at the endpoint, and this machine's wall clock may be stepped. The reference time is
// therefore stored as an offset to the process's monotonic clock: reference = monotonic + offset().
//
// - The offset follows the wall clock unless most primaries contradict it, so a single endpoint
//   with a wrong clock has no effect.
// - A primary's position is its current time. A response received at R to a request sent at S, with
//   position P, therefore bounds the true offset: at least P - R, at most P - S.
// - A step back, which makes data look fresher, is followed only if most primaries confirm it, so
//   never before a primary has answered.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

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
  // Called for a server that was removed or is no longer a primary.
  void forget(ServerId);

  Time offset() const { return offset_; }

  // What offset() follows.
  enum class Source {
    WallClock,
    PrimariesAheadOfWallClock,
    PrimariesBehindWallClock,
  };
  // State of the estimate, for the log and the status.
  struct Summary {
    Source source = Source::WallClock;
    Time wallOffset{};
    std::size_t primaries = 0;  // that have answered
    // How many of them show that the wall clock is behind, is ahead, or is right.
    std::size_t wallClockBehind = 0;
    std::size_t wallClockAhead = 0;
    std::size_t wallClockConfirmed = 0;
  };
  Summary summary() const;

 private:
  // State of the wall clock according to one primary's answers.
  enum class WallClockStatus { Undecided, Behind, Ahead, Confirmed };
  struct Sample {
    // Bounds of the true offset from the latest response.
    Time minOffset{};
    Time maxOffset{};
    Time stableOffset{};  // within kMaxRoundTrip of each minOffset since `stableSince`
    Time stableSince{};
    bool stable = false;  // long enough to show that the position advances with time
    WallClockStatus status = WallClockStatus::Undecided;
  };
  // Number of samples with each status.
  struct StatusCounts {
    std::size_t behind = 0;
    std::size_t ahead = 0;
    std::size_t confirmed = 0;
  };

  WallClockStatus assessWallClock(const Sample&) const;
  // Returns null for Undecided, which is not counted.
  std::size_t* counterOf(WallClockStatus);
  void countSample(const Sample&);
  void uncountSample(const Sample&);
  bool isMajority(std::size_t count) const { return 2 * count > samples_.size(); }
  void updateOffset();
  void followPrimaries(WallClockStatus majority, Source);
  Time medianOffset(WallClockStatus) const;  // requires at least one sample with this status

  Time wallOffset_{};
  Time offset_{};
  std::unordered_map<ServerId, Sample> samples_;
  StatusCounts statusCounts_;
  Source source_ = Source::WallClock;
};

// Returns the name of the source in the log and the status.
const char* nameOf(ReferenceClock::Source);

}  // namespace sablespur
