// Tests of the admission decisions on connections and requests, without I/O and on a simulated
// clock.
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

// ---- networks -----------------------------------------------------------------------------------
TEST(Networks, LongestMatchingPrefixDeterminesTheGroup) {
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
TEST(Networks, InvalidNetworksAreRejectedWithAReason) {
  Networks n;
  std::string why;
  EXPECT_TRUE(n.add("10.1.0.0/16", 1, why));
  EXPECT_TRUE(n.add("10.1.0.0/16", 1, why));  // adding it again has no effect
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
TEST(Networks, Ipv4MappedAddressesBecomeIpv4Addresses) {
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
// Compares lookups in thousands of nested networks with a linear search.
TEST(Networks, LookupMatchesALinearSearch) {
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

// ---- connection admission -----------------------------------------------------------------------
// Three example groups; desks have four times the weight of the others.
constexpr std::size_t kDesks = 0, kApps = 1, kOthers = 2;
ConnectionAdmissionSettings settings(std::size_t maxConnections) {
  ConnectionAdmissionSettings s;
  s.maxConnections = maxConnections;
  s.groups.resize(3);
  s.groups[kDesks].name = "desks";
  s.groups[kDesks].weight = 4;
  s.groups[kApps].name = "apps";
  s.groups[kOthers].name = "else";
  return s;
}
std::shared_ptr<const Networks> groupNetworks() {
  return networks({{"10.1.0.0/16", kDesks}, {"10.2.0.0/16", kApps}});
}
std::string host(const std::string& net, std::size_t k) {
  return net + "." + std::to_string(k / 250) + "." + std::to_string(k % 250 + 1);
}

TEST(ConnectionAdmission, AnAddressIsLimitedWithoutAffectingOthers) {
  ConnectionAdmissionSettings s = settings(100);
  s.groups[kApps].maxPerAddress = 5;
  ConnectionAdmission admission(s, groupNetworks());
  ConnectionId id = 0;
  int admitted = 0;
  for (int k = 0; k < 1000; ++k) {
    const ConnectionDecision decision = admission.admit(Time(k), ++id, ip("10.2.0.7"));
    admitted += decision.admitted;
    if (!decision.admitted) {
      EXPECT_EQ(decision.rejection, RejectionReason::AddressFull);
    }
  }
  EXPECT_EQ(admitted, 5);
  EXPECT_TRUE(admission.admit(Time(1000), ++id, ip("10.2.0.8")).admitted);
  EXPECT_TRUE(admission.admit(Time(1000), ++id, ip("10.1.0.8")).admitted);
}
TEST(ConnectionAdmission, FiveHundredAddressesOfOneNetworkShareItsLimit) {
  ConnectionAdmissionSettings s = settings(400);
  s.groups[kOthers].maxPerAddress = 2;
  s.groups[kOthers].maxPerPrefix = 50;
  s.prefix4 = 8;
  s.groups[kDesks].reserve = 20;
  ConnectionAdmission admission(s, groupNetworks());
  ConnectionId id = 0;
  std::size_t admitted = 0;
  for (std::size_t k = 0; k < 500; ++k)
    for (int j = 0; j < 4; ++j) admitted += admission.admit(Time(k), ++id, ip(host("127.0", k))).admitted;
  EXPECT_EQ(admitted, 50u);
  for (std::size_t k = 0; k < 20; ++k) EXPECT_TRUE(admission.admit(1s, ++id, ip(host("10.1", k))).admitted);
}
TEST(ConnectionAdmission, AReserveIsNotAvailableToOtherGroups) {
  ConnectionAdmissionSettings s = settings(100);
  s.groups[kDesks].reserve = 30;
  ConnectionAdmission admission(s, groupNetworks());
  ConnectionId id = 0;
  std::size_t admitted = 0;
  for (std::size_t k = 0; k < 200; ++k) {
    const ConnectionDecision decision = admission.admit(Time(k), ++id, ip(host("10.2", k)));
    admitted += decision.admitted;
    if (!decision.admitted) {
      EXPECT_EQ(decision.rejection, RejectionReason::Full);
    }
  }
  EXPECT_EQ(admitted, 70u);
  for (std::size_t k = 0; k < 30; ++k) EXPECT_TRUE(admission.admit(1s, ++id, ip(host("10.1", k))).admitted);
  EXPECT_EQ(admission.counters(kDesks).reserveRemaining, 0u);
  // All connections are in use and none is idle, and the reserve is used up.
  EXPECT_EQ(admission.admit(1s, ++id, ip("10.1.9.9")).rejection, RejectionReason::Full);
}
// A desk beyond its reserve replaces an idle app, since apps have the larger weighted share. Busy
// apps, and apps that became idle only recently, are not evicted.
TEST(ConnectionAdmission, EvictsAnIdleConnectionOfTheGroupWithTheLargestShare) {
  ConnectionAdmission admission(settings(10), groupNetworks());
  for (ConnectionId id = 1; id <= 10; ++id)
    ASSERT_TRUE(admission.admit(Time(id), id, ip(host("10.2", id))).admitted);
  EXPECT_EQ(admission.admit(1s, 11, ip("10.1.0.1")).rejection, RejectionReason::Full);
  admission.markIdle(1s, 4);
  admission.markIdle(1200ms, 3);
  // Both have been idle for less than minIdleTime, 500 ms.
  EXPECT_EQ(admission.admit(1400ms, 11, ip("10.1.0.1")).rejection, RejectionReason::Full);
  const ConnectionDecision decision = admission.admit(2s, 11, ip("10.1.0.1"));
  EXPECT_TRUE(decision.admitted);
  EXPECT_EQ(decision.evict, 4u);
  admission.markBusy(3);
  EXPECT_EQ(admission.admit(3s, 12, ip("10.1.0.2")).rejection, RejectionReason::Full);
  EXPECT_EQ(admission.connectionCount(), 10u);
  EXPECT_EQ(admission.counters(kApps).evicted, 1u);
}
TEST(ConnectionAdmission, DoesNotEvictFromAGroupWithoutALargerShare) {
  ConnectionAdmission admission(settings(4), groupNetworks());
  for (ConnectionId id = 1; id <= 4; ++id) {
    ASSERT_TRUE(admission.admit(Time(id), id, ip(host("10.1", id))).admitted);
    admission.markIdle(Time(id), id);
  }
  // Four desks have a weighted share of 1. With one app, the apps would have 1 too, so nothing is
  // evicted.
  EXPECT_EQ(admission.admit(10s, 5, ip("10.2.0.1")).rejection, RejectionReason::Full);
  // A new desk evicts the longest idle connection of its own group.
  const ConnectionDecision own = admission.admit(10s, 6, ip("10.1.0.9"));
  EXPECT_TRUE(own.admitted);
  EXPECT_EQ(own.evict, 1u);
}
// After a restart all clients connect at once. As many as the burst are admitted; each of the
// others is given its own retry time.
TEST(ConnectionAdmission, RetriesAfterRateLimitingAreSpread) {
  ConnectionAdmissionSettings s = settings(1000);
  s.groups[kDesks].connectionsPerSecond = 100;
  s.groups[kDesks].burst = 50;
  ConnectionAdmission admission(s, groupNetworks());
  std::multimap<Time, std::size_t> arrivals;
  ConnectionId id = 0;
  std::size_t admitted = 0;
  for (std::size_t k = 0; k < 400; ++k) arrivals.emplace(Time(static_cast<std::int64_t>(k) * 100), k);
  Time lastArrival{};
  std::map<std::int64_t, int> attempts;  // by interval of 100 ms
  while (!arrivals.empty()) {
    const auto [now, k] = *arrivals.begin();
    arrivals.erase(arrivals.begin());
    ++attempts[now.count() / 100000];
    const ConnectionDecision decision = admission.admit(now, ++id, ip(host("10.1", k)));
    admitted += decision.admitted;
    lastArrival = now;
    if (!decision.admitted) {
      EXPECT_EQ(decision.rejection, RejectionReason::Rate);
      EXPECT_GE(decision.retryAfter, s.minRetryAfter);
      EXPECT_LE(decision.retryAfter, s.maxRetryAfter);
      arrivals.emplace(now + decision.retryAfter, k);
    }
  }
  EXPECT_EQ(admitted, 400u);
  EXPECT_LT(lastArrival, 6s);  // 350 at 100 per second
  for (const auto& [slot, n] : attempts) {
    if (slot > 0) {
      EXPECT_LE(n, 25) << slot;  // retries do not arrive in a second burst
    }
  }
}
TEST(ConnectionAdmission, ALowerLimitAfterAReloadEvictsOnlyIdleConnections) {
  ConnectionAdmission admission(settings(100), groupNetworks());
  for (ConnectionId id = 1; id <= 20; ++id)
    ASSERT_TRUE(admission.admit(Time(0), id, ip(host("10.2", id))).admitted);
  for (ConnectionId id = 1; id <= 12; ++id) admission.markIdle(Time(100 - static_cast<std::int64_t>(id)), id);
  ConnectionAdmissionSettings s = settings(100);
  s.groups[kApps].maxConnections = 10;
  admission.reload(s, groupNetworks());
  EXPECT_EQ(admission.counters(kApps).connections, 20u);
  EXPECT_EQ(admission.evictSurplus(2s, 4), (std::vector<ConnectionId>{12, 11, 10, 9}));  // longest idle first
  EXPECT_EQ(admission.evictSurplus(2s, 100).size(), 6u);
  EXPECT_EQ(admission.counters(kApps).connections, 10u);
  EXPECT_TRUE(admission.evictSurplus(2s, 100).empty());
  EXPECT_FALSE(admission.admit(1ms, 50, ip("10.2.9.9")).admitted);
}
TEST(ConnectionAdmission, AReloadMovesConnectionsByAddressButNotAssignedOnes) {
  ConnectionAdmission admission(settings(10), groupNetworks());
  ASSERT_TRUE(admission.admit(Time(0), 1, ip("10.2.0.1")).admitted);
  ASSERT_TRUE(admission.admit(Time(0), 2, ip("10.2.0.2")).admitted);
  admission.markIdle(Time(5), 1);
  admission.assignGroup(2, kOthers);
  EXPECT_EQ(admission.counters(kApps).connections, 1u);
  admission.reload(settings(10), networks({{"10.2.0.0/16", kDesks}}));
  EXPECT_EQ(admission.groupOf(1), kDesks);
  EXPECT_EQ(admission.groupOf(2), kOthers);
  EXPECT_EQ(admission.counters(kDesks).idle, 1u);
  admission.markBusy(1);
  admission.remove(1);
  admission.remove(2);
  for (std::size_t g = 0; g < admission.groupCount(); ++g) EXPECT_EQ(admission.counters(g).connections, 0u);
}
// A reload adds a reserve while other groups use all connections: idle ones are evicted for it.
TEST(ConnectionAdmission, ANewReserveEvictsIdleConnectionsOfOtherGroups) {
  ConnectionAdmission admission(settings(10), groupNetworks());
  for (ConnectionId id = 1; id <= 10; ++id) {
    ASSERT_TRUE(admission.admit(Time(0), id, ip(host("10.2", id))).admitted);
    admission.markIdle(Time(static_cast<std::int64_t>(id)), id);
  }
  ConnectionAdmissionSettings s = settings(10);
  s.groups[kDesks].reserve = 3;
  admission.reload(s, groupNetworks());
  for (ConnectionId id = 11; id <= 13; ++id) {
    const ConnectionDecision decision = admission.admit(1s, id, ip(host("10.1", id)));
    EXPECT_TRUE(decision.admitted);
    EXPECT_EQ(decision.evict, id - 10);
  }
}
TEST(ConnectionAdmission, AnAbusiveAddressDoesNotUseUpTheRateOfItsGroup) {
  ConnectionAdmissionSettings s = settings(100);
  s.groups[kDesks].reserve = 60;
  s.groups[kDesks].maxPerAddress = 3;
  s.groups[kDesks].connectionsPerSecond = 50;
  s.groups[kDesks].burst = 10;
  ConnectionAdmission admission(s, groupNetworks());
  ConnectionId id = 0;
  std::size_t desks = 0;
  for (int k = 0; k < 20000; ++k) {
    const Time now(k * 100);
    admission.admit(now, ++id, ip("10.1.66.6"));
    if (k % 500 == 0)
      desks += admission.admit(now, ++id, ip(host("10.1", static_cast<std::size_t>(k / 500)))).admitted;
  }
  EXPECT_EQ(desks, 40u);
}
// Compares random events with a simple model: connections are counted once, limits and reserves
// hold, and only idle connections are evicted.
TEST(ConnectionAdmission, InvariantsHoldForRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 random(seed);
    ConnectionAdmissionSettings s = settings(40);
    s.groups[kDesks].reserve = 10;
    s.groups[kApps].maxConnections = 25;
    s.groups[kApps].maxPerAddress = 4;
    s.groups[kOthers].maxPerPrefix = 6;
    ConnectionAdmission admission(s, groupNetworks());
    struct ModelConnection {
      IpAddress address;
      bool idle = false;
    };
    std::map<ConnectionId, ModelConnection> model;
    ConnectionId id = 0;
    Time now{};
    const char* const prefixes[] = {"10.1", "10.2", "10.3"};
    for (int k = 0; k < 3000; ++k) {
      now += Time(random(200000));
      const auto randomConnection = [&] {
        return model.empty() ? model.end()
                             : std::next(model.begin(), random(static_cast<std::uint32_t>(model.size())));
      };
      const auto action = random(10);
      if (action < 5) {
        const IpAddress address = ip(host(prefixes[random(3)], random(12)));
        const std::size_t group = admission.groupOf(0) - 1;  // the last one
        const ConnectionDecision decision = admission.admit(now, ++id, address);
        if (decision.evict) {
          ASSERT_TRUE(decision.admitted);
          ASSERT_EQ(model.count(*decision.evict), 1u);
          ASSERT_TRUE(model[*decision.evict].idle);
          model.erase(*decision.evict);
        }
        if (decision.admitted) model[id] = {address, false};
        ASSERT_EQ(group, kOthers);
      } else if (const auto it = randomConnection(); it != model.end()) {
        if (action < 7) {
          admission.markIdle(now, it->first);
          it->second.idle = true;
        } else if (action < 8) {
          admission.markBusy(it->first);
          it->second.idle = false;
        } else {
          admission.remove(it->first);
          model.erase(it);
        }
      }
      std::map<std::size_t, std::size_t> connectionsByGroup;
      std::map<IpAddress, std::size_t> byAddress;
      for (const auto& [c, h] : model) {
        ++connectionsByGroup[admission.groupOf(c)];
        ++byAddress[h.address];
      }
      ASSERT_EQ(admission.connectionCount(), model.size());
      ASSERT_LE(model.size(), 40u);
      ASSERT_LE(connectionsByGroup[kApps], 25u);
      for (std::size_t g = 0; g < 3; ++g) ASSERT_EQ(admission.counters(g).connections, connectionsByGroup[g]);
      for (const auto& [a, n] : byAddress)
        if (a.to_string().rfind("10.2.", 0) == 0) {
          ASSERT_LE(n, 4u);
        }
      // The unused part of the reserve is available.
      ASSERT_GE(40u - model.size(), admission.counters(kDesks).reserveRemaining);
    }
  }
}

// ---- recent clients -----------------------------------------------------------------------------
TEST(RecentClients, AnAddressIsEstablishedAfterTheMinimumSpanUntilItExpires) {
  RecentClients clients({});
  const IpAddress a = ip("10.1.0.1");
  for (int k = 0; k < 50; ++k) clients.recordResponse(Time(k), a);  // many responses, but within 50 us
  EXPECT_FALSE(clients.contains(1s, a));
  clients.recordResponse(2s, a);
  EXPECT_TRUE(clients.contains(2s, a));
  EXPECT_TRUE(clients.contains(24h, a));
  EXPECT_FALSE(clients.contains(25h, a));
  clients.recordResponse(25h, a);
  EXPECT_FALSE(clients.contains(25h, a));
  EXPECT_FALSE(clients.contains(2s, ip("10.1.0.2")));
}
TEST(RecentClients, AnAbuserDoesNotDisplaceEstablishedAddresses) {
  RecentClientsSettings s;
  s.maxClients = 100;
  s.maxPerPrefix = 10;
  RecentClients clients(s);
  std::vector<IpAddress> desks;
  for (std::size_t k = 0; k < 60; ++k) desks.push_back(ip("10." + std::to_string(k) + ".1.1"));
  for (const IpAddress& d : desks)
    for (int k = 0; k < 3; ++k) clients.recordResponse(Time(k * 1s), d);
  // All addresses of one network, served repeatedly; then a thousand networks, served once each.
  for (int round = 0; round < 5; ++round)
    for (int k = 1; k < 255; ++k)
      clients.recordResponse(10s + Time(round * 1s), ip("127.0.0." + std::to_string(k)));
  for (int k = 0; k < 1000; ++k)
    clients.recordResponse(20s, ip("127." + std::to_string(k / 250) + "." + std::to_string(k % 250) + ".1"));
  EXPECT_LE(clients.size(), 100u);
  for (const IpAddress& d : desks) EXPECT_TRUE(clients.contains(30s, d)) << d.to_string();
}

// ---- concurrency limit --------------------------------------------------------------------------

// Returns the limit after `rounds` batches of requests, each as large as the limit, to a simulated
// server that runs `cores` requests in parallel in 10 ms each and queues the others.
std::size_t convergedLimit(const ConcurrencyLimitSettings& s, double cores, int rounds) {
  ConcurrencyLimit limit(s);
  Time now{};
  for (int k = 0; k < rounds; ++k) {
    const std::size_t inFlight = limit.value();  // unlimited demand
    const Time latency(
        static_cast<std::int64_t>(10000 * std::max(1.0, static_cast<double>(inFlight) / cores)));
    now += latency;
    for (std::size_t j = 0; j < inFlight; ++j) limit.recordCompletion(now, latency, inFlight, false);
  }
  return limit.value();
}
TEST(ConcurrencyLimit, ConvergesToTheCapacityOfTheServer) {
  for (const double cores : {8.0, 40.0, 200.0}) {
    ConcurrencyLimitSettings gradient;
    const auto g = static_cast<double>(convergedLimit(gradient, cores, 4000));
    EXPECT_GE(g, cores * 0.9) << cores;
    EXPECT_LE(g, cores * 4 + 40) << cores;
    ConcurrencyLimitSettings aimd;
    aimd.kind = LimitKind::Aimd;
    aimd.latencyBound = 25ms;
    const auto a = static_cast<double>(convergedLimit(aimd, cores, 20000));
    EXPECT_GE(a, cores * 0.9) << cores;
    EXPECT_LE(a, cores * 2.6) << cores;
  }
  ConcurrencyLimitSettings fixed;
  fixed.kind = LimitKind::Fixed;
  EXPECT_EQ(convergedLimit(fixed, 8, 100), 20u);
}
TEST(ConcurrencyLimit, ShrinksOnDropsDownToTheMinimum) {
  for (const LimitKind kind : {LimitKind::Aimd, LimitKind::Gradient}) {
    ConcurrencyLimitSettings s;
    s.kind = kind;
    ConcurrencyLimit limit(s);
    Time now{};
    for (int k = 0; k < 400; ++k) limit.recordCompletion(now += 300ms, 10ms, 20, true);
    EXPECT_EQ(limit.value(), 4u);
  }
}
// If 1 request in 20 times out, the cause is a data server, not a queue.
TEST(ConcurrencyLimit, AFewTimeoutsAreNotOverload) {
  ConcurrencyLimitSettings s;
  ConcurrencyLimit fewDrops(s), manyDrops(s);
  Time now{};
  for (int k = 0; k < 4000; ++k) {
    now += 10ms;
    fewDrops.recordCompletion(now, 10ms, 20, k % 20 == 0);
    manyDrops.recordCompletion(now, 10ms, 20, k % 5 == 0);
  }
  EXPECT_GE(fewDrops.value(), 20u);
  EXPECT_LT(manyDrops.value(), 10u);
}
TEST(ConcurrencyLimit, DoesNotGrowWhileItIsNotReached) {
  ConcurrencyLimitSettings s;
  ConcurrencyLimit limit(s);
  Time now{};
  for (int k = 0; k < 10000; ++k) limit.recordCompletion(now += 10ms, 10ms, 2, false);
  EXPECT_LE(limit.value(), 20u);
}

// ---- request limiter and request queues ---------------------------------------------------------
RequestLimiterSettings limiterSettings(double a, double b, double limit, std::size_t maxQueued) {
  RequestLimiterSettings s;
  s.limit.kind = LimitKind::Fixed;
  s.limit.initial = limit;
  s.limit.min = 1;
  s.maxQueued = maxQueued;
  s.groups = {{a, 0}, {b, 0}};
  return s;
}
TEST(RequestLimiter, AdmitsThenQueuesThenRejects) {
  RequestLimiter limiter(limiterSettings(1, 1, 2, 2));
  EXPECT_EQ(limiter.submit(Time(0), 1, 0, 1s).decision, RequestDecision::Admit);
  EXPECT_EQ(limiter.submit(Time(0), 2, 0, 1s).decision, RequestDecision::Admit);
  EXPECT_EQ(limiter.submit(Time(0), 3, 0, 1s).decision, RequestDecision::Queue);
  EXPECT_EQ(limiter.submit(Time(0), 4, 0, 1s).decision, RequestDecision::Queue);
  const auto rejected = limiter.submit(Time(0), 5, 0, 1s);
  EXPECT_EQ(rejected.decision, RequestDecision::Reject);
  EXPECT_GT(rejected.retryAfter, Time(0));
  const auto next = limiter.complete(10ms, 1, 10ms, false);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].key, 3u);
  EXPECT_EQ(next[0].decision, RequestDecision::Admit);
  EXPECT_TRUE(limiter.complete(10ms, 1, 10ms, false).empty());  // already completed
  EXPECT_TRUE(limiter.cancel(10ms, 4).empty());
  EXPECT_EQ(limiter.queued(), 0u);
  EXPECT_EQ(limiter.inFlight(), 2u);
}
// A group that submits hundreds of requests does not keep another group out of the queue.
TEST(RequestLimiter, AFullQueueDisplacesTheGroupWithTheLargestShare) {
  RequestLimiter limiter(limiterSettings(1, 1, 1, 10));
  for (RequestKey k = 1; k <= 300; ++k) limiter.submit(Time(0), k, 0, 1s);
  EXPECT_EQ(limiter.queued(), 10u);
  const auto a = limiter.submit(Time(0), 1000, 1, 1s);
  EXPECT_EQ(a.decision, RequestDecision::Queue);
  ASSERT_EQ(a.resolved.size(), 1u);
  EXPECT_EQ(a.resolved[0].key, 11u);  // the newest queued request
  EXPECT_EQ(a.resolved[0].decision, RequestDecision::Reject);
  const auto next = limiter.complete(1ms, 1, 1ms, false);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].key, 1000u);  // its group has no request in flight
}
TEST(RequestLimiter, ServesBusyGroupsByWeight) {
  RequestLimiter limiter(limiterSettings(3, 1, 8, 40));
  pcg32 random(4);
  RequestKey key = 0;
  std::map<RequestKey, std::size_t> group;
  std::vector<RequestKey> inFlight;
  std::map<std::size_t, int> served;
  Time now{};
  for (int k = 0; k < 20000; ++k) {
    now += 100us;
    for (const std::size_t g : {0u, 1u}) {
      group[++key] = g;
      if (limiter.submit(now, key, g, now + 10s).decision == RequestDecision::Admit) inFlight.push_back(key);
    }
    const std::size_t index = random(static_cast<std::uint32_t>(inFlight.size()));
    const RequestKey completed = inFlight[index];
    inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(index));
    ++served[group[completed]];
    for (const ResolvedRequest& a : limiter.complete(now, completed, 1ms, false))
      if (a.decision == RequestDecision::Admit) inFlight.push_back(a.key);
  }
  EXPECT_NEAR(static_cast<double>(served[0]) / served[1], 3.0, 0.3);
}
TEST(RequestLimiter, RejectsRequestsThatCannotMeetTheirDeadline) {
  RequestLimiterSettings s = limiterSettings(1, 1, 4, 10);
  s.limit.kind = LimitKind::Gradient;
  s.limit.initial = s.limit.max = s.limit.min = 4;
  RequestLimiter limiter(s);
  RequestKey key = 0;
  Time now{};
  // The limiter measures a latency of 100 ms.
  for (int k = 0; k < 400; ++k) {
    EXPECT_EQ(limiter.submit(now, ++key, 0, now + 1s).decision, RequestDecision::Admit);
    limiter.complete(now += 100ms, key, 100ms, false);
  }
  for (int k = 0; k < 4; ++k)
    EXPECT_EQ(limiter.submit(now, ++key, 0, now + 1s).decision, RequestDecision::Admit);
  // Rejected at once, not shortly before its deadline.
  EXPECT_EQ(limiter.submit(now, ++key, 0, now + 50ms).decision, RequestDecision::Reject);
  const RequestKey first = ++key, second = ++key;
  EXPECT_EQ(limiter.submit(now, first, 0, now + 150ms).decision, RequestDecision::Queue);
  EXPECT_EQ(limiter.submit(now, second, 0, now + 400ms).decision, RequestDecision::Queue);
  const auto late = limiter.rejectOverdue(now + 60ms);
  ASSERT_EQ(late.size(), 1u);
  EXPECT_EQ(late[0].key, first);
  EXPECT_EQ(late[0].decision, RequestDecision::Reject);
}
// For random events, each request is admitted or rejected once, and the limits hold.
TEST(RequestLimiter, EachRequestIsResolvedOnceForRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg32 random(seed);
    RequestLimiterSettings s = limiterSettings(2, 1, 6, 8);
    s.groups[1].maxOpen = 5;
    RequestLimiter limiter(s);
    std::map<RequestKey, RequestDecision> decisions;  // Queue or Admit
    RequestKey key = 0;
    Time now{};
    const auto applyResolved = [&](const std::vector<ResolvedRequest>& all) {
      for (const ResolvedRequest& a : all) {
        ASSERT_EQ(decisions.count(a.key), 1u);
        ASSERT_EQ(decisions[a.key], RequestDecision::Queue);
        if (a.decision == RequestDecision::Admit)
          decisions[a.key] = RequestDecision::Admit;
        else
          decisions.erase(a.key);
      }
    };
    for (int k = 0; k < 5000; ++k) {
      now += Time(random(3000));
      const auto randomRequest = [&](RequestDecision wanted) {
        std::vector<RequestKey> all;
        for (const auto& [id, decision] : decisions)
          if (decision == wanted) all.push_back(id);
        return all.empty() ? RequestKey(0) : all[random(static_cast<std::uint32_t>(all.size()))];
      };
      const auto action = random(10);
      if (action < 5) {
        const auto a = limiter.submit(now, ++key, random(2), now + Time(random(20000)));
        applyResolved(a.resolved);
        if (a.decision != RequestDecision::Reject) decisions[key] = a.decision;
      } else if (action < 8) {
        const RequestKey completed = randomRequest(RequestDecision::Admit);
        if (completed == 0) continue;
        decisions.erase(completed);
        applyResolved(limiter.complete(now, completed, Time(random(5000)), random(20) == 0));
      } else if (action < 9) {
        const RequestKey cancelled =
            randomRequest(random(2) == 0 ? RequestDecision::Admit : RequestDecision::Queue);
        if (cancelled == 0) continue;
        decisions.erase(cancelled);
        applyResolved(limiter.cancel(now, cancelled));
      } else {
        applyResolved(limiter.rejectOverdue(now));
      }
      std::size_t inFlight = 0;
      for (const auto& [id, decision] : decisions) inFlight += decision == RequestDecision::Admit;
      ASSERT_EQ(limiter.inFlight(), inFlight);
      ASSERT_EQ(limiter.queued(), decisions.size() - inFlight);
      ASSERT_LE(inFlight, 6u);
      ASSERT_LE(limiter.queued(), 8u);
      if (limiter.queued() > 0) {
        ASSERT_EQ(inFlight, 6u);  // requests queue only while the limit is reached
      }
    }
  }
}

