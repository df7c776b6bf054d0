// The clock by which timestamps of other machines are judged. Pure: no I/O and no system clock.
//
// Endpoints report replication positions in Unix time. How stale a position is depends on the time at the
// endpoint, and this machine's wall clock may be stepped. The reference is kept as an offset to the process's
// monotonic scale: reference = monotonic + offset().
//
// The wall clock is trusted unless most primaries contradict it. A primary's position is its current time, so
// a response received at R to a request sent at S, with position P, bounds the true offset: P - R at least,
// P - S at most. A step back, which makes data look fresher, is followed only if most primaries confirm it;
// before any primary has answered it is not followed at all. A single endpoint with a wrong clock is
// outvoted.
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

  // A new reading of how far the wall clock is ahead of the monotonic scale.
  void readWall(Time wallOffset);
  // A response of a primary; `sent` and `received` are on the monotonic scale, `position` is Unix time.
  void primaryAnswered(ServerId, Time position, Time sent, Time received);
  void forget(ServerId);  // it was removed, or is no longer a primary

  Time offset() const { return offset_; }

 private:
  struct Sample {
    // Bounds of the true offset, by the newest response.
    Time minOffset{};
    Time maxOffset{};
    Time steadyOffset{};  // close to minOffset of all responses since `steadySince`
    Time steadySince{};
    bool steady = false;  // for long enough to show that its position advances
    // What it says about wallOffset_.
    bool wallBehind = false;
    bool wallAhead = false;
    bool confirmsWall = false;
  };
  void judgeWallClock(Sample&);
  void countVotes(const Sample&, int by);
  void updateOffset();
  Time medianOffset(bool behind) const;  // median of those that contradict the wall clock

  Time wallOffset_{};
  Time offset_{};
  std::unordered_map<ServerId, Sample> samples_;
  // Samples that say so.
  std::size_t behind_ = 0;
  std::size_t ahead_ = 0;
  std::size_t confirming_ = 0;
  bool byPrimaries_ = false;  // offset_ is theirs, not the wall clock's
};

}  // namespace sablespur
