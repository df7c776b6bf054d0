// The reference clock when primaries lag: what moves it back, and a seeded property in simulated
// time.
#include "engine/reference_clock.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace sablespur {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = ReferenceClock::Time;
using ServerId = ReferenceClock::ServerId;

constexpr Time kRoundTrip = milliseconds(4);
constexpr Time kAnswerInterval = milliseconds(100);

enum class AnswerKind { Position, Commit };

// A primary answers from `from` to `to`; what it tells is off by `offset` from the monotonic clock.
void answer(ReferenceClock& clock, Time from, Time to, Time offset, ServerId server = 1,
            AnswerKind kind = AnswerKind::Position) {
  for (Time sent = from; sent < to; sent += kAnswerInterval) {
    const Time received = sent + kRoundTrip;
    const Time told = sent + kRoundTrip / 2 + offset;
    if (kind == AnswerKind::Commit)
      clock.writeCommitted(server, told, sent, received);
    else
      clock.primaryAnswered(server, told, sent, received);
  }
}

TEST(ReferenceClockLag, PositionsThatLagFromTheStartDoNotSetTheClockBack) {
  ReferenceClock clock;
  answer(clock, seconds(1), seconds(10), -seconds(3));
  EXPECT_EQ(clock.offset(), Time(0));
}

TEST(ReferenceClockLag, PositionsThatLagLaterDoNotSetTheClockBack) {
  ReferenceClock clock;
  answer(clock, seconds(1), seconds(3), Time(0));
  answer(clock, seconds(3), seconds(10), -seconds(3));
  EXPECT_EQ(clock.offset(), Time(0));
}

TEST(ReferenceClockLag, ANewPrimaryThatLagsDoesNotConfirmAStepBack) {
  ReferenceClock clock;
  answer(clock, seconds(1), seconds(3), Time(0), 1);
  clock.forget(1);
  clock.updateWallOffset(-seconds(3));
  answer(clock, seconds(3), seconds(10), -seconds(3), 2);
  EXPECT_GE(clock.offset(), -kRoundTrip);
}

// A wall clock that is ahead is corrected by commits, and by those of one group only if it is the
// only one.
TEST(ReferenceClockLag, CommitsOfMostGroupsShowThatTheWallClockIsAhead) {
  for (const std::size_t groups : {1, 2, 3}) {
    SCOPED_TRACE(groups);
    ReferenceClock clock;
    clock.setGroupCount(groups);
    answer(clock, seconds(1), seconds(3), -seconds(3), 1, AnswerKind::Commit);
    EXPECT_EQ(clock.offset() < -seconds(2), groups == 1);
    answer(clock, seconds(1), seconds(3), -seconds(3), 2, AnswerKind::Commit);
    EXPECT_LT(clock.offset(), -seconds(2));
  }
}

TEST(ReferenceClockLag, OneOldCommitOfARepeatedWriteDoesNotSetTheClockBack) {
  ReferenceClock clock;
  clock.writeCommitted(1, seconds(5), seconds(7), seconds(7) + kRoundTrip);
  clock.writeCommitted(1, seconds(9), seconds(9), seconds(9) + kRoundTrip);
  clock.writeCommitted(1, seconds(8), seconds(10), seconds(10) + kRoundTrip);
  EXPECT_EQ(clock.offset(), Time(0));
}

TEST(ReferenceClockLag, OneSpoiltAnswerAheadOfTheWallClockCountsOnlyUntilTheNext) {
  ReferenceClock clock;
  answer(clock, seconds(1), seconds(1) + milliseconds(1), hours(1));
  ASSERT_GE(clock.offset(), hours(1));
  answer(clock, seconds(2), seconds(3), Time(0));
  EXPECT_EQ(clock.offset(), Time(0));
}

// The only primary's clock was an hour ahead; another one takes over.
TEST(ReferenceClockLag, ProofOfAPrimaryWhoseClockWasAheadExpires) {
  ReferenceClock clock;
  answer(clock, seconds(1), seconds(3), hours(1), 1);
  ASSERT_GE(clock.offset(), hours(1));
  clock.forget(1);
  answer(clock, seconds(3), seconds(60), Time(0), 2);
  EXPECT_GE(clock.offset(), hours(1) - kRoundTrip) << "it could be the second one that lags";
  answer(clock, seconds(60), seconds(70), Time(0), 2);
  EXPECT_EQ(clock.offset(), Time(0));
}

// ---- property --------------------------------------------------------------------------------------------
constexpr Time kStep = milliseconds(50);
constexpr Time kFaultsFor = seconds(120);
constexpr Time kProofLifetime = seconds(60);
constexpr Time kMaxClockSkew = milliseconds(50);
constexpr Time kLongestRoundTrip = milliseconds(20);

// A group whose primary changes, lags and catches up, and a wall clock that is stepped; the true
// offset is 0. The wall clock is right at the start, and so is the first second of answers.
class ClockWorld {
 public:
  explicit ClockWorld(std::uint64_t seed) : random_(seed) {}

  void run(Time until, bool withFaults) {
    for (; now_ < until; now_ += kStep) {
      if (withFaults && chance(1)) changeLag();
      if (withFaults && chance(1)) changeWallClock();
      if (withFaults && chance(1)) clock_.forget(primary_++);
      if (now_ >= lagUntil_) lag_ = Time(0);
      if (now_ >= wallWrongUntil_) clock_.updateWallOffset(Time(0));
      if (chance(60)) answer();
      lowest_ = std::min(lowest_, clock_.offset());
    }
  }

  Time offset() const { return clock_.offset(); }
  Time lowest() const { return lowest_; }

 private:
  std::int64_t between(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
  }
  bool chance(int percent) { return between(1, 100) <= percent; }

  void changeLag() {
    lag_ = milliseconds(between(0, 12000));
    lagUntil_ = now_ + milliseconds(between(500, 20000));
  }
  void changeWallClock() {
    const Time error = chance(20) ? Time(hours(1)) : Time(milliseconds(between(100, 12000)));
    clock_.updateWallOffset(chance(50) ? error : -error);
    wallWrongUntil_ = now_ + milliseconds(between(500, 30000));
  }
  void answer() {
    const Time received = now_ + milliseconds(between(1, kLongestRoundTrip / milliseconds(1)));
    const bool isSlow = chance(5);
    const Time sent = isSlow ? now_ - seconds(1) : now_;
    if (!chance(15)) return clock_.primaryAnswered(primary_, now_ - lag_, sent, received);
    // A client's repeat of a write that ran before cannot always be told from a new one.
    const Time age = chance(50) ? Time(milliseconds(between(0, 2000))) : Time(0);
    clock_.writeCommitted(primary_, now_ - age, sent, received);
  }

  std::mt19937_64 random_;
  ReferenceClock clock_;
  ServerId primary_ = 1;
  Time now_ = seconds(100);
  Time lag_{}, lagUntil_{}, wallWrongUntil_{}, lowest_{};
};

TEST(ReferenceClockLag, IsNeverBehindTheTrueTimeAndRightInTheEnd) {
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    ClockWorld world(seed);
    world.run(seconds(101), false);
    world.run(seconds(101) + kFaultsFor, true);
    // The last faults end within 30 s.
    world.run(seconds(101) + kFaultsFor + seconds(30) + 2 * kProofLifetime, false);
    ASSERT_GE(world.lowest(), -kMaxClockSkew - kLongestRoundTrip);
    ASSERT_LE(std::chrono::abs(world.offset()), kMaxClockSkew);
  }
}

}  // namespace
}  // namespace sablespur
