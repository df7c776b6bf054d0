// The engine with a fake backend, discovery source and response handler; no sockets.
#include "engine/engine.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <cerrno>
#include <map>
#include <utility>

#include "engine/file_descriptor.hpp"
#include "engine/timer_queue.hpp"
#include "engine_fakes.hpp"
#include "scenario.hpp"

namespace sablespur {
namespace {

using test::RecordingBackend;
using test::RecordingDiscovery;

struct RecordingHandler : ResponseHandler {
  std::string outcome;
  void served(Answer answer) override {
    outcome += "served ";
    outcome.append(reinterpret_cast<const char*>(evbuffer_pullup(answer.messages.get(), -1)),
                   evbuffer_get_length(answer.messages.get()));
  }
  void rejected(Time) override { outcome += "rejected"; }
  void failed() override { outcome += "failed"; }
};

struct EngineTest : testing::Test {
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));  // endpoints 1 and 2
  Engine engine{base.get(), config};
  RecordingBackend backend;
  RecordingDiscovery discovery;
  RecordingHandler handler;

  void SetUp() override {
    engine.start(backend, discovery);
    engine.runTurn();
    reportHealth(1, true, engine.now());
    reportHealth(2, false, engine.now());
  }
  void reportHealth(EndpointId endpoint, bool primary, Time position) {
    engine.healthCheckEnded(endpoint, true,
                            {static_cast<double>(position.count()) / 1e6, primary ? 1.0 : 0.0, 0.0});
    engine.runTurn();
  }
  RequestId sendRequest(int classIndex = 0) {
    balancer::Request request;
    request.classIndex = classIndex;
    request.group = 3;
    request.deadline = engine.now() + std::chrono::seconds(5);
    const RequestId id =
        engine.request(handler, request, RequestMessage{newBuffer(), newBuffer(), nullptr, {}, {}});
    engine.runTurn();
    return id;
  }
  void endAttempt(RequestId id, int attempt, EndpointId endpoint, AttemptResult result) {
    AttemptEnd ended;
    ended.result = result;
    ended.answer.messages = newBuffer();
    append(ended.answer.messages.get(), "v");
    engine.attemptEnded(id, attempt, endpoint, std::move(ended));
  }
};

