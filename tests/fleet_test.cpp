// A hundred Balancers in front of one group, in simulated time: checks the combined effect of the
// decisions that each Balancer makes on its own.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

constexpr int kProxies = 100;
constexpr double kServiceTimeMs = 50;
// Work of a server for a connection handshake; in deployments 2.2 to 7.4 ms, against 45 to 78 ms
// for a read.
constexpr double kHandshakeMs = 5;

Settings fleetSettings() {
  Settings s = settings();
  s.classes.resize(1);
  s.classes[0].maxStaleness = milliseconds(200);
  s.classes[0].latencyObjective = milliseconds(400);
  s.classes[0].deadline = milliseconds(1200);
  ClassSettings write = s.classes[0];
  write.requirement = Requirement::Write;
  write.idempotency = Idempotency::WithKey;
  write.idempotencyScope = IdempotencyScope::Group;
  write.deduplicationWindow = seconds(2);
  write.priorityWeight = 6;
  write.lateWeight = 0.5;
  write.latencyObjective = seconds(1);
  write.deadline = seconds(3);
  s.classes.push_back(write);
  s.reportFields = {ReportField::Position, ReportField::Primary, ReportField::Inflight};
  s.proxyCount = kProxies;
  s.discoveryMode = DiscoveryMode::Subscribe;
  s.positionsInAnswers = true;
  s.maxAttempts = 8;
  s.warmUpPeriod = seconds(18);
  s.overloadWindow = milliseconds(1500);
  s.overloadFactor = 2.5;
  s.warmUpStartCapacity = 0.21;
  s.discoveryPollDeadline = seconds(6);
  return s;
}

// Proxies, servers and the network between them, driven by one event queue. A server serves three
// requests at a time in order of arrival and drops queued requests that were cancelled or timed
// out.
class Fleet {
 public:
  struct Server {
    bool unresponsive = false, primary = false;
    Time started{};
    double startCapacity = 1;  // relative to the full capacity, which is reached after 18 s
    std::deque<std::pair<int, std::pair<RequestId, int>>> queue;
    int busy = 0, received = 0, probes = 0, handshakes = 0;
    std::set<int> connected;  // proxies with a connection
    // Times of arrival and work in ms, within the overload window.
    std::deque<std::pair<Time, double>> work;
    double worstLoad = 0;  // the most work within a window, relative to the capacity in it
  };
  explicit Fleet(std::uint64_t seed, int serverCount = 7) : s(fleetSettings()), random_(seed) {
    std::vector<ListedEndpoint> all;
    for (int k = 1; k <= serverCount; ++k) {
      servers[static_cast<EndpointId>(k)].primary = k == 1;
      all.push_back(BalancerFixture::entry(static_cast<EndpointId>(k)));
    }
    for (int k = 0; k < kProxies; ++k) {
      proxies_.push_back(std::make_unique<Proxy>(*this, k));
      proxies_.back()->b.endpointsListed(now, ListKind::Cached, all);
    }
  }
  void list(const std::vector<ListedEndpoint>& delta) {
    for (auto& r : proxies_) r->b.endpointsListed(now, ListKind::Delta, delta);
  }
  // Lists the servers from `first` to `last` as `state` and as many new ones, with ids ten higher.
  void replace(EndpointId first, EndpointId last, Lifecycle state, double startCapacity) {
    std::vector<ListedEndpoint> delta;
    for (EndpointId m = first; m <= last; ++m) {
      delta.push_back(BalancerFixture::entry(m, state));
      delta.push_back(started(m + 10, startCapacity));
    }
    list(delta);
  }
  // Starts server m now and returns its list entry.
  ListedEndpoint started(EndpointId m, double startCapacity) {
    servers[m].started = now;
    servers[m].startCapacity = startCapacity;
    servers[m].unresponsive = false;
    return BalancerFixture::entry(m, Lifecycle::Ready, now);
  }
  void listFailed() {
    for (auto& r : proxies_) r->b.endpointsListed(now, ListKind::Failed, {});
  }
  std::size_t removeExpired() { return proxies_[0]->b.removeExpiredEndpoints(now).size(); }
  // Sends `rate` requests per second, spread over all proxies.
  void run(double seconds, double rate, int cls = 0) {
    const Time end = now + Time(static_cast<std::int64_t>(seconds * 1e6));
    std::exponential_distribution<double> gap(rate / 1e6);
    for (Time next = now; next < end; next += Time(static_cast<std::int64_t>(gap(random_)) + 1))
      at(next, [this, cls] { request(cls); });
    while (!events_.empty() && events_.top().due <= end) {
      const Event e = events_.top();
      events_.pop();
      now = e.due;
      e.act();
    }
    now = end;
  }

