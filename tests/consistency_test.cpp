// Detection of stale answers: an answer whose own replication status shows data older than its
// class allows is withheld from the client.
#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

enum : int { kNoRole = 0, kPrimaryRole = 1, kReplicaRole = 2 };

// Without health checks, the primary is known only from answers.
Settings withoutHealthChecks() {
  Settings s = settings();
  s.healthChecksAllowed = false;
  s.loadReportMode = LoadReportMode::None;
  return s;
}

// Server 1 has answered a write as primary; for 600 ms, longer than the staleness bound of 500 ms,
// there has been no further report of it.
struct IdleProxy : BalancerFixture {
  explicit IdleProxy(const Settings& s = withoutHealthChecks()) : BalancerFixture(s) {
    const RequestId write = request(kWrite);
    endAttempt(write, AttemptResult::Ok, replicationStatus(0, kPrimaryRole));
    advance(600);
  }
};

// A class of session reads appeared with SIGHUP, and 20 of 20 sessions read the state from before
// their answered write.
TEST(SessionReads, OfAClassThatAppearsDoNotMissEarlierWrites) {
  Settings without = withoutHealthChecks();
  without.classes.erase(without.classes.begin() + kSession);  // kWrite becomes kWrite - 1
  BalancerFixture t(without);
  const RequestId write = t.request(kWrite - 1);
  const RequestId pending = t.request(kWrite - 1);
  t.endAttempt(write, AttemptResult::Ok, t.replicationStatus(0, kPrimaryRole));
  t.advance(10);
  Settings with = without;
  with.classes.push_back(settings().classes[kSession]);
  t.b.updateSettings(t.now, with);
  t.s = with;
  const int session = static_cast<int>(with.classes.size()) - 1;
  for (std::uint64_t key = 1; key <= 10; ++key) EXPECT_EQ(t.lastEndpoint(t.request(session, key)), 1u);
  // A replica that is known to be past the new settings serves the reads again, until a write that
  // was under way then is answered.
  t.advance(20);
  t.b.gossipReceived(t.now, 2, t.replicationStatus(5, kReplicaRole), -1, Time(0));
  const auto replicaServes = [&] {
    for (std::uint64_t key = 1; key <= 10; ++key)
      if (t.lastEndpoint(t.request(session, key)) == 2u) return true;
    return false;
  };
  EXPECT_TRUE(replicaServes());
  t.endAttempt(pending, AttemptResult::Ok, t.replicationStatus(0, kPrimaryRole));
  EXPECT_FALSE(replicaServes());
}

// Regression test (fault soak, seed 5): an answer that showed data 5.1 s old, with a bound of 5 s,
// was delivered.
TEST(StaleAnswer, FromAFormerPrimaryIsWithheld) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  ASSERT_EQ(t.lastEndpoint(read), 1u);
  t.advance(5);
  EXPECT_FALSE(t.receiveAnswer(read, t.replicationStatus(600, kReplicaRole)));
}
TEST(StaleAnswer, IsDetectedByTheRoleWhereNoPositionIsReported) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  t.advance(5);
  EXPECT_FALSE(t.receiveAnswer(read, kReplicaRole));
}
TEST(StaleAnswer, IsDetectedByAnOldPositionWithoutARole) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  t.advance(5);
  EXPECT_FALSE(t.receiveAnswer(read, t.replicationStatus(600, kNoRole)));
}
TEST(StaleAnswer, APositionInTheFutureProvesNothing) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  t.advance(5);
  EXPECT_FALSE(t.receiveAnswer(read, t.replicationStatus(-1000, kReplicaRole)));
}
// A server reports its position when it answers, after it has read the data, and may have caught up
// in between (TakeoverProperty, seed 3433: data 3.6 s old with a fresh position). The position
// proves the data of the next attempt only.
TEST(StaleAnswer, ThePositionInAnAnswerProvesOnlyTheNextAttempt) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  t.advance(5);
  EXPECT_FALSE(t.receiveAnswer(read, t.replicationStatus(10, kReplicaRole)));
  ASSERT_EQ(t.sends(read).size(), 2u);
  ASSERT_EQ(t.lastEndpoint(read), 1u);
  t.advance(5);
  EXPECT_TRUE(t.receiveAnswer(read, t.replicationStatus(10, kReplicaRole)));
}
TEST(StaleAnswer, AnAnswerAsPrimaryIsDelivered) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  t.advance(5);
  EXPECT_TRUE(t.receiveAnswer(read, kPrimaryRole));
}
TEST(StaleAnswer, AnAnswerWithoutReplicationStatusIsDelivered) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  t.advance(5);
  EXPECT_TRUE(t.receiveAnswer(read, 0));
}
TEST(StaleAnswer, IsDeliveredToAReadOfAnyData) {
  IdleProxy t;
  const RequestId read = t.request(kAny);
  t.advance(5);
  EXPECT_TRUE(t.receiveAnswer(read, t.replicationStatus(60000, kReplicaRole)));
}
TEST(StaleAnswer, IsDeliveredWhereServersEnforceTheBound) {
  Settings s = withoutHealthChecks();
  s.laggingReplicaPolicy = LaggingReplicaPolicy::Reject;
  IdleProxy t(s);
  const RequestId read = t.request(kBounded);
  t.advance(5);
  EXPECT_TRUE(t.receiveAnswer(read, t.replicationStatus(600, kReplicaRole)));
}
TEST(StaleAnswer, OfAReplicaIsWithheldFromAStrongRead) {
  IdleProxy t;
  const RequestId read = t.request(kStrong);
  ASSERT_EQ(t.lastEndpoint(read), 1u);
  t.advance(50);
  EXPECT_FALSE(t.receiveAnswer(read, t.replicationStatus(20 + 50, kReplicaRole)));
}
// A former primary has all data up to the instant at which it was known to be the primary.
TEST(StaleAnswer, AFormerPrimaryKeepsItsProvenPosition) {
  BalancerFixture t(withoutHealthChecks());
  const RequestId write = t.request(kWrite);
  t.endAttempt(write, AttemptResult::Ok, kPrimaryRole);
  t.advance(300);
  const RequestId first = t.request(kBounded);
  EXPECT_TRUE(t.receiveAnswer(first, kReplicaRole));
  const RequestId second = t.request(kBounded);
  ASSERT_EQ(t.lastEndpoint(second), 1u) << "a replica now, whose data are proven to be at most 300 ms old";
  EXPECT_TRUE(t.receiveAnswer(second, kReplicaRole));
  t.advance(300);
  EXPECT_TRUE(t.sends(t.request(kBounded)).empty()) << "600 ms exceed the bound";
}

