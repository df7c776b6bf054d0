// Many Balancers before servers that have just started, in simulated time: what all of them send one
// together, as the rule counts it. Traffic is uneven, requests come in bursts, and no Balancer knows of
// another.
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

struct Plan {
  int routers = 20;
  double budget = 35;  // N: calls that a server may get in a window of the rule right after its start
  int groups = 2, each = 5;
  double load = 0.6;     // of what the groups can do
  double writes = 0.07;  // of the requests
  double fallMultiple = 2.5;
  bool primaries = false;  // the primaries start anew, not a replica of each group
  bool all = false;        // everything does
  int again = 0;           // times that a client comes again, 50 ms after it was turned away
  bool alone = false;      // in each group the one that started is left alone: the others drain
  int told = 0;            // proxies that the settings tell of; 0: as many as there are
  bool restarted = false;  // the proxies start anew as well and have seen no traffic
  int warming = 1;         // members of each group that start anew, where a replica does
};

Settings coldSettings(const Plan& p) {
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
  s.proxyCount = p.told > 0 ? p.told : p.routers;
  s.positionsInAnswers = true;
  s.maxAttempts = 8;
  s.warmUpPeriod = seconds(12);
  s.overloadWindow = milliseconds(1500);
  s.overloadFactor = p.fallMultiple;
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
    double worst = 0;  // calls within a window, as a multiple of N + 2 root N + 2
    double mostCalls = 0, thatBudget = 0;
  };

  Fleet(const Plan& p, std::uint64_t seed) : plan(p), s(coldSettings(p)), random_(seed) {
    capacity_ = p.budget / (p.fallMultiple * s.warmUpStartCapacity * 1.5);
    slots_ = std::max(1, static_cast<int>(capacity_ * 0.06));
    for (int g = 0; g < p.groups; ++g)
      for (int k = 0; k < p.each; ++k) {
        const auto id = static_cast<EndpointId>(g * p.each + k + 1);
        servers[id].group = static_cast<GroupId>(g + 1);
        servers[id].primary = k == 0;
        all_.push_back(entry(id));
      }
    for (int k = 0; k < p.routers; ++k) {
      routers_.push_back(std::make_unique<Router>(*this, 9000 * seed + static_cast<std::uint64_t>(k)));
      routers_.back()->b.list(now, ListKind::Cached, all_);
      // Some see several times the mean.
      weights_.push_back(k % 7 == 0 ? 5 : k % 3 == 0 ? 0.3 : 1);
    }
  }
  ListedEndpoint entry(EndpointId id, Lifecycle state = Lifecycle::Ready) const {
    ListedEndpoint m = Bench::entry(id, state, servers.at(id).started);
    m.group = servers.at(id).group;
    return m;
  }
  // One of each group starts anew, all of it is told at once.
  void start() {
    std::vector<ListedEndpoint> delta;
    for (auto& [id, x] : servers) {
      const bool first = (id - 1) % static_cast<EndpointId>(plan.each) == 0,
                 last = (id - 1) % static_cast<EndpointId>(plan.each) >=
                        static_cast<EndpointId>(plan.each - plan.warming);
      const bool anew = plan.all || (plan.primaries ? first : last);
      if (anew) {
        x.started = now;
        x.queue.clear();
        delta.push_back(entry(id));
      } else if (plan.alone && !(first && plan.writes > 0)) {
        delta.push_back(entry(id, Lifecycle::Draining));
      }
    }
    for (auto& r : routers_) r->b.list(now, ListKind::Delta, delta);
  }
  void run(double forSeconds, double factor = 1) {
    const Time end = now + Time(static_cast<std::int64_t>(forSeconds * 1e6));
    const double rate = plan.load * factor * capacity_ * plan.groups * plan.each;
    std::exponential_distribution<double> gap(rate / 1e6);
    std::discrete_distribution<std::size_t> who(weights_.begin(), weights_.end());
    for (Time next = now; next < end; next += Time(static_cast<std::int64_t>(gap(random_)) + 1))
      at(next, [this, who]() mutable { ask(who(random_)); });
    while (!events_.empty() && events_.top().due <= end) {
      const Event e = events_.top();
      events_.pop();
      now = e.due;
      e.act();
    }
    now = end;
  }

  const Plan plan;
  Settings s;
  Time now = seconds(1100);
  std::map<EndpointId, Server> servers;
  int asked[2] = {0, 0}, served[2] = {0, 0};

 private:
  struct Router : ActionSink {
    Router(Fleet& f, std::uint64_t seed) : fleet(f), b(f.s, seed, *this) {}
    void send(RequestId id, EndpointId m, Time until) override {
      const int attempt = attempts[id]++;
      fleet.at(fleet.now + milliseconds(1),
               [this, id, attempt, m, until] { fleet.take(*this, id, attempt, m, until); });
    }
    void reject(RequestId id, Time) override { fleet.turnedAway(id); }
    void fail(RequestId id) override { fleet.turnedAway(id); }
    void cancel(RequestId id, int attempt) override {
      fleet.at(fleet.now, [this, id, attempt] { fleet.end(*this, id, attempt, AttemptResult::Cancelled); });
    }
    void scheduleTimer(Time in, std::uint64_t token) override {
      fleet.at(fleet.now + in, [this, token] { b.timer(fleet.now, token); });
    }
    void startHealthCheck(EndpointId m) override {
      fleet.at(fleet.now + milliseconds(3), [this, m] {
        const Server& x = fleet.servers[m];
        HealthCheckResult p;
        p.endpoint = m;
        p.ok = true;
        p.report = {static_cast<float>((fleet.now - fleet.s.positionEpoch).count()) / 1e6f - 0.01f,
                    x.primary ? 1.f : 0.f, static_cast<float>(x.busy) + static_cast<float>(x.queue.size())};
        b.probed(fleet.now, p);
      });
    }
    void subscribe() override {}
    Fleet& fleet;
    Balancer b;
    std::map<RequestId, int> attempts;
  };
  struct Out {
    EndpointId member;
    int cls;
  };
  struct Event {
    Time due;
    std::uint64_t turn;
    std::function<void()> act;
    bool operator<(const Event& o) const { return due != o.due ? due > o.due : turn > o.turn; }
  };
  void at(Time due, std::function<void()> act) { events_.push({due, ++turn_, std::move(act)}); }

  void ask(std::size_t who) {
    const int cls = std::uniform_real_distribution<double>(0, 1)(random_) < plan.writes;
    ask(who, cls, static_cast<GroupId>(random_() % static_cast<std::uint64_t>(plan.groups) + 1), plan.again);
  }
  void ask(std::size_t who, int cls, GroupId group, int again) {
    Request q;
    q.id = ++lastId_;
    q.classIndex = cls;
    q.group = group;
    tries_[q.id] = {who, cls, group, again};
    q.deadline = now + s.classes[static_cast<std::size_t>(q.classIndex)].deadline;
    classes_[q.id] = q.classIndex;
    ++asked[q.classIndex];
    routers_[who]->b.request(now, q);
  }
  void turnedAway(RequestId id) {
    const Try t = tries_[id];
    if (t.again > 0) at(now + milliseconds(50), [this, t] { ask(t.who, t.cls, t.group, t.again - 1); });
  }
  // Its capacity now, of the full one.
  double share(const Server& x, Time when) const {
    if (x.started == Time(0)) return 1;
    const double age =
        static_cast<double>((when - x.started).count()) / static_cast<double>(s.warmUpPeriod.count());
    return std::min(1.0, s.warmUpStartCapacity + (1 - s.warmUpStartCapacity) * std::max(age, 0.0));
  }
  void take(Router& r, RequestId id, int attempt, EndpointId to, Time until) {
    Server& x = servers[to];
    ++x.arrived;
    x.writes += classes_[id];
    if (x.started != Time(0) && now < x.started + s.warmUpPeriod) {
      x.window.push_back(now);
      while (x.window.front() < now - s.overloadWindow) x.window.pop_front();
      // What it could do in the window that ends now, which for the first one is shorter.
      const Time from = std::max(x.started, now - s.overloadWindow);
      const double mean = (share(x, from) + share(x, now)) / 2;
      const double n = s.overloadFactor * capacity_ * mean * 1.5,
                   calls = static_cast<double>(x.window.size());
      const double worst = calls / (n + 2 * std::sqrt(n) + 2);
      if (worst > x.worst) x.worst = worst, x.mostCalls = calls, x.thatBudget = n;
    }
    out_[{id, attempt}] = {to, classes_[id]};
    at(std::max(until, now), [this, &r, id, attempt] { end(r, id, attempt, AttemptResult::Timeout); });
    for (std::size_t k = 0; k < routers_.size(); ++k)
      if (routers_[k].get() == &r) x.queue.push_back({static_cast<int>(k), {id, attempt}});
    serve(to);
  }
  void serve(EndpointId id) {
    Server& x = servers[id];
    while (x.busy < slots_ && !x.queue.empty()) {
      const auto [router, key] = x.queue.front();
      x.queue.pop_front();
      if (out_.count(key) == 0) continue;
      ++x.busy;
      const double mean = slots_ / capacity_ / share(x, now);
      const double took = std::exponential_distribution<double>(1 / mean)(random_);
      at(now + Time(static_cast<std::int64_t>(took * 1e6) + 1), [this, id, router = router, key = key] {
        --servers[id].busy;
        if (out_.count(key) > 0)
          end(*routers_[static_cast<std::size_t>(router)], key.first, key.second, AttemptResult::Ok);
        serve(id);
      });
    }
  }
  void end(Router& r, RequestId id, int attempt, AttemptResult result) {
    const auto it = out_.find({id, attempt});
    if (it == out_.end()) return;
    const Out was = it->second;
    out_.erase(it);
    const Server& x = servers[was.member];
    AttemptOutcome o;
    o.request = id;
    o.attempt = attempt;
    o.endpoint = was.member;
    o.result = result;
    if (result == AttemptResult::Ok && was.cls == 1 && !x.primary) o.result = AttemptResult::TooStale;
    if (result == AttemptResult::Ok)
      o.replicationStatus =
          static_cast<std::uint32_t>((now - milliseconds(5) - s.positionEpoch).count() / 1000) * 4 +
          (x.primary ? 1 : 2);
    served[was.cls] += o.result == AttemptResult::Ok;
    o.clientAnswered = o.result == AttemptResult::Ok;
    r.b.outcome(now, o);
  }

  std::mt19937_64 random_;
  double capacity_ = 1;  // calls a second, warm
  int slots_ = 1;
  std::vector<ListedEndpoint> all_;
  std::vector<double> weights_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::priority_queue<Event> events_;
  std::map<std::pair<RequestId, int>, Out> out_;
  std::map<RequestId, int> classes_;
  struct Try {
    std::size_t who = 0;
    int cls = 0;
    GroupId group = 0;
    int again = 0;
  };
  std::map<RequestId, Try> tries_;
  std::uint64_t turn_ = 0;
  RequestId lastId_ = 0;
};

