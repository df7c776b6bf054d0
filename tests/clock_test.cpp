// Steps of the wall clock: ReferenceClock alone, and an engine with its balancer in simulated time.
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

// Records an answer of a primary every 100 ms from `from` to `to`. The offset of its position to
// the monotonic clock is `offset`.
void recordAnswers(ReferenceClock& clock, Time from, Time to, Time offset, EndpointId server = 1) {
  for (Time sent = from; sent < to; sent += milliseconds(100)) {
    const Time received = sent + kRoundTrip;
    clock.primaryAnswered(server, sent + kRoundTrip / 2 + offset, sent, received);
  }
}

TEST(ReferenceClock, FollowsForwardStepAtOnce) {
  ReferenceClock clock;
  clock.updateWallOffset(seconds(3));
  EXPECT_EQ(clock.offset(), seconds(3));
  clock.updateWallOffset(seconds(3) + milliseconds(4));
  EXPECT_EQ(clock.offset(), seconds(3)) << "reading jitter, not a step";
}
TEST(ReferenceClock, FollowsStepBackOnlyIfPrimariesConfirmIt) {
  ReferenceClock clock;
  clock.updateWallOffset(-hours(1));
  EXPECT_EQ(clock.offset(), Time(0));
  recordAnswers(clock, seconds(1), seconds(3), -hours(1));
  EXPECT_EQ(clock.offset(), -hours(1)) << "confirmed by the primary";
}
TEST(ReferenceClock, IgnoresWrongStepBackByEarlierAnswers) {
  ReferenceClock clock;
  recordAnswers(clock, seconds(1), seconds(3), Time(0));
  clock.updateWallOffset(-seconds(2));
  EXPECT_GE(clock.offset(), Time(0));
  EXPECT_LE(clock.offset(), kRoundTrip);
}
TEST(ReferenceClock, CorrectsSlowWallClockOnFirstAnswer) {
  ReferenceClock clock;
  recordAnswers(clock, seconds(1), seconds(1) + milliseconds(1), hours(1));
  EXPECT_GE(clock.offset(), hours(1));
  EXPECT_LE(clock.offset(), hours(1) + kRoundTrip);
}
TEST(ReferenceClock, CorrectsFastWallClockOnceThePositionAdvancesForASecond) {
  ReferenceClock clock;
  clock.updateWallOffset(hours(1));
  recordAnswers(clock, seconds(1), seconds(1) + milliseconds(900), Time(0));
  EXPECT_EQ(clock.offset(), hours(1));
  recordAnswers(clock, seconds(2), seconds(3), Time(0));
  EXPECT_GE(clock.offset(), Time(0));
  EXPECT_LE(clock.offset(), kRoundTrip);
}
// The position of a primary that is cut off does not advance. Following it would make old data look
// new.
TEST(ReferenceClock, IgnoresPositionThatDoesNotAdvance) {
  ReferenceClock clock;
  for (Time sent = seconds(10); sent < seconds(70); sent += milliseconds(100))
    clock.primaryAnswered(1, seconds(5), sent, sent + kRoundTrip);
  EXPECT_EQ(clock.offset(), Time(0));
  clock.updateWallOffset(-seconds(20));
  EXPECT_EQ(clock.offset(), Time(0)) << "it does not confirm a step back";
}
TEST(ReferenceClock, IgnoresOneServerWithWrongClock) {
  for (const Time wrong : {Time(hours(1)), -Time(hours(1))}) {
    ReferenceClock clock;
    for (const EndpointId server : {2, 3}) recordAnswers(clock, seconds(1), seconds(3), Time(0), server);
    recordAnswers(clock, seconds(3), seconds(6), wrong, 1);
    EXPECT_EQ(clock.offset(), Time(0));
  }
}
TEST(ReferenceClock, IgnoresSlowAnswer) {
  ReferenceClock clock;
  clock.primaryAnswered(1, hours(1), seconds(1), seconds(2));
  EXPECT_EQ(clock.offset(), Time(0));
}
TEST(ReferenceClock, IgnoresForgottenServer) {
  ReferenceClock clock;
  recordAnswers(clock, seconds(1), seconds(3), Time(0), 1);
  recordAnswers(clock, seconds(1), seconds(3), hours(1), 2);
  EXPECT_EQ(clock.offset(), Time(0)) << "no majority";
  clock.forget(1);
  recordAnswers(clock, seconds(3), seconds(4), hours(1), 2);
  EXPECT_GE(clock.offset(), hours(1));
}