  Settings s;
  Time now = seconds(1100);
  std::map<EndpointId, Server> servers;
  int requested = 0, served = 0, rejected = 0, failed = 0;
  std::vector<Time> discoveryCalls;
  std::vector<Time> probes;  // health checks of any server
  std::uint64_t digest = 0;  // of all actions in order

 private:
  struct Proxy : ActionSink {
    Proxy(Fleet& f, int k) : fleet(f), b(f.s, 7000 + static_cast<std::uint64_t>(k), *this) {}
    void addToDigest(std::uint64_t action, std::uint64_t a, std::uint64_t b2) {
      fleet.digest = (fleet.digest ^ (action + 31 * a + 1009 * b2)) * 0x100000001b3ull;
    }
    void send(RequestId id, EndpointId m, Time until) override {
      addToDigest(1, id, m);
      const int attempt = attempts[id]++;
      fleet.at(fleet.now + milliseconds(1),
               [this, id, attempt, m, until] { fleet.receive(*this, id, attempt, m, until); });
    }
    void reject(RequestId id, Time) override { addToDigest(2, id, 0), ++fleet.rejected; }
    void fail(RequestId id) override { addToDigest(3, id, 0), ++fleet.failed; }
    void cancel(RequestId id, int attempt) override {
      fleet.at(fleet.now, [this, id, attempt] { fleet.end(*this, id, attempt, AttemptResult::Cancelled); });
    }
    void scheduleTimer(Time in, std::uint64_t token) override {
      fleet.at(fleet.now + in, [this, token] { b.timerFired(fleet.now, token); });
    }
    void startHealthCheck(EndpointId m) override {
      addToDigest(4, m, 0);
      ++fleet.servers[m].probes;
      fleet.probes.push_back(fleet.now);
      fleet.at(fleet.now + (fleet.servers[m].unresponsive ? milliseconds(250) : milliseconds(3)), [this, m] {
        const Server& x = fleet.servers[m];
        HealthCheckResult p;
        p.endpoint = m;
        p.ok = !x.unresponsive;
        if (p.ok)
          p.report = {static_cast<float>((fleet.now - fleet.s.positionEpoch).count()) / 1e6f - 0.01f,
                      x.primary ? 1.f : 0.f, static_cast<float>(x.busy + static_cast<int>(x.queue.size()))};
        b.healthCheckEnded(fleet.now, p);
        if (p.ok) fleet.gossip(*this, m, fleet.statusOf(x, milliseconds(10)), -1, Time(0));
      });
    }
    void subscribe() override { fleet.discoveryCalls.push_back(fleet.now); }
    Fleet& fleet;
    Balancer b;
    std::map<RequestId, int> attempts;
  };
  struct OpenAttempt {
    EndpointId endpoint;
    Time sent;
    int cls;
  };
  struct Event {
    Time due;
    std::uint64_t sequence;
    std::function<void()> act;
    bool operator<(const Event& o) const { return due != o.due ? due > o.due : sequence > o.sequence; }
  };
  void at(Time due, std::function<void()> act) { events_.push({due, ++sequence_, std::move(act)}); }

