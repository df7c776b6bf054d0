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

}  // namespace
}  // namespace sablespur::balancer::test