// ---- the engine ------------------------------------------------------------------------------------------
constexpr Time kStart = hours(24 * 365 * 56);  // Unix time; the data servers' clocks are correct
constexpr Time kTick = milliseconds(10);
constexpr EndpointId kPrimary = 1, kReplica = 2;
constexpr Time kMaxStaleness = seconds(5);  // maximum staleness of the configuration's class 0
constexpr Time kWarmUp = seconds(18);
constexpr int kRead = 0, kWrite = 1;

struct CountingHandler : ResponseHandler {
  int answers = 0, rejections = 0, failures = 0;
  void served(Answer) override { ++answers; }
  void rejected(Time) override { ++rejections; }
  void failed() override { ++failures; }
};

// Simulates an engine whose wall clock is off by `wallError`, a primary, and a replica that can
// stop applying changes.
class EngineSimulation {
 public:
  explicit EngineSimulation(Time wallError, std::vector<DiscoveredEndpoint> known = {},
                            balancer::Requirement readRequirement = balancer::Requirement::BoundedStaleness)
      : wallError_(wallError) {
    config_.settings.classes[kRead].requirement = readRequirement;
    if (!known.empty()) config_.known.instances = std::move(known);
    ClockSource source;
    source.wall = [this] { return now_ + wallError_; };
    source.steady = [this] { return now_ - kStart + seconds(100); };
    engine_ = std::make_unique<Engine>(base_.get(), config_, source);
    engine_->start(backend_, discovery_);
    engine_->runTurn();
  }

  void setWallError(Time error) { wallError_ = error; }
  void setReplicaApplies(bool on) { replicaApplies_ = on; }
  void setReplicaLag(Time by) { replicaLag_ = by; }
  void setPrimaryUp(bool on) { primaryUp_ = on; }
  Engine& engine() { return *engine_; }
  test::RecordingBackend& backend() { return backend_; }
  const Config& config() const { return config_; }
  Time now() const { return now_; }

  void receiveList(EndpointList list) {
    engine_->endpointsListed(std::move(list));
    engine_->runTurn();
  }
  // `lastWrite`: Unix time of the session's last write; 0: none.
  RequestId sendRequest(CountingHandler& handler, int classIndex, Time lastWrite = Time(0)) {
    balancer::Request request;
    if (lastWrite > Time(0))
      request.sessionTokenAgeMs = static_cast<float>((engine_->unixNow() - lastWrite).count()) / 1e3f;
    request.classIndex = classIndex;
    request.group = 3;
    request.deadline =
        engine_->now() + config_.settings.classes[static_cast<std::size_t>(classIndex)].deadline;
    RequestMessage message{newBuffer(), newBuffer(), nullptr, {}, {}};
    message.clockOffset = engine_->clockOffset();
    const RequestId id = engine_->request(handler, request, std::move(message));
    if (classIndex == kRead) reads_.insert(id);
    return id;
  }
  void stall(Time span) { now_ += span; }  // without running the engine
  // Simulates traffic for `span`: a read every 50 ms and a write every 300 ms.
  void run(Time span) {
    const Time until = now_ + span;
    for (; now_ < until; ++ticks_) {
      now_ += kTick;
      if (replicaApplies_) replicaPosition_ = now_ - replicaLag_;
      answerHealthChecks();
      answerAttempts();
      if (ticks_ % 5 == 0) sendRequest(traffic, kRead);
      if (ticks_ % 30 == 0) sendRequest(traffic, kWrite);
      engine_->runTurn();
      recordAttempts();
    }
  }

