// The check of an old primary role: before a read goes to a server only because it was once
// reported as the primary, a health check confirms the role.
#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

enum : int { kPrimaryRole = 1, kReplicaRole = 2 };

// Server 1 was reported as primary 1.2 s ago; the data of the others are older than the bound of
// 500 ms.
struct LaggingGroup : BalancerFixture {
  RequestId read = 0;

  LaggingGroup() {
    reportAsPrimary(1);
    advance(1200);
    read = request(kBounded);
    for (const Action& probe : out.actions("probe")) report(probe.endpoint, 800);
  }
  std::vector<Action> probesOf(EndpointId endpoint) const {
    std::vector<Action> matching;
    for (const Action& probe : out.actions("probe"))
      if (probe.endpoint == endpoint) matching.push_back(probe);
    return matching;
  }
};

// Regression test (fault soak, seed 5): the read went to a server that had hung and had been the
// primary over 5 s before.
TEST(PrimaryCheck, AReadWaitsForTheReportOfAPrimaryKnownFromLongAgo) {
  LaggingGroup t;
  EXPECT_TRUE(t.sends(t.read).empty());
  ASSERT_EQ(t.probesOf(1).size(), 1u);
  t.report(1, 900, false);
  EXPECT_TRUE(t.sends(t.read).empty()) << "a replica with data that are too old";
}
TEST(PrimaryCheck, TheReadGoesToAPrimaryThatConfirmsItsRole) {
  LaggingGroup t;
  t.report(1, 10, true);
  EXPECT_EQ(t.lastEndpoint(t.read), 1u);
}
TEST(PrimaryCheck, AReadGoesToAFormerPrimaryWhoseDataAreFresh) {
  LaggingGroup t;
  t.report(1, 100, false);
  EXPECT_EQ(t.lastEndpoint(t.read), 1u);
}
// Without a reply the server still counts as the primary. If its answer turns out to be stale, it
// is withheld.
TEST(PrimaryCheck, WithoutAReplyTheReadIsSentAfterATimeout) {
  LaggingGroup t;
  t.run(20);
  EXPECT_TRUE(t.sends(t.read).empty());
  t.run(10);
  EXPECT_EQ(t.lastEndpoint(t.read), 1u) << "an eighth of the latency objective of 200 ms has passed";
}
TEST(PrimaryCheck, OtherEventsInTheGroupDoNotEndTheWait) {
  LaggingGroup t;
  t.b.gossipReceived(t.now, 2, t.replicationStatus(700, kReplicaRole), -1, Time(0));
  EXPECT_TRUE(t.sends(t.read).empty());
  t.report(1, 900, false);
  EXPECT_TRUE(t.sends(t.read).empty());
}
// The server may start to drain, or the deduplication window may end, while the read waits.
TEST(PrimaryCheck, ADrainDuringTheCheckPreventsTheSend) {
  LaggingGroup t;
  t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(1, Lifecycle::Draining)});
  t.report(1, 10, true);
  t.run(100);
  EXPECT_TRUE(t.sends(t.read).empty());
}
TEST(PrimaryCheck, AKeyedReadIsNotRetriedAfterTheDeduplicationWindow) {
  Settings keyed = settings();
  keyed.classes[kBounded].idempotency = Idempotency::WithKey;
  keyed.classes[kBounded].deduplicationWindow = milliseconds(10);
  BalancerFixture t(keyed);
  t.reportAsPrimary(1);
  t.advance(1200);
  Request request;
  request.id = 1;
  request.classIndex = kBounded;
  request.group = 7;
  request.mayHaveRunSince = t.now;
  request.deadline = t.now + milliseconds(500);
  t.b.request(t.now, request);
  const std::vector<Action> checks = t.out.actions("probe");
  for (const Action& probe : checks) t.report(probe.endpoint, 800);
  ASSERT_GT(t.out.actions("probe").size(), checks.size()) << "the primary is checked";
  t.advance(11);
  t.report(1, 0, true);
  t.run(200);
  EXPECT_TRUE(t.sends(1).empty());
}
TEST(PrimaryCheck, AnotherPrimaryFoundDuringTheCheckIsUsed) {
  LaggingGroup t;
  t.report(1, 900, false);
  t.b.gossipReceived(t.now, 3, t.replicationStatus(10, kPrimaryRole), -1, Time(0));
  EXPECT_EQ(t.lastEndpoint(t.read), 3u);
}
TEST(PrimaryCheck, IsSkippedWhereTheRoleWasReportedRecently) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  t.advance(700);
  const RequestId read = t.request(kBounded);
  for (const Action& probe : t.out.actions("probe")) t.report(probe.endpoint, 800);
  EXPECT_EQ(t.lastEndpoint(read), 1u);
  for (const Action& probe : t.out.actions("probe")) EXPECT_NE(probe.endpoint, 1u);
}

