// EndpointRegistry (ids, names, gossip tags) and EndpointStartTimes.
#include "engine/endpoint_registry.hpp"

#include <gtest/gtest.h>

#include <chrono>

#include "cluster/gossip.hpp"
#include "engine/endpoint_start_times.hpp"

namespace sablespur {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow = seconds(1000);
constexpr Time kWarmUp = seconds(30);

milliseconds stampOf(Time onProcessClock) { return std::chrono::duration_cast<milliseconds>(onProcessClock); }

TEST(EndpointRegistry, AssignsNewIdToReturningEndpoint) {
  EndpointRegistry registry;
  EXPECT_FALSE(registry.everHadEndpoints());
  const auto first = registry.add("s-1");
  EXPECT_EQ(registry.add("s-1"), first);
  EXPECT_EQ(registry.name(first), "s-1");
  registry.remove(first);
  EXPECT_EQ(registry.findByName("s-1"), std::nullopt);
  EXPECT_EQ(registry.name(first), "");
  EXPECT_EQ(registry.find(first), nullptr);
  EXPECT_NE(registry.add("s-1"), first);
  EXPECT_TRUE(registry.everHadEndpoints());
}

TEST(EndpointRegistry, FindsTagUnlessTwoEndpointsShareIt) {
  EndpointRegistry registry;
  const auto one = registry.add("s-1488d");
  const std::uint64_t tag = cluster::endpointTag("s-1488d");
  EXPECT_EQ(registry.findByTag(tag), one);
  ASSERT_NE(registry.find(one), nullptr);
  EXPECT_EQ(registry.find(one)->gossipTag, tag);
  ASSERT_EQ(cluster::endpointTag("s-1488f"), tag);
  registry.add("s-1488f");
  EXPECT_EQ(registry.findByTag(tag), std::nullopt);
}

TEST(EndpointRegistry, RemembersListedNameAfterRemoval) {
  EndpointRegistry registry;
  registry.recordListed("s-1");
  registry.remove(registry.add("s-1"));
  EXPECT_TRUE(registry.wasListed("s-1"));
  EXPECT_FALSE(registry.wasListed("s-2"));
}

TEST(EndpointStartTimes, UsesTimeStampOnlyInInitialLists) {
  EndpointStartTimes starts;
  const Time longAgo = kNow - seconds(500);
  EXPECT_EQ(starts.startOf(1, stampOf(longAgo), true, kNow, Time(0)), longAgo);
  EXPECT_EQ(starts.startOf(2, stampOf(longAgo), false, kNow, Time(0)), kNow) << "first seen now";
  EXPECT_EQ(starts.startOf(2, stampOf(longAgo), false, kNow + seconds(9), Time(0)), kNow)
      << "the same time stamp";
  EXPECT_EQ(starts.startOf(3, stampOf(kNow + seconds(5)), true, kNow, Time(0)), kNow) << "not in the future";
  EXPECT_EQ(starts.startOf(3, std::nullopt, true, kNow, Time(0)), std::nullopt) << "the list gives no start";
}

TEST(EndpointStartTimes, ReassessReturnsReadyEndpointsThatAreStillWarmingUp) {
  EndpointStartTimes starts;
  const auto list = [&](std::uint64_t id, Time started, balancer::Lifecycle state) {
    balancer::ListedEndpoint listed;
    listed.id = id;
    listed.state = state;
    listed.started = starts.startOf(id, stampOf(started), true, kNow, Time(0)).value();
    starts.recordListed(listed);
  };
  list(1, kNow - seconds(20), balancer::Lifecycle::Ready);
  list(2, kNow - seconds(20), balancer::Lifecycle::Draining);
  list(3, kNow - seconds(90), balancer::Lifecycle::Ready);
  // The offset of the reference clock moves by -10 s: each start is 10 s later on this process's
  // clock.
  const auto corrected = starts.reassess(kNow, -seconds(10), kWarmUp);
  ASSERT_EQ(corrected.size(), 1u);
  EXPECT_EQ(corrected[0].id, 1u);
  EXPECT_EQ(corrected[0].started, kNow - seconds(10));
  EXPECT_TRUE(starts.reassess(kNow, -seconds(10), kWarmUp).empty()) << "already corrected";
}

}  // namespace
}  // namespace sablespur
