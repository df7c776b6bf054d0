#include <set>

#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

// ---- settings --------------------------------------------------------------------------------------------
TEST(Settings, InvalidSettingsAreRejected) {
  Recorder r;
  Settings s = settings();
  s.classes.clear();
  EXPECT_THROW(Balancer(s, 1, r), std::invalid_argument);
  s = settings();
  s.classes[0].latencyObjective = s.classes[0].deadline + milliseconds(1);
  EXPECT_THROW(Balancer(s, 1, r), std::invalid_argument);
  s = settings();
  s.warmUpStartCapacity = 0;
  EXPECT_THROW(Balancer(s, 1, r), std::invalid_argument);
}

// ---- exactly one final answer --------------------------------------------------------------------------
TEST(FinalAnswer, NothingIsSentAfterASuccessfulAttempt) {
  BalancerFixture t;
  const RequestId id = t.request(kAny);
  ASSERT_EQ(t.sends(id).size(), 1u);
  t.advance(20);
  t.endAttempt(id, AttemptResult::Ok, 2);
  t.run(3000);
  EXPECT_EQ(t.sends(id).size(), 1u);
  EXPECT_FALSE(t.rejectedOrFailed(id));
}
TEST(FinalAnswer, AReadThatTimesOutAtItsDeadlineIsRejectedImmediately) {
  BalancerFixture t;
  const RequestId id = t.request(kAny);
  t.advance(2000);
  t.endAttempt(id, AttemptResult::Timeout);
  EXPECT_EQ(t.out.actions("reject", id).size(), 1u);
}
TEST(FinalAnswer, ARequestPastItsDeadlineIsRejectedWithoutAnAttempt) {
  for (const int cls : {kAny, kWrite, kKeyedGroup}) {
    BalancerFixture t;
    t.reportAsPrimary(1);
    const RequestId id = t.request(cls, 0, 0, -20);
    EXPECT_TRUE(t.sends(id).empty()) << cls;
    EXPECT_EQ(t.out.actions("reject", id).size(), 1u) << cls;
  }
}
Settings settingsWithLateWriteValue() {
  Settings s = settings();
  s.classes[kWrite].lateWeight = 0.5;  // otherwise the wait ends at the latency objective
  return s;
}
// Regression test (simulator scenario join+vast): a fifth of the servers' work went to reads whose
// answers had no value any more.
TEST(FinalAnswer, AnAttemptTimesOutWhenItsAnswerHasNoValueLeft) {
  BalancerFixture t(settingsWithLateWriteValue());
  t.reportAsPrimary(1);
  const Time asked = t.now;
  const RequestId read = t.request(kAny), write = t.request(kWrite);
  ASSERT_EQ(t.sends(read).size(), 1u);
  EXPECT_EQ(t.sends(read).back().time, asked + t.s.classes[kAny].latencyObjective);
  ASSERT_EQ(t.sends(write).size(), 1u);
  EXPECT_EQ(t.sends(write).back().time, asked + t.s.classes[kWrite].deadline);
  t.advance(50);
  t.endAttempt(read, AttemptResult::Error, 2);
  ASSERT_EQ(t.sends(read).size(), 2u);
  EXPECT_EQ(t.sends(read).back().time, asked + t.s.classes[kAny].latencyObjective)
      << "the time limit covers all attempts together";
  const RequestId shortDeadline = t.request(kAny, 0, 0, 100);
  if (!t.sends(shortDeadline).empty()) {
    EXPECT_EQ(t.sends(shortDeadline).back().time, t.now + milliseconds(100));
  }
}
TEST(FinalAnswer, RetryAfterIsLongPastTheLatencyObjectiveAndShortWithinIt) {
  BalancerFixture t;
  RequestId id = t.request(kAny);
  t.advance(100);
  t.endAttempt(id, AttemptResult::Ok, 2);  // gives a latency estimate
  id = t.request(kAny);
  t.advance(600);
  t.endAttempt(id, AttemptResult::Timeout);
  ASSERT_EQ(t.out.actions("reject", id).size(), 1u);
  EXPECT_EQ(t.out.actions("reject", id).back().time, t.s.maxRetryAfter);
  t.b.endpointsListed(t.now, ListKind::Full, {});
  id = t.request(kAny);  // no endpoint is listed
  const Time asked = t.now;
  while (t.out.actions("reject", id).empty() && t.now < asked + seconds(3)) t.run(5);
  ASSERT_EQ(t.out.actions("reject", id).size(), 1u);
  EXPECT_LT(t.out.actions("reject", id).back().time, milliseconds(200));
}
// A timeout at the latency objective shows that a server is overloaded, even three times in a row.
TEST(Health, TimeoutsUnderLoadDoNotEjectAServer) {
  BalancerFixture t(settings(), 1);
  for (int k = 0; k < 5; ++k) {
    const RequestId id = t.request(kAny);
    ASSERT_EQ(t.sends(id).size(), 1u) << k;
    t.advance(600);
    t.endAttempt(id, AttemptResult::Timeout);
  }
}
// Regression test: a request that waited for a server was answered only at the next housekeeping
// tick, after its client's deadline.
TEST(FinalAnswer, AWaitingRequestIsRejectedByItsOwnTimer) {
  BalancerFixture t;
  const std::size_t before = t.out.actions("timer").size();
  const RequestId id = t.request(kBounded);  // waits: neither a position nor a primary is known
  ASSERT_TRUE(t.sends(id).empty());
  const Time asked = t.now;
  ASSERT_GT(t.out.actions("timer").size(), before);
  while (t.out.actions("reject", id).empty() && t.now < asked + seconds(3)) t.run(5);
  EXPECT_EQ(t.out.actions("reject", id).size(), 1u);
  EXPECT_LE(t.now - asked, t.s.classes[kBounded].deadline);
}
// A rejection after half of the deadline, without any attempt, costs a third of the request's
// value: the client could have retried in the meantime.
TEST(FinalAnswer, AnUnsentWriteIsRejectedWithinHalfItsDeadline) {
  BalancerFixture t(settingsWithLateWriteValue());
  for (EndpointId m = 1; m <= 3; ++m)
    t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(m, Lifecycle::Draining)});
  const Time asked = t.now;
  const RequestId id = t.request(kWrite);
  while (t.out.actions("reject", id).empty() && t.now < asked + seconds(3)) t.run(5);
  EXPECT_EQ(t.out.actions("reject", id).size(), 1u);
  EXPECT_LT(t.now - asked, t.s.classes[kWrite].deadline / 2);
}
TEST(FinalAnswer, AWriteRejectedByReplicasKeepsWaitingForThePrimary) {
  BalancerFixture t(settingsWithLateWriteValue());
  const Time asked = t.now;
  const RequestId id = t.request(kWrite);
  for (int k = 0; k < 3; ++k) t.endAttempt(id, AttemptResult::TooStale, t.replicationStatus(0, 2));
  while (t.now < asked + t.s.classes[kWrite].deadline * 6 / 10) t.run(5);
  EXPECT_FALSE(t.rejectedOrFailed(id));
}