TEST(RequestLimiter, CountsRejectionsByReasonAndKeepsOpenRequestsOnReload) {
  RequestLimiterSettings s;
  s.limit.kind = LimitKind::Fixed;
  s.limit.initial = 2;
  s.limit.min = s.limit.max = 2;
  s.maxQueued = 1;
  s.groups = {{1, 2}, {1, 0}};
  RequestLimiter limiter(s);
  const Time deadline = 10s;
  EXPECT_EQ(limiter.submit(1s, 1, 0, deadline).decision, RequestDecision::Admit);
  EXPECT_EQ(limiter.submit(1s, 2, 0, deadline).decision, RequestDecision::Admit);
  EXPECT_EQ(limiter.submit(1s, 3, 0, deadline).decision, RequestDecision::Reject);  // GroupLimit
  EXPECT_EQ(limiter.submit(1s, 4, 1, deadline).decision, RequestDecision::Queue);
  EXPECT_EQ(limiter.submit(1s, 5, 1, deadline).decision, RequestDecision::Reject);  // QueueFull
  EXPECT_EQ(limiter.counters(0).rejected[static_cast<std::size_t>(RequestRejection::GroupLimit)], 1u);
  EXPECT_EQ(limiter.counters(1).rejected[static_cast<std::size_t>(RequestRejection::QueueFull)], 1u);
  s.groups = {{1, 0}};  // one group fewer: its queued request stays queued
  limiter.reload(s);
  EXPECT_EQ(limiter.inFlight(), 2u);
  EXPECT_EQ(limiter.counters(0).queued, 1u);
  const auto resolved = limiter.complete(1s, 1, 1ms, false);
  ASSERT_EQ(resolved.size(), 1u);
  EXPECT_EQ(resolved[0].key, 4u);
  EXPECT_EQ(resolved[0].decision, RequestDecision::Admit);
}

