// Tests of EndpointTable: immediate withdrawals, start times of returning endpoints, flap damping,
// one server per address, and the generations of registry lists.
#include "discovery/endpoint_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <pcg_random.hpp>

namespace sablespur {
namespace {

using balancer::Lifecycle;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = EndpointTable::Time;

DiscoveredEndpoint endpointAt(const std::string& name, int port, std::int64_t startedMs = 0) {
  DiscoveredEndpoint i;
  i.name = name;
  i.address = *Address::parse("127.0.0.1:" + std::to_string(port));
  i.group = 3;
  i.startedMs = startedMs;
  return i;
}

// Returns the endpoints of all updates that are due, as "s-1 s-2! s-3~"; ! has left, ~ is draining.
std::string publishedChanges(EndpointTable& table, Time now) {
  std::string all;
  while (const auto list = table.nextUpdate(now))
    for (const DiscoveredEndpoint& i : list->instances)
      all += (all.empty() ? "" : " ") + i.name +
             (i.state == Lifecycle::Gone       ? "!"
              : i.state == Lifecycle::Draining ? "~"
                                               : "");
  return all;
}

const Time kStart = seconds(1000000);

TEST(EndpointTable, PublishesAWholeListThenChanges) {
  EndpointTable table;
  table.applySnapshot(kStart, {endpointAt("s-1", 1), endpointAt("s-2", 2)});
  const auto whole = table.nextUpdate(kStart);
  ASSERT_TRUE(whole);
  EXPECT_TRUE(whole->reset);
  EXPECT_EQ(whole->instances.size(), 2u);
  EXPECT_EQ(whole->instances[0].startedMs, 0);  // the endpoints of the first list may all be warm
  EXPECT_FALSE(table.nextUpdate(kStart));
  table.applySnapshot(kStart + seconds(1), {endpointAt("s-1", 1), endpointAt("s-2", 2)});
  EXPECT_FALSE(table.nextUpdate(kStart + seconds(1)));  // nothing has changed
  DiscoveredEndpoint leaving = endpointAt("s-2", 2);
  leaving.state = Lifecycle::Draining;
  table.applySnapshot(kStart + seconds(2), {leaving, endpointAt("s-3", 3)});
  const auto change = table.nextUpdate(kStart + seconds(2));
  ASSERT_TRUE(change);
  EXPECT_FALSE(change->reset);
  EXPECT_GT(change->generation, whole->generation);
  EXPECT_EQ(change->instances.size(), 3u);
}
TEST(EndpointTable, RepublishesAllEndpointsAfterTheZoneWasEmpty) {
  EndpointTable table;
  table.applySnapshot(kStart, {endpointAt("s-1", 1), endpointAt("s-2", 2)});
  publishedChanges(table, kStart);
  table.applySnapshot(kStart + seconds(1), {});
  EXPECT_EQ(publishedChanges(table, kStart + seconds(1)), "s-1! s-2!");
  table.applySnapshot(kStart + seconds(9), {endpointAt("s-1", 1), endpointAt("s-2", 2)});
  EXPECT_EQ(publishedChanges(table, kStart + seconds(9)), "s-1 s-2");
}
// A server that returns or appears has cold caches: it counts as started at that moment, unless its
// record gives a start time. Otherwise it would get full load while cold.
TEST(EndpointTable, ReturningEndpointCountsAsJustStarted) {
  EndpointTable table;
  table.applySnapshot(kStart, {endpointAt("s-1", 1), endpointAt("s-2", 2, 77)});
  publishedChanges(table, kStart);
  table.applySnapshot(kStart + seconds(1), {});
  publishedChanges(table, kStart + seconds(1));
  const Time back = kStart + seconds(5);
  table.applySnapshot(back, {endpointAt("s-1", 1), endpointAt("s-2", 2, 77), endpointAt("s-3", 3)});
  const auto list = table.nextUpdate(back);
  ASSERT_TRUE(list);
  for (const DiscoveredEndpoint& i : list->instances)
    EXPECT_EQ(i.startedMs, i.name == "s-2" ? 77 : back.count() / 1000) << i.name;
  // A start time in the future is clamped to the present.
  table.applySnapshot(back + seconds(1), {endpointAt("s-1", 1, (back + seconds(900)).count() / 1000)});
  const auto ahead = table.nextUpdate(back + seconds(1));
  ASSERT_TRUE(ahead);
  for (const DiscoveredEndpoint& i : ahead->instances)
    if (i.name == "s-1") {
      EXPECT_EQ(i.startedMs, (back + seconds(1)).count() / 1000);
    }
}
// If the local clock is behind, clamping a future start time to the present for each list published
// it as a new start each time.
TEST(EndpointTable, FutureStartIsClampedOnlyOnce) {
  EndpointTable table;
  const std::int64_t ahead = (kStart + seconds(3600)).count() / 1000;
  table.applySnapshot(kStart, {endpointAt("s-1", 1, ahead)});
  const auto first = table.nextUpdate(kStart);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->instances[0].startedMs, kStart.count() / 1000);
  for (const Time later : {seconds(1), seconds(60), seconds(3500), seconds(3700)}) {
    table.applySnapshot(kStart + later, {endpointAt("s-1", 1, ahead)});
    EXPECT_FALSE(table.nextUpdate(kStart + later)) << later.count();
  }
  table.applySnapshot(kStart + seconds(3800), {endpointAt("s-1", 1, ahead + 150000)});
  const auto anew = table.nextUpdate(kStart + seconds(3800));
  ASSERT_TRUE(anew);
  EXPECT_EQ(anew->instances[0].startedMs, ahead + 150000);
}
TEST(EndpointTable, FlappingNameIsSuppressedButItsWithdrawalsAreNot) {
  EndpointTable table;
  table.applySnapshot(kStart, {endpointAt("s-1", 1), endpointAt("s-2", 2)});
  publishedChanges(table, kStart);
  Time now = kStart;
  int publications = 0, withdrawals = 0;
  for (int k = 0; k < 100; ++k) {
    now += milliseconds(200);
    table.applySnapshot(now, {endpointAt("s-2", 2)});
    withdrawals += publishedChanges(table, now) == "s-1!";
    now += milliseconds(200);
    table.applySnapshot(now, {endpointAt("s-1", 1), endpointAt("s-2", 2)});
    publications += publishedChanges(table, now) == "s-1";
  }
  EXPECT_EQ(publications, 1);  // a single return is not suppressed
  EXPECT_EQ(withdrawals, 2);   // once for each time that it was published
  // Once the name stays present, it is published within maxSuppression by the deadline alone.
  ASSERT_TRUE(table.nextDeadline());
  EXPECT_LE(*table.nextDeadline(), now + seconds(60));
  EXPECT_GT(*table.nextDeadline(), now + seconds(10));
  EXPECT_EQ(publishedChanges(table, *table.nextDeadline() - milliseconds(1)), "");
  EXPECT_EQ(publishedChanges(table, *table.nextDeadline()), "s-1");
}
TEST(EndpointTable, RenamedServerRetainsItsStart) {
  EndpointTable table;
  table.applySnapshot(kStart, {endpointAt("s-1", 1), endpointAt("s-2", 2)});
  publishedChanges(table, kStart);
  table.applySnapshot(kStart + seconds(1), {endpointAt("new-1", 1), endpointAt("s-2", 2)});
  const auto list = table.nextUpdate(kStart + seconds(1));
  ASSERT_TRUE(list);
  ASSERT_EQ(list->instances.size(), 2u);
  for (const DiscoveredEndpoint& i : list->instances)
    EXPECT_TRUE(i.name == "new-1" ? i.startedMs == 0 : i.name == "s-1" && i.state == Lifecycle::Gone)
        << i.name;
}
TEST(EndpointTable, FirstOfTwoNamesAtOneAddressIsPublished) {
  EndpointTable table;
  table.applySnapshot(kStart, {endpointAt("s-5", 1)});
  publishedChanges(table, kStart);
  table.applySnapshot(kStart + seconds(1), {endpointAt("s-1", 1), endpointAt("s-5", 1)});
  EXPECT_EQ(publishedChanges(table, kStart + seconds(1)), "");
  EXPECT_EQ(table.view(kStart + seconds(1)).rows[0].exclusionReason, "another has its address");
  table.applySnapshot(kStart + seconds(2), {endpointAt("s-1", 1)});
  EXPECT_EQ(publishedChanges(table, kStart + seconds(2)), "s-5! s-1");
}
// A published name identifies one server: requests outstanding at the old address must not be
// attributed to the new server.
TEST(EndpointTable, NameWithANewAddressIsADifferentServer) {
  EndpointTable table;
  table.applySnapshot(kStart, {endpointAt("s-1", 1)});
  publishedChanges(table, kStart);
  table.applySnapshot(kStart + seconds(1), {endpointAt("s-1", 2)});
  const auto list = table.nextUpdate(kStart + seconds(1));
  ASSERT_TRUE(list);
  ASSERT_EQ(list->instances.size(), 2u);
  EXPECT_EQ(list->instances[0].state, Lifecycle::Gone);
  EXPECT_EQ(list->instances[0].name, "s-1");
  EXPECT_EQ(list->instances[1].name, "s-1#2");
  EXPECT_EQ(list->instances[1].startedMs, (kStart + seconds(1)).count() / 1000);
  table.applySnapshot(kStart + seconds(2), {});
  EXPECT_EQ(publishedChanges(table, kStart + seconds(2)), "s-1#2!");
}
TEST(EndpointTable, FailuresWithdrawNothingUntilTheListExpires) {
  EndpointTablePolicy policy;
  policy.maxListAge = seconds(30);
  EndpointTable table(policy);
  table.applySnapshot(kStart, {endpointAt("s-1", 1)});
  publishedChanges(table, kStart);
  table.recordFailure(kStart + seconds(1), "silence");
  table.recordFailure(kStart + seconds(20), "SERVFAIL");
  EXPECT_EQ(publishedChanges(table, kStart + seconds(29)), "");
  const auto view = table.view(kStart + seconds(29));
  EXPECT_EQ(view.lastError, "SERVFAIL");
  EXPECT_EQ(view.failingSince, kStart + seconds(1));
  EXPECT_EQ(view.lastUpdate, kStart);
  EXPECT_EQ(table.nextDeadline(), kStart + seconds(30));
  EXPECT_EQ(publishedChanges(table, kStart + seconds(30)), "s-1!");
  EXPECT_EQ(table.nextDeadline(), std::nullopt);  // expires only once
  table.applySnapshot(kStart + seconds(90), {endpointAt("s-1", 1)});
  EXPECT_EQ(publishedChanges(table, kStart + seconds(90)), "s-1");
}
TEST(EndpointTable, StaysBoundedWhenNamesKeepChanging) {
  EndpointTable table;
  Time now = kStart;
  for (int k = 0; k < 5000; ++k) {
    now += seconds(1);
    table.applySnapshot(now, {endpointAt("s-" + std::to_string(k), 1 + k % 60000)});
    publishedChanges(table, now);
  }
  EXPECT_LT(table.view(now).rows.size(), 200u);
}
TEST(EndpointTable, RegistryListsArePassedOnUnchanged) {
  EndpointTable table;
  EndpointList whole{41, true, {endpointAt("s-1", 1), endpointAt("s-2", 2)}};
  table.applyUpdate(kStart, whole);
  EndpointList change{42, false, {endpointAt("s-3", 3)}};
  change.instances.push_back(endpointAt("s-1", 1));
  change.instances.back().state = Lifecycle::Gone;
  table.applyUpdate(kStart, change);
  table.applyUpdate(kStart, {43, false, {}});  // an empty change is passed on as well
  EXPECT_EQ(table.generation(), 43u);
  EXPECT_EQ(table.nextUpdate(kStart)->generation, 41u);
  EXPECT_EQ(table.nextUpdate(kStart)->instances.size(), 2u);
  EXPECT_EQ(table.nextUpdate(kStart)->generation, 43u);
  EXPECT_FALSE(table.nextUpdate(kStart));
  EXPECT_EQ(table.view(kStart).rows.size(), 2u);
}

// Discovery recovers, or its address changes, and delivers a list from before a server began to
// drain.
TEST(EndpointTable, OlderListDoesNotMakeADrainingEndpointReady) {
  EndpointTable table;
  DiscoveredEndpoint one = endpointAt("s-1", 1), two = endpointAt("s-2", 2);
  table.applyUpdate(kStart, {41, true, {one, two}});
  one.state = Lifecycle::Draining;
  table.applyUpdate(kStart, {43, false, {one}});
  table.applyUpdate(kStart, {42, true, {endpointAt("s-1", 1), two}});
  table.nextUpdate(kStart);
  table.nextUpdate(kStart);
  const auto older = table.nextUpdate(kStart);
  ASSERT_TRUE(older);
  EXPECT_EQ(older->instances[0].state, Lifecycle::Draining);
  EXPECT_EQ(older->instances[1].state, Lifecycle::Ready);
  // A new process of that name is not draining, and a newer list is applied as it is.
  DiscoveredEndpoint anew = endpointAt("s-1", 1);
  anew.startedMs = 5;
  table.applyUpdate(kStart, {41, true, {anew, two}});
  EXPECT_EQ(table.nextUpdate(kStart)->instances[0].state, Lifecycle::Ready);
  table.applyUpdate(kStart, {44, false, {one}});
  table.applyUpdate(kStart, {45, false, {endpointAt("s-1", 1)}});
  table.nextUpdate(kStart);
  EXPECT_EQ(table.nextUpdate(kStart)->instances[0].state, Lifecycle::Ready);
}

// ---- generations of a registry ----
EndpointList listOf(std::uint64_t generation, bool reset, std::vector<DiscoveredEndpoint> instances) {
  EndpointList list;
  list.generation = generation;
  list.reset = reset;
  list.instances = std::move(instances);
  return list;
}

DiscoveredEndpoint withState(Lifecycle state, DiscoveredEndpoint endpoint) {
  endpoint.state = state;
  return endpoint;
}

TEST(ListGenerations, DepartedEndpointReturnsOnlyByANewerListOrALaterStart) {
  for (const bool reset : {false, true}) {
    EndpointTable table;
    table.applyUpdate(kStart, listOf(40, true, {endpointAt("s-1", 1), endpointAt("s-2", 2, 500)}));
    table.applyUpdate(kStart, listOf(41, false, {withState(Lifecycle::Gone, endpointAt("s-2", 2))}));
    EXPECT_EQ(publishedChanges(table, kStart), "s-1 s-2 s-2!");
    table.applyUpdate(kStart, listOf(39, reset, {endpointAt("s-1", 1), endpointAt("s-2", 2, 500)}));
    EXPECT_EQ(publishedChanges(table, kStart), "s-1") << "older list, same start time";
    table.applyUpdate(kStart, listOf(39, reset, {endpointAt("s-1", 1), endpointAt("s-2", 2, 501)}));
    EXPECT_EQ(publishedChanges(table, kStart), "s-1 s-2") << "older list, later start time";
    table.applyUpdate(kStart, listOf(42, false, {withState(Lifecycle::Gone, endpointAt("s-2", 2))}));
    table.applyUpdate(kStart, listOf(43, reset, {endpointAt("s-1", 1), endpointAt("s-2", 2, 501)}));
    EXPECT_EQ(publishedChanges(table, kStart), "s-2! s-1 s-2") << "newer list: brought back";
  }
}

// Guards against draining a restarted server by a registry that is still catching up and sends
// changes older than the known list.
TEST(ListGenerations, OlderListDoesNotDrainARestartedEndpoint) {
  EndpointTable table;
  table.applyUpdate(kStart, listOf(40, true, {endpointAt("s-1", 1, 100), endpointAt("s-2", 2, 900)}));
  publishedChanges(table, kStart);
  table.applyUpdate(kStart, listOf(30, true,
                                   {withState(Lifecycle::Draining, endpointAt("s-1", 1, 100)),
                                    withState(Lifecycle::Draining, endpointAt("s-2", 2, 800))}));
  EXPECT_EQ(publishedChanges(table, kStart), "s-1~ s-2");
  table.applyUpdate(kStart, listOf(31, false, {endpointAt("s-1", 1, 100)}));
  EXPECT_EQ(publishedChanges(table, kStart), "s-1") << "an older list may revert what an older list reported";
}

TEST(ListGenerations, DrainingEndpointStaysDrainingThroughOlderLists) {
  EndpointTable table;
  table.applyUpdate(kStart, listOf(40, true, {endpointAt("s-1", 1, 100)}));
  table.applyUpdate(kStart, listOf(41, false, {withState(Lifecycle::Draining, endpointAt("s-1", 1, 100))}));
  publishedChanges(table, kStart);
  for (std::uint64_t generation = 35; generation < 41; ++generation) {
    table.applyUpdate(kStart, listOf(generation, generation % 2 > 0, {endpointAt("s-1", 1, 100)}));
    EXPECT_EQ(publishedChanges(table, kStart), "s-1~") << generation;
  }
  table.applyUpdate(kStart, listOf(42, false, {endpointAt("s-1", 1, 100)}));
  EXPECT_EQ(publishedChanges(table, kStart), "s-1");
}

// An endpoint that started long ago would have been in the older list. Any other may have started
// after that list was made, so only a second whole list without it removes it.
TEST(ListGenerations, EndpointAbsentFromAnOlderWholeListIsRemovedUnlessItMayBeNewer) {
  EndpointTable table;
  table.applyUpdate(
      kStart, listOf(40, true, {endpointAt("s-1", 1), endpointAt("s-2", 2), endpointAt("s-3", 3, 900)}));
  publishedChanges(table, kStart);
  table.applyUpdate(kStart, listOf(30, true, {endpointAt("s-1", 1)}));
  EXPECT_EQ(publishedChanges(table, kStart), "s-1 s-3");
  EXPECT_EQ(table.generation(), 0u) << "a whole list is requested";
  table.applyUpdate(kStart, listOf(31, true, {endpointAt("s-1", 1)}));
  EXPECT_EQ(publishedChanges(table, kStart), "s-1");
  EXPECT_EQ(table.generation(), 31u);
  EXPECT_EQ(table.view(kStart).rows.size(), 1u);
}

// The endpoint started and left between two lists, so no list ever reported its withdrawal.
TEST(ListGenerations, EndpointAbsentFromTheNewestListIsIgnoredInAnOlderOne) {
  EndpointTable table;
  table.applyUpdate(kStart, listOf(40, true, {endpointAt("s-1", 1, 900)}));
  publishedChanges(table, kStart);
  table.applyUpdate(kStart, listOf(38, true, {endpointAt("s-1", 1, 900), endpointAt("s-2", 2, 950)}));
  EXPECT_EQ(publishedChanges(table, kStart), "s-1");
  const std::int64_t later = kStart.count() / 1000 + 1;  // after the newest list was received
  table.applyUpdate(kStart, listOf(39, false, {endpointAt("s-2", 2, later)}));
  EXPECT_EQ(publishedChanges(table, kStart), "s-2");
}

TEST(ListGenerations, KnownListCountsAsTheFirstList) {
  EndpointTable table;
  table.adoptKnown(
      kStart, listOf(40, true, {withState(Lifecycle::Draining, endpointAt("s-1", 1)), endpointAt("s-2", 2)}));
  EXPECT_EQ(table.generation(), 40u);
  EXPECT_EQ(publishedChanges(table, kStart), "") << "the engine already has the list";
  table.applyUpdate(kStart, listOf(38, true, {endpointAt("s-1", 1), endpointAt("s-2", 2)}));
  EXPECT_EQ(publishedChanges(table, kStart), "s-1~ s-2");
}

// Random histories of servers that start, drain, leave and restart, reported by a registry of which
// some answers are old, but never two in a row: an endpoint that has left or is draining by the
// newest list received must never be ready. (Two old lists in a row would count as a generation
// restart if no endpoint were left ready otherwise.)
TEST(ListGenerations, OlderListsNeverMakeADepartedOrDrainingEndpointReady) {
  const char* const given = std::getenv("GENERATION_SEEDS");
  const std::uint64_t seeds = given ? std::strtoull(given, nullptr, 10) : 200;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    pcg64 random(seed);
    constexpr int kServers = 5;
    constexpr std::uint64_t kVersions = 60;
    std::vector<std::vector<DiscoveredEndpoint>> history{{}};  // whole lists by generation
    for (std::uint64_t generation = 1; generation <= kVersions; ++generation) {
      std::vector<DiscoveredEndpoint> next = history.back();
      const int server = static_cast<int>(random() % kServers);
      const std::string name = "s-" + std::to_string(server);
      const auto found =
          std::find_if(next.begin(), next.end(), [&](const auto& e) { return e.name == name; });
      if (found == next.end())
        next.push_back(endpointAt(name, server + 1, static_cast<std::int64_t>(generation)));
      else if (found->state == Lifecycle::Ready)
        found->state = Lifecycle::Draining;
      else
        next.erase(found);
      history.push_back(next);
    }
    EndpointTable table;
    std::map<std::string, Lifecycle> engine;
    std::uint64_t newest = 0;
    bool wasOld = false;
    for (std::uint64_t step = 0; step < kVersions; ++step) {
      const bool isOld = !wasOld && newest > 3 && random() % 3 == 0;
      wasOld = isOld;
      const std::uint64_t generation =
          isOld ? newest - random() % 3 : std::min(newest + random() % 3, kVersions);
      newest = std::max(newest, generation);
      table.applyUpdate(kStart, listOf(generation, true, history[generation]));
      while (const auto list = table.nextUpdate(kStart)) {
        if (list->reset) engine.clear();
        for (const auto& endpoint : list->instances) engine[endpoint.name] = endpoint.state;
      }
      for (const auto& [name, state] : engine) {
        if (state != Lifecycle::Ready) continue;
        const auto& truth = history[newest];
        const auto now =
            std::find_if(truth.begin(), truth.end(), [&](const auto& e) { return e.name == name; });
        ASSERT_TRUE(now != truth.end() && now->state == Lifecycle::Ready)
            << "seed " << seed << " step " << step << ": " << name << " at generation " << newest;
      }
    }
  }
}