// ---- sends delayed by their connection -----------------------------------------------------------------
TEST(DelayedSend, IsForbiddenByStaleDataADrainOrTheEndOfTheRequest) {
  BalancerFixture t;
  t.report(1, 0);
  const RequestId id = t.request(kBounded);
  ASSERT_EQ(t.lastEndpoint(id), 1u);
  EXPECT_TRUE(t.b.maySendNow(t.now + milliseconds(400), id, 1));
  EXPECT_FALSE(t.b.maySendNow(t.now + milliseconds(600), id, 1));  // the bound is 500 ms
  t.now += milliseconds(600);
  t.report(1, 0);
  EXPECT_TRUE(t.b.maySendNow(t.now, id, 1));  // a newer report has arrived
  t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(1, Lifecycle::Draining)});
  EXPECT_FALSE(t.b.maySendNow(t.now, id, 1));
  t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(1)});
  EXPECT_TRUE(t.b.maySendNow(t.now, id, 1));
  t.b.clientDisconnected(t.now, id);
  EXPECT_FALSE(t.b.maySendNow(t.now, id, 1));
}
TEST(DelayedSend, AnUnsentAttemptUsesNoRetryBudget) {
  BalancerFixture t;
  for (EndpointId m = 1; m <= 3; ++m) t.report(m, 0);
  const RequestId id = t.request(kAny);
  for (int k = 0; k < 3; ++k) t.endAttempt(id, AttemptResult::NotSent);
  EXPECT_EQ(t.sends(id).size(), 4u);
  EXPECT_FALSE(t.rejectedOrFailed(id));
}
TEST(PositionEpoch, AppliesToLaterPositionsAndKeepsKnownOnes) {
  BalancerFixture t;
  t.report(1, 100);
  t.b.setPositionEpoch(t.now - seconds(60));
  const RequestId id = t.request(kBounded);
  EXPECT_EQ(t.lastEndpoint(id), 1u);
  t.endAttempt(id, AttemptResult::Ok, (60000 - 50) * 4 + 2);
  t.advance(420);
  // The position is 470 ms old; by the first report it would be 520 ms.
  EXPECT_EQ(t.lastEndpoint(t.request(kBounded)), 1u);
}

TEST(FinalAnswer, ADisconnectedClientGetsNoFinalAnswer) {
  BalancerFixture t;
  const RequestId id = t.request(kAny);
  t.b.clientDisconnected(t.now, id);
  t.endAttempt(id, AttemptResult::Cancelled);
  t.run(3000);
  EXPECT_FALSE(t.rejectedOrFailed(id));
  EXPECT_EQ(t.sends(id).size(), 1u);
}
TEST(FinalAnswer, UnknownClassesAreRejectedAndUnknownEventsIgnored) {
  BalancerFixture t;
  Request q;
  q.id = 9;
  q.classIndex = 99;
  t.b.request(t.now, q);
  EXPECT_EQ(t.out.actions("reject", 9).size(), 1u);
  AttemptOutcome o;
  o.request = 12345;
  o.endpoint = 55;
  t.b.attemptEnded(t.now, o);
  HealthCheckResult p;
  p.endpoint = 77;
  t.b.healthCheckEnded(t.now, p);
  t.b.clientDisconnected(t.now, 4711);
  t.b.timerFired(t.now, ~0ull);
  const RequestId id = t.request(kAny);
  t.endAttempt(id, AttemptResult::Ok);
  t.endAttempt(id, AttemptResult::Error);  // a second outcome of the same attempt
  EXPECT_FALSE(t.rejectedOrFailed(id));
}

// ---- every outcome for every idempotency ---------------------------------------------------------------
struct OutcomeCase {
  AttemptResult result;
  bool mayHaveRun;
};
class AttemptOutcomes : public testing::TestWithParam<OutcomeCase> {};
TEST_P(AttemptOutcomes, AnIdempotentRequestIsRetriedElsewhere) {
  BalancerFixture t;
  const RequestId id = t.request(kAny);
  t.advance(10);
  t.endAttempt(id, GetParam().result, 2);
  ASSERT_EQ(t.sends(id).size(), 2u);
  EXPECT_NE(t.sends(id)[0].endpoint, t.sends(id)[1].endpoint);
}
TEST_P(AttemptOutcomes, ANonIdempotentRequestThatMayHaveRunFails) {
  BalancerFixture t;
  t.reportAsPrimary(2);
  const RequestId id = t.request(kWrite);
  ASSERT_EQ(t.lastEndpoint(id), 2u);
  t.advance(10);
  t.endAttempt(id, GetParam().result);
  t.run(3200);
  EXPECT_EQ(t.out.actions("fail", id).size(), GetParam().mayHaveRun ? 1u : 0u);
  if (GetParam().mayHaveRun) {
    EXPECT_EQ(t.sends(id).size(), 1u);
    EXPECT_TRUE(t.out.actions("reject", id).empty());
  }
}
TEST_P(AttemptOutcomes, AKeyedRequestIsNotRetriedAfterTheDeduplicationWindow) {
  BalancerFixture t;
  const RequestId id = t.request(kKeyedGroup);
  t.advance(450);  // past the deduplication window of 400 ms
  t.endAttempt(id, GetParam().result);
  t.run(1500);
  if (!GetParam().mayHaveRun) return;
  EXPECT_EQ(t.sends(id).size(), 1u);
  EXPECT_TRUE(t.out.actions("reject", id).empty());
  EXPECT_EQ(t.out.actions("fail", id).size(), 1u);
}
INSTANTIATE_TEST_SUITE_P(
    Results, AttemptOutcomes,
    testing::Values(OutcomeCase{AttemptResult::Error, true}, OutcomeCase{AttemptResult::Timeout, true},
                    OutcomeCase{AttemptResult::Reset, true}, OutcomeCase{AttemptResult::Cancelled, true},
                    OutcomeCase{AttemptResult::Rejected, false},
                    OutcomeCase{AttemptResult::ConnectFailed, false},
                    OutcomeCase{AttemptResult::TooStale, false}, OutcomeCase{AttemptResult::NotSent, false}));
TEST(KeyedRequest, IsRetriedWithinTheDeduplicationWindow) {
  BalancerFixture t;
  const RequestId id = t.request(kKeyedGroup);
  t.advance(100);
  t.endAttempt(id, AttemptResult::Reset);
  EXPECT_EQ(t.sends(id).size(), 2u);
}
TEST(KeyedRequest, MayBeRejectedWhereAllServersDeduplicate) {
  BalancerFixture t;
  const RequestId id = t.request(kKeyedAll);
  t.advance(1000);
  t.endAttempt(id, AttemptResult::Timeout);
  EXPECT_EQ(t.out.actions("reject", id).size(), 1u);
}

