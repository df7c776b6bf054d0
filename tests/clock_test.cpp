// Steps of the wall clock: the reference clock alone, and a whole engine with its Balancer in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "engine/reference_clock.hpp"
#include "engine_fakes.hpp"
#include "scenario.hpp"

namespace sablespur {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- the reference clock ---------------------------------------------------------------------------------
constexpr Time kRoundTrip = milliseconds(4);

// A primary answers each 100 ms from `from` to `to`; its position's offset to the monotonic scale is
// `offset`.
void primaryAnswers(ReferenceClock& clock, Time from, Time to, Time offset, EndpointId server = 1) {
  for (Time sent = from; sent < to; sent += milliseconds(100)) {
    const Time received = sent + kRoundTrip;
    clock.primaryAnswered(server, sent + kRoundTrip / 2 + offset, sent, received);
  }
}

TEST(ReferenceClock, FollowsTheWallClockForwardAtOnce) {
  ReferenceClock clock;
  clock.readWall(seconds(3));
  EXPECT_EQ(clock.offset(), seconds(3));
  clock.readWall(seconds(3) + milliseconds(4));
  EXPECT_EQ(clock.offset(), seconds(3)) << "no step, but the time between two readings";
}
TEST(ReferenceClock, FollowsNoStepBackThatNobodyVouchesFor) {
  ReferenceClock clock;
  clock.readWall(-hours(1));
  EXPECT_EQ(clock.offset(), Time(0));
  primaryAnswers(clock, seconds(1), seconds(3), -hours(1));
  EXPECT_EQ(clock.offset(), -hours(1)) << "the wall clock was an hour ahead before";
}
TEST(ReferenceClock, AWrongStepBackIsContradictedByWhatPrimariesSaidBefore) {
  ReferenceClock clock;
  primaryAnswers(clock, seconds(1), seconds(3), Time(0));
  clock.readWall(-seconds(2));
  EXPECT_GE(clock.offset(), Time(0));
  EXPECT_LE(clock.offset(), kRoundTrip);
}
TEST(ReferenceClock, AWallClockThatIsBehindIsCorrectedByTheFirstAnswer) {
  ReferenceClock clock;
  primaryAnswers(clock, seconds(1), seconds(1) + milliseconds(1), hours(1));
  EXPECT_GE(clock.offset(), hours(1));
  EXPECT_LE(clock.offset(), hours(1) + kRoundTrip);
}
TEST(ReferenceClock, AWallClockThatIsAheadIsCorrectedOnceAPrimaryKeepsStepWithTime) {
  ReferenceClock clock;
  clock.readWall(hours(1));
  primaryAnswers(clock, seconds(1), seconds(1) + milliseconds(900), Time(0));
  EXPECT_EQ(clock.offset(), hours(1));
  primaryAnswers(clock, seconds(2), seconds(3), Time(0));
  EXPECT_GE(clock.offset(), Time(0));
  EXPECT_LE(clock.offset(), kRoundTrip);
}
// A primary that was cut off stands still: to go by it would make old data look new.
TEST(ReferenceClock, APositionThatStandsStillMovesNothing) {
  ReferenceClock clock;
  for (Time sent = seconds(10); sent < seconds(70); sent += milliseconds(100))
    clock.primaryAnswered(1, seconds(5), sent, sent + kRoundTrip);
  EXPECT_EQ(clock.offset(), Time(0));
  clock.readWall(-seconds(20));
  EXPECT_EQ(clock.offset(), Time(0)) << "it vouches for no step back";
}
TEST(ReferenceClock, OneServerWithAWrongClockIsOutvoted) {
  for (const Time wrong : {Time(hours(1)), -Time(hours(1))}) {
    ReferenceClock clock;
    for (const EndpointId server : {2, 3}) primaryAnswers(clock, seconds(1), seconds(3), Time(0), server);
    primaryAnswers(clock, seconds(3), seconds(6), wrong, 1);
    EXPECT_EQ(clock.offset(), Time(0));
  }
}
TEST(ReferenceClock, ASlowAnswerBoundsNothing) {
  ReferenceClock clock;
  clock.primaryAnswered(1, hours(1), seconds(1), seconds(2));
  EXPECT_EQ(clock.offset(), Time(0));
}
TEST(ReferenceClock, ForgetsServersThatAreGone) {
  ReferenceClock clock;
  primaryAnswers(clock, seconds(1), seconds(3), Time(0), 1);
  primaryAnswers(clock, seconds(1), seconds(3), hours(1), 2);
  EXPECT_EQ(clock.offset(), Time(0)) << "one against one";
  clock.forget(1);
  primaryAnswers(clock, seconds(3), seconds(4), hours(1), 2);
  EXPECT_GE(clock.offset(), hours(1));
}

// ---- the engine ------------------------------------------------------------------------------------------
constexpr Time kTrueStart = hours(24 * 365 * 56);  // on the data servers' clocks, which are right
constexpr Time kTick = milliseconds(10);
constexpr EndpointId kPrimary = 1, kReplica = 2;
constexpr Time kBound = seconds(5);  // of the configuration's class 0
constexpr Time kWarmUp = seconds(18);
constexpr int kRead = 0, kWrite = 1;

struct CountingRequester : ResponseHandler {
  int answers = 0, refusals = 0, failures = 0;
  void served(Answer) override { ++answers; }
  void rejected(Time) override { ++refusals; }
  void failed() override { ++failures; }
};

// A primary, a replica that may stop applying, and an engine whose wall clock is off by `wallError`.
class World {
 public:
  explicit World(Time wallError, std::vector<DiscoveredEndpoint> known = {},
                 balancer::Requirement readNeed = balancer::Requirement::BoundedStaleness)
      : wallError_(wallError) {
    config_.settings.classes[kRead].requirement = readNeed;
    if (!known.empty()) config_.known.instances = std::move(known);
    ClockSource source;
    source.wall = [this] { return now_ + wallError_; };
    source.steady = [this] { return now_ - kTrueStart + seconds(100); };
    engine_ = std::make_unique<Engine>(base_.get(), config_, source);
    engine_->start(members_, lists_);
    engine_->runTurn();
  }

