// The door and the requests behind it: decisions alone, on a clock of the test's own.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>

#include <map>
#include <pcg_random.hpp>
#include <set>

#include "admission/concurrency_limit.hpp"
#include "admission/connection_admission.hpp"
#include "admission/connection_limit.hpp"
#include "admission/recent_clients.hpp"
#include "admission/rejection_period.hpp"
#include "admission/request_limiter.hpp"
#include "admission/request_queues.hpp"

namespace sablespur::admission {
namespace {

using namespace std::chrono_literals;

IpAddress ip(const std::string& text) { return asio::ip::make_address(text); }
std::shared_ptr<const Networks> networks(const std::vector<std::pair<std::string, std::size_t>>& all) {
  auto n = std::make_shared<Networks>();
  std::string why;
  for (const auto& [text, group] : all) EXPECT_TRUE(n->add(text, group, why)) << why;
  return n;
}

// ---- networks
// ----------------------------------------------------------------------------------------------------
TEST(Networks, TheLongestThatHoldsAnAddressCounts) {
  const auto n = networks({{"10.0.0.0/8", 1},
                           {"10.1.0.0/16", 2},
                           {"10.1.2.3", 3},
                           {"fd00::/8", 4},
                           {"fd00:1::/32", 5},
                           {"0.0.0.0/0", 6}});
  EXPECT_EQ(n->find(ip("10.2.0.1"), 9), 1u);
  EXPECT_EQ(n->find(ip("10.1.9.9"), 9), 2u);
  EXPECT_EQ(n->find(ip("10.1.2.3"), 9), 3u);
  EXPECT_EQ(n->find(ip("192.168.0.1"), 9), 6u);
  EXPECT_EQ(n->find(ip("fd00:1::7"), 9), 5u);
  EXPECT_EQ(n->find(ip("fd07::7"), 9), 4u);
  EXPECT_EQ(n->find(ip("2001:db8::1"), 9), 9u);
  EXPECT_EQ(n->size(), 6u);
}
TEST(Networks, WhatIsNoneIsNamed) {
  Networks n;
  std::string why;
  EXPECT_TRUE(n.add("10.1.0.0/16", 1, why));
  EXPECT_TRUE(n.add("10.1.0.0/16", 1, why));  // twice is once
  EXPECT_EQ(n.size(), 1u);
  EXPECT_FALSE(n.add("10.1.0.0/16", 2, why));
  EXPECT_EQ(why, "'10.1.0.0/16' belongs to another group already");
  EXPECT_FALSE(n.add("10.1.0.7/16", 1, why));
  EXPECT_EQ(why, "'10.1.0.7/16' has bits beyond its prefix");
  for (const char* bad : {"", "10.1/16", "10.1.0.0/33", "fd00::/129", "desk", "10.1.0.0/", "fd00::1::2"}) {
    EXPECT_FALSE(n.add(bad, 1, why)) << bad;
    EXPECT_EQ(why, "'" + std::string(bad) + "' is no network");
  }
}
TEST(Networks, MappedAddressesAreThoseOfIpv4) {
  sockaddr_in6 a{};
  a.sin6_family = AF_INET6;
  inet_pton(AF_INET6, "::ffff:10.1.0.7", &a.sin6_addr);
  EXPECT_EQ(addressOf(reinterpret_cast<sockaddr*>(&a)), ip("10.1.0.7"));
  sockaddr_in b{};
  b.sin_family = AF_INET;
  inet_pton(AF_INET, "127.3.2.1", &b.sin_addr);
  EXPECT_EQ(prefixOf(addressOf(reinterpret_cast<sockaddr*>(&b)), 24, 64), ip("127.3.2.0"));
  EXPECT_EQ(prefixOf(ip("2001:db8:1:2:3::4"), 24, 60), ip("2001:db8:1::"));
}
// Thousands of nested networks, against a search through all of them.
TEST(Networks, FindWhatASearchFinds) {
  pcg32 random(11);
  Networks n;
  std::vector<std::pair<IpAddress, int>> all;
  std::map<std::string, std::size_t> groups;
  for (int k = 0; k < 3000; ++k) {
    const int bits = 4 + static_cast<int>(random(29));
    const IpAddress first = prefixOf(asio::ip::address_v4(random() & 0x0fffffff), bits, 64);
    const std::string text = first.to_string() + "/" + std::to_string(bits);
    std::string why;
    const std::size_t group = k % 7;
    if (!groups.emplace(text, group).second) continue;
    ASSERT_TRUE(n.add(text, group, why)) << why;
    all.emplace_back(first, bits);
  }
  for (int k = 0; k < 2000; ++k) {
    const IpAddress a = asio::ip::address_v4(random() & 0x0fffffff);
    std::size_t expected = 99;
    int longest = -1;
    for (const auto& [first, bits] : all)
      if (bits > longest && prefixOf(a, bits, 64) == first) {
        longest = bits;
        expected = groups.at(first.to_string() + "/" + std::to_string(bits));
      }
    ASSERT_EQ(n.find(a, 99), expected) << a.to_string();
  }
}

// ---- the door
// ----------------------------------------------------------------------------------------------------
constexpr std::size_t kDesks = 0, kApps = 1, kElse = 2;
ConnectionAdmissionSettings settings(std::size_t most) {
  ConnectionAdmissionSettings s;
  s.maxConnections = most;
  s.groups.resize(3);
  s.groups[kDesks].name = "desks";
  s.groups[kDesks].weight = 4;
  s.groups[kApps].name = "apps";
  s.groups[kElse].name = "else";
  return s;
}
std::shared_ptr<const Networks> museum() {
  return networks({{"10.1.0.0/16", kDesks}, {"10.2.0.0/16", kApps}});
}
std::string host(const std::string& net, std::size_t k) {
  return net + "." + std::to_string(k / 250) + "." + std::to_string(k % 250 + 1);
}

TEST(Door, AnAddressThatConnectsInALoopTakesItsOwnShare) {
  ConnectionAdmissionSettings s = settings(100);
  s.groups[kApps].maxPerAddress = 5;
  ConnectionAdmission door(s, museum());
  ConnectionId id = 0;
  int let = 0;
  for (int k = 0; k < 1000; ++k) {
    const ConnectionDecision w = door.admit(Time(k), ++id, ip("10.2.0.7"));
    let += w.admitted;
    if (!w.admitted) {
      EXPECT_EQ(w.rejection, RejectionReason::AddressFull);
    }
  }
  EXPECT_EQ(let, 5);
  EXPECT_TRUE(door.admit(Time(1000), ++id, ip("10.2.0.8")).admitted);
  EXPECT_TRUE(door.admit(Time(1000), ++id, ip("10.1.0.8")).admitted);
}
TEST(Door, TheSameFromFiveHundredAddressesOfOneNetwork) {
  ConnectionAdmissionSettings s = settings(400);
  s.groups[kElse].maxPerAddress = 2;
  s.groups[kElse].maxPerPrefix = 50;
  s.prefix4 = 8;
  s.groups[kDesks].reserve = 20;
  ConnectionAdmission door(s, museum());
  ConnectionId id = 0;
  std::size_t let = 0;
  for (std::size_t k = 0; k < 500; ++k)
    for (int j = 0; j < 4; ++j) let += door.admit(Time(k), ++id, ip(host("127.0", k))).admitted;
  EXPECT_EQ(let, 50u);
  for (std::size_t k = 0; k < 20; ++k) EXPECT_TRUE(door.admit(1s, ++id, ip(host("10.1", k))).admitted);
}
TEST(Door, AReserveIsTakenByNobodyElse) {
  ConnectionAdmissionSettings s = settings(100);
  s.groups[kDesks].reserve = 30;
  ConnectionAdmission door(s, museum());
  ConnectionId id = 0;
  std::size_t let = 0;
  for (std::size_t k = 0; k < 200; ++k) {
    const ConnectionDecision w = door.admit(Time(k), ++id, ip(host("10.2", k)));
    let += w.admitted;
    if (!w.admitted) {
      EXPECT_EQ(w.rejection, RejectionReason::Full);
    }
  }
  EXPECT_EQ(let, 70u);
  for (std::size_t k = 0; k < 30; ++k) EXPECT_TRUE(door.admit(1s, ++id, ip(host("10.1", k))).admitted);
  EXPECT_EQ(door.counters(kDesks).reserveRemaining, 0u);
  // All is taken now, and nobody is idle: the next desk waits like anyone.
  EXPECT_EQ(door.admit(1s, ++id, ip("10.1.9.9")).rejection, RejectionReason::Full);
}
// Beyond its reserve a desk gets the place of an app that has been idle, since apps hold more by weight; an
// app that is at work keeps its place, and so does one that has just been answered.
TEST(Door, AnIdleOneOfWhoHoldsMostMakesWay) {
  ConnectionAdmission door(settings(10), museum());
  for (ConnectionId id = 1; id <= 10; ++id)
    ASSERT_TRUE(door.admit(Time(id), id, ip(host("10.2", id))).admitted);
  EXPECT_EQ(door.admit(1s, 11, ip("10.1.0.1")).rejection, RejectionReason::Full);
  door.markIdle(1s, 4);
  door.markIdle(1200ms, 3);
  EXPECT_EQ(door.admit(1400ms, 11, ip("10.1.0.1")).rejection,
            RejectionReason::Full);  // not yet idle for half a second
  const ConnectionDecision w = door.admit(2s, 11, ip("10.1.0.1"));
  EXPECT_TRUE(w.admitted);
  EXPECT_EQ(w.evict, 4u);
  door.markBusy(3);
  EXPECT_EQ(door.admit(3s, 12, ip("10.1.0.2")).rejection, RejectionReason::Full);
  EXPECT_EQ(door.connectionCount(), 10u);
  EXPECT_EQ(door.counters(kApps).evicted, 1u);
}
TEST(Door, AnAppTakesNoDesksPlace) {
  ConnectionAdmission door(settings(4), museum());
  for (ConnectionId id = 1; id <= 4; ++id) {
    ASSERT_TRUE(door.admit(Time(id), id, ip(host("10.1", id))).admitted);
    door.markIdle(Time(id), id);
  }
  // Four desks weigh one, an app would weigh one as well: it has to wait.
  EXPECT_EQ(door.admit(10s, 5, ip("10.2.0.1")).rejection, RejectionReason::Full);
  const ConnectionDecision own =
      door.admit(10s, 6, ip("10.1.0.9"));  // among themselves the longest idle one goes
  EXPECT_TRUE(own.admitted);
  EXPECT_EQ(own.evict, 1u);
}
// After a restart all come at once: as many as the burst, the others one by one, each at a time of its own.
TEST(Door, ThoseRefusedForTheRateComeBackSpread) {
  ConnectionAdmissionSettings s = settings(1000);
  s.groups[kDesks].connectionsPerSecond = 100;
  s.groups[kDesks].burst = 50;
  ConnectionAdmission door(s, museum());
  std::multimap<Time, std::size_t> returns;
  ConnectionId id = 0;
  std::size_t let = 0;
  for (std::size_t k = 0; k < 400; ++k) returns.emplace(Time(static_cast<std::int64_t>(k) * 100), k);
  Time last{};
  std::map<std::int64_t, int> tries;  // by 100 ms
  while (!returns.empty()) {
    const auto [now, k] = *returns.begin();
    returns.erase(returns.begin());
    ++tries[now.count() / 100000];
    const ConnectionDecision w = door.admit(now, ++id, ip(host("10.1", k)));
    let += w.admitted;
    last = now;
    if (!w.admitted) {
      EXPECT_EQ(w.rejection, RejectionReason::Rate);
      EXPECT_GE(w.retryAfter, s.minRetryAfter);
      EXPECT_LE(w.retryAfter, s.maxRetryAfter);
      returns.emplace(now + w.retryAfter, k);
    }
  }
  EXPECT_EQ(let, 400u);
  EXPECT_LT(last, 6s);  // 350 at 100 a second
  for (const auto& [slot, n] : tries) {
    if (slot > 0) {
      EXPECT_LE(n, 25) << slot;  // no second wave
    }
  }
}
TEST(Door, AReloadThatLowersACapClosesOnlyWhatIsIdle) {
  ConnectionAdmission door(settings(100), museum());
  for (ConnectionId id = 1; id <= 20; ++id)
    ASSERT_TRUE(door.admit(Time(0), id, ip(host("10.2", id))).admitted);
  for (ConnectionId id = 1; id <= 12; ++id) door.markIdle(Time(100 - static_cast<std::int64_t>(id)), id);
  ConnectionAdmissionSettings s = settings(100);
  s.groups[kApps].maxConnections = 10;
  door.reload(s, museum());
  EXPECT_EQ(door.counters(kApps).connections, 20u);
  EXPECT_EQ(door.evictSurplus(2s, 4), (std::vector<ConnectionId>{12, 11, 10, 9}));  // longest idle first
  EXPECT_EQ(door.evictSurplus(2s, 100).size(), 6u);
  EXPECT_EQ(door.counters(kApps).connections, 10u);
  EXPECT_TRUE(door.evictSurplus(2s, 100).empty());
  EXPECT_FALSE(door.admit(1ms, 50, ip("10.2.9.9")).admitted);
}
TEST(Door, AnAddressMovesToAnotherGroupOnReloadAndANamedOneStays) {
  ConnectionAdmission door(settings(10), museum());
  ASSERT_TRUE(door.admit(Time(0), 1, ip("10.2.0.1")).admitted);
  ASSERT_TRUE(door.admit(Time(0), 2, ip("10.2.0.2")).admitted);
  door.markIdle(Time(5), 1);
  door.assignGroup(2, kElse);
  EXPECT_EQ(door.counters(kApps).connections, 1u);
  door.reload(settings(10), networks({{"10.2.0.0/16", kDesks}}));
  EXPECT_EQ(door.groupOf(1), kDesks);
  EXPECT_EQ(door.groupOf(2), kElse);
  EXPECT_EQ(door.counters(kDesks).idle, 1u);
  door.markBusy(1);
  door.remove(1);
  door.remove(2);
  for (std::size_t g = 0; g < door.groupCount(); ++g) EXPECT_EQ(door.counters(g).connections, 0u);
}
// The reserve is new and others hold everything: who is idle makes way at once.
TEST(Door, AReserveThatIsOwedIsTakenBack) {
  ConnectionAdmission door(settings(10), museum());
  for (ConnectionId id = 1; id <= 10; ++id) {
    ASSERT_TRUE(door.admit(Time(0), id, ip(host("10.2", id))).admitted);
    door.markIdle(Time(static_cast<std::int64_t>(id)), id);
  }
  ConnectionAdmissionSettings s = settings(10);
  s.groups[kDesks].reserve = 3;
  door.reload(s, museum());
  for (ConnectionId id = 11; id <= 13; ++id) {
    const ConnectionDecision w = door.admit(1s, id, ip(host("10.1", id)));
    EXPECT_TRUE(w.admitted);
    EXPECT_EQ(w.evict, id - 10);
  }
}
TEST(Door, AnAbuserAmongTheDesksTakesNothingFromThem) {
  ConnectionAdmissionSettings s = settings(100);
  s.groups[kDesks].reserve = 60;
  s.groups[kDesks].maxPerAddress = 3;
  s.groups[kDesks].connectionsPerSecond = 50;
  s.groups[kDesks].burst = 10;
  ConnectionAdmission door(s, museum());
  ConnectionId id = 0;
  std::size_t desks = 0;
  for (int k = 0; k < 20000; ++k) {
    const Time now(k * 100);
    door.admit(now, ++id, ip("10.1.66.6"));
    if (k % 500 == 0)
      desks += door.admit(now, ++id, ip(host("10.1", static_cast<std::size_t>(k / 500)))).admitted;
  }
  EXPECT_EQ(desks, 40u);
}
// Against a simple model: nobody is counted twice, no cap is passed, only idle ones make way, a reserve is
// kept.
TEST(Door, KeepsItsBoundsWhateverHappens) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 random(seed);
    ConnectionAdmissionSettings s = settings(40);
    s.groups[kDesks].reserve = 10;
    s.groups[kApps].maxConnections = 25;
    s.groups[kApps].maxPerAddress = 4;
    s.groups[kElse].maxPerPrefix = 6;
    ConnectionAdmission door(s, museum());
    struct Held {
      IpAddress from;
      bool idle = false;
    };
    std::map<ConnectionId, Held> model;
    ConnectionId id = 0;
    Time now{};
    const char* const nets[] = {"10.1", "10.2", "10.3"};
    for (int k = 0; k < 3000; ++k) {
      now += Time(random(200000));
      const auto pick = [&] {
        return model.empty() ? model.end()
                             : std::next(model.begin(), random(static_cast<std::uint32_t>(model.size())));
      };
      const auto what = random(10);
      if (what < 5) {
        const IpAddress from = ip(host(nets[random(3)], random(12)));
        const std::size_t group = door.groupOf(0) - 1;  // the last one
        const ConnectionDecision w = door.admit(now, ++id, from);
        if (w.evict) {
          ASSERT_TRUE(w.admitted);
          ASSERT_EQ(model.count(*w.evict), 1u);
          ASSERT_TRUE(model[*w.evict].idle);
          model.erase(*w.evict);
        }
        if (w.admitted) model[id] = {from, false};
        ASSERT_EQ(group, kElse);
      } else if (const auto it = pick(); it != model.end()) {
        if (what < 7) {
          door.markIdle(now, it->first);
          it->second.idle = true;
        } else if (what < 8) {
          door.markBusy(it->first);
          it->second.idle = false;
        } else {
          door.remove(it->first);
          model.erase(it);
        }
      }
      std::map<std::size_t, std::size_t> held;
      std::map<IpAddress, std::size_t> byAddress;
      for (const auto& [c, h] : model) {
        ++held[door.groupOf(c)];
        ++byAddress[h.from];
      }
      ASSERT_EQ(door.connectionCount(), model.size());
      ASSERT_LE(model.size(), 40u);
      ASSERT_LE(held[kApps], 25u);
      for (std::size_t g = 0; g < 3; ++g) ASSERT_EQ(door.counters(g).connections, held[g]);
      for (const auto& [a, n] : byAddress)
        if (a.to_string().rfind("10.2.", 0) == 0) {
          ASSERT_LE(n, 4u);
        }
      // What the reserve still owes is free.
      ASSERT_GE(40u - model.size(), door.counters(kDesks).reserveRemaining);
    }
  }
}