TEST_F(EngineTest, WatchesFromKnownGeneration) {
  EXPECT_EQ(discovery.watches, std::vector<std::uint64_t>{5});
  EXPECT_TRUE(backend.ready[1] && backend.ready[2]);
}
// A peer that sends without a pause may not hold up the turn: each update can wake all that wait.
TEST_F(EngineTest, UpdatesOfPeersBeyondTheTimeForThemWaitForTheNextTurn) {
  Time steady{};
  ClockSource source;
  source.steady = [&steady] { return steady += std::chrono::milliseconds(1); };
  Engine slow(base.get(), config, source);
  slow.start(backend, discovery);
  slow.runTurn();
  for (int k = 0; k < 20; ++k) slow.gossipReceived({});
  slow.runTurn();
  EXPECT_TRUE(slow.hasPendingEvents());
  int turns = 0;
  while (slow.hasPendingEvents() && ++turns < 100) slow.runTurn();
  EXPECT_FALSE(slow.hasPendingEvents());
}
TEST_F(EngineTest, ProcessesQueuedEventsInTheNextTurn) {
  balancer::Request request;
  request.group = 3;
  request.deadline = engine.now() + std::chrono::seconds(5);
  engine.request(handler, request, RequestMessage{newBuffer(), newBuffer(), nullptr, {}, {}});
  EXPECT_TRUE(backend.sent.empty());
  EXPECT_TRUE(engine.hasPendingEvents());
  engine.runTurn();
  ASSERT_EQ(backend.sent.size(), 1u);
  EXPECT_EQ(backend.sent[0].endpoint, 2u);
}
TEST_F(EngineTest, RetriesAfterResetAndAnswersClientOnce) {
  const RequestId id = sendRequest();
  endAttempt(id, 0, 2, AttemptResult::Reset);
  engine.runTurn();
  ASSERT_EQ(backend.sent.size(), 2u);  // the balancer retries at the other endpoint
  EXPECT_EQ(backend.sent[1].attempt, 1);
  endAttempt(id, 1, 1, AttemptResult::Ok);
  // A duplicate is reported to the balancer as already answered and not sent to the client.
  endAttempt(id, 1, 1, AttemptResult::Ok);
  engine.runTurn();
  EXPECT_EQ(handler.outcome, "served v");
}
TEST_F(EngineTest, DropsAnswerAfterClientDisconnects) {
  const RequestId id = sendRequest();
  endAttempt(id, 0, 2, AttemptResult::Ok);
  engine.clientDisconnected(id);
  engine.runTurn();
  EXPECT_EQ(handler.outcome, "");
  const RequestId other = sendRequest();
  engine.clientDisconnected(other);
  engine.runTurn();
  ASSERT_EQ(backend.cancelled.size(), 1u);
  EXPECT_EQ(backend.cancelled[0].id, other);
}
// While an attempt waits for a slow dial, its endpoint may start draining or its data may become
// too stale. So both are checked again when the connection is ready.
TEST_F(EngineTest, ChecksAttemptAgainWhenConnectionIsReady) {
  const RequestId id = sendRequest();
  engine.connectionReady(id, 0);
  engine.runTurn();
  EXPECT_EQ(backend.continued.back(), std::make_pair(0, true));
  EndpointList change{6, false, {config.known.instances[1]}};
  change.instances[0].state = balancer::Lifecycle::Draining;
  engine.endpointsListed(change);
  engine.connectionReady(id, 0);
  engine.runTurn();
  EXPECT_EQ(backend.continued.back(), std::make_pair(0, false));
  EXPECT_FALSE(backend.ready[2]);
  endAttempt(id, 0, 2, AttemptResult::NotSent);
  engine.runTurn();
  EXPECT_EQ(backend.sent.back().endpoint, 1u);
}
TEST_F(EngineTest, FullListMarksUnlistedEndpointsNotReady) {
  engine.endpointsListed({7, true, {config.known.instances[0]}});
  engine.runTurn();
  EXPECT_TRUE(backend.ready[1]);
  EXPECT_FALSE(backend.ready[2]);
  engine.discoveryFailed("down");
  engine.runTurn();
  EXPECT_TRUE(backend.ready[1]);
}
// Guards against a fault found in a soak: if the settings name no server, the first list from
// discovery was taken for the known list of the settings, and requests waited 6 s for another list.
TEST(EngineStart, FirstDiscoveryListIsNotTakenForTheKnownListIfThatIsEmpty) {
  Time steady{};
  ClockSource source;
  source.steady = [&steady] { return steady; };
  const EventBase base(event_base_new());
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  const std::vector<DiscoveredEndpoint> servers = std::exchange(config.known, {}).instances;
  Engine engine(base.get(), config, source);
  RecordingBackend backend;
  RecordingDiscovery discovery;
  engine.start(backend, discovery);
  engine.runTurn();
  engine.endpointsListed({1, true, servers});
  engine.runTurn();
  steady += std::chrono::seconds(2);
  RecordingHandler handler;
  balancer::Request request;
  request.group = 3;
  request.deadline = engine.now() + std::chrono::seconds(5);
  engine.request(handler, request, RequestMessage{newBuffer(), newBuffer(), nullptr, {}, {}});
  engine.runTurn();
  for (const EndpointId checked : std::vector<EndpointId>(backend.healthChecks))
    engine.healthCheckEnded(checked, true,
                            {static_cast<double>(engine.now().count()) / 1e6, checked == 1 ? 1.0 : 0.0, 0.0});
  engine.runTurn();
  EXPECT_EQ(backend.sent.size(), 1u);
}
// Guards against requests by a list that is too old, also those whose connection comes up late.
TEST_F(EngineTest, ARequestWaitsWhileTheListIsTooOld) {
  const RequestId early = sendRequest();
  engine.listLimited(engine.now(), ListLimit::Unconfirmed);
  engine.connectionReady(early, 0);
  engine.runTurn();
  EXPECT_EQ(backend.continued.back(), std::make_pair(0, false));
  const std::size_t sent = backend.sent.size();
  sendRequest();
  EXPECT_EQ(backend.sent.size(), sent);
  engine.listLimited(std::nullopt, ListLimit::None);
  engine.runTurn();
  EXPECT_EQ(backend.sent.size(), sent + 1) << "it did not have to ask again";
}
// Data servers are replaced by new ones with new names, so state of removed endpoints must not
// accumulate.
TEST_F(EngineTest, RemovesIdleGoneEndpointsAndNeverReusesIds) {
  const RequestId id = sendRequest();  // in flight at endpoint 2
  engine.endpointsListed({7, true, {config.known.instances[0]}});
  engine.runTurn();
  engine.removeExpired(engine.now() + std::chrono::seconds(30));
  engine.runTurn();
  EXPECT_TRUE(backend.removed.empty()) << "its attempt is still in flight";
  endAttempt(id, 0, 2, AttemptResult::Reset);
  for (const EndpointId endpoint : std::vector<EndpointId>(backend.healthChecks))
    engine.healthCheckEnded(endpoint, false, {});
  engine.runTurn();
  engine.removeExpired(engine.now() + std::chrono::seconds(31));
  engine.runTurn();
  EXPECT_EQ(backend.removed, std::vector<EndpointId>{2});
  endAttempt(id, 0, 2, AttemptResult::Ok);  // late answer of a removed endpoint
  engine.healthCheckEnded(2, true, {1, 0, 0});
  engine.runTurn();
  engine.endpointsListed({8, true, config.known.instances});
  engine.runTurn();
  EXPECT_TRUE(backend.ready[3]);
  EXPECT_FALSE(backend.ready[2]);
}
TEST_F(EngineTest, DoesNotReadFromReplicaBeyondMaxStaleness) {
  Engine fresh(base.get(), config);
  fresh.start(backend, discovery);
  fresh.runTurn();
  // The maximum staleness is 5 s.
  const double old = static_cast<double>((fresh.now() - std::chrono::seconds(6)).count()) / 1e6;
  fresh.healthCheckEnded(2, true, {old, 0.0, 0.0});
  fresh.runTurn();
  balancer::Request request;
  request.group = 3;
  request.deadline = fresh.now() + std::chrono::seconds(5);
  fresh.request(handler, request, RequestMessage{newBuffer(), newBuffer(), nullptr, {}, {}});
  fresh.runTurn();
  EXPECT_TRUE(backend.sent.empty());
  fresh.healthCheckEnded(1, false, {});
  fresh.healthCheckEnded(2, true, {static_cast<double>(fresh.now().count()) / 1e6, 0.0, 0.0});
  fresh.runTurn();
  ASSERT_EQ(backend.sent.size(), 1u);
  EXPECT_EQ(backend.sent[0].endpoint, 2u);
}