// ---- staleness: positions, session tokens and rounding -------------------------------------------------
TEST(Staleness, AServerThatDoesNotEnforceTheBoundNeedsAProvenPosition) {
  BalancerFixture t;
  EXPECT_TRUE(t.sends(t.request(kBounded)).empty());
  t.report(2, 100);
  EXPECT_EQ(t.lastEndpoint(t.request(kBounded)), 2u);
  t.advance(450);  // 550 ms old now; the bound is 500 ms
  EXPECT_TRUE(t.sends(t.request(kBounded)).empty());
}
TEST(Staleness, PositionsNeverRegress) {
  BalancerFixture t;
  t.report(2, 50);
  t.report(2, 900);  // an older report that arrives after a newer one
  EXPECT_EQ(t.lastEndpoint(t.request(kBounded)), 2u);
}
TEST(Staleness, AFloatPositionIsRoundedDown) {
  Settings s = settings();
  s.positionEpoch = seconds(0);  // as a float, 1100 s is off by up to 61 us
  BalancerFixture t(s);
  HealthCheckResult p;
  p.endpoint = 2;
  p.ok = true;
  const float x = 1100.0f;
  p.report = {x, 0};
  t.now = seconds(1100) + milliseconds(500);  // exactly the bound, if the float were exact
  t.b.healthCheckEnded(t.now, p);
  EXPECT_TRUE(t.sends(t.request(kBounded)).empty());
}
TEST(Staleness, ASessionReadWaitsForItsOwnCommit) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  const RequestId w = t.request(kWrite, 5);
  t.advance(20);
  t.endAttempt(w, AttemptResult::Ok, t.replicationStatus(0, 1));
  t.report(2, 10);  // from before the commit
  t.report(3, 10);
  const RequestId first = t.request(kSession, 5);
  EXPECT_TRUE(t.sends(first).empty()) << "a replica may have the commit by now: two are checked";
  t.report(2, 30);
  EXPECT_EQ(t.lastEndpoint(first), 1u) << "only the primary is sure to have the commit";
  EXPECT_NE(t.lastEndpoint(t.request(kSession, 6)), 1u)
      << "another session wrote nothing: a replica suffices";
  t.advance(30);
  t.report(2, 1);
  EXPECT_EQ(t.lastEndpoint(t.request(kSession, 5)), 2u);
}
TEST(Staleness, ASessionTokenIsRoundedUp) {
  Settings s = settings();
  s.sessionTokensCarried = true;
  BalancerFixture t(s);
  t.report(2, 100);
  EXPECT_TRUE(t.sends(t.request(kSession, 5, 99.0f)).empty());
  EXPECT_EQ(t.lastEndpoint(t.request(kSession, 5, 101.0f)), 2u);
  EXPECT_FALSE(t.sends(t.request(kSession, 5, 0.0f)).empty()) << "the session has no write: any data suffice";
}
TEST(Staleness, AStrongReadGoesToThePrimary) {
  BalancerFixture t;
  t.report(2, 0);
  t.report(3, 0);
  t.reportAsPrimary(1);
  t.advance(1);
  EXPECT_EQ(t.lastEndpoint(t.request(kStrong)), 1u);
}
TEST(Staleness, AServerThatEnforcesTheBoundNeedsNoProvenPosition) {
  Settings s = settings();
  s.laggingReplicaPolicy = LaggingReplicaPolicy::Reject;
  BalancerFixture t(s);
  EXPECT_EQ(t.sends(t.request(kBounded)).size(), 1u);
}
TEST(Staleness, AnAnswerAsReplicaEndsTheExemptionOfAFormerPrimary) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  t.advance(600);
  const RequestId a = t.request(kBounded);
  t.report(2, 550);
  t.report(3, 550);
  ASSERT_EQ(t.lastEndpoint(a), 1u);
  t.advance(10);
  t.endAttempt(a, AttemptResult::Ok, 2);
  EXPECT_TRUE(t.sends(t.request(kBounded)).empty());
}

