// Runs a fleet of gossip schedulers on a simulated network. As the fleet grows, the datagrams that
// each proxy receives stay bounded, the positions that it knows stay fresh, and a change of role
// reaches all proxies.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

#include "cluster/scheduler.hpp"

namespace sablespur::cluster {
namespace {

constexpr std::int64_t kStartMs = 1767225600000;
constexpr std::uint64_t kEndpoints = 12;
constexpr std::int64_t kBoundMs = 200;
constexpr double kResponsesPerSecond = 35;  // at each proxy
constexpr double kLoss = 0.02;              // probability per datagram and receiver
constexpr int kMinDelayMs = 1, kMaxDelayMs = 40;
// Figures are measured in the span after the warm-up, or after a change of role.
constexpr std::int64_t kWarmUpMs = 1000, kSpanMs = 1500;
constexpr std::int64_t kFailOverMs = 1000, kFailOverSpanMs = 600;

struct Figures {
  double datagrams = 0, bytes = 0;  // received per second, mean over proxies
  double busiest = 0;               // datagrams per second at the proxy that received most
  std::int64_t p50 = 0, p99 = 0;    // ms: age of the newest known position, sampled at each response
};

// How datagrams reach other proxies: a broadcast address, a broadcast address and a relay, or a
// sample of the peers.
enum class Reach { All, Relay, Sample };
constexpr Reach kReaches[] = {Reach::All, Reach::Relay, Reach::Sample};
const char* nameOf(Reach reach) {
  return reach == Reach::All ? "all" : reach == Reach::Relay ? "relay" : "sample";
}

class FleetSimulation {
 public:
  FleetSimulation(std::size_t proxies, Reach reach, std::uint64_t seed)
      : random_(seed), proxies_(proxies), down_(proxies, false) {
    for (std::size_t k = 0; k < proxies; ++k) {
      GossipScheduler::Policy policy{proxies - 1, kBoundMs, reach != Reach::Sample, seed * 100000 + k};
      if (reach == Reach::Relay) {  // ranked by their numbers
        policy.rankedBefore.emplace(k);
        std::iota(policy.rankedBefore->begin(), policy.rankedBefore->end(), std::size_t{0});
      }
      schedulers_.push_back(std::make_unique<GossipScheduler>(policy));
      nextResponses_.push({kStartMs + uniform(0, 28), k});
    }
    newestPositions_.assign(proxies * kEndpoints, 0);
    knowsPrimary_.assign(proxies, kEndpoints);
    received_.assign(proxies, 0);
    turn_.assign(proxies, false);
    wakeMs_.assign(proxies, std::numeric_limits<std::int64_t>::max());
  }

  // From `atMs` on, endpoint `to` responds as the primary and the previous primary as a replica. With
  // `onlyFirstProxyObserves`, only proxy 0 gets responses of these two.
  void failOver(std::int64_t atMs, std::uint64_t to, bool onlyFirstProxyObserves) {
    failOverMs_ = kStartMs + atMs;
    newPrimary_ = to;
    onlyFirstProxyObserves_ = onlyFirstProxyObserves;
  }

  // From `atMs` on the first `count` proxies are down.
  void takeDown(std::size_t count, std::int64_t atMs) {
    downCount_ = count;
    downAtMs_ = kStartMs + atMs;
  }

  Figures run() {
    const std::int64_t endMs =
        failOverMs_ > 0 ? failOverMs_ + kFailOverSpanMs : kStartMs + kWarmUpMs + kSpanMs;
    for (now_ = kStartMs; now_ < endMs; ++now_) {
      if (downCount_ > 0 && now_ == downAtMs_)
        for (std::size_t k = 0; k < downCount_; ++k) down_[k] = true;
      deliverDatagrams();
      if (onlyFirstProxyObserves_ && now_ == failOverMs_) {
        schedulers_[0]->observedLocally(statusOf(newPrimary_), now_);
        learn(0, statusOf(newPrimary_));
        turn_[0] = true;
      }
      deliverResponses();
      for (std::size_t k = 0; k < proxies_; ++k)
        if (!down_[k] && (turn_[k] || wakeMs_[k] <= now_)) turn(k);
      countInformed();
    }
    return figures();
  }