RequestLimiterSettings queueSettings() {
  RequestLimiterSettings s;
  s.limit.kind = LimitKind::Fixed;
  s.limit.initial = s.limit.min = s.limit.max = 2;
  s.maxQueued = 2;
  s.groups = {{1, 0}, {1, 3}};
  return s;
}
// With a single queue, writes waiting for an overloaded primary used up the limit of the reads
// (seen in the lab).
TEST(RequestQueues, AFullQueueDoesNotAffectAnother) {
  RequestQueues queues(queueSettings());
  for (RequestKey k = 1; k <= 4; ++k) queues.submit(1s, k, 1, 0, 9s);
  EXPECT_EQ(queues.submit(1s, 5, 1, 0, 9s).decision, RequestDecision::Reject);
  EXPECT_EQ(queues.submit(1s, 6, 2, 0, 9s).decision, RequestDecision::Admit);
  EXPECT_EQ(queues.counters(0).inFlight, 3u);
  EXPECT_EQ(queues.counters(0).queued, 2u);
}
TEST(RequestQueues, GroupLimitsApplyToAllQueuesTogether) {
  RequestQueues queues(queueSettings());
  for (RequestKey k = 1; k <= 3; ++k)
    EXPECT_EQ(queues.submit(1s, k, k, 1, 9s).decision, RequestDecision::Admit);
  EXPECT_EQ(queues.submit(1s, 4, 9, 1, 9s).decision, RequestDecision::Reject);
  EXPECT_EQ(queues.counters(1).rejected[static_cast<std::size_t>(RequestRejection::GroupLimit)], 1u);
  queues.complete(1s, 2, 1ms, false);
  EXPECT_EQ(queues.submit(1s, 5, 9, 1, 9s).decision, RequestDecision::Admit);
}
// Clients choose the group names, so thousands of names must not create thousands of queues, nor
// queues that are never removed.
TEST(RequestQueues, TheirNumberIsBoundedAndUnusedOnesAreRemoved) {
  RequestQueues queues(queueSettings(), 8);
  for (RequestKey k = 1; k <= 5000; ++k) {
    queues.submit(1s, k, k, 0, 9s);
    queues.cancel(1s, k);
  }
  EXPECT_EQ(queues.queueCount(), 9u);  // 8, and the shared one
  EXPECT_EQ(queues.counters(0).admitted, 5000u);
  queues.rejectOverdue(30s);
  EXPECT_EQ(queues.queueCount(), 9u);
  queues.rejectOverdue(62s);
  EXPECT_EQ(queues.queueCount(), 0u);
  EXPECT_EQ(queues.counters(0).admitted, 5000u);  // counts of removed queues are kept
}
// Compares random events with a simple model: each request is admitted or rejected once, and no
// queue exceeds its limit.
TEST(RequestQueues, EachRequestIsResolvedOnceForRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    pcg64 random(seed);
    RequestLimiterSettings s = queueSettings();
    RequestQueues queues(s, 3);
    struct OpenRequest {
      bool inFlight;
      std::size_t group;
    };
    std::map<RequestKey, OpenRequest> open;
    Time now = 1s;
    RequestKey lastKey = 0;
    const auto applyResolved = [&](const std::vector<ResolvedRequest>& all) {
      for (const ResolvedRequest& a : all) {
        ASSERT_TRUE(open.count(a.key) == 1 && !open.at(a.key).inFlight) << "seed " << seed;
        if (a.decision == RequestDecision::Admit)
          open.at(a.key).inFlight = true;
        else
          open.erase(a.key);
      }
    };
    for (int step = 0; step < 3000; ++step) {
      now += Time(random() % 20000);
      const auto randomKey = [&] {
        auto it = open.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random() % open.size()));
        return it->first;
      };
      const auto action = random() % 10;
      if (action < 5 || open.empty()) {
        const std::size_t group = random() % s.groups.size();
        const RequestKey key = ++lastKey;
        const auto a = queues.submit(now, key, random() % 6, group, now + Time(random() % 200000));
        if (a.decision != RequestDecision::Reject)
          open.emplace(key, OpenRequest{a.decision == RequestDecision::Admit, group});
        applyResolved(a.resolved);
      } else if (action < 7) {
        const RequestKey key = randomKey();
        if (!open.at(key).inFlight) continue;
        open.erase(key);
        applyResolved(queues.complete(now, key, 5ms, random() % 7 == 0));
      } else if (action < 8) {
        const RequestKey key = randomKey();
        open.erase(key);
        applyResolved(queues.cancel(now, key));
      } else if (action < 9) {
        applyResolved(queues.rejectOverdue(now));
      } else if (step % 50 == 0) {
        if (s.groups.size() == 2)
          s.groups.push_back({2, 0});
        else
          s.groups.pop_back();
        for (auto& [key, request] : open) request.group = std::min(request.group, s.groups.size() - 1);
        queues.reload(s);
      }
      std::map<std::size_t, std::pair<std::size_t, std::size_t>> countsByGroup;
      for (const auto& [key, request] : open)
        ++(request.inFlight ? countsByGroup[request.group].first : countsByGroup[request.group].second);
      for (std::size_t g = 0; g < s.groups.size(); ++g) {
        ASSERT_EQ(queues.counters(g).inFlight, countsByGroup[g].first) << "seed " << seed << " step " << step;
        ASSERT_EQ(queues.counters(g).queued, countsByGroup[g].second) << "seed " << seed << " step " << step;
      }
      for (const RequestQueues::QueueView& v : queues.view()) ASSERT_LE(v.inFlight, 2u);
    }
  }
}