// ---- who has been served before
// ----------------------------------------------------------------------------------
TEST(Known, WhoWasServedOverAWhileIsKnownUntilItIsForgotten) {
  RecentClients known({});
  const IpAddress a = ip("10.1.0.1");
  for (int k = 0; k < 50; ++k) known.recordResponse(Time(k), a);  // often, but within a moment
  EXPECT_FALSE(known.contains(1s, a));
  known.recordResponse(2s, a);
  EXPECT_TRUE(known.contains(2s, a));
  EXPECT_TRUE(known.contains(24h, a));
  EXPECT_FALSE(known.contains(25h, a));
  known.recordResponse(25h, a);
  EXPECT_FALSE(known.contains(25h, a));
  EXPECT_FALSE(known.contains(2s, ip("10.1.0.2")));
}
TEST(Known, AnAbuserCannotFillIt) {
  RecentClientsSettings s;
  s.maxClients = 100;
  s.maxPerPrefix = 10;
  RecentClients known(s);
  std::vector<IpAddress> desks;
  for (std::size_t k = 0; k < 60; ++k) desks.push_back(ip("10." + std::to_string(k) + ".1.1"));
  for (const IpAddress& d : desks)
    for (int k = 0; k < 3; ++k) known.recordResponse(Time(k * 1s), d);
  // One network with all its addresses, served again and again; then a thousand networks, each once.
  for (int round = 0; round < 5; ++round)
    for (int k = 1; k < 255; ++k)
      known.recordResponse(10s + Time(round * 1s), ip("127.0.0." + std::to_string(k)));
  for (int k = 0; k < 1000; ++k)
    known.recordResponse(20s, ip("127." + std::to_string(k / 250) + "." + std::to_string(k % 250) + ".1"));
  EXPECT_LE(known.size(), 100u);
  for (const IpAddress& d : desks) EXPECT_TRUE(known.contains(30s, d)) << d.to_string();
}