  void stepWall(Time error) { wallError_ = error; }
  void replicaApplies(bool on) { applies_ = on; }
  void replicaLags(Time by) { replicaLag_ = by; }
  void primaryAnswers(bool on) { primaryUp_ = on; }
  Engine& engine() { return *engine_; }
  test::FakeMembers& members() { return members_; }
  const Config& config() const { return config_; }
  Time now() const { return now_; }

  void list(EndpointList list) {
    engine_->endpointsListed(std::move(list));
    engine_->runTurn();
  }
  // `after`: Unix time of the session's last write; 0: none.
  RequestId ask(CountingRequester& asker, int cls, Time after = Time(0)) {
    balancer::Request q;
    if (after > Time(0))
      q.sessionTokenAgeMs = static_cast<float>((engine_->unixNow() - after).count()) / 1e3f;
    q.classIndex = cls;
    q.group = 3;
    q.deadline = engine_->now() + config_.settings.classes[static_cast<std::size_t>(cls)].deadline;
    RequestMessage message{newBuffer(), newBuffer(), nullptr, {}, {}};
    message.clockOffset = engine_->clockOffset();
    const RequestId id = engine_->request(asker, q, std::move(message));
    if (cls == kRead) reads_.insert(id);
    return id;
  }
  void passTime(Time span) { now_ += span; }  // in which the engine sees nothing
  // Bounded reads 20 times a second and a write now and then, for so long.
  void run(Time span) {
    const Time end = now_ + span;
    for (; now_ < end; ++ticks_) {
      now_ += kTick;
      if (applies_) replicaPosition_ = now_ - replicaLag_;
      answerProbes();
      answerSends();
      if (ticks_ % 5 == 0) ask(traffic, kRead);
      if (ticks_ % 30 == 0) ask(traffic, kWrite);
      engine_->runTurn();
      lookAtSends();
    }
  }

  CountingRequester traffic;
  int staleReads = 0, replicaReads = 0;
  std::set<RequestId> atReplica;  // reads that went there
  Time oldestRead{};

 private:
  Time positionOf(EndpointId member) const { return member == kPrimary ? now_ : replicaPosition_; }
  void answerProbes() {
    const std::vector<EndpointId> probes = std::move(members_.probes);
    members_.probes.clear();
    for (const EndpointId member : probes) {
      if (member == kPrimary && !primaryUp_)
        engine_->healthCheckEnded(member, false, {});
      else
        engine_->healthCheckEnded(
            member, true,
            {static_cast<double>(positionOf(member).count()) / 1e6, member == kPrimary ? 1.0 : 0.0, 0.0});
    }
  }
  void answerSends() {
    for (const test::FakeMembers::Sent& sent : pending_) {
      AttemptEnd ending;
      const bool reset = sent.member == kPrimary && !primaryUp_;
      ending.result = reset ? AttemptResult::Reset : AttemptResult::Ok;
      if (!reset) {
        ending.role = sent.member == kPrimary ? Role::Primary : Role::Replica;
        ending.positionMs = positionOf(sent.member).count() / 1000;
        ending.answer.messages = newBuffer();
      }
      engine_->attemptEnded(sent.id, sent.attempt, sent.member, std::move(ending));
    }
    pending_.clear();
  }
  void lookAtSends() {
    for (const test::FakeMembers::Sent& sent : members_.sent) {
      pending_.push_back(sent);
      if (sent.member == kPrimary || reads_.count(sent.id) == 0) continue;
      ++replicaReads;
      atReplica.insert(sent.id);
      const Time age = now_ - replicaPosition_;
      oldestRead = std::max(oldestRead, age);
      staleReads += age > kBound + kTick;
    }
    members_.sent.clear();
  }