  CountingHandler traffic;
  int staleReads = 0, replicaReads = 0;
  std::set<RequestId> readsAtReplica;  // reads sent to the replica
  Time maxReadAge{};

 private:
  Time positionOf(EndpointId endpoint) const { return endpoint == kPrimary ? now_ : replicaPosition_; }
  void answerHealthChecks() {
    const std::vector<EndpointId> healthChecks = std::move(backend_.healthChecks);
    backend_.healthChecks.clear();
    for (const EndpointId endpoint : healthChecks) {
      if (endpoint == kPrimary && !primaryUp_)
        engine_->healthCheckEnded(endpoint, false, {});
      else
        engine_->healthCheckEnded(
            endpoint, true,
            {static_cast<double>(positionOf(endpoint).count()) / 1e6, endpoint == kPrimary ? 1.0 : 0.0, 0.0});
    }
  }
  void answerAttempts() {
    for (const test::RecordingBackend::Sent& sent : pending_) {
      AttemptEnd end;
      const bool reset = sent.endpoint == kPrimary && !primaryUp_;
      end.result = reset ? AttemptResult::Reset : AttemptResult::Ok;
      if (!reset) {
        end.role = sent.endpoint == kPrimary ? Role::Primary : Role::Replica;
        end.positionMs = positionOf(sent.endpoint).count() / 1000;
        end.answer.messages = newBuffer();
      }
      engine_->attemptEnded(sent.id, sent.attempt, sent.endpoint, std::move(end));
    }
    pending_.clear();
  }
  void recordAttempts() {
    for (const test::RecordingBackend::Sent& sent : backend_.sent) {
      pending_.push_back(sent);
      if (sent.endpoint == kPrimary || reads_.count(sent.id) == 0) continue;
      ++replicaReads;
      readsAtReplica.insert(sent.id);
      const Time age = now_ - replicaPosition_;
      maxReadAge = std::max(maxReadAge, age);
      staleReads += age > kMaxStaleness + kTick;
    }
    backend_.sent.clear();
  }

  Time now_ = kStart, wallError_, replicaPosition_ = kStart;
  Time replicaLag_ = milliseconds(20);
  bool replicaApplies_ = true, primaryUp_ = true;
  int ticks_ = 0;
  EventBase base_{event_base_new()};
  Config config_ = parseConfig(test::configuration({}, 1, {11, 12}));
  test::RecordingBackend backend_;
  test::RecordingDiscovery discovery_;
  std::unique_ptr<Engine> engine_;
  std::set<RequestId> reads_;
  std::vector<test::RecordingBackend::Sent> pending_;
};

struct WallClockCase {
  const char* name;
  Time errorBefore, errorAfter;  // error of the wall clock before and after the step
};
const std::vector<WallClockCase> kWallClockCases = {
    {"correct throughout", Time(0), Time(0)},
    {"3 s ahead before the start", seconds(3), seconds(3)},
    {"3 s behind before the start", -seconds(3), -seconds(3)},
    {"an hour ahead before the start", hours(1), hours(1)},
    {"an hour behind before the start", -hours(1), -hours(1)},
    {"stepped 3 s forward, wrongly", Time(0), seconds(3)},
    {"stepped 3 s back, wrongly", Time(0), -seconds(3)},
    {"stepped an hour forward, wrongly", Time(0), hours(1)},
    {"stepped an hour back, wrongly", Time(0), -hours(1)},
    {"3 s ahead, then corrected", seconds(3), Time(0)},
    {"3 s behind, then corrected", -seconds(3), Time(0)},
    {"an hour ahead, then corrected", hours(1), Time(0)},
    {"an hour behind, then corrected", -hours(1), Time(0)},
};

