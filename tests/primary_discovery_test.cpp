// How writes find the primary of their group after another server has taken over.
#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

enum : int { kPrimaryRole = 1, kReplicaRole = 2 };

// The soak's seed 5: eight attempts at the same server within a millisecond, and a refusal.
TEST(PrimaryDiscovery, AServerThatTurnsAWriteAwayIsNoPrimaryWhateverItTells) {
  Bench t;
  t.teachPrimary(2);
  const RequestId write = t.ask(kWrite);
  ASSERT_EQ(t.lastTo(write), 2u);
  t.end(write, AttemptResult::TooStale);
  EXPECT_EQ(t.lastTo(write), 1u);
  t.end(write, AttemptResult::TooStale);
  EXPECT_EQ(t.lastTo(write), 3u);
  EXPECT_EQ(t.sends(write).size(), 3u);
}

Settings withoutHealthChecks() {
  Settings s = settings();
  s.healthChecksAllowed = false;
  s.loadReportMode = LoadReportMode::None;
  return s;
}

// No member is the primary: each send of the write is turned away.
void turnAway(Bench& t, RequestId write, std::size_t& ended) {
  for (; ended < t.sends(write).size(); ++ended)
    t.end(write, AttemptResult::TooStale, kReplicaRole, static_cast<int>(ended));
}

// Without a health check that tells the primary, one round in vain was the last: every later write was
// refused.
TEST(PrimaryDiscovery, AWriteTriesTheServersAgainAfterARoundInVain) {
  Bench t(withoutHealthChecks());
  std::size_t ended = 0;
  const RequestId write = t.ask(kWrite);
  turnAway(t, write, ended);
  ASSERT_EQ(ended, 3u);
  t.run(400);
  ASSERT_EQ(t.sends(write).size(), 4u);
  t.end(write, AttemptResult::Ok, kPrimaryRole);
  EXPECT_EQ(t.lastTo(t.ask(kWrite)), t.lastTo(write));
}

// Many proxies meet the same takeover: each tries the servers seldom, and not all at the same instant.
TEST(PrimaryDiscovery, RoundsInVainComeSeldomAndAtDifferentTimes) {
  constexpr int kProxies = 20;
  constexpr int kWritesInTurn = 3;
  constexpr int kStepMs = 50;
  std::set<Time> secondRounds;
  for (std::uint64_t seed = 1; seed <= kProxies; ++seed) {
    Bench t(withoutHealthChecks(), 3, seed);
    const Time begin = t.now;
    std::vector<Time> rounds;
    for (int k = 0; k < kWritesInTurn; ++k) {
      const RequestId write = t.ask(kWrite);
      std::size_t ended = 0;
      while (!t.finalAnswer(write)) {
        const std::size_t before = ended;
        turnAway(t, write, ended);
        if (ended > before) rounds.push_back(t.now - begin);
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
