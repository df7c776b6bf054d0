// How long the endpoint list may be used without a confirmation, in simulated time.
#include "discovery/list_validity.hpp"

#include <gtest/gtest.h>

#include <random>

namespace sablespur {
namespace {

using namespace std::chrono_literals;
using Time = ListValidity::Time;
using StartKind = ListValidity::StartKind;

constexpr Time kGrace = 1s;
constexpr Time kUsableGrace = 700ms;

struct ListValidityTest : testing::Test {
  ListValidity validity{kGrace};
};

TEST_F(ListValidityTest, EachPathHasTheLimitOfItsSentence) {
  const auto limitAfter = [](auto act) {
    ListValidity validity(kGrace);
    act(validity);
    validity.reached(13s);
    return *validity.usableUntil() - kUsableGrace;
  };
  EXPECT_EQ(limitAfter([](ListValidity& v) { v.started(10s, StartKind::Alone); }), 16s);
  EXPECT_EQ(limitAfter([](ListValidity& v) { v.started(10s, StartKind::WithPushedLists); }), 10s);
  EXPECT_EQ(limitAfter([](ListValidity& v) { v.started(10s, StartKind::BesideAnotherProcess); }), 12s);
  const auto confirmed = [](ListValidity& v) {
    v.started(9s, StartKind::WithPushedLists);
    v.confirmed(10s);
  };
  EXPECT_EQ(limitAfter(confirmed), 16s);
  EXPECT_EQ(limitAfter([&](ListValidity& v) { confirmed(v), v.reloaded(11s); }), 15s);
  EXPECT_EQ(limitAfter([&](ListValidity& v) { confirmed(v), v.reloaded(11s), v.reloaded(12s); }), 15s);
  EXPECT_EQ(limitAfter([&](ListValidity& v) { confirmed(v), v.reloaded(12500ms); }), 16s);
}

TEST_F(ListValidityTest, NoTimeRunsWhileDiscoveryIsDown) {
  validity.started(0s, StartKind::Alone);
  validity.confirmed(1s);
  for (int second = 2; second < 60; ++second) validity.unreachable(std::chrono::seconds(second));
  EXPECT_FALSE(validity.usableUntil());
  validity.reached(60s);
  EXPECT_EQ(validity.usableUntil(), Time(59s + ListValidity::kToldAfterChange + kUsableGrace));
}

TEST_F(ListValidityTest, ALimitStaysUntilTheListIsConfirmed) {
  validity.started(0s, StartKind::Alone);
  validity.reached(1s);
  validity.unreachable(2s);
  validity.reloaded(30s);
  validity.reached(31s);
  EXPECT_EQ(validity.usableUntil(), Time(ListValidity::kToldAfterChange + kUsableGrace));
  EXPECT_EQ(validity.limit(), ListLimit::Start);
  validity.confirmed(40s);
  EXPECT_FALSE(validity.usableUntil());
}

// Any order of events: a list is never usable longer than the grace after an instant at which
// discovery could be reached and was not heard for the 6 s.
TEST_F(ListValidityTest, IsNeverUsableLongerThanTheGraceAfterAReachableSilence) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    ListValidity list(kGrace);
    Time now = 0s;
    Time confirmedAt = 0s;
    Time lastDown = 0s;
    list.started(now, StartKind::Alone);
    for (int event = 0; event < 100; ++event) {
      now += std::chrono::milliseconds(random() % 3000);
      const unsigned kind = random() % 8;
      if (kind == 0) list.confirmed(confirmedAt = now);
      if (kind == 1) list.unreachable(lastDown = now);
      if (kind == 2) list.reloaded(now);
      if (kind < 3) continue;
      list.reached(now);
      ASSERT_TRUE(list.usableUntil()) << "seed " << seed;
      ASSERT_LE(*list.usableUntil(),
                std::max(confirmedAt, lastDown) + ListValidity::kToldAfterChange + kGrace)
          << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace sablespur