  // Returns the time in ms from the change of role until this share of the proxies knew of it; -1
  // if never.
  std::int64_t informedAfterMs(double share) const {
    for (const auto& [ms, n] : informed_)
      if (static_cast<double>(n) >= share * static_cast<double>(proxies_)) return ms - failOverMs_;
    return -1;
  }
  std::size_t urgentDatagrams() const { return sentAtFailOver_; }

 private:
  struct Response {
    std::int64_t atMs;
    std::size_t proxy;
    bool operator<(const Response& o) const { return atMs > o.atMs; }
  };
  struct Delivery {
    std::size_t proxy, sender;
    std::shared_ptr<const std::vector<GossipUpdate>> updates;
  };

  std::int64_t uniform(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
  }
  bool failedOver() const { return failOverMs_ > 0 && now_ >= failOverMs_; }
  std::uint64_t primary() const { return failedOver() ? newPrimary_ : 0; }

  // Replicas lag by 5 to 45 ms.
  GossipUpdate statusOf(std::uint64_t endpoint) {
    const bool isPrimary = endpoint == primary();
    return {endpoint, now_ - (isPrimary ? 0 : uniform(5, 45)),
            isPrimary ? GossipRole::Primary : GossipRole::Replica, 0, 20000};
  }
  void deliverResponses() {
    while (!nextResponses_.empty() && nextResponses_.top().atMs <= now_) {
      const Response a = nextResponses_.top();
      nextResponses_.pop();
      const auto gap = std::exponential_distribution<>(kResponsesPerSecond / 1000)(random_);
      nextResponses_.push({now_ + 1 + static_cast<std::int64_t>(gap), a.proxy});
      if (down_[a.proxy]) continue;
      auto endpoint = static_cast<std::uint64_t>(uniform(0, kEndpoints - 1));
      // If only one proxy observes the change, no other gets a response of the two endpoints that
      // changed.
      if (onlyFirstProxyObserves_ && failedOver() && a.proxy != 0 &&
          (endpoint == newPrimary_ || endpoint == 0))
        endpoint = newPrimary_ + 1;
      const std::int64_t position = newestPositions_[a.proxy * kEndpoints + endpoint];
      if (now_ >= kStartMs + kWarmUpMs && position > 0) ages_.push_back(now_ - position);
      const GossipUpdate update = statusOf(endpoint);
      schedulers_[a.proxy]->observedLocally(update, now_);
      learn(a.proxy, update);
      turn_[a.proxy] = true;
    }
  }
  void learn(std::size_t proxy, const GossipUpdate& update) {
    std::int64_t& newest = newestPositions_[proxy * kEndpoints + update.endpointTag];
    newest = std::max(newest, update.positionMs);
    if (update.role == GossipRole::Primary && update.endpointTag == primary())
      knowsPrimary_[proxy] = update.endpointTag;
  }

