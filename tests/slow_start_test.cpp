// Many Balancers in front of servers that have just started, in simulated time. Counts the requests
// that all of them together send to one server within the overload window of the rule. Traffic is
// uneven and bursty, and the Balancers exchange no information.
#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

struct FleetOptions {
  int proxies = 20;
  // N: the requests that a server may get in an overload window right after its start.
  double startBudget = 35;
  int groups = 2, serversPerGroup = 5;
  double load = 0.6;         // relative to the capacity of the groups
  double writeShare = 0.07;  // of the requests
  double overloadFactor = 2.5;
  bool restartPrimaries = false;  // restart the primaries instead of replicas
  bool restartAll = false;        // restart all servers
  int clientRetries = 0;          // retries of a client, each 50 ms after a rejection
  bool drainOthers = false;       // drain all other servers, except a primary that gets writes
  int configuredProxies = 0;      // number of proxies in the settings; 0: the actual number
  bool proxiesRestarted = false;  // the proxies have just started too and have seen no traffic
  int restartedReplicas = 1;      // in each group, unless restartPrimaries
};

Settings slowStartSettings(const FleetOptions& p) {
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
  s.proxyCount = p.configuredProxies > 0 ? p.configuredProxies : p.proxies;
  s.positionsInAnswers = true;
  s.maxAttempts = 8;
  s.warmUpPeriod = seconds(12);
  s.overloadWindow = milliseconds(1500);
  s.overloadFactor = p.overloadFactor;
  s.warmUpStartCapacity = 0.21;
  return s;
}

class Fleet {
 public:
  struct Server {
    GroupId group = 0;
    bool primary = false;
    Time started{};
    std::deque<std::pair<int, std::pair<RequestId, int>>> queue;
    int busy = 0, arrived = 0, writes = 0;
    std::deque<Time> window;
    double worstLoad = 0;  // requests within a window, as a multiple of N + 2 sqrt(N) + 2
    double worstRequests = 0, worstBudget = 0;  // in that window
  };

  Fleet(const FleetOptions& p, std::uint64_t seed) : options(p), s(slowStartSettings(p)), random_(seed) {
    capacity_ = p.startBudget / (p.overloadFactor * s.warmUpStartCapacity * 1.5);
    slots_ = std::max(1, static_cast<int>(capacity_ * 0.06));
    for (int g = 0; g < p.groups; ++g)
      for (int k = 0; k < p.serversPerGroup; ++k) {
        const auto id = static_cast<EndpointId>(g * p.serversPerGroup + k + 1);
        servers[id].group = static_cast<GroupId>(g + 1);
        servers[id].primary = k == 0;
        endpoints_.push_back(entry(id));
      }
    for (int k = 0; k < p.proxies; ++k) {
      proxies_.push_back(std::make_unique<Proxy>(*this, 9000 * seed + static_cast<std::uint64_t>(k)));
      proxies_.back()->b.endpointsListed(now, ListKind::Cached, endpoints_);
      // Some proxies get several times the mean traffic.
      weights_.push_back(k % 7 == 0 ? 5 : k % 3 == 0 ? 0.3 : 1);
    }
  }
  ListedEndpoint entry(EndpointId id, Lifecycle state = Lifecycle::Ready) const {
    ListedEndpoint m = BalancerFixture::entry(id, state, servers.at(id).started);
    m.group = servers.at(id).group;
    return m;
  }
  // Restarts servers as the options say; one list update reports all changes to the proxies.
  void restartServers() {
    std::vector<ListedEndpoint> delta;
    for (auto& [id, x] : servers) {
      const bool first = (id - 1) % static_cast<EndpointId>(options.serversPerGroup) == 0,
                 last = (id - 1) % static_cast<EndpointId>(options.serversPerGroup) >=
                        static_cast<EndpointId>(options.serversPerGroup - options.restartedReplicas);
      const bool restarts = options.restartAll || (options.restartPrimaries ? first : last);
      if (restarts) {
        x.started = now;
        x.queue.clear();
        delta.push_back(entry(id));
      } else if (options.drainOthers && !(first && options.writeShare > 0)) {
        delta.push_back(entry(id, Lifecycle::Draining));
      }
    }
    for (auto& r : proxies_) r->b.endpointsListed(now, ListKind::Delta, delta);
  }
  void run(double forSeconds, double factor = 1) {
    const Time end = now + Time(static_cast<std::int64_t>(forSeconds * 1e6));
    const double rate = options.load * factor * capacity_ * options.groups * options.serversPerGroup;
    std::exponential_distribution<double> gap(rate / 1e6);
    std::discrete_distribution<std::size_t> proxy(weights_.begin(), weights_.end());
    for (Time next = now; next < end; next += Time(static_cast<std::int64_t>(gap(random_)) + 1))
      at(next, [this, proxy]() mutable { request(proxy(random_)); });
    while (!events_.empty() && events_.top().due <= end) {
      const Event e = events_.top();
      events_.pop();
      now = e.due;
      e.act();
    }
    now = end;
  }

