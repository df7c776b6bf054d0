// The time by which instants of other machines are judged: pure, no I/O and no clock.
//
// Data servers tell their data's positions in Unix time. How old a position is depends on what time it is for
// them, and the machine's own wall clock may have been stepped. The reference is kept as an offset to the
// process's monotonic scale: reference = monotonic + offset().
//
// The wall clock is believed unless most primaries contradict it. A primary's position is its present, so an
// answer received at R to a question sent at S, with position P, bounds the true offset: P - R at least, P -
// S at most. A step back, which makes data look younger, is followed only when most primaries vouch for it;
// before any primary has answered it is not followed at all. One server whose clock is wrong is outvoted by
// the others.
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

  // How far the wall clock is ahead of the monotonic scale, read anew.
  void readWall(Time wallOffset);
  // A primary's answer; instants sent and received are on the monotonic scale, position is Unix time.
  void primaryAnswered(ServerId, Time position, Time sent, Time received);
  void forget(ServerId);  // it is gone, or no primary any more

  Time offset() const { return offset_; }

 private:
  struct Sample {
    Time minOffset{}, maxOffset{};  // bounds of the true offset, by the newest answer
    Time steadyOffset{};            // near which all answers since `steadySince` have been
    Time steadySince{};
    bool steady = false;  // for so long that its position advances with time
    bool wallBehind = false, wallAhead = false, confirmsWall = false;  // what it says of wall_
  };
  void judgeWallClock(Sample&);
  void countVotes(const Sample&, int by);
  void updateOffset();
  Time medianOffset(bool behind) const;  // what most of those that contradict the wall clock say

  Time wallOffset_{}, offset_{};
  std::unordered_map<ServerId, Sample> samples_;
  std::size_t behind_ = 0, ahead_ = 0, confirming_ = 0;  // samples that say so
  bool byPrimaries_ = false;                             // offset_ is theirs, not the wall clock's
};

}  // namespace sablespur
