// Tests how many connections are opened ahead of need, and how long after an endpoint is listed.
#include "backend/postgres/dial_schedule.hpp"

#include <gtest/gtest.h>

#include <set>

namespace sablespur {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr int kSmallFleet = 16;
constexpr int kLargeFleet = 300;

struct DialScheduleTest : testing::Test {
  static Config configOf(int proxies) {
    Config config;
    config.settings.proxyCount = proxies;
    config.seed = 7;
    return config;
  }
};

TEST_F(DialScheduleTest, SmallFleetKeepsTwoConnectionsAndDialsImmediately) {
  const Config config = configOf(kSmallFleet);
  const DialSchedule schedule(config);
  EXPECT_EQ(schedule.delay(1), Time(0));
  EXPECT_EQ(schedule.warmConnections(Time(1s), Time(2s)), 2u);
}

TEST_F(DialScheduleTest, LargeFleetKeepsOneConnectionAndNoneDuringSlowStart) {
  const Config config = configOf(kLargeFleet);
  const DialSchedule schedule(config);
  EXPECT_EQ(schedule.warmConnections(Time(1s), Time(2s)), 0u);
  EXPECT_EQ(schedule.warmConnections(Time(2s), Time(2s)), 1u);
}

TEST_F(DialScheduleTest, LargeFleetDelaysAreSpreadInProportionToItsSize) {
  const Config config = configOf(kLargeFleet);
  const DialSchedule schedule(config);
  const Time span = kLargeFleet * Time(20ms);
  std::set<Time> delays;
  for (EndpointId id = 1; id <= 100; ++id) {
    const Time delay = schedule.delay(id);
    EXPECT_GE(delay, Time(0));
    EXPECT_LT(delay, span);
    delays.insert(delay);
  }
  EXPECT_GT(delays.size(), 80u);
  EXPECT_LT(*delays.begin(), span / 10);
  EXPECT_GT(*delays.rbegin(), span - span / 10);
}

TEST_F(DialScheduleTest, CustomDelayReplacesTheBuiltInDelay) {
  const Config config = configOf(kLargeFleet);
  DialSchedule schedule(config);
  schedule.setDelay([](EndpointId id) { return Time(id * 1ms); });
  EXPECT_EQ(schedule.delay(5), Time(5ms));
  EXPECT_EQ(schedule.warmConnections(Time(1s), Time(2s)), 1u);
}

}  // namespace
}  // namespace sablespur