// ---- selection -------------------------------------------------------------------------------------------
TEST(Selection, LeastRecentlyUsedFirst) {
  BalancerFixture t;
  std::set<EndpointId> used;
  for (int k = 0; k < 3; ++k) {
    const RequestId id = t.request(kAny);
    used.insert(t.lastEndpoint(id));
    t.advance(10);
    t.endAttempt(id, AttemptResult::Ok, 2);
    t.advance(10);
  }
  EXPECT_EQ(used.size(), 3u);
}
TEST(Selection, ThePrimaryIsSparedWhileReplicasReachTheTarget) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  for (int k = 0; k < 20; ++k) {
    const RequestId id = t.request(kAny);
    EXPECT_NE(t.lastEndpoint(id), 1u);
    t.advance(10);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
}
// Every second answer of servers 1 and 2 becomes late while the group's answers are mostly in time.
// Their success probability falls below the target, so the primary, which has no samples of its
// own, becomes a candidate and is the best one.
TEST(Selection, ThePrimaryJoinsWhenReplicasFallShort) {
  BalancerFixture t;
  t.reportAsPrimary(3);
  RequestId id = 0;
  for (int k = 0; k < 80 && t.lastEndpoint(id) != 3; ++k) {
    id = t.request(kAny, 0, 0, 2000);
    t.advance(k < 40 || k % 4 < 2 ? 10 : 700);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  EXPECT_EQ(t.lastEndpoint(id), 3u);
}
// Regression test (simulator scenario izmir-glaze): long reads rotated over all replicas and made
// each of them stale.
TEST(Selection, ReadsOfAnyDataPreferStaleReplicas) {
  BalancerFixture t;
  t.report(1, 10);
  t.report(2, 700);  // older than the bound of 500 ms
  t.report(3, 10);
  for (int k = 0; k < 3; ++k) {
    const RequestId id = t.request(kAny);
    EXPECT_EQ(t.lastEndpoint(id), 2u);
    t.advance(10);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  EXPECT_NE(t.lastEndpoint(t.request(kBounded)), 2u);
}
// ---- health ----------------------------------------------------------------------------------------------
// A hung server still ranks first by its earlier latency samples; its missing answers are the only
// evidence.
TEST(Health, AHungServerIsEjectedAndItsReadsAreRetriedElsewhere) {
  BalancerFixture t;
  for (int k = 0; k < 30; ++k) {
    const RequestId id = t.request(kAny);
    t.advance(20);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  const RequestId unanswered = t.request(kAny);
  const EndpointId hung = t.lastEndpoint(unanswered);
  t.run(110);
  ASSERT_EQ(t.out.actions("probe").size(), 1u) << "a health check tells a hung server from a lost answer";
  EXPECT_TRUE(t.out.actions("cancel", unanswered).empty());
  // The health check is not answered either. Waiting for its timeout lost reads (scenario
  // ankara-schools, big-2).
  t.run(60);
  ASSERT_EQ(t.out.actions("cancel", unanswered).size(), 1u);
  EXPECT_EQ(t.sends(unanswered).size(), 1u) << "no second attempt before the outcome of the first";
  t.endAttempt(unanswered, AttemptResult::Cancelled);
  ASSERT_EQ(t.sends(unanswered).size(), 2u);
  EXPECT_NE(t.lastEndpoint(unanswered), hung);
  for (int k = 0; k < 6; ++k) {
    const RequestId id = t.request(kAny);
    EXPECT_NE(t.lastEndpoint(id), hung);
    t.advance(10);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
}
// Regression test (incident if8264e): connections of all servers were reset at random; each reset
// ejected a server until all requests were rejected.
TEST(Health, ASingleResetDoesNotEjectAServer) {
  BalancerFixture t(settings(), 1);
  t.endAttempt(t.request(kAny), AttemptResult::Ok, 2);
  const RequestId id = t.request(kAny);
  t.advance(5);
  t.endAttempt(id, AttemptResult::Reset);
  EXPECT_FALSE(t.sends(t.request(kAny)).empty());
}
TEST(Health, AFailedConnectionEjectsAServer) {
  Settings s = settings();
  s.healthChecksAllowed = false;
  BalancerFixture t(s, 1);
  const RequestId id = t.request(kAny);
  t.advance(5);
  t.endAttempt(id, AttemptResult::ConnectFailed);
  EXPECT_EQ(t.sends(t.request(kAny)).size(), 0u);
}
// Regression test (scenario muscat-guides): open and new connections were reset at random, and
// servers were ejected in turn, each for a single reset.
TEST(Health, ConnectionFailuresStartAHealthCheckThatDecidesTheEjection) {
  for (const bool answers : {true, false}) {
    BalancerFixture t(settings(), 1);
    t.reportAsPrimary(1);
    for (int k = 0; k < 3; ++k) {
      const RequestId id = t.request(kWrite);
      ASSERT_EQ(t.sends(id).size(), 1u) << k;
      t.advance(1);
      t.endAttempt(id, k < 2 ? AttemptResult::Reset : AttemptResult::ConnectFailed);
    }
    ASSERT_EQ(t.out.actions("probe").size(), 1u);
    t.advance(1);
    HealthCheckResult p;
    p.endpoint = 1;
    if (answers)
      t.report(1, 0, true);
    else
      t.b.healthCheckEnded(t.now, p);
    EXPECT_EQ(t.sends(t.request(kWrite)).size(), answers ? 1u : 0u);
  }
}
TEST(Retries, AnImmediateFailureUsesNoRetryBudget) {
  BalancerFixture t(settings(), 1);
  const RequestId first = t.request(kAny);
  t.advance(100);
  t.endAttempt(first, AttemptResult::Ok, 2);
  const RequestId id = t.request(kAny);
  for (int k = 0; k < 4; ++k) {
    ASSERT_EQ(t.sends(id).size(), static_cast<std::size_t>(k + 1));
    t.endAttempt(id, AttemptResult::Reset);
    if (k == 2) t.report(1, 0);  // the health check that three failures in a row start
  }
}
// Regression test (incident if8264e): failures that do not depend on load counted as late answers,
// and requests to healthy servers were rejected.
TEST(LoadShedding, FailuresUnrelatedToLoadCauseNoRejections) {
  BalancerFixture t(settings(), 1);
  for (int k = 0; k < 40; ++k) {
    const RequestId id = t.request(kAny);
    const RequestId concurrent = t.request(kAny);
    EXPECT_EQ(t.sends(concurrent).size(), 1u);
    t.advance(10);
    t.endAttempt(id, k % 3 ? AttemptResult::Ok : AttemptResult::Reset, 2, 0);
    if (!t.sends(concurrent).empty()) t.endAttempt(concurrent, AttemptResult::Ok, 2, 0);
    if (t.sends(id).size() > 1) t.endAttempt(id, AttemptResult::Ok, 2);
  }
}
TEST(Health, AServerThatFailsFastIsSelectedLessOften) {
  BalancerFixture t;
  int attemptsAtFailing = 0;
  for (int k = 0; k < 60; ++k) {
    const RequestId id = t.request(kAny);
    for (int n = 0; n < 5 && !t.rejectedOrFailed(id); ++n) {
      if (t.lastEndpoint(id) != 1) break;
      ++attemptsAtFailing;
      t.advance(1);
      t.endAttempt(id, AttemptResult::Error, 2);
    }
    t.advance(15);
    if (!t.rejectedOrFailed(id)) t.endAttempt(id, AttemptResult::Ok, 2);
  }
  EXPECT_LE(attemptsAtFailing, 6);
}

// ---- writes ----------------------------------------------------------------------------------------------
TEST(Writes, TryServersByIdThenWaitForAPrimary) {
  BalancerFixture t;
  const RequestId id = t.request(kWrite);
  for (EndpointId m = 1; m <= 3; ++m) {
    ASSERT_EQ(t.lastEndpoint(id), m);
    t.endAttempt(id, AttemptResult::TooStale, 2);
  }
  EXPECT_EQ(t.sends(id).size(), 3u);
  const RequestId other = t.request(kWrite);
  EXPECT_TRUE(t.sends(other).empty()) << "one write at a time looks for the primary";
  t.run(300);
  EXPECT_FALSE(t.out.actions("probe").empty());
  t.report(2, 0, true);
  EXPECT_EQ(t.lastEndpoint(id), 2u);
  EXPECT_EQ(t.lastEndpoint(other), 2u);
}
// The latency of a write that a replica rejects says nothing about the latency of its reads.
TEST(Writes, AWriteRejectedByAReplicaLeavesNoLatencySample) {
  BalancerFixture t;
  const RequestId id = t.request(kWrite);
  t.endAttempt(id, AttemptResult::TooStale, 2);
  t.endAttempt(id, AttemptResult::Ok, t.replicationStatus(0, 1));
  ASSERT_EQ(t.lastEndpoint(id), 2u);
  t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(3, Lifecycle::Gone)});
  EXPECT_EQ(t.lastEndpoint(t.request(kAny)), 1u);
}
TEST(Writes, TheNewestEvidenceOfARoleWins) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  t.advance(100);
  t.reportAsPrimary(3);
  t.report(1, 90, true);  // an old report that arrives late
  EXPECT_EQ(t.lastEndpoint(t.request(kWrite)), 3u);
}
TEST(Writes, AListedRoleIsTheWeakestEvidence) {
  Settings s = settings();
  s.listedRolePolicy = ListedRolePolicy::AtStart;
  s.healthChecksAllowed = false;
  Recorder r;
  BalancerFixture t(s);
  ListedEndpoint m = BalancerFixture::entry(2);
  m.primary = true;
  t.b.endpointsListed(t.now, ListKind::Delta, {m});
  EXPECT_EQ(t.lastEndpoint(t.request(kWrite)), 2u);
  t.report(3, 0, true);
  t.b.endpointsListed(t.now, ListKind::Delta, {m});
  EXPECT_EQ(t.lastEndpoint(t.request(kWrite)), 3u);
}

// ---- suspension and settings updates -------------------------------------------------------------------
TEST(Suspension, ASuspendedServerGetsNothingWhateverTheListSays) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  t.b.suspend(t.now, 1, true);
  t.b.suspend(t.now, 1, true);
  t.b.endpointsListed(t.now, ListKind::Full,
                      {BalancerFixture::entry(1, Lifecycle::Ready, t.now), BalancerFixture::entry(2),
                       BalancerFixture::entry(3)});
  const std::size_t probes = t.out.actions("probe").size();
  for (int k = 0; k < 20; ++k) {
    const RequestId id = t.request(k % 2 ? kWrite : kAny);
    EXPECT_NE(t.lastEndpoint(id), 1u);
    t.run(30);
  }
  for (std::size_t k = probes; k < t.out.actions("probe").size(); ++k)
    EXPECT_NE(t.out.actions("probe")[k].endpoint, 1u);
}
TEST(Suspension, ASendThatWaitsForItsConnectionIsForbidden) {
  BalancerFixture t;
  t.report(1, 0);
  const RequestId id = t.request(kBounded);
  ASSERT_EQ(t.lastEndpoint(id), 1u);
  t.b.suspend(t.now, 1, true);
  EXPECT_FALSE(t.b.maySendNow(t.now, id, 1));
}
Settings settingsFor300Proxies() {
  Settings s = settings();
  s.proxyCount = 300;
  return s;
}
TEST(Suspension, ARestoredServerGoesThroughSlowStart) {
  int atRestored = 0, all = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    BalancerFixture t(settingsFor300Proxies(), 3, seed);
    t.nextId = 1000 * seed;
    t.b.suspend(t.now, 1, true);
    t.advance(4000);
    t.b.suspend(t.now, 1, false);
    for (int k = 0; k < 10; ++k, ++all) {
      const RequestId id = t.request(kAny);
      atRestored += t.lastEndpoint(id) == 1;
      t.advance(20);
      t.endAttempt(id, AttemptResult::Ok, 2);
    }
  }
  EXPECT_GT(atRestored, 0);
  EXPECT_LE(atRestored, 2 * 0.2 * all / 2)
      << "the start capacity relative to a warm server, times the overload factor";
}
TEST(Suspension, AServerListedAsSuspendedGetsNothing) {
  BalancerFixture t;
  ListedEndpoint m = BalancerFixture::entry(9, Lifecycle::Ready, t.now - seconds(30));
  m.suspended = true;
  t.b.endpointsListed(t.now, ListKind::Delta, {m});
  for (int k = 0; k < 20; ++k) EXPECT_NE(t.lastEndpoint(t.request(kAny)), 9u);
}
TEST(SettingsUpdate, AppliesToNewRequestsWhileOpenOnesKeepTheirClass) {
  BalancerFixture t;
  const RequestId old = t.request(kAny);
  Settings s = settings();
  s.maxAttempts = 1;
  s.classes.push_back(s.classes[kAny]);
  s.classes.back().latencyObjective = milliseconds(100);
  t.b.updateSettings(t.now, s);
  Request q;
  q.id = 5000;
  q.classIndex = static_cast<int>(s.classes.size()) - 1;
  q.group = 7;
  q.deadline = t.now + milliseconds(500);
  t.b.request(t.now, q);
  ASSERT_EQ(t.sends(5000).size(), 1u);
  EXPECT_EQ(t.sends(5000).back().time, t.now + milliseconds(100));
  t.endAttempt(5000, AttemptResult::Error, 2);
  EXPECT_EQ(t.sends(5000).size(), 1u) << "the new settings allow one attempt";
  t.advance(20);
  t.endAttempt(old, AttemptResult::Ok, 2);
  EXPECT_FALSE(t.rejectedOrFailed(old));
}

