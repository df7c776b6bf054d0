// A read that would go to a server because it was once heard of as primary: when that role is checked first.
#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

enum : int { kPrimaryRole = 1, kReplicaRole = 2 };

// Member 1 was heard of as primary 1.2 s ago; the data of the others are older than the bound of 500 ms.
struct LaggingGroup : Bench {
  RequestId read = 0;

  LaggingGroup() {
    teachPrimary(1);
    pass(1200);
    read = ask(kBounded);
    for (const Action& probe : out.of("probe")) report(probe.member, 800);
  }
  std::vector<Action> probesOf(EndpointId member) const {
    std::vector<Action> some;
    for (const Action& probe : out.of("probe"))
      if (probe.member == member) some.push_back(probe);
    return some;
  }
};

// The soak's seed 5: the read went to a server that had hung, and that had been the primary over 5 s before.
TEST(PrimaryCheck, AReadWaitsForTheWordOfAPrimaryOfLongAgo) {
  LaggingGroup t;
  EXPECT_TRUE(t.sends(t.read).empty());
  ASSERT_EQ(t.probesOf(1).size(), 1u);
  t.report(1, 900, false);
  EXPECT_TRUE(t.sends(t.read).empty()) << "it is a replica, and its data are too old";
}
TEST(PrimaryCheck, TheReadGoesThereIfItStillIsThePrimary) {
  LaggingGroup t;
  t.report(1, 10, true);
  EXPECT_EQ(t.lastTo(t.read), 1u);
}
TEST(PrimaryCheck, AReadGoesToAFormerPrimaryWhoseDataAreFresh) {
  LaggingGroup t;
  t.report(1, 100, false);
  EXPECT_EQ(t.lastTo(t.read), 1u);
}
// The send is excused until an answer has told that it is none, and the answer is looked at when it comes.
TEST(PrimaryCheck, WithoutAReplyTheReadGoesThereInTheEnd) {
  LaggingGroup t;
  t.run(20);
  EXPECT_TRUE(t.sends(t.read).empty());
  t.run(10);
  EXPECT_EQ(t.lastTo(t.read), 1u) << "an eighth of the latency objective of 200 ms has passed";
}
TEST(PrimaryCheck, WhatElseHappensInTheGroupDoesNotEndTheWait) {
  LaggingGroup t;
  t.b.heard(t.now, 2, t.note(700, kReplicaRole), -1, Time(0));
  EXPECT_TRUE(t.sends(t.read).empty());
  t.report(1, 900, false);
  EXPECT_TRUE(t.sends(t.read).empty());
}
// A drain, or the end of the time within which a repeat is dropped, may come while the read waits.
TEST(PrimaryCheck, AServerThatDrainsMeanwhileIsNotSentTheRead) {
  LaggingGroup t;
  t.b.list(t.now, ListKind::Delta, {Bench::entry(1, Lifecycle::Draining)});
  t.report(1, 10, true);
  t.run(100);
  EXPECT_TRUE(t.sends(t.read).empty());
}
TEST(PrimaryCheck, AKeyedReadIsNotRepeatedAfterTheWindow) {
  Settings keyed = settings();
  keyed.classes[kBounded].idempotency = Idempotency::WithKey;
  keyed.classes[kBounded].deduplicationWindow = milliseconds(10);
  Bench t(keyed);
  t.teachPrimary(1);
  t.pass(1200);
  Request request;
  request.id = 1;
  request.classIndex = kBounded;
  request.group = 7;
  request.mayHaveRunSince = t.now;
  request.deadline = t.now + milliseconds(500);
  t.b.request(t.now, request);
  const std::vector<Action> asked = t.out.of("probe");
  for (const Action& probe : asked) t.report(probe.member, 800);
  ASSERT_GT(t.out.of("probe").size(), asked.size()) << "the primary is asked";
  t.pass(11);
  t.report(1, 0, true);
  t.run(200);
  EXPECT_TRUE(t.sends(1).empty());
}
TEST(PrimaryCheck, AnotherPrimaryThatIsHeardOfMeanwhileIsUsed) {
  LaggingGroup t;
  t.report(1, 900, false);
  t.b.heard(t.now, 3, t.note(10, kPrimaryRole), -1, Time(0));
  EXPECT_EQ(t.lastTo(t.read), 3u);
}
TEST(PrimaryCheck, IsNotMadeWhereTheRoleWasHeardOfLately) {
  Bench t;
  t.teachPrimary(1);
  t.pass(700);
  const RequestId read = t.ask(kBounded);
  for (const Action& probe : t.out.of("probe")) t.report(probe.member, 800);
  EXPECT_EQ(t.lastTo(read), 1u);
  for (const Action& probe : t.out.of("probe")) EXPECT_NE(probe.member, 1u);
}

// A lone read waited to its end after two replicas had been asked once, though a new primary came up.
TEST(PrimaryCheck, WhileAReadWaitsForFreshDataTheServersAreAskedAgain) {
  Settings patient = settings();
  patient.classes[kBounded].latencyObjective = seconds(5);
  patient.classes[kBounded].deadline = seconds(5);
  Bench t(patient, 5);
  t.teachPrimary(1);
  t.report(1, 0, false);
  t.pass(600);
  const RequestId read = t.ask(kBounded);
  std::set<EndpointId> asked;
  for (std::size_t k = 0, answered = 0; k < 30 && t.sends(read).empty(); ++k, t.run(10)) {
    const std::vector<Action> probes = t.out.of("probe");
    for (; answered < probes.size(); ++answered) {
      asked.insert(probes[answered].member);
      t.report(probes[answered].member, 900);
    }
  }
  EXPECT_EQ(asked.size(), 5u);
  EXPECT_TRUE(t.sends(read).empty());
  const std::size_t before = t.out.of("probe").size();
  t.run(300);
  const std::vector<Action> probes = t.out.of("probe");
  ASSERT_GT(probes.size(), before);
  t.report(probes.back().member, 10, true);
  EXPECT_EQ(t.lastTo(read), probes.back().member);
}
// 300 proxies, each asking six servers four times a second, cost a day with a partition 0.04 of its score.
TEST(PrimaryCheck, WhereProxiesTellEachOtherTheirReadsAskInTurn) {
  Settings patient = settings();
  patient.classes[kBounded].latencyObjective = seconds(5);
  patient.classes[kBounded].deadline = seconds(5);
  patient.proxyCount = 300;
  Bench t(patient, 5);
  t.teachPrimary(1);
  t.report(1, 0, false);
  t.pass(600);
  t.b.heard(t.now, 2, t.note(700, kReplicaRole), -1, Time(0));
  t.ask(kBounded);
  std::size_t answered = 0;
  for (int k = 0; k < 100; ++k, t.run(20)) {
    const std::vector<Action> probes = t.out.of("probe");
    for (; answered < probes.size(); ++answered) t.report(probes[answered].member, 900);
  }
  EXPECT_LE(answered, 5u) << "at most one of each server in the two seconds that the read waits";
}
TEST(PrimaryCheck, AReadOfAnyDataAsksForNoPrimary) {
  Bench t;
  t.teachPrimary(1);
  t.report(1, 0, false);
  for (EndpointId member = 1; member <= 3; ++member) t.b.suspend(t.now, member, true);
  const std::size_t before = t.out.of("probe").size();
  t.ask(kAny);
  t.run(500);
  EXPECT_EQ(t.out.of("probe").size(), before);
}

}  // namespace
}  // namespace sablespur::balancer::test