TEST(ConnectionAdmission, EvictsIdleConnectionsBeyondReservesWhenDescriptorsRunOut) {
  ConnectionAdmissionSettings s;
  s.maxConnections = 10;
  s.groups.resize(2);
  s.groups[0].name = "desks";
  s.groups[0].reserve = 2;
  s.groups[1].name = "others";
  ConnectionAdmission admission(s, networks({{"10.0.0.0/8", 0}}));
  for (ConnectionId id = 1; id <= 4; ++id) {
    EXPECT_TRUE(admission.admit(1s, id, ip("10.0.0." + std::to_string(id))).admitted);
    admission.markIdle(1s, id);
  }
  for (ConnectionId id = 5; id <= 7; ++id) {
    EXPECT_TRUE(admission.admit(1s, id, ip("192.168.0.1")).admitted);
    if (id != 6) admission.markIdle(2s, id);
  }
  EXPECT_TRUE(admission.evictForExhaustion(1s, 9).empty());  // not idle for long enough
  // Four desks, three others: desks are evicted down to their reserve, then idle others; never busy
  // ones.
  EXPECT_EQ(admission.evictForExhaustion(9s, 9), (std::vector<ConnectionId>{1, 2, 5, 7}));
  EXPECT_EQ(admission.connectionCount(), 3u);
}
TEST(ConnectionAdmission, AnAssignedGroupOverridesTheNetwork) {
  ConnectionAdmissionSettings s;
  s.maxConnections = 2;
  s.groups.resize(2);
  s.groups[0].name = "desks";
  s.groups[0].reserve = 1;
  s.groups[1].name = "others";
  ConnectionAdmission admission(s, networks({}));
  EXPECT_TRUE(admission.admit(1s, 1, ip("10.0.0.1")).admitted);
  EXPECT_FALSE(admission.admit(1s, 2, ip("10.0.0.2")).admitted);
  EXPECT_TRUE(admission.admit(1s, 2, ip("10.0.0.2"), 0).admitted);
  EXPECT_EQ(admission.groupOf(2), 0u);
  admission.reload(s, networks({}));
  EXPECT_EQ(admission.groupOf(2), 0u);
}