  const FleetOptions options;
  Settings s;
  Time now = seconds(1100);
  std::map<EndpointId, Server> servers;
  int requested[2] = {0, 0}, served[2] = {0, 0};  // reads, writes

 private:
  struct Proxy : ActionSink {
    Proxy(Fleet& f, std::uint64_t seed) : fleet(f), b(f.s, seed, *this) {}
    void send(RequestId id, EndpointId m, Time until) override {
      const int attempt = attempts[id]++;
      fleet.at(fleet.now + milliseconds(1),
               [this, id, attempt, m, until] { fleet.receive(*this, id, attempt, m, until); });
    }
    void reject(RequestId id, Time) override { fleet.rejected(id); }
    void fail(RequestId id) override { fleet.rejected(id); }
    void cancel(RequestId id, int attempt) override {
      fleet.at(fleet.now, [this, id, attempt] { fleet.end(*this, id, attempt, AttemptResult::Cancelled); });
    }
    void scheduleTimer(Time in, std::uint64_t token) override {
      fleet.at(fleet.now + in, [this, token] { b.timerFired(fleet.now, token); });
    }
    void startHealthCheck(EndpointId m) override {
      fleet.at(fleet.now + milliseconds(3), [this, m] {
        const Server& x = fleet.servers[m];
        HealthCheckResult p;
        p.endpoint = m;
        p.ok = true;
        p.report = {static_cast<float>((fleet.now - fleet.s.positionEpoch).count()) / 1e6f - 0.01f,
                    x.primary ? 1.f : 0.f, static_cast<float>(x.busy) + static_cast<float>(x.queue.size())};
        b.healthCheckEnded(fleet.now, p);
      });
    }
    void subscribe() override {}
    Fleet& fleet;
    Balancer b;
    std::map<RequestId, int> attempts;
  };
  struct OpenAttempt {
    EndpointId endpoint;
    int cls;
  };
  struct Event {
    Time due;
    std::uint64_t sequence;
    std::function<void()> act;
    bool operator<(const Event& o) const { return due != o.due ? due > o.due : sequence > o.sequence; }
  };
  void at(Time due, std::function<void()> act) { events_.push({due, ++sequence_, std::move(act)}); }