// Regression test: a single read waited until its deadline after two replicas had been checked
// once, although there was a new primary.
TEST(PrimaryCheck, ServersAreCheckedAgainWhileAReadWaitsForFreshData) {
  Settings longDeadline = settings();
  longDeadline.classes[kBounded].latencyObjective = seconds(5);
  longDeadline.classes[kBounded].deadline = seconds(5);
  BalancerFixture t(longDeadline, 5);
  t.reportAsPrimary(1);
  t.report(1, 0, false);
  t.advance(600);
  const RequestId read = t.request(kBounded);
  std::set<EndpointId> checked;
  for (std::size_t k = 0, answered = 0; k < 30 && t.sends(read).empty(); ++k, t.run(10)) {
    const std::vector<Action> probes = t.out.actions("probe");
    for (; answered < probes.size(); ++answered) {
      checked.insert(probes[answered].endpoint);
      t.report(probes[answered].endpoint, 900);
    }
  }
  EXPECT_EQ(checked.size(), 5u);
  EXPECT_TRUE(t.sends(read).empty());
  const std::size_t before = t.out.actions("probe").size();
  t.run(300);
  const std::vector<Action> probes = t.out.actions("probe");
  ASSERT_GT(probes.size(), before);
  t.report(probes.back().endpoint, 10, true);
  EXPECT_EQ(t.lastEndpoint(read), probes.back().endpoint);
}
// 300 proxies that each checked six servers four times a second lowered the score of a simulated
// day with a network partition by 0.04.
TEST(PrimaryCheck, WithGossipWaitingReadsCheckServersInTurn) {
  Settings longDeadline = settings();
  longDeadline.classes[kBounded].latencyObjective = seconds(5);
  longDeadline.classes[kBounded].deadline = seconds(5);
  longDeadline.proxyCount = 300;
  BalancerFixture t(longDeadline, 5);
  t.reportAsPrimary(1);
  t.report(1, 0, false);
  t.advance(600);
  t.b.gossipReceived(t.now, 2, t.replicationStatus(700, kReplicaRole), -1, Time(0));
  t.request(kBounded);
  std::size_t answered = 0;
  for (int k = 0; k < 100; ++k, t.run(20)) {
    const std::vector<Action> probes = t.out.actions("probe");
    for (; answered < probes.size(); ++answered) t.report(probes[answered].endpoint, 900);
  }
  EXPECT_LE(answered, 5u) << "at most one check of each server in the 2 s that the read waits";
}
TEST(PrimaryCheck, AReadOfAnyDataStartsNoCheck) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  t.report(1, 0, false);
  for (EndpointId endpoint = 1; endpoint <= 3; ++endpoint) t.b.suspend(t.now, endpoint, true);
  const std::size_t before = t.out.actions("probe").size();
  t.request(kAny);
  t.run(500);
  EXPECT_EQ(t.out.actions("probe").size(), before);
}

}  // namespace
}  // namespace sablespur::balancer::test