  std::uint32_t statusOf(const Server& m, Time lag) const {
    return static_cast<std::uint32_t>((now - lag - s.positionEpoch).count() / 1000) * 4 + (m.primary ? 1 : 2);
  }
  void request(int cls) {
    ++requested;
    Request q;
    q.id = ++lastId_;
    q.classIndex = cls;
    q.group = 7;
    q.deadline = now + s.classes[static_cast<std::size_t>(cls)].deadline;
    classes_[q.id] = cls;
    proxies_[random_() % kProxies]->b.request(now, q);
  }
  double capacity(const Server& m) const {
    if (m.started == Time(0)) return 1;
    const double age = static_cast<double>((now - m.started).count()) / 18e6;
    return std::min(1.0, m.startCapacity + (1 - m.startCapacity) * age);
  }
  void receive(Proxy& r, RequestId id, int attempt, EndpointId to, Time until) {
    Server& m = servers[to];
    ++m.received;
    openAttempts_[{id, attempt}] = {to, now, classes_[id]};
    m.work.emplace_back(now, kServiceTimeMs);
    if (m.connected.insert(index(r)).second) m.work.emplace_back(now, kHandshakeMs), ++m.handshakes;
    while (m.work.front().first < now - s.overloadWindow) m.work.pop_front();
    double workMs = 0;
    for (const auto& [when, ms] : m.work) workMs += ms;
    m.worstLoad = std::max(m.worstLoad,
                           workMs / (3 * capacity(m) * static_cast<double>(s.overloadWindow.count()) / 1e3));
    at(std::max(until, now), [this, &r, id, attempt] { end(r, id, attempt, AttemptResult::Timeout); });
    if (m.unresponsive) return;
    m.queue.push_back({index(r), {id, attempt}});
    serve(to);
  }
  int index(const Proxy& r) const {
    for (int k = 0; k < kProxies; ++k)
      if (proxies_[static_cast<std::size_t>(k)].get() == &r) return k;
    return -1;
  }
  void serve(EndpointId id) {
    Server& m = servers[id];
    while (m.busy < 3 && !m.queue.empty()) {
      const auto [proxyIndex, key] = m.queue.front();
      m.queue.pop_front();
      if (openAttempts_.count(key) == 0) continue;  // cancelled or timed out in the queue
      ++m.busy;
      const double ms = std::exponential_distribution<double>(1 / kServiceTimeMs)(random_) / capacity(m);
      at(now + Time(static_cast<std::int64_t>(ms * 1e3) + 1), [this, id, proxyIndex = proxyIndex, key = key] {
        --servers[id].busy;
        if (openAttempts_.count(key) > 0)
          end(*proxies_[static_cast<std::size_t>(proxyIndex)], key.first, key.second, AttemptResult::Ok);
        serve(id);
      });
    }
  }
  void end(Proxy& r, RequestId id, int attempt, AttemptResult result) {
    const auto it = openAttempts_.find({id, attempt});
    if (it == openAttempts_.end()) return;
    const OpenAttempt was = it->second;
    openAttempts_.erase(it);
    const Server& m = servers[was.endpoint];
    AttemptOutcome o;
    o.request = id;
    o.attempt = attempt;
    o.endpoint = was.endpoint;
    o.result = result;
    if (result == AttemptResult::Ok && was.cls == 1 && !m.primary) o.result = AttemptResult::TooStale;
    if (result == AttemptResult::Ok) o.replicationStatus = statusOf(m, milliseconds(5));
    served += o.result == AttemptResult::Ok;
    o.clientAnswered = o.result == AttemptResult::Ok;
    const Time took = now - was.sent;
    r.b.attemptEnded(now, o);
    if (result != AttemptResult::Ok) return;
    gossip(r, o.endpoint, o.replicationStatus, o.result == AttemptResult::Ok ? was.cls : -1, took);
  }
  // Passes the replication status of an answer or a health check on to all other proxies.
  void gossip(const Proxy& sender, EndpointId m, std::uint32_t status, int cls, Time took) {
    at(now + milliseconds(20), [this, sender = index(sender), m, status, cls, took] {
      for (int k = 0; k < kProxies; ++k)
        if (k != sender) proxies_[static_cast<std::size_t>(k)]->b.gossipReceived(now, m, status, cls, took);
    });
  }

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::priority_queue<Event> events_;
  std::map<std::pair<RequestId, int>, OpenAttempt> openAttempts_;
  std::map<RequestId, int> classes_;
  std::uint64_t sequence_ = 0;
  RequestId lastId_ = 0;
};