  Time now_ = kTrueStart, wallError_, replicaPosition_ = kTrueStart;
  Time replicaLag_ = milliseconds(20);
  bool applies_ = true, primaryUp_ = true;
  int ticks_ = 0;
  EventBase base_{event_base_new()};
  Config config_ = parseConfig(test::configuration({}, 1, {11, 12}));
  test::FakeMembers members_;
  test::FakeLists lists_;
  std::unique_ptr<Engine> engine_;
  std::set<RequestId> reads_;
  std::vector<test::FakeMembers::Sent> pending_;
};

struct Step {
  const char* name;
  Time before, during;  // error of the wall clock from the start on, and from the step on
};
const std::vector<Step> kSteps = {
    {"right throughout", Time(0), Time(0)},
    {"3 s ahead before the start", seconds(3), seconds(3)},
    {"3 s behind before the start", -seconds(3), -seconds(3)},
    {"an hour ahead before the start", hours(1), hours(1)},
    {"an hour behind before the start", -hours(1), -hours(1)},
    {"stepped 3 s forward, wrongly", Time(0), seconds(3)},
    {"stepped 3 s back, wrongly", Time(0), -seconds(3)},
    {"stepped an hour forward, wrongly", Time(0), hours(1)},
    {"stepped an hour back, wrongly", Time(0), -hours(1)},
    {"3 s ahead, stepped right", seconds(3), Time(0)},
    {"3 s behind, stepped right", -seconds(3), Time(0)},
    {"an hour ahead, stepped right", hours(1), Time(0)},
    {"an hour behind, stepped right", -hours(1), Time(0)},
};

// The replica stops for 12 s, before, across and after the step; what it holds then must not be read once it
// is older than the bound. When it applies again it has to be read again, and nobody is refused for long.
TEST(WallClock, NoStepMakesAReadStaleOrKeepsFreshDataFromBeingRead) {
  for (const Step& step : kSteps)
    for (const Time stepAt : {milliseconds(0), milliseconds(12000), milliseconds(25000)}) {
      SCOPED_TRACE(std::string(step.name) + ", after ms " + std::to_string(stepAt.count() / 1000));
      World world(step.before);
      Time ran{};
      const auto runTo = [&](Time until) {
        if (ran <= stepAt && stepAt < until) {
          world.run(stepAt - ran);
          world.stepWall(step.during);
          ran = stepAt;
        }
        world.run(until - ran);
        ran = until;
      };
      runTo(seconds(8));
      world.replicaApplies(false);
      runTo(seconds(20));
      world.replicaApplies(true);
      runTo(seconds(30));
      EXPECT_EQ(world.staleReads, 0) << "oldest, ms: " << world.oldestRead.count() / 1000;
      const int refused = world.traffic.refusals + world.traffic.failures, read = world.replicaReads;
      runTo(seconds(34));
      EXPECT_GT(world.replicaReads - read, 40) << "of 80 reads in the last 4 s";
      EXPECT_EQ(world.traffic.refusals + world.traffic.failures - refused, 0);
    }
}

// What was told before the first primary's word was taken for younger than it is.
TEST(WallClock, WhatWasToldUnderAClockThatIsBehindIsJudgedAnew) {
  World world(-seconds(4));
  world.primaryAnswers(false);
  world.replicaLags(milliseconds(4100));
  world.run(milliseconds(500));
  ASSERT_GT(world.replicaReads, 0) << "its data are within the bound";
  world.replicaApplies(false);
  world.primaryAnswers(true);
  world.run(seconds(12));
  EXPECT_GE(world.engine().clockOffset(), seconds(4));
  EXPECT_EQ(world.staleReads, 0) << "oldest, ms: " << world.oldestRead.count() / 1000;
}

// ---- deadlines -------------------------------------------------------------------------------------------
// No data server is left, so the request waits: by its time alone it ends, told while it can still go
// elsewhere.
TEST(WallClock, ADeadlineIsASpanOfRealTime) {
  for (const Time error : {Time(hours(1)), -Time(hours(1)), Time(seconds(3)), -Time(seconds(3))}) {
    World world(Time(0));
    world.run(seconds(2));
    world.list({7, true, {}});
    CountingRequester asker;
    world.ask(asker, kWrite);
    world.stepWall(error);
    world.run(milliseconds(3900));
    EXPECT_EQ(asker.refusals + asker.failures, 0) << error.count();
    world.run(milliseconds(5100));
    EXPECT_EQ(asker.refusals, 1) << error.count();
  }
}

// ---- sessions --------------------------------------------------------------------------------------------
// The wall clock was an hour ahead, and is set right while a session's read is on its way to a decision.
TEST(WallClock, ASessionReadsItsLastWriteAcrossAStep) {
  for (const bool decidedBefore : {false, true}) {
    SCOPED_TRACE(decidedBefore ? "it waits in the module"
                               : "its age was counted, the module has not seen it");
    World world(hours(1), {}, balancer::Requirement::Session);
    world.run(milliseconds(500));
    world.replicaApplies(false);
    world.run(milliseconds(200));
    world.engine().suspend("s-1", true);
    world.run(milliseconds(20));
    CountingRequester asker;
    const Time offset = world.engine().clockOffset();
    const RequestId id = world.ask(asker, kRead, world.now() - milliseconds(50));
    if (decidedBefore) world.run(milliseconds(20));
    world.stepWall(Time(0));
    world.passTime(milliseconds(100));
    world.run(milliseconds(400));
    ASSERT_EQ(world.engine().clockOffset(), offset - hours(1)) << "the step was followed";
    EXPECT_EQ(world.atReplica.count(id), 0u);
    world.replicaApplies(true);
    world.run(seconds(1));
    EXPECT_EQ(world.atReplica.count(id), 1u);
  }
}

// ---- starts ----------------------------------------------------------------------------------------------
DiscoveredEndpoint serverStarted(const World& world, Time at) {
  DiscoveredEndpoint i = world.config().known.instances[1];
  i.name = "s-3";
  i.startedMs = at.count() / 1000;
  return i;
}
std::vector<DiscoveredEndpoint> knownWithStart(Time at) {
  std::vector<DiscoveredEndpoint> known = parseConfig(test::configuration({}, 1, {11, 12})).known.instances;
  known[1].startedMs = at.count() / 1000;
  return known;
}

TEST(WallClock, AStartThatIsFirstSeenNowIsRecentWhateverItsStamp) {
  for (const Time error : {Time(0), Time(hours(1)), -Time(hours(1))})
    for (const Time stamp : {kTrueStart - hours(1), kTrueStart + seconds(2), kTrueStart + hours(1)}) {
      World world(error);
      world.list({6, false, {}});
      world.run(seconds(2));
      world.list({7, false, {serverStarted(world, stamp)}});
      const Time warmAt = world.members().warmAt[3];
      EXPECT_EQ(warmAt, world.engine().now() + kWarmUp) << error.count() << " " << stamp.count();
      world.run(seconds(2));
      world.list({8, false, {serverStarted(world, stamp)}});
      EXPECT_EQ(world.members().warmAt[3], warmAt) << "told again, it is the same start";
    }
}
TEST(WallClock, AStartInTheFirstListIsJudgedByItsStamp) {
  World longAgo(Time(0), knownWithStart(kTrueStart - hours(1)));
  EXPECT_LT(longAgo.members().warmAt[kReplica], longAgo.engine().now());
  World justNow(Time(0), knownWithStart(kTrueStart - seconds(2)));
  EXPECT_EQ(justNow.members().warmAt[kReplica], justNow.engine().now() - seconds(2) + kWarmUp);
  World behind(-hours(1), knownWithStart(kTrueStart - seconds(2)));
  EXPECT_EQ(behind.members().warmAt[kReplica], behind.engine().now() + kWarmUp) << "not an hour from now";
}
// Taken for warm since the wall clock was ahead, until primaries have shown that it is.
TEST(WallClock, AServerThatHasJustStartedIsNotTakenForWarmOnceTheClockIsKnownToBeAhead) {
  const auto replicaReads = [](Time error, Time started) {
    World world(error, knownWithStart(started));
    world.run(seconds(3));
    const int before = world.replicaReads;
    world.run(seconds(3));
    return world.replicaReads - before;
  };
  const int warm = replicaReads(Time(0), kTrueStart - hours(1));
  const int warming = replicaReads(Time(0), kTrueStart);
  ASSERT_LT(warming, warm - 5);
  EXPECT_LE(replicaReads(hours(1), kTrueStart), warming + 2);
  EXPECT_LE(replicaReads(seconds(20), kTrueStart), warming + 2);
}

}  // namespace
}  // namespace sablespur