// ---- the limit
// ---------------------------------------------------------------------------------------------------- A
// server that does `cores` requests at once in 10 ms each; what is beyond them queues.
std::size_t settled(const ConcurrencyLimitSettings& s, double cores, int rounds) {
  ConcurrencyLimit limit(s);
  Time now{};
  for (int k = 0; k < rounds; ++k) {
    const std::size_t out = limit.value();  // demand is endless
    const Time latency(static_cast<std::int64_t>(10000 * std::max(1.0, static_cast<double>(out) / cores)));
    now += latency;
    for (std::size_t j = 0; j < out; ++j) limit.recordCompletion(now, latency, out, false);
  }
  return limit.value();
}
TEST(Limit, FindsWhatAServerCanDo) {
  for (const double cores : {8.0, 40.0, 200.0}) {
    ConcurrencyLimitSettings gradient;
    const auto g = static_cast<double>(settled(gradient, cores, 4000));
    EXPECT_GE(g, cores * 0.9) << cores;
    EXPECT_LE(g, cores * 4 + 40) << cores;
    ConcurrencyLimitSettings aimd;
    aimd.kind = LimitKind::Aimd;
    aimd.latencyBound = 25ms;
    const auto a = static_cast<double>(settled(aimd, cores, 20000));
    EXPECT_GE(a, cores * 0.9) << cores;
    EXPECT_LE(a, cores * 2.6) << cores;
  }
  ConcurrencyLimitSettings fixed;
  fixed.kind = LimitKind::Fixed;
  EXPECT_EQ(settled(fixed, 8, 100), 20u);
}
TEST(Limit, ShrinksWhenThingsAreDroppedAndNeverBelowItsLeast) {
  for (const LimitKind kind : {LimitKind::Aimd, LimitKind::Gradient}) {
    ConcurrencyLimitSettings s;
    s.kind = kind;
    ConcurrencyLimit limit(s);
    Time now{};
    for (int k = 0; k < 400; ++k) limit.recordCompletion(now += 300ms, 10ms, 20, true);
    EXPECT_EQ(limit.value(), 4u);
  }
}
// A request in twenty that runs out of time is a data server's trouble, not a queue.
TEST(Limit, AFewThatRanOutOfTimeAreNoOverload) {
  ConcurrencyLimitSettings s;
  ConcurrencyLimit some(s), many(s);
  Time now{};
  for (int k = 0; k < 4000; ++k) {
    now += 10ms;
    some.recordCompletion(now, 10ms, 20, k % 20 == 0);
    many.recordCompletion(now, 10ms, 20, k % 5 == 0);
  }
  EXPECT_GE(some.value(), 20u);
  EXPECT_LT(many.value(), 10u);
}
TEST(Limit, DoesNotGrowWhileNothingPushes) {
  ConcurrencyLimitSettings s;
  ConcurrencyLimit limit(s);
  Time now{};
  for (int k = 0; k < 10000; ++k) limit.recordCompletion(now += 10ms, 10ms, 2, false);
  EXPECT_LE(limit.value(), 20u);
}