// A retry waits for its connection until the deduplication window of the first attempt has passed:
// sending it then could run the request twice.
TEST(Retries, ARetryIsNotSentAfterTheDeduplicationWindow) {
  BalancerFixture t;
  const RequestId id = t.request(kKeyedGroup);
  ASSERT_EQ(t.sends(id).size(), 1u);
  t.advance(20);
  t.endAttempt(id, AttemptResult::Reset, 2);
  ASSERT_EQ(t.sends(id).size(), 2u) << "within the window of 400 ms";
  t.advance(350);
  EXPECT_TRUE(t.b.maySendNow(t.now, id, t.lastEndpoint(id)));
  t.advance(40);
  EXPECT_FALSE(t.b.maySendNow(t.now, id, t.lastEndpoint(id)));
  t.endAttempt(id, AttemptResult::NotSent);
  EXPECT_EQ(t.sends(id).size(), 2u);
}

// ---- drains, slow start, discovery ---------------------------------------------------------------------
TEST(Drain, ADrainingServerGetsNothingFromTheListUpdateOn) {
  BalancerFixture t;
  t.b.endpointsListed(
      t.now, ListKind::Delta,
      {BalancerFixture::entry(1, Lifecycle::Draining), BalancerFixture::entry(2, Lifecycle::Gone)});
  for (int k = 0; k < 5; ++k) EXPECT_EQ(t.lastEndpoint(t.request(kAny)), 3u);
  t.b.endpointsListed(t.now, ListKind::Full, {BalancerFixture::entry(1)});
  EXPECT_EQ(t.lastEndpoint(t.request(kAny)), 1u) << "listed as ready again, and 3 is absent from a full list";
}
TEST(Drain, RemovedServersStayUsableUnlessTheyWereDraining) {
  Settings s = settings();
  s.removedEndpointsStayUsable = true;
  BalancerFixture t(s);
  t.b.endpointsListed(
      t.now, ListKind::Delta,
      {BalancerFixture::entry(1, Lifecycle::Draining), BalancerFixture::entry(2, Lifecycle::Gone)});
  t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(1, Lifecycle::Gone)});
  std::set<EndpointId> used;
  for (int k = 0; k < 6; ++k) {
    const RequestId id = t.request(kAny);
    used.insert(t.lastEndpoint(id));
    t.advance(10);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  EXPECT_EQ(used, (std::set<EndpointId>{2, 3}));
}
// Regression test (scenarios izmir-glaze-later, ankara-schools-later): hundreds of proxies, each
// sending one request at a time to a server that had just started, overloaded it together.
TEST(SlowStart, ManyProxiesTogetherSendAServerItsShare) {
  int cold = 0, warm = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    BalancerFixture t(settingsFor300Proxies(), 3, seed);
    t.nextId = 1000 * seed;
    t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(1, Lifecycle::Ready, t.now)});
    for (int k = 0; k < 30; ++k) {
      const RequestId id = t.request(kAny);
      const EndpointId to = t.lastEndpoint(id);
      (to == 1 ? cold : warm) += 1;
      t.advance(20);
      t.endAttempt(id, AttemptResult::Ok, 2);
    }
  }
  // A cold server has at least a fifth of the capacity of a warm one and is overloaded at twice
  // that load. It warms up by serving requests, so it must get more than a third of its minimum
  // capacity.
  EXPECT_GT(cold, 0.2 * warm / 2 / 3);
  EXPECT_LE(cold, 2 * 0.2 * warm / 2);
}
// The load of warm servers may be far below their capacity. A cold server that completes its
// requests shows its own capacity and gets more of them; a cold server that rejects them does not.
TEST(SlowStart, AServerThatCompletesItsRequestsGetsMore) {
  int sent[2] = {0, 0};
  for (const bool completes : {false, true})
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      BalancerFixture t(settings(), 3, seed);
      t.nextId = 1000 * seed;
      t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(1, Lifecycle::Ready, t.now)});
      for (int k = 0; k < 100; ++k) {
        const RequestId id = t.request(kAny);
        const bool cold = t.lastEndpoint(id) == 1;
        sent[completes] += k >= 40 && cold;
        t.advance(50);
        t.endAttempt(id, cold && !completes ? AttemptResult::Rejected : AttemptResult::Ok, 2);
      }
    }
  EXPECT_GT(sent[1], 3 * sent[0] / 2);
}
// Regression test: a proxy with few requests never used its only server, because its share of a
// cold server's budget was less than one request (DNS-SD lists restarted servers without their
// start time). The rule grants each server three requests beyond its share.
TEST(SlowStart, LowTrafficProxiesStillUseAColdServer) {
  Settings s = settings();
  s.proxyCount = 3;
  int sent[2] = {0, 0};
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    BalancerFixture t(s, 1, seed);
    t.nextId = 1000 * seed;
    t.b.endpointsListed(t.now, ListKind::Full, {BalancerFixture::entry(1, Lifecycle::Ready, t.now)});
    sent[0] += !t.sends(t.request(kAny)).empty();
    for (int k = 0; k < 40; ++k)
      // Simultaneous requests are limited to the share.
      sent[1] += !t.sends(t.request(kAny)).empty();
  }
  EXPECT_GE(sent[0], 45);
  EXPECT_LE(sent[1], 50 * 40 / 2);
}
// Regression test (scenario upgrade+hand): writes at the primary were charged to the budgets of
// cold replicas, which then got no reads at all.
TEST(SlowStart, WritesToThePrimaryDoNotUseTheBudgetOfAReplica) {
  int reads = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BalancerFixture t(settingsFor300Proxies(), 2, seed);
    t.nextId = 1000 * seed;
    t.reportAsPrimary(2);
    t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(1, Lifecycle::Ready, t.now)});
    for (int k = 0; k < 100; ++k) {
      const bool write = k % 2 == 0;
      const RequestId id = t.request(write ? kWrite : kAny);
      if (t.sends(id).empty()) continue;
      const EndpointId to = t.lastEndpoint(id);
      reads += !write && to == 1;
      t.advance(5);
      t.endAttempt(id, AttemptResult::Ok, t.replicationStatus(0, to == 2 ? 1 : 2));
    }
  }
  EXPECT_GT(reads, 20);
}
// Without a warm server there is no measure of a server's capacity: the present demand is taken as
// the peak demand, one and a half times the capacity of the group.
TEST(SlowStart, WithoutAWarmServerDemandIsTakenAsThePeak) {
  BalancerFixture t;
  t.b.endpointsListed(t.now, ListKind::Full, {BalancerFixture::entry(1, Lifecycle::Ready, t.now)});
  int sent = 0;
  for (int k = 0; k < 300; ++k) {
    sent += !t.sends(t.request(kAny)).empty();
    t.advance(5);
  }
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 2 * 0.2 * 300 / 1.5);
}
// Reads can go to another server or be retried later; writes can go only to the primary.
TEST(SlowStart, WritesTakePrecedenceInTheBudgetOfAColdPrimary) {
  BalancerFixture t(settingsFor300Proxies());
  t.reportAsPrimary(1);
  t.b.endpointsListed(t.now, ListKind::Full, {BalancerFixture::entry(1, Lifecycle::Ready, t.now)});
  t.reportAsPrimary(1);
  int asked[2] = {0, 0}, sent[2] = {0, 0};
  for (int k = 0; k < 100; ++k) {
    const bool write = k % 10 == 0;
    ++asked[write];
    const RequestId id = t.request(write ? kWrite : kAny);
    const bool went = !t.sends(id).empty();
    sent[write] += went;
    t.advance(5);
    if (went) t.endAttempt(id, AttemptResult::Ok, t.replicationStatus(0, 1));
  }
  EXPECT_GE(sent[1], asked[1] / 2);
  EXPECT_GT(sent[0], 0);
  EXPECT_LE(sent[0] + sent[1], 2 * 0.24 * 100 / 1.5) << "0.2 of its capacity at the start, 0.24 after 0.5 s";
}
// A proxy has to act on a list change within 6 s, even after failed calls: the backoff stays short
// however many calls have failed and however long the configured poll deadline is.
TEST(Discovery, PausesAfterFailedCallsStayShort) {
  Settings s = settings();
  s.discoveryMode = DiscoveryMode::Subscribe;
  s.discoveryPollDeadline = seconds(60);
  s.proxyCount = 300;
  BalancerFixture t(s);
  Time longest{};
  for (int k = 0; k < 40; ++k) {
    const std::size_t before = t.out.all.size();
    t.b.endpointsListed(t.now, ListKind::Failed, {});
    for (std::size_t n = before; n < t.out.all.size(); ++n)
      if (t.out.all[n].what == "timer") longest = std::max(longest, t.out.all[n].time);
    t.advance(1000);
  }
  EXPECT_GT(longest, milliseconds(400)) << "there is a backoff between calls";
  // Leaves time for an unanswered call before and a queued call after, 2.5 s each.
  EXPECT_LE(longest, milliseconds(6000 - 2 * 2500));
}
// Regression test (scenario istanbul-main-later, big-2): all proxies started with the same server,
// which got 12 times the mean load.
TEST(Selection, ProxiesStartAtDifferentServers) {
  std::set<EndpointId> first;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BalancerFixture t(settings(), 3, seed);
    first.insert(t.lastEndpoint(t.request(kAny)));
  }
  EXPECT_EQ(first.size(), 3u);
}