// The balancer's positions must never be newer than the reported ones, from 1 ms up to two hours
// after the epoch.
TEST(Positions, AreRoundedDownAndPreciseForTheEpochLifetime) {
  const Time epoch = std::chrono::seconds(1767225600);
  for (const std::int64_t ms : {1, 999, 59999, 60001, 3600123, 7199999}) {
    const double reported = static_cast<double>(epoch.count()) / 1e6 + static_cast<double>(ms) / 1e3;
    const double converted = static_cast<double>(secondsSince(epoch, reported));
    EXPECT_LE(converted, static_cast<double>(ms) / 1e3 + 1e-6) << ms;
    EXPECT_GE(converted, static_cast<double>(ms) / 1e3 - 0.001) << ms;
    EXPECT_EQ(millisecondsSince(epoch, epoch.count() / 1000 + ms), static_cast<std::uint32_t>(ms));
  }
  EXPECT_EQ(secondsSince(epoch, 1767225599.0), 0.0f);
  EXPECT_EQ(millisecondsSince(epoch, epoch.count() / 1000 - 1), 0u);
  EXPECT_EQ(millisecondsSince(epoch, 0), 0u);
  // Milliseconds shifted left by two bits must fit into 32 bits.
  EXPECT_EQ(millisecondsSince(epoch, epoch.count() / 1000 + (std::int64_t{1} << 30)), 0u);
}

TEST(TimerQueue, PopsDueTimersByDueTimeThenSchedulingOrder) {
  using std::chrono::seconds;
  TimerQueue timers;
  EXPECT_EQ(timers.nextDue(), std::nullopt);
  timers.schedule(seconds(2), 20);
  timers.schedule(seconds(1), 10);
  timers.schedule(seconds(1), 11);
  EXPECT_EQ(timers.nextDue(), seconds(1));
  EXPECT_EQ(timers.popDue(seconds(1) - Time(1)), std::nullopt);
  EXPECT_EQ(timers.popDue(seconds(1)), 10u);
  EXPECT_EQ(timers.popDue(seconds(1)), 11u);
  EXPECT_EQ(timers.popDue(seconds(1)), std::nullopt);
  EXPECT_EQ(timers.popDue(seconds(3)), 20u);
  EXPECT_EQ(timers.nextDue(), std::nullopt);
}

TEST(FileDescriptor, ClosesOwnedDescriptorOnceAndPreservesErrno) {
  const auto isOpen = [](int fd) { return fcntl(fd, F_GETFD) != -1; };
  const auto openNull = [] { return open("/dev/null", O_RDONLY | O_CLOEXEC); };
  const int first = openNull();
  const int second = openNull();
  {
    FileDescriptor owner(first);
    FileDescriptor other(second);
    owner = std::move(other);
    EXPECT_FALSE(isOpen(first));
    EXPECT_FALSE(other);
    EXPECT_EQ(owner.get(), second);
  }
  EXPECT_FALSE(isOpen(second));
  const int third = openNull();
  EXPECT_EQ(FileDescriptor(third).release(), third);
  EXPECT_TRUE(isOpen(third)) << "released, not closed";
  errno = ENOSPC;
  FileDescriptor(third).reset();
  EXPECT_EQ(errno, ENOSPC);
  EXPECT_FALSE(isOpen(third));
  EXPECT_FALSE(FileDescriptor(-1));
}

}  // namespace
}  // namespace sablespur