// ---- requests
// ------------------------------------------------------------------------------------------------------
RequestLimiterSettings shares(double a, double b, double limit, std::size_t waiting) {
  RequestLimiterSettings s;
  s.limit.kind = LimitKind::Fixed;
  s.limit.initial = limit;
  s.limit.min = 1;
  s.maxQueued = waiting;
  s.groups = {{a, 0}, {b, 0}};
  return s;
}
TEST(Requests, GoWhileThereIsRoomThenWaitThenAreRefused) {
  RequestLimiter r(shares(1, 1, 2, 2));
  EXPECT_EQ(r.submit(Time(0), 1, 0, 1s).decision, RequestDecision::Admit);
  EXPECT_EQ(r.submit(Time(0), 2, 0, 1s).decision, RequestDecision::Admit);
  EXPECT_EQ(r.submit(Time(0), 3, 0, 1s).decision, RequestDecision::Queue);
  EXPECT_EQ(r.submit(Time(0), 4, 0, 1s).decision, RequestDecision::Queue);
  const auto refused = r.submit(Time(0), 5, 0, 1s);
  EXPECT_EQ(refused.decision, RequestDecision::Reject);
  EXPECT_GT(refused.retryAfter, Time(0));
  const auto next = r.complete(10ms, 1, 10ms, false);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].key, 3u);
  EXPECT_EQ(next[0].decision, RequestDecision::Admit);
  EXPECT_TRUE(r.complete(10ms, 1, 10ms, false).empty());  // it has ended already
  EXPECT_TRUE(r.cancel(10ms, 4).empty());
  EXPECT_EQ(r.queued(), 0u);
  EXPECT_EQ(r.inFlight(), 2u);
}
// A group that pipelines hundreds takes its weight's part, no more: the other gets in at once.
TEST(Requests, AFullQueueGivesWayByWeight) {
  RequestLimiter r(shares(1, 1, 1, 10));
  for (RequestKey k = 1; k <= 300; ++k) r.submit(Time(0), k, 0, 1s);
  EXPECT_EQ(r.queued(), 10u);
  const auto a = r.submit(Time(0), 1000, 1, 1s);
  EXPECT_EQ(a.decision, RequestDecision::Queue);
  ASSERT_EQ(a.resolved.size(), 1u);
  EXPECT_EQ(a.resolved[0].key, 11u);  // the newest of those that wait
  EXPECT_EQ(a.resolved[0].decision, RequestDecision::Reject);
  const auto next = r.complete(1ms, 1, 1ms, false);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].key, 1000u);  // its group has nothing out
}
TEST(Requests, ServeBusyGroupsByWeight) {
  RequestLimiter r(shares(3, 1, 8, 40));
  pcg32 random(4);
  RequestKey key = 0;
  std::map<RequestKey, std::size_t> group;
  std::vector<RequestKey> out;
  std::map<std::size_t, int> served;
  Time now{};
  for (int k = 0; k < 20000; ++k) {
    now += 100us;
    for (const std::size_t g : {0u, 1u}) {
      group[++key] = g;
      if (r.submit(now, key, g, now + 10s).decision == RequestDecision::Admit) out.push_back(key);
    }
    const std::size_t at = random(static_cast<std::uint32_t>(out.size()));
    const RequestKey done = out[at];
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(at));
    ++served[group[done]];
    for (const ResolvedRequest& a : r.complete(now, done, 1ms, false))
      if (a.decision == RequestDecision::Admit) out.push_back(a.key);
  }
  EXPECT_NEAR(static_cast<double>(served[0]) / served[1], 3.0, 0.3);
}
TEST(Requests, WhatCanNoLongerBeOnTimeIsDroppedFirst) {
  RequestLimiterSettings s = shares(1, 1, 4, 10);
  s.limit.kind = LimitKind::Gradient;
  s.limit.initial = s.limit.max = s.limit.min = 4;
  RequestLimiter r(s);
  RequestKey key = 0;
  Time now{};
  // It learns that a request takes 100 ms.
  for (int k = 0; k < 400; ++k) {
    EXPECT_EQ(r.submit(now, ++key, 0, now + 1s).decision, RequestDecision::Admit);
    r.complete(now += 100ms, key, 100ms, false);
  }
  for (int k = 0; k < 4; ++k) EXPECT_EQ(r.submit(now, ++key, 0, now + 1s).decision, RequestDecision::Admit);
  EXPECT_EQ(r.submit(now, ++key, 0, now + 50ms).decision,
            RequestDecision::Reject);  // at once, not near its end
  const RequestKey first = ++key, second = ++key;
  EXPECT_EQ(r.submit(now, first, 0, now + 150ms).decision, RequestDecision::Queue);
  EXPECT_EQ(r.submit(now, second, 0, now + 400ms).decision, RequestDecision::Queue);
  const auto late = r.rejectOverdue(now + 60ms);
  ASSERT_EQ(late.size(), 1u);
  EXPECT_EQ(late[0].key, first);
  EXPECT_EQ(late[0].decision, RequestDecision::Reject);
}
// Each request gets exactly one word in the end, and the limit holds, whatever comes and goes.
TEST(Requests, EachGetsOneWord) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 random(seed);
    RequestLimiterSettings s = shares(2, 1, 6, 8);
    s.groups[1].maxOpen = 5;
    RequestLimiter r(s);
    std::map<RequestKey, RequestDecision> state;  // Wait or Go
    RequestKey key = 0;
    Time now{};
    const auto take = [&](const std::vector<ResolvedRequest>& all) {
      for (const ResolvedRequest& a : all) {
        ASSERT_EQ(state.count(a.key), 1u);
        ASSERT_EQ(state[a.key], RequestDecision::Queue);
        if (a.decision == RequestDecision::Admit)
          state[a.key] = RequestDecision::Admit;
        else
          state.erase(a.key);
      }
    };
    for (int k = 0; k < 5000; ++k) {
      now += Time(random(3000));
      const auto pick = [&](RequestDecision t) {
        std::vector<RequestKey> all;
        for (const auto& [id, is] : state)
          if (is == t) all.push_back(id);
        return all.empty() ? RequestKey(0) : all[random(static_cast<std::uint32_t>(all.size()))];
      };
      const auto what = random(10);
      if (what < 5) {
        const auto a = r.submit(now, ++key, random(2), now + Time(random(20000)));
        take(a.resolved);
        if (a.decision != RequestDecision::Reject) state[key] = a.decision;
      } else if (what < 8) {
        const RequestKey done = pick(RequestDecision::Admit);
        if (done == 0) continue;
        state.erase(done);
        take(r.complete(now, done, Time(random(5000)), random(20) == 0));
      } else if (what < 9) {
        const RequestKey gone = pick(random(2) == 0 ? RequestDecision::Admit : RequestDecision::Queue);
        if (gone == 0) continue;
        state.erase(gone);
        take(r.cancel(now, gone));
      } else {
        take(r.rejectOverdue(now));
      }
      std::size_t out = 0;
      for (const auto& [id, is] : state) out += is == RequestDecision::Admit;
      ASSERT_EQ(r.inFlight(), out);
      ASSERT_EQ(r.queued(), state.size() - out);
      ASSERT_LE(out, 6u);
      ASSERT_LE(r.queued(), 8u);
      if (r.queued() > 0) {
        ASSERT_EQ(out, 6u);  // nobody waits while there is room
      }
    }
  }
}