  // A turn of the proxy's event loop: after a response or a datagram, or when its timer is due.
  void turn(std::size_t proxy) {
    turn_[proxy] = false;
    send(proxy);
    const auto never = std::numeric_limits<std::int64_t>::max();
    wakeMs_[proxy] = std::min(schedulers_[proxy]->urgentAtMs().value_or(never),
                              schedulers_[proxy]->relayAtMs(now_).value_or(never));
  }
  void transmit(std::size_t proxy, std::size_t peer,
                const std::shared_ptr<const std::vector<GossipUpdate>>& updates) {
    if (std::uniform_real_distribution<>(0, 1)(random_) < kLoss) return;
    arrivals_[static_cast<std::size_t>(now_ + uniform(kMinDelayMs, kMaxDelayMs)) % kSlots].push_back(
        {peer < proxy ? peer : peer + 1, proxy, updates});
  }
  void send(std::size_t proxy) {
    std::vector<GossipUpdate> datagram;
    while (const auto relay = schedulers_[proxy]->takeForRelay(now_, datagram)) {
      EXPECT_LE(datagram.size(), kGossipUpdatesPerDatagram);
      transmit(proxy, *relay, std::make_shared<const std::vector<GossipUpdate>>(datagram));
    }
    while (schedulers_[proxy]->takeDatagram(now_, datagram)) {
      EXPECT_LE(datagram.size(), kGossipUpdatesPerDatagram);
      const auto updates = std::make_shared<const std::vector<GossipUpdate>>(datagram);
      const bool hasRoleChange =
          failedOver() && std::any_of(datagram.begin(), datagram.end(), [&](const GossipUpdate& h) {
            return h.endpointTag == newPrimary_ && h.role == GossipRole::Primary;
          });
      sentAtFailOver_ += hasRoleChange && now_ < failOverMs_ + 250;
      for (const std::size_t peer : schedulers_[proxy]->drawReceivers()) transmit(proxy, peer, updates);
    }
  }
  void deliverDatagrams() {
    std::vector<Delivery>& due = arrivals_[static_cast<std::size_t>(now_) % kSlots];
    for (const Delivery& d : due) {
      if (down_[d.proxy]) continue;
      if (now_ >= kStartMs + kWarmUpMs) {
        ++received_[d.proxy];
        bytes_ += static_cast<double>(1 + d.updates->size() * kGossipUpdateBytes);
      }
      turn_[d.proxy] = true;
      schedulers_[d.proxy]->datagramReceived(d.sender < d.proxy ? d.sender : d.sender - 1);
      for (const GossipUpdate& update : *d.updates) {
        schedulers_[d.proxy]->receivedFromPeer(update, now_);
        learn(d.proxy, update);
      }
    }
    due.clear();
  }
  void countInformed() {
    if (!failedOver()) return;
    const auto knowing = std::count(knowsPrimary_.begin(), knowsPrimary_.end(), newPrimary_);
    informed_.emplace_back(now_, static_cast<std::size_t>(knowing));
  }

  Figures figures() {
    Figures f;
    const double seconds = kSpanMs / 1000.0, n = static_cast<double>(proxies_);
    double all = 0;
    for (const std::size_t r : received_) {
      all += static_cast<double>(r);
      f.busiest = std::max(f.busiest, static_cast<double>(r) / seconds);
    }
    f.datagrams = all / n / seconds;
    f.bytes = bytes_ / n / seconds;
    std::sort(ages_.begin(), ages_.end());
    f.p50 = ages_[ages_.size() / 2];
    f.p99 = ages_[ages_.size() * 99 / 100];
    return f;
  }

