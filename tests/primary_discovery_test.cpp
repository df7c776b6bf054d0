// How writes find the primary of their group after another server has taken over.
#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

enum : int { kPrimaryRole = 1, kReplicaRole = 2 };

// Regression test (fault soak, seed 5): the write was sent to the same server eight times within a
// millisecond and then rejected.
TEST(PrimaryDiscovery, AServerThatRejectsAWriteIsNotThePrimary) {
  BalancerFixture t;
  t.reportAsPrimary(2);
  const RequestId write = t.request(kWrite);
  ASSERT_EQ(t.lastEndpoint(write), 2u);
  t.endAttempt(write, AttemptResult::TooStale);
  EXPECT_EQ(t.lastEndpoint(write), 1u);
  t.endAttempt(write, AttemptResult::TooStale);
  EXPECT_EQ(t.lastEndpoint(write), 3u);
  EXPECT_EQ(t.sends(write).size(), 3u);
}

// Regression test (soak of clocks, seed 2): a group restarted, and its primary told positions from
// before the restart. Its role was dated by them, before the connections that had failed, and so
// was not believed; every read and write was rejected until the position had caught up.
TEST(PrimaryDiscovery, APrimaryThatLagsIsFoundByItsReportAfterAFailedConnection) {
  BalancerFixture t;
  t.reportAsPrimary(3);
  const RequestId failed = t.request(kWrite);
  ASSERT_EQ(t.lastEndpoint(failed), 3u);
  t.endAttempt(failed, AttemptResult::ConnectFailed);
  t.endAttempt(failed, AttemptResult::TooStale);
  t.run(2000);
  t.report(3, 4000, true);
  EXPECT_EQ(t.lastEndpoint(t.request(kWrite)), 3u);
}

Settings withoutHealthChecks() {
  Settings s = settings();
  s.healthChecksAllowed = false;
  s.loadReportMode = LoadReportMode::None;
  return s;
}

// No server is the primary: ends each new attempt of the write with a rejection.
void rejectAttempts(BalancerFixture& t, RequestId write, std::size_t& ended) {
  for (; ended < t.sends(write).size(); ++ended)
    t.endAttempt(write, AttemptResult::TooStale, kReplicaRole, static_cast<int>(ended));
}

// Regression test: without health checks, no write was sent after one unsuccessful round over all
// servers; every later write was rejected.
TEST(PrimaryDiscovery, AWriteTriesTheServersAgainAfterAnUnsuccessfulRound) {
  BalancerFixture t(withoutHealthChecks());
  std::size_t ended = 0;
  const RequestId write = t.request(kWrite);
  rejectAttempts(t, write, ended);
  ASSERT_EQ(ended, 3u);
  t.run(400);
  ASSERT_EQ(t.sends(write).size(), 4u);
  t.endAttempt(write, AttemptResult::Ok, kPrimaryRole);
  EXPECT_EQ(t.lastEndpoint(t.request(kWrite)), t.lastEndpoint(write));
}

// Many proxies see the same takeover: each limits its rate of rounds, and jitter spreads the rounds
// of different proxies.
TEST(PrimaryDiscovery, UnsuccessfulRoundsAreRateLimitedAndJittered) {
  constexpr int kProxies = 20;
  constexpr int kWritesInTurn = 3;
  constexpr int kStepMs = 50;
  std::set<Time> secondRounds;
  for (std::uint64_t seed = 1; seed <= kProxies; ++seed) {
    BalancerFixture t(withoutHealthChecks(), 3, seed);
    const Time start = t.now;
    std::vector<Time> rounds;
    for (int k = 0; k < kWritesInTurn; ++k) {
      const RequestId write = t.request(kWrite);
      std::size_t ended = 0;
      while (!t.rejectedOrFailed(write)) {
        const std::size_t before = ended;
        rejectAttempts(t, write, ended);
        if (ended > before) rounds.push_back(t.now - start);
        t.run(kStepMs);
      }
    }
    EXPECT_GE(rounds.size(), 3u);
    for (std::size_t k = 1; k < rounds.size(); ++k)
      EXPECT_GE(rounds[k] - rounds[k - 1], milliseconds(125)) << "half of the shortest pause";
    if (rounds.size() > 1) secondRounds.insert(rounds[1]);
  }
  EXPECT_GE(secondRounds.size(), 4u);
}

}  // namespace
}  // namespace sablespur::balancer::test