TEST(Requests, SayWhyAndKeepWhatIsOutOverAReload) {
  RequestLimiterSettings s;
  s.limit.kind = LimitKind::Fixed;
  s.limit.initial = 2;
  s.limit.min = s.limit.max = 2;
  s.maxQueued = 1;
  s.groups = {{1, 2}, {1, 0}};
  RequestLimiter r(s);
  const Time late = 10s;
  EXPECT_EQ(r.submit(1s, 1, 0, late).decision, RequestDecision::Admit);
  EXPECT_EQ(r.submit(1s, 2, 0, late).decision, RequestDecision::Admit);
  EXPECT_EQ(r.submit(1s, 3, 0, late).decision, RequestDecision::Reject);  // its group's cap
  EXPECT_EQ(r.submit(1s, 4, 1, late).decision, RequestDecision::Queue);
  EXPECT_EQ(r.submit(1s, 5, 1, late).decision, RequestDecision::Reject);  // no room to wait
  EXPECT_EQ(r.counters(0).rejected[static_cast<std::size_t>(RequestRejection::GroupLimit)], 1u);
  EXPECT_EQ(r.counters(1).rejected[static_cast<std::size_t>(RequestRejection::QueueFull)], 1u);
  s.groups = {{1, 0}};  // one group fewer: who waited waits on
  r.reload(s);
  EXPECT_EQ(r.inFlight(), 2u);
  EXPECT_EQ(r.counters(0).queued, 1u);
  const auto went = r.complete(1s, 1, 1ms, false);
  ASSERT_EQ(went.size(), 1u);
  EXPECT_EQ(went[0].key, 4u);
  EXPECT_EQ(went[0].decision, RequestDecision::Admit);
}