// Regression test (scenario istanbul-main-later, big-2): hundreds of proxies, each with unused
// retry budget, kept up an overload with their retries.
TEST(Retries, UnusedRetryBudgetDecays) {
  BalancerFixture t;
  for (int k = 0; k < 60; ++k) {
    const RequestId id = t.request(kAny);
    t.advance(300);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  int failed = 0, retried = 0;
  for (int k = 0; k < 20; ++k) {
    const RequestId id = t.request(kAny);
    if (t.sends(id).empty()) continue;  // the servers are ejected
    t.advance(160);                     // not an immediate failure: the server did work
    t.endAttempt(id, AttemptResult::Error, 2);
    ++failed;
    if (t.sends(id).size() < 2) continue;
    ++retried;
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  EXPECT_GE(retried, 1);
  EXPECT_LE(retried, 1 + failed / 5);
}
// Regression test (incident i4914d4): proxies that searched for the primary overloaded cold
// replicas with misplaced writes.
TEST(SlowStart, MisplacedWritesCountAgainstTheBudgetOfAServer) {
  int cold = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    BalancerFixture t(settingsFor300Proxies(), 3, seed);
    t.nextId = 1000 * seed;
    t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(1, Lifecycle::Ready, t.now)});
    cold += t.lastEndpoint(t.request(kWrite)) == 1;  // no primary is known; server 1 is first by id
  }
  EXPECT_LE(cold, 2 * 300 / 3 / 5 + 12) << "its share plus a margin for chance";
}