// The largest number of times within any window.
double maxInWindow(const std::vector<Time>& times, Time window) {
  std::size_t from = 0, most = 0;
  for (std::size_t k = 0; k < times.size(); ++k) {
    while (times[k] - times[from] >= window) ++from;
    most = std::max(most, k - from + 1);
  }
  return static_cast<double>(most);
}

constexpr double kGroupCapacity = 7 * 3 * 1000 / kServiceTimeMs;  // requests per second

TEST(LargeFleet, ColdServersAreUsedWithinTheBudgetOfAllProxies) {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    Fleet f(seed);
    f.run(3, 0.6 * kGroupCapacity);
    f.replace(5, 7, Lifecycle::Draining, 0.21);  // the start capacity of the settings
    const int before = f.servers[5].received;
    f.run(0.01, 0.6 * kGroupCapacity);
    f.run(8, 0.95 * kGroupCapacity);
    EXPECT_LE(f.servers[5].received, before + 10)
        << "at most the requests that were under way when it drained";
    int sent = 0;
    for (EndpointId m = 15; m <= 17; ++m) {
      EXPECT_LT(f.servers[m].worstLoad, 2.2) << "seed " << seed << ", server " << m << " is overloaded";
      sent += f.servers[m].received;
    }
    // In 8 s the three have a capacity of at least 560 requests; they have to get most of it.
    EXPECT_GT(sent, 400) << "seed " << seed << ": too few requests to warm up";
  }
}

// Regression test (scenario herd+mass with the full fleet): all warm replicas of a group drained,
// and the one that had just started got nearly all reads of 300 proxies, plus a handshake from
// each. Each proxy limited it to a share of the demand of the group instead of a share of the
// capacity of the server.
TEST(LargeFleet, AColdServerThatIsTheOnlyReplicaLeftIsNotOverloaded) {
  for (const std::uint64_t seed : {11u, 12u, 13u}) {
    Fleet f(seed);
    f.run(3, 0.6 * kGroupCapacity);
    std::vector<ListedEndpoint> delta{f.started(12, 0.21)};
    for (EndpointId m = 2; m <= 7; ++m) delta.push_back(BalancerFixture::entry(m, Lifecycle::Draining));
    f.list(delta);
    f.run(6, 0.6 * kGroupCapacity);
    const Fleet::Server& cold = f.servers[12];
    EXPECT_LT(cold.worstLoad, 2.2) << "seed " << seed << ": overloaded by " << cold.received
                                   << " requests and " << cold.handshakes << " handshakes";
    // Its capacity is at least 0.21 of 60 requests per second and rises to 0.5 in 6 s; a fifth of
    // it is used.
    EXPECT_GT(cold.received, 0.2 * 6 * 60 * (0.21 + 0.5) / 2)
        << "seed " << seed << ": too few requests to warm up";
  }
}

