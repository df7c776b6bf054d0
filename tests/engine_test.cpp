// The engine between a fake way to the members and a fake asker: no sockets.
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

using test::FakeLists;
using test::FakeMembers;

struct Asker : ResponseHandler {
  std::string got;
  void served(Answer answer) override {
    got += "served ";
    got.append(reinterpret_cast<const char*>(evbuffer_pullup(answer.messages.get(), -1)),
               evbuffer_get_length(answer.messages.get()));
  }
  void rejected(Time) override { got += "refused"; }
  void failed() override { got += "failed"; }
};

struct EngineTest : testing::Test {
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));  // member 1 and member 2
  Engine engine{base.get(), config};
  FakeMembers members;
  FakeLists lists;
  Asker asker;

  void SetUp() override {
    engine.start(members, lists);
    engine.runTurn();
    report(1, true, engine.now());
    report(2, false, engine.now());
  }
  void report(EndpointId m, bool primary, Time position) {
    engine.healthCheckEnded(m, true, {static_cast<double>(position.count()) / 1e6, primary ? 1.0 : 0.0, 0.0});
    engine.runTurn();
  }
  RequestId ask(int cls = 0) {
    balancer::Request q;
    q.classIndex = cls;
    q.group = 3;
    q.deadline = engine.now() + std::chrono::seconds(5);
    const RequestId id = engine.request(asker, q, RequestMessage{newBuffer(), newBuffer(), nullptr, {}, {}});
    engine.runTurn();
    return id;
  }
  void end(RequestId id, int attempt, EndpointId m, AttemptResult result) {
    AttemptEnd e;
    e.result = result;
    e.answer.messages = newBuffer();
    append(e.answer.messages.get(), "v");
    engine.attemptEnded(id, attempt, m, std::move(e));
  }
};

TEST_F(EngineTest, WatchesFromTheGenerationThatItKnows) {
  EXPECT_EQ(lists.watches, std::vector<std::uint64_t>{5});
  EXPECT_TRUE(members.ready[1] && members.ready[2]);
}
TEST_F(EngineTest, WhatIsGatheredWaitsForTheTurn) {
  balancer::Request q;
  q.group = 3;
  q.deadline = engine.now() + std::chrono::seconds(5);
  engine.request(asker, q, RequestMessage{newBuffer(), newBuffer(), nullptr, {}, {}});
  EXPECT_TRUE(members.sent.empty());
  EXPECT_TRUE(engine.hasPendingEvents());
  engine.runTurn();
  ASSERT_EQ(members.sent.size(), 1u);
  EXPECT_EQ(members.sent[0].member, 2u);
}
TEST_F(EngineTest, OneFinalAnswerAndAnOutcomeForEachSend) {
  const RequestId id = ask();
  end(id, 0, 2, AttemptResult::Reset);
  engine.runTurn();
  ASSERT_EQ(members.sent.size(), 2u);  // the module's decision, on the other member
  EXPECT_EQ(members.sent[1].attempt, 1);
  end(id, 1, 1, AttemptResult::Ok);
  end(id, 1, 1, AttemptResult::Ok);  // nobody's: it is told to the module as closed and goes no further
  engine.runTurn();
  EXPECT_EQ(asker.got, "served v");
}
TEST_F(EngineTest, AnAnswerThatCrossesItsClientsLeavingGoesNowhere) {
  const RequestId id = ask();
  end(id, 0, 2, AttemptResult::Ok);
  engine.clientDisconnected(id);
  engine.runTurn();
  EXPECT_EQ(asker.got, "");
  const RequestId other = ask();
  engine.clientDisconnected(other);
  engine.runTurn();
  ASSERT_EQ(members.cancelled.size(), 1u);
  EXPECT_EQ(members.cancelled[0].id, other);
}
// A slow dial must not let a drain or the data's age slip past: both count from the bytes sent.
TEST_F(EngineTest, ASendThatWaitedForItsConnectionIsLookedAtAgain) {
  const RequestId id = ask();
  engine.connectionReady(id, 0);
  engine.runTurn();
  EXPECT_EQ(members.started.back(), std::make_pair(0, true));
  EndpointList change{6, false, {config.known.instances[1]}};
  change.instances[0].state = balancer::Lifecycle::Draining;
  engine.endpointsListed(change);
  engine.connectionReady(id, 0);
  engine.runTurn();
  EXPECT_EQ(members.started.back(), std::make_pair(0, false));
  EXPECT_FALSE(members.ready[2]);
  end(id, 0, 2, AttemptResult::NotSent);
  engine.runTurn();
  EXPECT_EQ(members.sent.back().member, 1u);
}
TEST_F(EngineTest, AWholeListTakesAwayWhatItDoesNotName) {
  engine.endpointsListed({7, true, {config.known.instances[0]}});
  engine.runTurn();
  EXPECT_TRUE(members.ready[1]);
  EXPECT_FALSE(members.ready[2]);
  engine.discoveryFailed("down");
  engine.runTurn();
  EXPECT_TRUE(members.ready[1]);
}
// A soak found it: where the settings name no server, the registry's first list passed for one of the
// settings, and requests waited for another one for 6 s.
TEST(EngineStart, TheFirstListOfDiscoveryCountsAsSuchWhereTheSettingsNameNoServer) {
  Time steady{};
  ClockSource source;
  source.steady = [&steady] { return steady; };
  const EventBase base(event_base_new());
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  config.settings.knownListMayBeOld = true;
  const std::vector<DiscoveredEndpoint> servers = std::exchange(config.known, {}).instances;
  Engine engine(base.get(), config, source);
  FakeMembers members;
  FakeLists lists;
  engine.start(members, lists);
  engine.runTurn();
  engine.endpointsListed({1, true, servers});
  engine.runTurn();
  steady += std::chrono::seconds(2);
  Asker asker;
  balancer::Request request;
  request.group = 3;
  request.deadline = engine.now() + std::chrono::seconds(5);
  engine.request(asker, request, RequestMessage{newBuffer(), newBuffer(), nullptr, {}, {}});
  engine.runTurn();
  for (const EndpointId checked : std::vector<EndpointId>(members.probes))
    engine.healthCheckEnded(checked, true,
                            {static_cast<double>(engine.now().count()) / 1e6, checked == 1 ? 1.0 : 0.0, 0.0});
  engine.runTurn();
  EXPECT_EQ(members.sent.size(), 1u);
}
// On a long day every data server is replaced by a new one with a new name.
TEST_F(EngineTest, ForgetsWhatIsGoneAndQuietAndGivesNoIdTwice) {
  const RequestId id = ask();  // out at member 2
  engine.endpointsListed({7, true, {config.known.instances[0]}});
  engine.runTurn();
  engine.removeExpired(engine.now() + std::chrono::seconds(30));
  engine.runTurn();
  EXPECT_TRUE(members.forgotten.empty()) << "its attempt is still out";
  end(id, 0, 2, AttemptResult::Reset);
  for (const EndpointId m : std::vector<EndpointId>(members.probes)) engine.healthCheckEnded(m, false, {});
  engine.runTurn();
  engine.removeExpired(engine.now() + std::chrono::seconds(31));
  engine.runTurn();
  EXPECT_EQ(members.forgotten, std::vector<EndpointId>{2});
  end(id, 0, 2, AttemptResult::Ok);  // late, of a member that is not known any more
  engine.healthCheckEnded(2, true, {1, 0, 0});
  engine.runTurn();
  engine.endpointsListed({8, true, config.known.instances});
  engine.runTurn();
  EXPECT_TRUE(members.ready[3]);
  EXPECT_FALSE(members.ready[2]);
}
TEST_F(EngineTest, DataOlderThanTheBoundIsNotRead) {
  Engine fresh(base.get(), config);
  fresh.start(members, lists);
  fresh.runTurn();
  const double old =
      static_cast<double>((fresh.now() - std::chrono::seconds(6)).count()) / 1e6;  // bound: 5 s
  fresh.healthCheckEnded(2, true, {old, 0.0, 0.0});
  fresh.runTurn();
  balancer::Request q;
  q.group = 3;
  q.deadline = fresh.now() + std::chrono::seconds(5);
  fresh.request(asker, q, RequestMessage{newBuffer(), newBuffer(), nullptr, {}, {}});
  fresh.runTurn();
  EXPECT_TRUE(members.sent.empty());
  fresh.healthCheckEnded(1, false, {});
  fresh.healthCheckEnded(2, true, {static_cast<double>(fresh.now().count()) / 1e6, 0.0, 0.0});
  fresh.runTurn();
  ASSERT_EQ(members.sent.size(), 1u);
  EXPECT_EQ(members.sent[0].member, 2u);
}