// Regression test: the answer as primary counted as proof up to its send, although it told a position
// that was seconds old.
TEST(StaleAnswer, AFormerPrimaryThatLaggedIsProvenByItsPositionOnly) {
  BalancerFixture t(withoutHealthChecks());
  const RequestId write = t.request(kWrite);
  t.endAttempt(write, AttemptResult::Ok, t.replicationStatus(3000, kPrimaryRole));
  t.advance(300);
  EXPECT_FALSE(t.receiveAnswer(t.request(kBounded), kReplicaRole)) << "its data may be 3.3 s old";
}

// For an attempt that waited for its connection, staleness is measured at the time of the actual
// send.
TEST(StaleAnswer, StalenessIsMeasuredAtTheSend) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  t.advance(100);
  ASSERT_TRUE(t.b.maySendNow(t.now, read, 1));
  EXPECT_FALSE(t.receiveAnswer(read, t.replicationStatus(550, kReplicaRole)));
}

TEST(StaleAnswer, TheReadIsRetriedOnAFreshServer) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  ASSERT_EQ(t.lastEndpoint(read), 1u);
  t.b.gossipReceived(t.now, 2, t.replicationStatus(10, kReplicaRole), -1, Time(0));
  t.advance(5);
  EXPECT_FALSE(t.receiveAnswer(read, t.replicationStatus(600, kReplicaRole)));
  EXPECT_EQ(t.lastEndpoint(read), 2u);
  EXPECT_TRUE(t.receiveAnswer(read, t.replicationStatus(10, kReplicaRole)));
  EXPECT_FALSE(t.rejectedOrFailed(read));
}
TEST(StaleAnswer, ANonIdempotentRequestFails) {
  Settings s = withoutHealthChecks();
  s.classes[kBounded].idempotency = Idempotency::NonIdempotent;
  IdleProxy t(s);
  const RequestId read = t.request(kBounded);
  t.b.gossipReceived(t.now, 2, t.replicationStatus(10, kReplicaRole), -1, Time(0));
  t.advance(5);
  EXPECT_FALSE(t.receiveAnswer(read, t.replicationStatus(600, kReplicaRole)));
  EXPECT_EQ(t.sends(read).size(), 1u);
  EXPECT_EQ(t.out.actions("fail", read).size(), 1u);
}
// Otherwise a former primary whose answers carry no role would get the read again and again.
TEST(StaleAnswer, ClearsTheKnownPrimary) {
  IdleProxy t;
  const RequestId read = t.request(kBounded);
  t.advance(5);
  EXPECT_FALSE(t.receiveAnswer(read, t.replicationStatus(600, kNoRole)));
  EXPECT_EQ(t.sends(read).size(), 1u);
  EXPECT_TRUE(t.sends(t.request(kBounded)).empty());
}

}  // namespace
}  // namespace sablespur::balancer::test
