// The engine between a fake way to the members and a fake asker: no sockets.
#include "engine/engine.hpp"

#include <gtest/gtest.h>

#include <map>

#include "engine_fakes.hpp"
#include "scenario.hpp"

namespace sablespur {
namespace {

using test::FakeLists;
using test::FakeMembers;

struct Asker : Requester {
  std::string got;
  void served(Answer answer) override {
    got += "served ";
    got.append(reinterpret_cast<const char*>(evbuffer_pullup(answer.messages.get(), -1)),
               evbuffer_get_length(answer.messages.get()));
  }
  void refused(Time) override { got += "refused"; }
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
    engine.turn();
    report(1, true, engine.now());
    report(2, false, engine.now());
  }
  void report(MemberId m, bool primary, Time position) {
    engine.probed(m, true, {static_cast<double>(position.count()) / 1e6, primary ? 1.0 : 0.0, 0.0});
    engine.turn();
  }
  RequestId ask(int cls = 0) {
    balancer::Request q;
    q.cls = cls;
    q.group = 3;
    q.deadline = engine.now() + std::chrono::seconds(5);
    const RequestId id = engine.request(asker, q, Message{newBuffer(), newBuffer(), nullptr, {}, {}});
    engine.turn();
    return id;
  }
  void end(RequestId id, int attempt, MemberId m, Result result) {
    Ending e;
    e.result = result;
    e.answer.messages = newBuffer();
    append(e.answer.messages.get(), "v");
    engine.ended(id, attempt, m, std::move(e));
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
  engine.request(asker, q, Message{newBuffer(), newBuffer(), nullptr, {}, {}});
  EXPECT_TRUE(members.sent.empty());
  EXPECT_TRUE(engine.pending());
  engine.turn();
  ASSERT_EQ(members.sent.size(), 1u);
  EXPECT_EQ(members.sent[0].member, 2u);
}
TEST_F(EngineTest, OneFinalAnswerAndAnOutcomeForEachSend) {
  const RequestId id = ask();
  end(id, 0, 2, Result::Reset);
  engine.turn();
  ASSERT_EQ(members.sent.size(), 2u);  // the module's decision, on the other member
  EXPECT_EQ(members.sent[1].attempt, 1);
  end(id, 1, 1, Result::Ok);
  end(id, 1, 1, Result::Ok);  // nobody's: it is told to the module as closed and goes no further
  engine.turn();
  EXPECT_EQ(asker.got, "served v");
}
TEST_F(EngineTest, AnAnswerThatCrossesItsClientsLeavingGoesNowhere) {
  const RequestId id = ask();
  end(id, 0, 2, Result::Ok);
  engine.left(id);
  engine.turn();
  EXPECT_EQ(asker.got, "");
  const RequestId other = ask();
  engine.left(other);
  engine.turn();
  ASSERT_EQ(members.cancelled.size(), 1u);
  EXPECT_EQ(members.cancelled[0].id, other);
}
// A slow dial must not let a drain or the data's age slip past: both count from the bytes sent.
TEST_F(EngineTest, ASendThatWaitedForItsConnectionIsLookedAtAgain) {
  const RequestId id = ask();
  engine.connected(id, 0);
  engine.turn();
  EXPECT_EQ(members.started.back(), std::make_pair(0, true));
  InstanceList change{6, false, {config.known.instances[1]}};
  change.instances[0].state = balancer::Lifecycle::Draining;
  engine.listed(change);
  engine.connected(id, 0);
  engine.turn();
  EXPECT_EQ(members.started.back(), std::make_pair(0, false));
  EXPECT_FALSE(members.ready[2]);
  end(id, 0, 2, Result::Moot);
  engine.turn();
  EXPECT_EQ(members.sent.back().member, 1u);
}
TEST_F(EngineTest, AWholeListTakesAwayWhatItDoesNotName) {
  engine.listed({7, true, {config.known.instances[0]}});
  engine.turn();
  EXPECT_TRUE(members.ready[1]);
  EXPECT_FALSE(members.ready[2]);
  engine.listFailed("down");
  engine.turn();
  EXPECT_TRUE(members.ready[1]);
}
// On a long day every data server is replaced by a new one with a new name.
TEST_F(EngineTest, ForgetsWhatIsGoneAndQuietAndGivesNoIdTwice) {
  const RequestId id = ask();  // out at member 2
  engine.listed({7, true, {config.known.instances[0]}});
  engine.turn();
  engine.sweep(engine.now() + std::chrono::seconds(30));
  engine.turn();
  EXPECT_TRUE(members.forgotten.empty()) << "its attempt is still out";
  end(id, 0, 2, Result::Reset);
  for (const MemberId m : std::vector<MemberId>(members.probes)) engine.probed(m, false, {});
  engine.turn();
  engine.sweep(engine.now() + std::chrono::seconds(31));
  engine.turn();
  EXPECT_EQ(members.forgotten, std::vector<MemberId>{2});
  end(id, 0, 2, Result::Ok);  // late, of a member that is not known any more
  engine.probed(2, true, {1, 0, 0});
  engine.turn();
  engine.listed({8, true, config.known.instances});
  engine.turn();
  EXPECT_TRUE(members.ready[3]);
  EXPECT_FALSE(members.ready[2]);
}
TEST_F(EngineTest, DataOlderThanTheBoundIsNotRead) {
  Engine fresh(base.get(), config);
  fresh.start(members, lists);
  fresh.turn();
  const double old =
      static_cast<double>((fresh.now() - std::chrono::seconds(6)).count()) / 1e6;  // bound: 5 s
  fresh.probed(2, true, {old, 0.0, 0.0});
  fresh.turn();
  balancer::Request q;
  q.group = 3;
  q.deadline = fresh.now() + std::chrono::seconds(5);
  fresh.request(asker, q, Message{newBuffer(), newBuffer(), nullptr, {}, {}});
  fresh.turn();
  EXPECT_TRUE(members.sent.empty());
  fresh.probed(1, false, {});
  fresh.probed(2, true, {static_cast<double>(fresh.now().count()) / 1e6, 0.0, 0.0});
  fresh.turn();
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

}  // namespace
}  // namespace sablespur
