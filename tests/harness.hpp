// Helpers of the Balancer tests: a sink that records actions, default settings and a fixture with
// one group.
#pragma once

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "balancer/balancer.hpp"
#include "decision_log.hpp"

namespace sablespur::balancer::test {

using std::chrono::milliseconds;
using std::chrono::seconds;
// Every Balancer of these tests records its decisions for the digests in
// tests/data/decision-digests.txt.
using Balancer = RecordingBalancer;

struct Action {
  std::string what;
  std::uint64_t id = 0;
  EndpointId endpoint = 0;
  Time time{};
  int attempt = 0;
  std::uint64_t token = 0;
  Time due{};  // timers only: when they fire, on the clock of the recorder
};

struct Recorder : ActionSink {
  std::vector<Action> all;
  const Time* clock = nullptr;
  void send(RequestId id, EndpointId m, Time until) override { all.push_back({"send", id, m, until, 0, 0}); }
  void reject(RequestId id, Time after) override { all.push_back({"reject", id, 0, after, 0, 0}); }
  void fail(RequestId id) override { all.push_back({"fail", id, 0, Time(0), 0, 0}); }
  void cancel(RequestId id, int attempt) override { all.push_back({"cancel", id, 0, Time(0), attempt, 0}); }
  void scheduleTimer(Time in, std::uint64_t token) override {
    all.push_back({"timer", 0, 0, in, 0, token, clock ? *clock + in : in});
  }
  void startHealthCheck(EndpointId m) override { all.push_back({"probe", 0, m, Time(0), 0, 0}); }
  void subscribe() override { all.push_back({"subscribe", 0, 0, Time(0), 0, 0}); }

  // Returns the actions named `what`, of request `id` or, for 0, of all requests.
  std::vector<Action> actions(const std::string& what, RequestId id = 0) const {
    std::vector<Action> matching;
    for (const Action& a : all)
      if (a.what == what && (id == 0 || a.id == id)) matching.push_back(a);
    return matching;
  }
};

enum : int { kBounded, kSession, kAny, kWrite, kStrong, kKeyedGroup, kKeyedAll };

inline Settings settings() {
  Settings s;
  const auto addClass = [&](Requirement requirement, Idempotency idempotency, double weight, int objectiveMs,
                            int deadlineMs) {
    ClassSettings c;
    c.requirement = requirement;
    c.idempotency = idempotency;
    c.priorityWeight = weight;
    c.latencyObjective = milliseconds(objectiveMs);
    c.deadline = milliseconds(deadlineMs);
    c.maxStaleness = requirement == Requirement::BoundedStaleness ? milliseconds(500) : Time(0);
    s.classes.push_back(c);
  };
  addClass(Requirement::BoundedStaleness, Idempotency::Idempotent, 1, 200, 500);
  addClass(Requirement::Session, Idempotency::Idempotent, 1, 300, 1000);
  addClass(Requirement::Any, Idempotency::Idempotent, 1, 600, 2000);
  addClass(Requirement::Write, Idempotency::NonIdempotent, 4, 1000, 3000);
  addClass(Requirement::Strong, Idempotency::Idempotent, 1, 300, 1000);
  addClass(Requirement::Any, Idempotency::WithKey, 1, 300, 1000);
  s.classes.back().idempotencyScope = IdempotencyScope::Group;
  s.classes.back().deduplicationWindow = milliseconds(400);
  addClass(Requirement::Any, Idempotency::WithKey, 1, 300, 1000);
  s.classes.back().idempotencyScope = IdempotencyScope::All;
  s.classes.back().deduplicationWindow = milliseconds(400);
  s.laggingReplicaPolicy = LaggingReplicaPolicy::Serve;
  s.loadReportMode = LoadReportMode::Pull;
  s.reportFields = {ReportField::Position, ReportField::Primary};
  s.maxAttempts = 6;
  s.healthChecksAllowed = s.cancelAllowed = s.retryAfterAllowed = true;
  s.positionEpoch = seconds(1000);
  s.maxRetryAfter = seconds(1);
  s.warmUpPeriod = seconds(10);
  s.overloadWindow = seconds(2);
  s.overloadFactor = 2;
  s.warmUpStartCapacity = 0.2;
  s.drainGrace = milliseconds(500);
  s.discoveryPollDeadline = seconds(10);
  s.timerResolution = milliseconds(5);
  return s;
}

// A Balancer in front of group 7 with servers 1 to `n`, at 1100 s on the clock.
struct BalancerFixture {
  Recorder out;
  Settings s;
  Balancer b;
  Time now = seconds(1100);
  RequestId nextId = 100;
  std::set<std::size_t> fired;  // indexes into out.all of the timers that have fired