  static constexpr std::size_t kSlots = kMaxDelayMs + 1;  // of arrivals, one per ms of delay
  std::mt19937_64 random_;
  const std::size_t proxies_;
  std::vector<bool> down_;
  std::size_t downCount_ = 0;
  std::int64_t downAtMs_ = 0;
  std::vector<std::unique_ptr<GossipScheduler>> schedulers_;
  std::priority_queue<Response> nextResponses_;
  std::vector<Delivery> arrivals_[kSlots];
  std::vector<std::int64_t> newestPositions_;  // by proxy and endpoint
  std::vector<std::uint64_t> knowsPrimary_;
  std::vector<std::size_t> received_;
  std::vector<bool> turn_;            // a response or datagram has arrived since the last turn
  std::vector<std::int64_t> wakeMs_;  // when the proxy's timer is due
  double bytes_ = 0;
  std::vector<std::int64_t> ages_;
  std::int64_t now_ = 0, failOverMs_ = 0;
  std::uint64_t newPrimary_ = 0;
  bool onlyFirstProxyObserves_ = false;
  // Time in ms and the number of proxies that knew the new primary at that time.
  std::vector<std::pair<std::int64_t, std::size_t>> informed_;
  std::size_t sentAtFailOver_ = 0;
};

constexpr std::size_t kSizes[] = {6, 60, 350, 900};

TEST(GossipFleet, ReceivedDatagramsStayBoundedAndPositionsFresh) {
  std::printf("proxies  reach   datagrams/s  busiest  bytes/s  age p50  p99 ms\n");
  for (const Reach reach : kReaches) {
    Figures at60;
    for (const std::size_t n : kSizes) {
      const Figures f = FleetSimulation(n, reach, n).run();
      std::printf("%7zu  %-7s %11.1f %8.1f %8.0f %8lld %7lld\n", n, nameOf(reach), f.datagrams, f.busiest,
                  f.bytes, static_cast<long long>(f.p50), static_cast<long long>(f.p99));
      if (n == 60) at60 = f;
      EXPECT_LE(f.datagrams, kReceivedPerSecond + kUrgentReceivedPerSecond) << n;
      const bool relayed = reach == Reach::Relay && n > kMaxDirectPeers;
      const double busiest = kReceivedPerSecond + kUrgentReceivedPerSecond;
      EXPECT_LE(f.busiest, 1.5 * (relayed ? busiest + kRelayReceivedPerSecond : busiest)) << n;
      EXPECT_LE(f.p50, kBoundMs) << n;
      EXPECT_LE(f.p99, n == 6 ? 1200 : 600) << n;  // six proxies get few responses to share
      if (relayed) {
        EXPECT_LE(f.p99, kBoundMs) << n
                                   << ": with a relay each observed position reaches all proxies in time";
      }
      if (n <= 60) continue;
      EXPECT_LE(f.datagrams, 1.4 * at60.datagrams) << n;
      EXPECT_LE(f.bytes, 1.4 * at60.bytes) << n;
    }
  }
}

TEST(GossipFleet, PositionsStayFreshIfTheRelayAndItsSuccessorsGoDown) {
  for (const std::size_t n : {60, 350}) {
    FleetSimulation fleet(n, Reach::Relay, n + 3);
    fleet.takeDown(3, kWarmUpMs - 200);  // each of them is suspected after 300 ms
    const Figures f = fleet.run();
    std::printf("%7zu proxies, three relays down: %.1f datagrams/s, age p50 %lld ms, p99 %lld ms\n", n,
                f.datagrams, static_cast<long long>(f.p50), static_cast<long long>(f.p99));
    EXPECT_LE(f.p50, kBoundMs) << n;
    EXPECT_LE(f.p99, 1500) << n;
    EXPECT_LE(f.datagrams, kReceivedPerSecond + kUrgentReceivedPerSecond) << n;
  }
}

TEST(GossipFleet, AChangeOfRoleObservedByOneProxyReaches99PercentWithinHalfASecond) {
  std::printf("proxies  reach   99%% informed after ms  datagrams\n");
  for (const Reach reach : kReaches)
    for (const std::size_t n : kSizes) {
      FleetSimulation fleet(n, reach, n + 7);
      fleet.failOver(kFailOverMs, 5, true);
      fleet.run();
      const std::int64_t after = fleet.informedAfterMs(0.99);
      std::printf("%7zu  %-7s %22lld %10zu\n", n, nameOf(reach), static_cast<long long>(after),
                  fleet.urgentDatagrams());
      EXPECT_GE(after, 0) << n << " never";
      EXPECT_LE(after, 500) << n;
    }
}

TEST(GossipFleet, AChangeOfRoleObservedByAllProxiesIsSentByFew) {
  for (const Reach reach : {Reach::All, Reach::Relay})
    for (const std::size_t n : kSizes) {
      FleetSimulation fleet(n, reach, n + 11);
      fleet.failOver(kFailOverMs, 5, false);
      fleet.run();
      std::printf("%7zu proxies: 99%% informed after %lld ms, %zu datagrams\n", n,
                  static_cast<long long>(fleet.informedAfterMs(0.99)), fleet.urgentDatagrams());
      EXPECT_GE(fleet.informedAfterMs(0.99), 0) << n << " never";
      EXPECT_LE(fleet.informedAfterMs(0.99), 500) << n;
      EXPECT_LE(fleet.urgentDatagrams(), 60u) << n;
    }
}

}  // namespace
}  // namespace sablespur::cluster