struct Case {
  const char* name;
  Plan plan;
};
std::vector<Case> cases(int routers) {
  std::vector<Case> all;
  for (const double budget : {2.0, 10.0, 35.0, 100.0}) {
    // What many routers make of a large budget, or of the least, costs much and tells no more.
    if ((budget > 35 && (routers > 20 || routers == 1)) || (budget < 10 && routers > 30)) continue;
    Plan p;
    p.routers = routers;
    p.budget = budget;
    p.load = 0.95;
    all.push_back({"a replica at full load", p});
    p.load = 0.6;
    p.primaries = true;
    all.push_back({"the primary", p});
    p.primaries = false;
    p.alone = true;
    p.again = 4;
    p.load = 0.8;
    all.push_back({"the only one left for reads, and clients come again", p});
    p.alone = false;
    p.primaries = true;
    p.load = 0.9;
    p.writes = 0.25;
    p.again = 8;
    all.push_back({"the primary in a storm of writes", p});
  }
  Plan p;
  p.all = true;
  p.routers = routers;
  p.again = 4;
  all.push_back({"everything, and clients come again", p});
  p.load = 0.6;
  p.restarted = true;
  all.push_back({"everything, and the proxies have just started too", p});
  p.all = false;
  p.warming = 3;
  all.push_back({"three of each group, and the proxies have just started too", p});
  p.restarted = false;
  p.groups = 4;
  p.load = 0.8;
  all.push_back({"three of each of four groups", p});
  return all;
}