RequestLimiterSettings laneSettings() {
  RequestLimiterSettings s;
  s.limit.kind = LimitKind::Fixed;
  s.limit.initial = s.limit.min = s.limit.max = 2;
  s.maxQueued = 2;
  s.groups = {{1, 0}, {1, 3}};
  return s;
}
// Found in the lab: writes that queued for a crowded primary held the places of reads.
TEST(Lanes, WhatQueuesInOneKeepsNothingFromAnother) {
  RequestQueues lanes(laneSettings());
  for (RequestKey k = 1; k <= 4; ++k) lanes.submit(1s, k, 1, 0, 9s);
  EXPECT_EQ(lanes.submit(1s, 5, 1, 0, 9s).decision, RequestDecision::Reject);
  EXPECT_EQ(lanes.submit(1s, 6, 2, 0, 9s).decision, RequestDecision::Admit);
  EXPECT_EQ(lanes.counters(0).inFlight, 3u);
  EXPECT_EQ(lanes.counters(0).queued, 2u);
}
TEST(Lanes, CapsOfGroupsCountOverAllOfThem) {
  RequestQueues lanes(laneSettings());
  for (RequestKey k = 1; k <= 3; ++k)
    EXPECT_EQ(lanes.submit(1s, k, k, 1, 9s).decision, RequestDecision::Admit);
  EXPECT_EQ(lanes.submit(1s, 4, 9, 1, 9s).decision, RequestDecision::Reject);
  EXPECT_EQ(lanes.counters(1).rejected[static_cast<std::size_t>(RequestRejection::GroupLimit)], 1u);
  lanes.complete(1s, 2, 1ms, false);
  EXPECT_EQ(lanes.submit(1s, 5, 9, 1, 9s).decision, RequestDecision::Admit);
}
// Clients name the groups: thousands of names must not make thousands of lanes, nor be kept for ever.
TEST(Lanes, AreBoundedAndForgotten) {
  RequestQueues lanes(laneSettings(), 8);
  for (RequestKey k = 1; k <= 5000; ++k) {
    lanes.submit(1s, k, k, 0, 9s);
    lanes.cancel(1s, k);
  }
  EXPECT_EQ(lanes.queueCount(), 9u);  // and the rest
  EXPECT_EQ(lanes.counters(0).admitted, 5000u);
  lanes.rejectOverdue(30s);
  EXPECT_EQ(lanes.queueCount(), 9u);
  lanes.rejectOverdue(62s);
  EXPECT_EQ(lanes.queueCount(), 0u);
  EXPECT_EQ(lanes.counters(0).admitted, 5000u);  // what was counted stays counted
}
// Against a plain account of who is where: each request has one last word, and no lane or group holds more
// than it may.
TEST(Lanes, EachRequestGetsOneWordWhateverHappens) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg64 random(seed);
    RequestLimiterSettings s = laneSettings();
    RequestQueues lanes(s, 3);
    struct At {
      bool out;
      std::size_t group;
    };
    std::map<RequestKey, At> open;
    Time now = 1s;
    RequestKey last = 0;
    const auto word = [&](const std::vector<ResolvedRequest>& all) {
      for (const ResolvedRequest& a : all) {
        ASSERT_TRUE(open.count(a.key) == 1 && !open.at(a.key).out) << "seed " << seed;
        if (a.decision == RequestDecision::Admit)
          open.at(a.key).out = true;
        else
          open.erase(a.key);
      }
    };
    for (int step = 0; step < 3000; ++step) {
      now += Time(random() % 20000);
      const auto any = [&] {
        auto it = open.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random() % open.size()));
        return it->first;
      };
      const auto what = random() % 10;
      if (what < 5 || open.empty()) {
        const std::size_t group = random() % s.groups.size();
        const RequestKey key = ++last;
        const auto a = lanes.submit(now, key, random() % 6, group, now + Time(random() % 200000));
        if (a.decision != RequestDecision::Reject)
          open.emplace(key, At{a.decision == RequestDecision::Admit, group});
        word(a.resolved);
      } else if (what < 7) {
        const RequestKey key = any();
        if (!open.at(key).out) continue;
        open.erase(key);
        word(lanes.complete(now, key, 5ms, random() % 7 == 0));
      } else if (what < 8) {
        const RequestKey key = any();
        open.erase(key);
        word(lanes.cancel(now, key));
      } else if (what < 9) {
        word(lanes.rejectOverdue(now));
      } else if (step % 50 == 0) {
        if (s.groups.size() == 2)
          s.groups.push_back({2, 0});
        else
          s.groups.pop_back();
        for (auto& [key, at] : open) at.group = std::min(at.group, s.groups.size() - 1);
        lanes.reload(s);
      }
      std::map<std::size_t, std::pair<std::size_t, std::size_t>> held;
      for (const auto& [key, at] : open) ++(at.out ? held[at.group].first : held[at.group].second);
      for (std::size_t g = 0; g < s.groups.size(); ++g) {
        ASSERT_EQ(lanes.counters(g).inFlight, held[g].first) << "seed " << seed << " step " << step;
        ASSERT_EQ(lanes.counters(g).queued, held[g].second) << "seed " << seed << " step " << step;
      }
      for (const RequestQueues::QueueView& v : lanes.view()) ASSERT_LE(v.inFlight, 2u);
    }
  }
}