TEST(ConnectionLimit, FallsByATenthPerShortageAndRisesByOnePerSecond) {
  ConnectionLimit limit;
  EXPECT_EQ(limit.value(1s, 100), 100u);
  limit.onExhaustion(1s, 80, 10);
  EXPECT_EQ(limit.value(1s, 100), 70u);
  limit.onExhaustion(1100ms, 80, 10);  // the same shortage
  EXPECT_EQ(limit.value(1100ms, 100), 70u);
  limit.onExhaustion(2s, 65, 10);
  EXPECT_EQ(limit.value(2s, 100), 57u);
  EXPECT_EQ(limit.value(12500ms, 100), 67u);
  for (int k = 0; k < 100; ++k) limit.onExhaustion(std::chrono::seconds(20 + k), 60, 10);
  EXPECT_EQ(limit.value(119s, 100), 10u);  // not below the minimum
  EXPECT_EQ(limit.value(1000s, 100), 100u);
  EXPECT_FALSE(limit.active());
}
// When the limit falls, connections of other groups are evicted so that the reserve can still be
// used.
TEST(ConnectionLimit, ReservesHoldWithinALoweredLimit) {
  ConnectionAdmissionSettings s;
  s.maxConnections = 100;
  s.groups.resize(2);
  s.groups[0].name = "desks";
  s.groups[0].reserve = 10;
  s.groups[1].name = "others";
  ConnectionAdmission admission(s, networks({{"10.0.0.0/8", 0}}));
  ConnectionId id = 0;
  for (int k = 0; k < 60; ++k) EXPECT_TRUE(admission.admit(1s, ++id, ip("192.168.0.1")).admitted);
  for (ConnectionId k = 1; k <= 50; ++k) admission.markIdle(1s, k);
  admission.setConnectionLimit(40);
  EXPECT_EQ(admission.evictSurplus(9s, 99).size(), 20u);
  // An idle connection of the other group is evicted for the reserve.
  EXPECT_TRUE(admission.admit(9s, ++id, ip("10.0.0.1")).admitted);
  EXPECT_EQ(admission.connectionCount(), 40u);
}

TEST(RejectionPeriod, BeginsAtTheFirstRejectionAndEndsAfterAQuietTime) {
  RejectionPeriod period;
  EXPECT_EQ(period.update(1s, 0), RejectionPeriod::Transition::None);
  EXPECT_EQ(period.update(2s, 3), RejectionPeriod::Transition::Began);
  EXPECT_EQ(period.update(2500ms, 4), RejectionPeriod::Transition::None);
  EXPECT_EQ(period.update(3400ms, 4), RejectionPeriod::Transition::None);
  EXPECT_TRUE(period.active());
  EXPECT_EQ(period.update(3500ms, 4), RejectionPeriod::Transition::Ended);
  EXPECT_EQ(period.rejections(), 4u);
  EXPECT_EQ(period.duration(), 500ms);
  EXPECT_EQ(period.update(9s, 4), RejectionPeriod::Transition::None);
  EXPECT_EQ(period.update(10s, 5), RejectionPeriod::Transition::Began);
  EXPECT_EQ(period.rejections(), 1u);
}

}  // namespace
}  // namespace sablespur::admission
