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
  // What a primary's answers say about the wall clock.
  enum class WallVerdict { Undecided, Behind, Ahead, Confirmed };
  struct Sample {
    // Bounds of the true offset, by the newest response.
    Time minOffset{};
    Time maxOffset{};
    Time steadyOffset{};  // close to minOffset of all responses since `steadySince`
    Time steadySince{};
    bool steady = false;  // for long enough to show that its position advances
    WallVerdict verdict = WallVerdict::Undecided;
  };
  // How many samples say so.
  struct Votes {
    std::size_t behind = 0;
    std::size_t ahead = 0;
    std::size_t confirmed = 0;
  };

  WallVerdict judgeWallClock(const Sample&) const;
  // Null for samples that are undecided.
  std::size_t* votesFor(WallVerdict);
  void addVote(const Sample&);
  void removeVote(const Sample&);
  bool isMajority(std::size_t votes) const { return 2 * votes > samples_.size(); }
  void updateOffset();
  void followPrimaries(WallVerdict majority);
  Time medianOffset(WallVerdict) const;  // of the samples of this verdict, at least one

  Time wallOffset_{};
  Time offset_{};
  std::unordered_map<ServerId, Sample> samples_;
  Votes votes_;
  bool byPrimaries_ = false;  // offset_ is theirs, not the wall clock's
};

}  // namespace sablespur