TEST(Door, GivesUpIdleOnesBeyondReservesWhenDescriptorsRunOut) {
  ConnectionAdmissionSettings s;
  s.maxConnections = 10;
  s.groups.resize(2);
  s.groups[0].name = "desks";
  s.groups[0].reserve = 2;
  s.groups[1].name = "others";
  ConnectionAdmission door(s, networks({{"10.0.0.0/8", 0}}));
  for (ConnectionId id = 1; id <= 4; ++id) {
    EXPECT_TRUE(door.admit(1s, id, ip("10.0.0." + std::to_string(id))).admitted);
    door.markIdle(1s, id);
  }
  for (ConnectionId id = 5; id <= 7; ++id) {
    EXPECT_TRUE(door.admit(1s, id, ip("192.168.0.1")).admitted);
    if (id != 6) door.markIdle(2s, id);
  }
  EXPECT_TRUE(door.evictForExhaustion(1s, 9).empty());  // idle for too short
  // Four desks against three others: desks down to their reserve, then others; none that is at work.
  EXPECT_EQ(door.evictForExhaustion(9s, 9), (std::vector<ConnectionId>{1, 2, 5, 7}));
  EXPECT_EQ(door.connectionCount(), 3u);
}
TEST(Door, WhoIsKnownByNameIsInItsGroupWhateverItsNetwork) {
  ConnectionAdmissionSettings s;
  s.maxConnections = 2;
  s.groups.resize(2);
  s.groups[0].name = "desks";
  s.groups[0].reserve = 1;
  s.groups[1].name = "others";
  ConnectionAdmission door(s, networks({}));
  EXPECT_TRUE(door.admit(1s, 1, ip("10.0.0.1")).admitted);
  EXPECT_FALSE(door.admit(1s, 2, ip("10.0.0.2")).admitted);
  EXPECT_TRUE(door.admit(1s, 2, ip("10.0.0.2"), 0).admitted);
  EXPECT_EQ(door.groupOf(2), 0u);
  door.reload(s, networks({}));
  EXPECT_EQ(door.groupOf(2), 0u);
}