// ---- health checks before a send -----------------------------------------------------------------------
// Regression test (scenario istanbul-main-later): a proxy with few requests per second never had a
// proven position.
TEST(CheckBeforeSend, AReadWaitsForTheFirstSufficientReport) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  const RequestId id = t.request(kBounded);
  ASSERT_TRUE(t.sends(id).empty());
  ASSERT_EQ(t.out.actions("probe").size(), 2u);
  t.report(t.out.actions("probe")[0].endpoint, 100);
  EXPECT_EQ(t.lastEndpoint(id), t.out.actions("probe")[0].endpoint);
  const RequestId second = t.request(kBounded);
  EXPECT_FALSE(t.sends(second).empty()) << "a replica with a proven position is available";
}
// Most proxies see the queue of a server only in its reports (scenario ankara-schools-later).
TEST(CheckBeforeSend, TheLessLoadedOfTwoServersIsChosenByTheirReports) {
  Settings s = settings();
  s.laggingReplicaPolicy = LaggingReplicaPolicy::Reject;
  s.reportFields = {ReportField::Position, ReportField::Primary, ReportField::Inflight};
  BalancerFixture t(s);
  t.reportAsPrimary(3);
  const RequestId warm = t.request(kAny);
  const auto report = [&](EndpointId m, float inflight) {
    HealthCheckResult p;
    p.endpoint = m;
    p.ok = true;
    p.report = {static_cast<float>(std::chrono::duration<double>(t.now - s.positionEpoch).count()), 0,
                inflight};
    t.b.healthCheckEnded(t.now, p);
  };
  report(1, 0);
  report(2, 0);
  t.advance(100);
  t.endAttempt(warm, AttemptResult::Ok, 2);
  t.advance(2000);
  const RequestId id = t.request(kAny);
  ASSERT_TRUE(t.sends(id).empty());
  report(1, 60);
  EXPECT_TRUE(t.sends(id).empty()) << "the report of server 2 is still missing";
  report(2, 1);
  EXPECT_EQ(t.lastEndpoint(id), 2u);
}
// Regression test (scenario istanbul-main-later): answers were lost, and servers that still
// answered health checks were ejected in turn.
TEST(Health, AnAnsweredHealthCheckPreventsEjectionForALostAnswer) {
  BalancerFixture t;
  for (int k = 0; k < 30; ++k) {
    const RequestId id = t.request(kAny);
    t.advance(20);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  const RequestId lost = t.request(kAny);
  const EndpointId server = t.lastEndpoint(lost);
  t.run(110);
  t.report(server, 10);
  t.run(30);
  EXPECT_EQ(t.out.actions("cancel", lost).size(), 1u);
  t.endAttempt(lost, AttemptResult::Cancelled);
  EXPECT_NE(t.lastEndpoint(lost), server);
  std::set<EndpointId> used;
  for (int k = 0; k < 6; ++k) {
    const RequestId id = t.request(kAny);
    used.insert(t.lastEndpoint(id));
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  EXPECT_EQ(used.count(server), 1u) << "the server stays in use";
}
// Regression test (scenario muscat-guides, lag and fast_errors together): reads were rejected
// because the primary was full, while a replica with fresh data failed only some of its requests.
TEST(Health, AReadThatAFullPrimaryCannotTakeGoesToAPartlyFailingReplica) {
  BalancerFixture t(settings(), 2);
  t.reportAsPrimary(1);
  t.report(2, 10);
  std::vector<RequestId> first;
  for (int k = 0; k < 3; ++k) first.push_back(t.request(kBounded));
  for (const RequestId id : first) {  // three failures in a row eject the replica
    ASSERT_EQ(t.lastEndpoint(id), 2u);
    t.endAttempt(id, AttemptResult::Error, t.replicationStatus(0, 2));
  }
  t.advance(100);
  ASSERT_EQ(t.lastEndpoint(first[0]), 1u);
  t.endAttempt(first[0], AttemptResult::Ok, t.replicationStatus(0, 1));
  t.report(2, 10);
  int atPrimary = 0, atReplica = 0;
  for (int k = 0; k < 30 && atReplica == 0; ++k) {
    const RequestId id = t.request(kBounded);
    ASSERT_FALSE(t.rejectedOrFailed(id)) << "rejected, with " << atPrimary << " at the primary";
    atPrimary += t.lastEndpoint(id) == 1;
    atReplica += t.lastEndpoint(id) == 2;
  }
  EXPECT_GT(atPrimary, 1);
  EXPECT_EQ(atReplica, 1);
}
TEST(EndpointRemoval, RemovesOnlyGoneEndpointsWithoutOpenAttempts) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  const RequestId id = t.request(kAny);
  const EndpointId busy = t.lastEndpoint(id);
  const EndpointId quiet = busy == 2 ? 3 : 2;
  t.b.endpointsListed(
      t.now, ListKind::Delta,
      {BalancerFixture::entry(quiet, Lifecycle::Gone), BalancerFixture::entry(busy, Lifecycle::Gone)});
  t.advance(9000);
  EXPECT_TRUE(t.b.removeExpiredEndpoints(t.now).empty());
  t.advance(1000);
  EXPECT_EQ(t.b.removeExpiredEndpoints(t.now), std::vector<EndpointId>{quiet});
  t.endAttempt(id, AttemptResult::Ok, 2);
  EXPECT_EQ(t.b.removeExpiredEndpoints(t.now), std::vector<EndpointId>{busy});
  t.report(quiet, 0);  // a late report is ignored
  t.b.endpointsListed(t.now, ListKind::Delta, {BalancerFixture::entry(quiet)});
  t.advance(20000);
  EXPECT_TRUE(t.b.removeExpiredEndpoints(t.now).empty()) << "the endpoint is listed again";
}
// Regression test (scenario muscat-guides, fast_errors on a primary): three immediate errors made
// all writes wait for up to 8 s although the primary answered half of its requests.
TEST(Health, APartlyFailingPrimaryStillGetsWrites) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  for (int k = 0; k < 6; ++k) {
    const RequestId id = t.request(kWrite);
    ASSERT_EQ(t.lastEndpoint(id), 1u) << k;
    t.endAttempt(id, AttemptResult::Error, t.replicationStatus(0, 1));
    t.advance(1);
  }
  // A failed connection ejects the primary.
  const RequestId last = t.request(kWrite);
  t.endAttempt(last, AttemptResult::ConnectFailed);
  HealthCheckResult failed;
  failed.endpoint = 1;
  t.b.healthCheckEnded(t.now, failed);
  const RequestId next = t.request(kWrite);
  EXPECT_NE(t.lastEndpoint(next), 1u);
}
TEST(Health, APartlyFailingServerGetsAReadThatNoOtherCanServe) {
  BalancerFixture t(settings(), 1);
  t.reportAsPrimary(1);
  const RequestId first = t.request(kBounded);
  t.advance(40);
  t.endAttempt(first, AttemptResult::Ok, t.replicationStatus(0, 1));
  const RequestId id = t.request(kBounded);
  for (int k = 0; k < 5; ++k) {
    ASSERT_EQ(t.sends(id).size(), static_cast<std::size_t>(k + 1));
    // An immediate failure uses no retry budget.
    t.endAttempt(id, AttemptResult::Error, t.replicationStatus(0, 1));
  }
  t.endAttempt(id, AttemptResult::Ok, t.replicationStatus(0, 1));
  EXPECT_FALSE(t.rejectedOrFailed(id));
}
// Regression test (scenario muscat-guides, lagging replicas): two lagging replicas got no sends, so
// they stayed next in turn and were the only ones checked, while the positions of all others became
// too old.
TEST(CheckBeforeSend, LaggingReplicasDoNotKeepOthersFromBeingChecked) {
  BalancerFixture t(settings(), 5);
  t.reportAsPrimary(1);
  std::set<EndpointId> checked;
  for (int k = 0; k < 4; ++k) {
    t.advance(1000);
    const std::size_t before = t.out.all.size();
    const RequestId id = t.request(kBounded);
    const std::vector<Action> all(t.out.all.begin() + static_cast<std::ptrdiff_t>(before), t.out.all.end());
    for (const Action& a : all)
      if (a.what == "probe") {
        checked.insert(a.endpoint);
        t.report(a.endpoint, a.endpoint <= 3 ? 5000 : 10, a.endpoint == 1);
      }
    if (!t.sends(id).empty())
      t.endAttempt(id, AttemptResult::Ok, t.replicationStatus(10, t.lastEndpoint(id) == 1 ? 1 : 2));
  }
  EXPECT_GT(checked.count(4) + checked.count(5), 0u);
}
TEST(CheckBeforeSend, AnUnansweredHealthCheckEjectsAServer) {
  BalancerFixture t;
  t.reportAsPrimary(1);
  const RequestId id = t.request(kBounded);
  const auto probes = t.out.actions("probe");
  ASSERT_EQ(probes.size(), 2u);
  t.advance(30);
  t.report(probes[1].endpoint, 10);
  EXPECT_EQ(t.lastEndpoint(id), probes[1].endpoint);
  HealthCheckResult p;
  p.endpoint = probes[0].endpoint;
  t.advance(220);
  t.b.healthCheckEnded(t.now, p);
  for (int k = 0; k < 5; ++k) EXPECT_NE(t.lastEndpoint(t.request(kAny)), probes[0].endpoint);
}
TEST(Idle, AProxyWithoutOpenRequestsSetsNoTimer) {
  BalancerFixture t;
  const RequestId id = t.request(kAny);
  t.endAttempt(id, AttemptResult::Ok, 2);
  t.run(100);
  const std::size_t before = t.out.actions("timer").size();
  t.run(5000);
  EXPECT_EQ(t.out.actions("timer").size(), before);
}
TEST(Discovery, IsCalledAtTheStartAndAgainAfterAFailure) {
  Settings s = settings();
  s.discoveryMode = DiscoveryMode::Subscribe;
  BalancerFixture t(s);
  EXPECT_EQ(t.out.actions("subscribe").size(), 1u);
  t.b.endpointsListed(t.now, ListKind::Failed, {});
  const Action retry = t.out.actions("timer").back();
  EXPECT_LT(retry.time, s.discoveryPollDeadline / 4);
  t.now += retry.time;
  t.b.timerFired(t.now, retry.token);
  EXPECT_EQ(t.out.actions("subscribe").size(), 2u);
  t.b.endpointsListed(t.now, ListKind::Delta, {});
  for (const Action& a : t.out.actions("timer"))
    if (a.token != 0) t.b.timerFired(t.now + seconds(9), a.token);
  EXPECT_EQ(t.out.actions("subscribe").size(), 2u) << "an answered call is not repeated";
}
TEST(Discovery, AnUnansweredCallIsRepeatedBeforeTheDeadline) {
  Settings s = settings();
  s.discoveryMode = DiscoveryMode::Subscribe;
  BalancerFixture t(s);
  const Action timeout = t.out.actions("timer").back();
  EXPECT_LT(timeout.time, s.discoveryPollDeadline);
  t.now += timeout.time;
  t.b.timerFired(t.now, timeout.token);
  EXPECT_EQ(t.out.actions("subscribe").size(), 2u);
}