  void request(std::size_t proxy) {
    const int cls = std::uniform_real_distribution<double>(0, 1)(random_) < options.writeShare;
    request(proxy, cls, static_cast<GroupId>(random_() % static_cast<std::uint64_t>(options.groups) + 1),
            options.clientRetries);
  }
  void request(std::size_t proxy, int cls, GroupId group, int retries) {
    Request q;
    q.id = ++lastId_;
    q.classIndex = cls;
    q.group = group;
    clientRequests_[q.id] = {proxy, cls, group, retries};
    q.deadline = now + s.classes[static_cast<std::size_t>(q.classIndex)].deadline;
    classes_[q.id] = q.classIndex;
    ++requested[q.classIndex];
    proxies_[proxy]->b.request(now, q);
  }
  void rejected(RequestId id) {
    const ClientRequest r = clientRequests_[id];
    if (r.retries > 0)
      at(now + milliseconds(50), [this, r] { request(r.proxy, r.cls, r.group, r.retries - 1); });
  }
  // The capacity of a server at `when`, relative to a warm server.
  double capacityShare(const Server& x, Time when) const {
    if (x.started == Time(0)) return 1;
    const double age =
        static_cast<double>((when - x.started).count()) / static_cast<double>(s.warmUpPeriod.count());
    return std::min(1.0, s.warmUpStartCapacity + (1 - s.warmUpStartCapacity) * std::max(age, 0.0));
  }
  void receive(Proxy& r, RequestId id, int attempt, EndpointId to, Time until) {
    Server& x = servers[to];
    ++x.arrived;
    x.writes += classes_[id];
    if (x.started != Time(0) && now < x.started + s.warmUpPeriod) {
      x.window.push_back(now);
      while (x.window.front() < now - s.overloadWindow) x.window.pop_front();
      // The mean capacity in the window that ends now; the first window after the start is shorter.
      const Time from = std::max(x.started, now - s.overloadWindow);
      const double mean = (capacityShare(x, from) + capacityShare(x, now)) / 2;
      const double n = s.overloadFactor * capacity_ * mean * 1.5,
                   requests = static_cast<double>(x.window.size());
      const double load = requests / (n + 2 * std::sqrt(n) + 2);
      if (load > x.worstLoad) x.worstLoad = load, x.worstRequests = requests, x.worstBudget = n;
    }
    openAttempts_[{id, attempt}] = {to, classes_[id]};
    at(std::max(until, now), [this, &r, id, attempt] { end(r, id, attempt, AttemptResult::Timeout); });
    for (std::size_t k = 0; k < proxies_.size(); ++k)
      if (proxies_[k].get() == &r) x.queue.push_back({static_cast<int>(k), {id, attempt}});
    serve(to);
  }
  void serve(EndpointId id) {
    Server& x = servers[id];
    while (x.busy < slots_ && !x.queue.empty()) {
      const auto [proxyIndex, key] = x.queue.front();
      x.queue.pop_front();
      if (openAttempts_.count(key) == 0) continue;
      ++x.busy;
      const double mean = slots_ / capacity_ / capacityShare(x, now);
      const double took = std::exponential_distribution<double>(1 / mean)(random_);
      at(now + Time(static_cast<std::int64_t>(took * 1e6) + 1),
         [this, id, proxyIndex = proxyIndex, key = key] {
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
    const Server& x = servers[was.endpoint];
    AttemptOutcome o;
    o.request = id;
    o.attempt = attempt;
    o.endpoint = was.endpoint;
    o.result = result;
    if (result == AttemptResult::Ok && was.cls == 1 && !x.primary) o.result = AttemptResult::TooStale;
    if (result == AttemptResult::Ok)
      o.replicationStatus =
          static_cast<std::uint32_t>((now - milliseconds(5) - s.positionEpoch).count() / 1000) * 4 +
          (x.primary ? 1 : 2);
    served[was.cls] += o.result == AttemptResult::Ok;
    o.clientAnswered = o.result == AttemptResult::Ok;
    r.b.attemptEnded(now, o);
  }

  std::mt19937_64 random_;
  double capacity_ = 1;  // of a warm server, requests per second
  int slots_ = 1;
  std::vector<ListedEndpoint> endpoints_;
  std::vector<double> weights_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::priority_queue<Event> events_;
  std::map<std::pair<RequestId, int>, OpenAttempt> openAttempts_;
  std::map<RequestId, int> classes_;
  struct ClientRequest {
    std::size_t proxy = 0;
    int cls = 0;
    GroupId group = 0;
    int retries = 0;
  };
  std::map<RequestId, ClientRequest> clientRequests_;
  std::uint64_t sequence_ = 0;
  RequestId lastId_ = 0;
};

struct Case {
  const char* name;
  FleetOptions options;
};
std::vector<Case> cases(int proxies) {
  std::vector<Case> all;
  for (const double budget : {2.0, 10.0, 35.0, 100.0}) {
    // Many proxies with a large budget, or with the smallest one, take long to simulate and cover
    // no more.
    if ((budget > 35 && (proxies > 20 || proxies == 1)) || (budget < 10 && proxies > 30)) continue;
    FleetOptions p;
    p.proxies = proxies;
    p.startBudget = budget;
    p.load = 0.95;
    all.push_back({"a replica at full load", p});
    p.load = 0.6;
    p.restartPrimaries = true;
    all.push_back({"the primary", p});
    p.restartPrimaries = false;
    p.drainOthers = true;
    p.clientRetries = 4;
    p.load = 0.8;
    all.push_back({"the only replica left, and clients retry", p});
    p.drainOthers = false;
    p.restartPrimaries = true;
    p.load = 0.9;
    p.writeShare = 0.25;
    p.clientRetries = 8;
    all.push_back({"the primary under many writes", p});
  }
  FleetOptions p;
  p.restartAll = true;
  p.proxies = proxies;
  p.clientRetries = 4;
  all.push_back({"all servers, and clients retry", p});
  p.load = 0.6;
  p.proxiesRestarted = true;
  all.push_back({"all servers and all proxies", p});
  p.restartAll = false;
  p.restartedReplicas = 3;
  all.push_back({"three of each group and all proxies", p});
  p.proxiesRestarted = false;
  p.groups = 4;
  p.load = 0.8;
  all.push_back({"three of each of four groups", p});
  return all;
}

// Runs a restart with bursts of 1.5 times the load, as in the simulator.
void playRestart(Fleet& f) {
  if (!f.options.proxiesRestarted) f.run(2);
  f.restartServers();
  for (int k = 0; k < 3; ++k) f.run(1.5, k % 2 ? 1.5 : 1);
}

// The limit of the rule, without a further margin: N + 2 sqrt(N) + 2 requests from all proxies
// together.
class SlowStartFleet : public testing::TestWithParam<int> {};
TEST_P(SlowStartFleet, NoColdServerIsOverloadedByAllProxiesTogether) {
  std::uint64_t seed = 0;
  for (const Case& c : cases(GetParam())) {
    Fleet f(c.options, ++seed);
    playRestart(f);
    for (const auto& [id, x] : f.servers)
      EXPECT_LE(x.worstLoad, 1) << c.name << ", " << c.options.proxies << " proxies, N "
                                << c.options.startBudget << ", seed " << seed << ", server " << id << ": "
                                << x.worstRequests << " requests where N is " << x.worstBudget;
  }
}
// The settings name fewer proxies than there are, and no proxy knows the others.
class UnderstatedProxyCount : public testing::TestWithParam<int> {};
TEST_P(UnderstatedProxyCount, NoColdServerIsOverloadedByMoreProxiesThanConfigured) {
  std::uint64_t seed = 100;
  for (Case c : cases(30)) {
    c.options.configuredProxies = GetParam();
    Fleet f(c.options, ++seed);
    playRestart(f);
    for (const auto& [id, x] : f.servers)
      EXPECT_LE(x.worstLoad, 1) << c.name << ", 30 proxies, configured " << c.options.configuredProxies
                                << ", N " << c.options.startBudget << ", server " << id << ": "
                                << x.worstRequests << " requests where N is " << x.worstBudget;
  }
}
INSTANTIATE_TEST_SUITE_P(Proxies, UnderstatedProxyCount, testing::Values(1, 3, 5));

INSTANTIATE_TEST_SUITE_P(Proxies, SlowStartFleet, testing::Values(1, 3, 20, 30, 300, 350, 900));

// A cold server also gets enough requests to use its capacity, and a cold primary most of the
// writes.
TEST(SlowStart, AColdServerIsUsedAndWritesSucceed) {
  for (const int proxies : {3, 20, 300})
    for (const bool primaries : {false, true}) {
      FleetOptions p;
      p.proxies = proxies;
      p.restartPrimaries = primaries;
      Fleet f(p, 5);
      f.run(3);
      const int requested = f.requested[1], served = f.served[1];
      f.restartServers();
      for (auto& [id, x] : f.servers) x.arrived = x.writes = 0;
      f.run(6);
      EXPECT_GT(f.served[1] - served, 0.8 * (f.requested[1] - requested))
          << proxies << " proxies, primaries " << primaries;
      for (const auto& [id, x] : f.servers)
        if (x.started != Time(0) && !primaries) {
          // Its capacity is at least 0.21 to 0.6 of 44 requests per second over 6 s; a fifth of it
          // is used.
          EXPECT_GT(x.arrived, 0.2 * 6 * 44 * 0.4) << proxies << " proxies, server " << id;
        }
    }
}

}  // namespace
}  // namespace sablespur::balancer::test