TEST(LargeFleet, AnUnresponsiveZoneCausesNoHealthCheckStormAndReturnsWithinItsBudget) {
  Fleet f(4);
  f.run(4, 0.4 * kGroupCapacity);
  const std::size_t before = f.probes.size();
  const double usual = maxInWindow(f.probes, seconds(1));
  for (EndpointId m = 5; m <= 7; ++m) f.servers[m].unresponsive = true;
  f.run(4, 0.4 * kGroupCapacity);
  const std::vector<Time> after(f.probes.begin() + static_cast<std::ptrdiff_t>(before), f.probes.end());
  EXPECT_LT(maxInWindow(after, milliseconds(100)), 3 * kProxies)
      << "each proxy checks each unresponsive server once";
  EXPECT_LT(maxInWindow(after, seconds(1)), usual + 8 * kProxies);
  // Only occasional trial requests still go there, fewer than half of the usual share of a server.
  std::map<EndpointId, int> sent;
  for (EndpointId m = 5; m <= 7; ++m) sent[m] = f.servers[m].received;
  f.run(2, 0.4 * kGroupCapacity);
  for (EndpointId m = 5; m <= 7; ++m)
    EXPECT_LT(f.servers[m].received - sent[m], 2 * 0.4 * kGroupCapacity / 7 / 2) << m;
  // The zone returns cold: it is used within the budget of all proxies and at once, not 8 s later.
  std::vector<ListedEndpoint> returned;
  for (EndpointId m = 5; m <= 7; ++m) returned.push_back(f.started(m, 0.21)), sent[m] = f.servers[m].received;
  f.list(returned);
  f.run(4, 0.6 * kGroupCapacity);
  int all = 0;
  for (EndpointId m = 5; m <= 7; ++m) {
    EXPECT_LT(f.servers[m].worstLoad, 2.2) << m;
    EXPECT_GT(f.servers[m].received, sent[m]) << m;
    all += f.servers[m].received - sent[m];
  }
  EXPECT_GT(all, 70) << "a third of the minimum capacity of the three in 4 s";
}

TEST(LargeFleet, CallsToDiscoveryAfterACommonFailureAreSpread) {
  Fleet f(5);
  f.discoveryCalls.clear();
  f.listFailed();
  f.run(1, 10);
  EXPECT_GE(f.discoveryCalls.size(), static_cast<std::size_t>(kProxies));
  EXPECT_LE(maxInWindow(f.discoveryCalls, milliseconds(20)), 30)
      << "a hundred calls are spread over a fifth of a second";
  f.discoveryCalls.clear();
  f.listFailed();
  f.listFailed();  // the second failure backs off longer
  f.run(3, 10);
  EXPECT_LE(maxInWindow(f.discoveryCalls, milliseconds(20)), 20);
}

TEST(LargeFleet, AFewAnswersMakeANewPrimaryKnownToAllProxies) {
  Fleet f(6);
  f.run(2, 0.3 * kGroupCapacity);
  f.run(1, 20, 1);
  f.servers[1].primary = false;
  f.servers[2].primary = true;
  f.run(1.5, 20, 1);
  const int atFormer = f.servers[1].received, atNew = f.servers[2].received;
  f.run(2, 20, 1);
  EXPECT_LE(f.servers[1].received - atFormer, 2);
  EXPECT_GE(f.servers[2].received - atNew, 30);
}

TEST(LargeFleet, ReplacedServersAreRemoved) {
  Fleet f(7, 10);
  f.run(2, 0.3 * kGroupCapacity);
  f.replace(5, 10, Lifecycle::Gone, 0.3);
  f.run(9, 0.3 * kGroupCapacity);
  EXPECT_EQ(f.removeExpired(), 0u);
  f.run(3, 0.3 * kGroupCapacity);
  EXPECT_EQ(f.removeExpired(), 6u);
  EXPECT_GT(f.served, 9 * f.requested / 10);
}

TEST(LargeFleet, TheSameSeedGivesTheSameActions) {
  Fleet a(8), b(8), c(9);
  for (Fleet* f : {&a, &b, &c}) f->run(2, 0.5 * kGroupCapacity);
  EXPECT_EQ(a.digest, b.digest);
  EXPECT_NE(a.digest, c.digest);
}

}  // namespace
}  // namespace sablespur::balancer::test