// ---- load shedding -------------------------------------------------------------------------------------
// Regression test (incidents ife0563, i404a82, ieb4c96): queues so long that every answer was late
// sustained themselves.
TEST(LoadShedding, RequestsThatWouldBeLateAreRejected) {
  BalancerFixture t;
  std::vector<RequestId> all;
  for (int k = 0; k < 20; ++k) {
    const RequestId id = t.request(kAny);
    t.advance(100);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  int rejected = 0;
  for (int k = 0; k < 200; ++k) rejected += t.rejectedOrFailed(t.request(kAny));
  EXPECT_GT(rejected, 100);
  EXPECT_LT(rejected, 195);
}

// Regression test (incident i1a9b26): some attempts were never answered, and each counted as load
// for seconds.
TEST(LoadShedding, LostAttemptsDoNotCountAsLoad) {
  Settings s = settings();
  s.cancelAllowed = false;
  BalancerFixture t(s, 1);
  for (int k = 0; k < 20; ++k) {
    const RequestId id = t.request(kAny);
    t.advance(20);
    t.endAttempt(id, AttemptResult::Ok, 2);
  }
  for (int k = 0; k < 12; ++k) {
    t.request(kAny);  // never answered
    const RequestId id = t.request(kAny);
    ASSERT_EQ(t.sends(id).size(), 1u) << k;
    t.advance(20);
    t.endAttempt(id, AttemptResult::Ok, 2);
    t.advance(130);
  }
}
TEST(Determinism, TheSameEventsGiveTheSameActions) {
  const auto play = [] {
    BalancerFixture t;
    for (int k = 0; k < 50; ++k) {
      const RequestId id = t.request(k % 4);
      t.report(static_cast<EndpointId>(k % 3 + 1), k, k % 7 == 0);
      t.run(15);
      if (!t.sends(id).empty()) t.endAttempt(id, k % 5 ? AttemptResult::Ok : AttemptResult::Error, 2);
    }
    std::string s;
    for (const Action& a : t.out.all)
      s += a.what + std::to_string(a.id) + "/" + std::to_string(a.endpoint) + " ";
    return s;
  };
  EXPECT_EQ(play(), play());
}

// ---- gossip from other proxies -------------------------------------------------------------------------
TEST(Gossip, APositionAllowsABoundedReadWithoutAHealthCheck) {
  BalancerFixture t;
  t.b.gossipReceived(t.now, 2, t.replicationStatus(50, 2), -1, Time(0));
  const RequestId id = t.request(kBounded);
  EXPECT_EQ(t.lastEndpoint(id), 2u);
  EXPECT_LE(t.out.actions("probe").size(), 1u)
      << "at most one check of another server, and no request waits for it";
}
TEST(Gossip, AStaleOrFuturePositionProvesNothing) {
  BalancerFixture t;
  t.b.gossipReceived(t.now, 2, t.replicationStatus(600, 2), -1, Time(0));
  t.b.gossipReceived(t.now, 3, t.replicationStatus(-50, 2), -1, Time(0));
  EXPECT_TRUE(t.sends(t.request(kBounded)).empty());
}
TEST(Gossip, StatusOfAnUnlistedEndpointIsIgnored) {
  BalancerFixture t;
  t.b.gossipReceived(t.now, 99, t.replicationStatus(10, 1), 0, milliseconds(1));
  EXPECT_TRUE(t.sends(t.request(kBounded)).empty());
}
TEST(Gossip, FindsAPrimaryButDoesNotOverrideNewerEvidenceOfItsOwn) {
  BalancerFixture t;
  t.b.gossipReceived(t.now, 3, t.replicationStatus(5, 1), -1, Time(0));
  const RequestId id = t.request(kWrite);
  ASSERT_EQ(t.lastEndpoint(id), 3u);
  t.advance(10);
  t.endAttempt(id, AttemptResult::TooStale,
               t.replicationStatus(0, 2));  // its own answer says that it is a replica
  t.b.gossipReceived(t.now, 3, t.replicationStatus(30, 1), -1, Time(0));  // older than that answer
  t.advance(5);
  EXPECT_NE(t.lastEndpoint(t.request(kWrite)), 3u);
}
TEST(Gossip, ProxiesShareTheHealthChecksOfAServerThatNobodyReports) {
  Settings s = settings();
  s.proxyCount = 100;
  BalancerFixture t(s);
  for (int k = 0; k < 400; ++k) {  // 2 s
    t.b.gossipReceived(t.now, 2, t.replicationStatus(20, 2), 0, milliseconds(5));
    const RequestId id = t.request(kBounded);
    ASSERT_EQ(t.lastEndpoint(id), 2u);
    t.advance(5);
    t.endAttempt(id, AttemptResult::Ok, t.replicationStatus(1, 2));
    for (const EndpointId m : {EndpointId(1), EndpointId(3)})
      t.report(m, 3000);  // lags: the report proves no usable position
  }
  EXPECT_LE(t.out.actions("probe").size(), 6u)
      << "100 proxies send one check every 40 ms: each proxy one per server in 2 to 6 s";
}

}  // namespace
}  // namespace sablespur::balancer::test