// Applies random snapshots and failures. The published updates must add up to a list in which every
// endpoint is in the last snapshot and every address is unique.
TEST(EndpointTable, PublishedUpdatesAddUpOnRandomHistories) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    pcg32 random(seed);
    EndpointTable table;
    std::map<std::string, DiscoveredEndpoint> engine;
    Time now = kStart;
    for (int step = 0; step < 120; ++step) {
      now += milliseconds(random(5000));
      std::vector<DiscoveredEndpoint> found;
      for (int k = 0; k < 8; ++k)
        if (random(3) > 0)
          found.push_back(endpointAt("s-" + std::to_string(k), 1 + static_cast<int>(random(10))));
      const bool fails = random(10) == 0;
      if (fails)
        table.recordFailure(now, "x");
      else
        table.applySnapshot(now, found, random(20) == 0);
      while (const auto list = table.nextUpdate(now)) {
        if (list->reset) engine.clear();
        for (const DiscoveredEndpoint& i : list->instances) {
          if (i.state == Lifecycle::Gone)
            ASSERT_EQ(engine.erase(i.name), 1u) << "seed " << seed;
          else
            engine[i.name] = i;
        }
      }
      if (fails) continue;
      for (const auto& [name, i] : engine) {
        const std::string plain = name.substr(0, name.find('#'));
        const bool there =
            std::any_of(found.begin(), found.end(), [&, &publishedEndpoint = i](const DiscoveredEndpoint& f) {
              return f.name == plain && f.address == publishedEndpoint.address;
            });
        ASSERT_TRUE(there) << "seed " << seed << " step " << step << ": " << name;
        for (const auto& [other, o] : engine)
          ASSERT_TRUE(name == other || i.address != o.address)
              << "seed " << seed << ": " << name << ", " << other;
      }
    }
  }
}

}  // namespace
}  // namespace sablespur
