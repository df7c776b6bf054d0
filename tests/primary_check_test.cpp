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

// The soak's seed 5: the read went to a server that had hung, and that had been the primary 5.4 s before.
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

}  // namespace
}  // namespace sablespur::balancer::test