// Bursts of half as much again, as the bench has them.
void play(Fleet& f) {
  if (!f.plan.restarted) f.run(2);
  f.start();
  for (int k = 0; k < 3; ++k) f.run(1.5, k % 2 ? 1.5 : 1);
}

// The rule's own line, with nothing more for chance: N + 2 root N + 2 calls by all together.
class ColdFleet : public testing::TestWithParam<int> {};
TEST_P(ColdFleet, NoServerThatHasJustStartedIsPushedOverByAllTogether) {
  std::uint64_t seed = 0;
  for (const Case& c : cases(GetParam())) {
    Fleet f(c.plan, ++seed);
    play(f);
    for (const auto& [id, x] : f.servers)
      EXPECT_LE(x.worst, 1) << c.name << ", " << c.plan.routers << " routers, N " << c.plan.budget
                            << ", seed " << seed << ", server " << id << ": " << x.mostCalls
                            << " calls where N is " << x.thatBudget;
  }
}
// Where the settings name fewer proxies than there are, nobody is told of the others.
class UntoldColdFleet : public testing::TestWithParam<int> {};
TEST_P(UntoldColdFleet, NoServerIsPushedOverByMoreProxiesThanTheSettingsName) {
  std::uint64_t seed = 100;
  for (Case c : cases(30)) {
    c.plan.told = GetParam();
    Fleet f(c.plan, ++seed);
    play(f);
    for (const auto& [id, x] : f.servers)
      EXPECT_LE(x.worst, 1) << c.name << ", 30 routers, told of " << c.plan.told << ", N " << c.plan.budget
                            << ", server " << id << ": " << x.mostCalls << " calls where N is "
                            << x.thatBudget;
  }
}
INSTANTIATE_TEST_SUITE_P(Of, UntoldColdFleet, testing::Values(1, 3, 5));

INSTANTIATE_TEST_SUITE_P(Of, ColdFleet, testing::Values(1, 3, 20, 30, 300, 350, 900));

// Nor is one left cold: of what it can do it gets its part, and writes have their one way.
TEST(ColdServer, OneThatHasJustStartedIsUsedAndWritesGoThrough) {
  for (const int routers : {3, 20, 300})
    for (const bool primaries : {false, true}) {
      Plan p;
      p.routers = routers;
      p.primaries = primaries;
      Fleet f(p, 5);
      f.run(3);
      const int asked = f.asked[1], served = f.served[1];
      f.start();
      for (auto& [id, x] : f.servers) x.arrived = x.writes = 0;
      f.run(6);
      EXPECT_GT(f.served[1] - served, 0.8 * (f.asked[1] - asked))
          << routers << " routers, primaries " << primaries;
      for (const auto& [id, x] : f.servers)
        if (x.started != Time(0) && !primaries) {
          // At the least it can do 0.21 to 0.6 of 44 a second in 6 s: a fifth of that is used.
          EXPECT_GT(x.arrived, 0.2 * 6 * 44 * 0.4) << routers << " routers, server " << id;
        }
    }
}

}  // namespace
}  // namespace sablespur::balancer::test