// The replica stops applying changes for 12 s, and the step comes before, during or after that
// time. Its data must not be read once they are older than the maximum staleness. Once it applies
// changes again, it must be read again, and no request may be rejected.
TEST(WallClock, StepCausesNoStaleReadsAndFreshReplicasAreRead) {
  for (const WallClockCase& wallClockCase : kWallClockCases)
    for (const Time stepAt : {milliseconds(0), milliseconds(12000), milliseconds(25000)}) {
      SCOPED_TRACE(std::string(wallClockCase.name) + ", at ms " + std::to_string(stepAt.count() / 1000));
      EngineSimulation simulation(wallClockCase.errorBefore);
      Time elapsed{};
      const auto runTo = [&](Time until) {
        if (elapsed <= stepAt && stepAt < until) {
          simulation.run(stepAt - elapsed);
          simulation.setWallError(wallClockCase.errorAfter);
          elapsed = stepAt;
        }
        simulation.run(until - elapsed);
        elapsed = until;
      };
      runTo(seconds(8));
      simulation.setReplicaApplies(false);
      runTo(seconds(20));
      simulation.setReplicaApplies(true);
      runTo(seconds(30));
      EXPECT_EQ(simulation.staleReads, 0) << "maximum age in ms: " << simulation.maxReadAge.count() / 1000;
      const int rejectedBefore = simulation.traffic.rejections + simulation.traffic.failures,
                readBefore = simulation.replicaReads;
      runTo(seconds(34));
      EXPECT_GT(simulation.replicaReads - readBefore, 40) << "of 80 reads in the last 4 s";
      EXPECT_EQ(simulation.traffic.rejections + simulation.traffic.failures - rejectedBefore, 0);
    }
}

// Under a slow wall clock, positions reported before the first answer of a primary look newer than
// they are. They must be corrected with that answer.
TEST(WallClock, CorrectsAgeOfEarlierReportsAfterSlowWallClock) {
  EngineSimulation simulation(-seconds(4));
  simulation.setPrimaryUp(false);
  simulation.setReplicaLag(milliseconds(4100));
  simulation.run(milliseconds(500));
  ASSERT_GT(simulation.replicaReads, 0) << "its data are fresh enough";
  simulation.setReplicaApplies(false);
  simulation.setPrimaryUp(true);
  simulation.run(seconds(12));
  EXPECT_GE(simulation.engine().clockOffset(), seconds(4));
  EXPECT_EQ(simulation.staleReads, 0) << "maximum age in ms: " << simulation.maxReadAge.count() / 1000;
}

// ---- deadlines -------------------------------------------------------------------------------------------
// Without data servers the request waits, and only time ends it: it is rejected while the client
// can still retry elsewhere. A step of the wall clock must not change when.
TEST(WallClock, StepDoesNotMoveDeadline) {
  for (const Time error : {Time(hours(1)), -Time(hours(1)), Time(seconds(3)), -Time(seconds(3))}) {
    EngineSimulation simulation(Time(0));
    simulation.run(seconds(2));
    simulation.receiveList({7, true, {}});
    CountingHandler handler;
    simulation.sendRequest(handler, kWrite);
    simulation.setWallError(error);
    simulation.run(milliseconds(3900));
    EXPECT_EQ(handler.rejections + handler.failures, 0) << error.count();
    simulation.run(milliseconds(5100));
    EXPECT_EQ(handler.rejections, 1) << error.count();
  }
}