// Positions as the module takes them: never newer than they were told, on a short uptime and a long one.
TEST(Positions, AreRoundedDownAndStayPreciseUpToTheRebase) {
  const Time zero = std::chrono::seconds(1767225600);
  for (const std::int64_t ms : {1, 999, 59999, 60001, 3600123, 7199999}) {
    const double told = static_cast<double>(zero.count()) / 1e6 + static_cast<double>(ms) / 1e3;
    const double got = static_cast<double>(secondsSince(zero, told));
    EXPECT_LE(got, static_cast<double>(ms) / 1e3 + 1e-6) << ms;
    EXPECT_GE(got, static_cast<double>(ms) / 1e3 - 0.001) << ms;
    EXPECT_EQ(millisecondsSince(zero, zero.count() / 1000 + ms), static_cast<std::uint32_t>(ms));
  }
  EXPECT_EQ(secondsSince(zero, 1767225599.0), 0.0f);
  EXPECT_EQ(millisecondsSince(zero, zero.count() / 1000 - 1), 0u);
  EXPECT_EQ(millisecondsSince(zero, 0), 0u);
  // 4 x milliseconds must fit into 32 bits.
  EXPECT_EQ(millisecondsSince(zero, zero.count() / 1000 + (std::int64_t{1} << 30)), 0u);
}

TEST(TimerQueue, GivesDueTimersInTheOrderInWhichTheyAreDueAndWereSet) {
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

TEST(FileDescriptor, ClosesWhatItOwnsOnceAndKeepsErrno) {
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
  EXPECT_TRUE(isOpen(third)) << "given up, not closed";
  errno = ENOSPC;
  FileDescriptor(third).reset();
  EXPECT_EQ(errno, ENOSPC);
  EXPECT_FALSE(isOpen(third));
  EXPECT_FALSE(FileDescriptor(-1));
}

}  // namespace
}  // namespace sablespur