  explicit BalancerFixture(const Settings& given = settings(), int n = 3, std::uint64_t seed = 1)
      : s(given), b(given, seed, out) {
    out.clock = &now;
    std::vector<ListedEndpoint> all;
    for (int k = 1; k <= n; ++k) all.push_back(entry(static_cast<EndpointId>(k)));
    b.endpointsListed(now, ListKind::Cached, all);
  }
  static ListedEndpoint entry(EndpointId id, Lifecycle state = Lifecycle::Ready, Time started = Time(0)) {
    ListedEndpoint m;
    m.id = id;
    m.group = 7;
    m.state = state;
    m.started = started;
    return m;
  }
  // Advances the clock without firing timers.
  void advance(int ms) { now += milliseconds(ms); }
  // Advances the clock in steps of 5 ms and fires the timers that are due.
  void run(int ms) {
    for (const Time end = now + milliseconds(ms); now < end; advance(5)) {
      std::vector<std::uint64_t> tokens;
      for (std::size_t k = 0; k < out.all.size(); ++k)
        if (out.all[k].what == "timer" && out.all[k].due <= now && fired.insert(k).second)
          tokens.push_back(out.all[k].token);
      for (const std::uint64_t token : tokens) b.timerFired(now, token);
    }
  }
  RequestId request(int cls, std::uint64_t session = 0, float tokenAgeMs = 0, int deadlineMs = 0) {
    Request q;
    q.id = nextId++;
    q.classIndex = cls;
    q.group = 7;
    q.session = session;
    q.sessionTokenAgeMs = tokenAgeMs;
    q.deadline = now + (deadlineMs ? Time(milliseconds(deadlineMs))
                                   : s.classes[static_cast<std::size_t>(cls)].deadline);
    b.request(now, q);
    return q.id;
  }
  std::vector<Action> sends(RequestId id) const { return out.actions("send", id); }
  EndpointId lastEndpoint(RequestId id) const { return sends(id).empty() ? 0 : sends(id).back().endpoint; }
  bool rejectedOrFailed(RequestId id) const {
    return !out.actions("reject", id).empty() || !out.actions("fail", id).empty();
  }
  // Ends an attempt of the request, by default the latest one.
  void endAttempt(RequestId id, AttemptResult r, std::uint32_t status = 0, int attempt = -1) {
    const auto all = sends(id);
    ASSERT_FALSE(all.empty());
    AttemptOutcome o;
    o.request = id;
    o.attempt = attempt < 0 ? static_cast<int>(all.size()) - 1 : attempt;
    o.endpoint = all[static_cast<std::size_t>(o.attempt)].endpoint;
    o.result = r;
    o.clientAnswered = r == AttemptResult::Ok;
    o.replicationStatus = status;
    b.attemptEnded(now, o);
  }
  // Answers the latest attempt of the request. Like the proxy, withholds an answer that shows that
  // its data are stale. Returns whether the client gets the answer.
  bool receiveAnswer(RequestId id, std::uint32_t status) {
    const auto all = sends(id);
    AttemptOutcome o;
    o.request = id;
    o.attempt = static_cast<int>(all.size()) - 1;
    o.endpoint = all.back().endpoint;
    o.replicationStatus = status;
    o.clientAnswered = b.isFreshEnough(now, o);
    if (!o.clientAnswered) o.result = AttemptResult::StaleAnswer;
    b.attemptEnded(now, o);
    return o.clientAnswered;
  }
  // A successful health check that reports a position `agoMs` before now.
  void report(EndpointId m, int agoMs, bool primary = false) {
    HealthCheckResult p;
    p.endpoint = m;
    p.ok = true;
    p.report = {static_cast<float>(
                    std::chrono::duration<double>(now - milliseconds(agoMs) - s.positionEpoch).count()),
                primary ? 1.0f : 0.0f};
    b.healthCheckEnded(now, p);
  }
  // The replication status of an answer: a position `agoMs` before now, in ms, and a role (1
  // primary, 2 replica).
  std::uint32_t replicationStatus(int agoMs, int role) const {
    return static_cast<std::uint32_t>((now - s.positionEpoch - milliseconds(agoMs)) / milliseconds(1)) * 4 +
           static_cast<std::uint32_t>(role);
  }
  // Makes endpoint m the known primary by a health check.
  void reportAsPrimary(EndpointId m) { report(m, 0, true); }
};

}  // namespace sablespur::balancer::test