TEST(Ceiling, FallsByATenthOncePerWantAndClimbsByOneASecond) {
  ConnectionLimit c;
  EXPECT_EQ(c.value(1s, 100), 100u);
  c.onExhaustion(1s, 80, 10);
  EXPECT_EQ(c.value(1s, 100), 70u);
  c.onExhaustion(1100ms, 80, 10);  // the same want
  EXPECT_EQ(c.value(1100ms, 100), 70u);
  c.onExhaustion(2s, 65, 10);
  EXPECT_EQ(c.value(2s, 100), 57u);
  EXPECT_EQ(c.value(12500ms, 100), 67u);
  for (int k = 0; k < 100; ++k) c.onExhaustion(std::chrono::seconds(20 + k), 60, 10);
  EXPECT_EQ(c.value(119s, 100), 10u);  // what is reserved stays
  EXPECT_EQ(c.value(1000s, 100), 100u);
  EXPECT_FALSE(c.active());
}
// A reserve is worth nothing if others have taken the descriptors behind it.
TEST(Ceiling, KeepsReservesWithinWhatThereIs) {
  ConnectionAdmissionSettings s;
  s.maxConnections = 100;
  s.groups.resize(2);
  s.groups[0].name = "desks";
  s.groups[0].reserve = 10;
  s.groups[1].name = "others";
  ConnectionAdmission door(s, networks({{"10.0.0.0/8", 0}}));
  ConnectionId id = 0;
  for (int k = 0; k < 60; ++k) EXPECT_TRUE(door.admit(1s, ++id, ip("192.168.0.1")).admitted);
  for (ConnectionId k = 1; k <= 50; ++k) door.markIdle(1s, k);
  door.setConnectionLimit(40);
  EXPECT_EQ(door.evictSurplus(9s, 99).size(), 20u);
  EXPECT_TRUE(door.admit(9s, ++id, ip("10.0.0.1")).admitted);  // others make way: the reserve is owed
  EXPECT_EQ(door.connectionCount(), 40u);
}

TEST(Spells, BeginAtTheFirstAndEndAfterACalm) {
  RejectionPeriod s;
  EXPECT_EQ(s.update(1s, 0), RejectionPeriod::Transition::None);
  EXPECT_EQ(s.update(2s, 3), RejectionPeriod::Transition::Began);
  EXPECT_EQ(s.update(2500ms, 4), RejectionPeriod::Transition::None);
  EXPECT_EQ(s.update(3400ms, 4), RejectionPeriod::Transition::None);
  EXPECT_TRUE(s.active());
  EXPECT_EQ(s.update(3500ms, 4), RejectionPeriod::Transition::Ended);
  EXPECT_EQ(s.rejections(), 4u);
  EXPECT_EQ(s.duration(), 500ms);
  EXPECT_EQ(s.update(9s, 4), RejectionPeriod::Transition::None);
  EXPECT_EQ(s.update(10s, 5), RejectionPeriod::Transition::Began);
  EXPECT_EQ(s.rejections(), 1u);
}

}  // namespace
}  // namespace sablespur::admission