// ---- sessions --------------------------------------------------------------------------------------------
// The wall clock was an hour ahead and is corrected while a session's read is queued or waits for a
// replica.
TEST(WallClock, SessionReadsItsLastWriteAcrossStep) {
  for (const bool passedToBalancer : {false, true}) {
    SCOPED_TRACE(passedToBalancer ? "waits in the balancer"
                                  : "token age computed, not yet passed to the balancer");
    EngineSimulation simulation(hours(1), {}, balancer::Requirement::Session);
    simulation.run(milliseconds(500));
    simulation.setReplicaApplies(false);
    simulation.run(milliseconds(200));
    simulation.engine().suspend("s-1", true);
    simulation.run(milliseconds(20));
    CountingHandler handler;
    const Time offset = simulation.engine().clockOffset();
    const RequestId id = simulation.sendRequest(handler, kRead, simulation.now() - milliseconds(50));
    if (passedToBalancer) simulation.run(milliseconds(20));
    simulation.setWallError(Time(0));
    simulation.stall(milliseconds(100));
    simulation.run(milliseconds(400));
    ASSERT_EQ(simulation.engine().clockOffset(), offset - hours(1)) << "follows the step";
    EXPECT_EQ(simulation.readsAtReplica.count(id), 0u);
    simulation.setReplicaApplies(true);
    simulation.run(seconds(1));
    EXPECT_EQ(simulation.readsAtReplica.count(id), 1u);
  }
}

// ---- starts ----------------------------------------------------------------------------------------------
DiscoveredEndpoint serverStartedAt(const EngineSimulation& simulation, Time at) {
  DiscoveredEndpoint endpoint = simulation.config().known.instances[1];
  endpoint.name = "s-3";
  endpoint.startedMs = at.count() / 1000;
  return endpoint;
}
std::vector<DiscoveredEndpoint> knownWithStart(Time at) {
  std::vector<DiscoveredEndpoint> known = parseConfig(test::configuration({}, 1, {11, 12})).known.instances;
  known[1].startedMs = at.count() / 1000;
  return known;
}

TEST(WallClock, NewStartInLaterListIsRecentWhateverItsTimeStamp) {
  for (const Time error : {Time(0), Time(hours(1)), -Time(hours(1))})
    for (const Time stamp : {kStart - hours(1), kStart + seconds(2), kStart + hours(1)}) {
      EngineSimulation simulation(error);
      simulation.receiveList({6, false, {}});
      simulation.run(seconds(2));
      simulation.receiveList({7, false, {serverStartedAt(simulation, stamp)}});
      const Time warmAt = simulation.backend().warmAt[3];
      EXPECT_EQ(warmAt, simulation.engine().now() + kWarmUp) << error.count() << " " << stamp.count();
      simulation.run(seconds(2));
      simulation.receiveList({8, false, {serverStartedAt(simulation, stamp)}});
      EXPECT_EQ(simulation.backend().warmAt[3], warmAt) << "listed again with the same start";
    }
}
TEST(WallClock, StartInInitialListIsTakenFromItsTimeStamp) {
  EngineSimulation longAgo(Time(0), knownWithStart(kStart - hours(1)));
  EXPECT_LT(longAgo.backend().warmAt[kReplica], longAgo.engine().now());
  EngineSimulation justNow(Time(0), knownWithStart(kStart - seconds(2)));
  EXPECT_EQ(justNow.backend().warmAt[kReplica], justNow.engine().now() - seconds(2) + kWarmUp);
  EngineSimulation behind(-hours(1), knownWithStart(kStart - seconds(2)));
  EXPECT_EQ(behind.backend().warmAt[kReplica], behind.engine().now() + kWarmUp) << "not in the future";
}
// With a fast wall clock a server that has just started looks warm until the answers of primaries
// correct the reference clock.
TEST(WallClock, RestartsSlowStartOnceFastWallClockIsCorrected) {
  const auto replicaReads = [](Time error, Time started) {
    EngineSimulation simulation(error, knownWithStart(started));
    simulation.run(seconds(3));
    const int before = simulation.replicaReads;
    simulation.run(seconds(3));
    return simulation.replicaReads - before;
  };
  const int warm = replicaReads(Time(0), kStart - hours(1));
  const int warming = replicaReads(Time(0), kStart);
  ASSERT_LT(warming, warm - 5);
  EXPECT_LE(replicaReads(hours(1), kStart), warming + 2);
  EXPECT_LE(replicaReads(seconds(20), kStart), warming + 2);
}

}  // namespace
}  // namespace sablespur
