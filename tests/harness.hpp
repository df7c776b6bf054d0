// A Sink that records, settings to start from, and shorthand for events.
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
// Every Balancer of these tests is a recording one, for tests/data/decision-digests.txt.
using Balancer = RecordingBalancer;

struct Action {
  std::string what;
  std::uint64_t id = 0;
  EndpointId member = 0;
  Time time{};
  int attempt = 0;
  std::uint64_t token = 0;
  Time due{};  // timers: when they go off, on the recorder's clock
};

struct Recorder : ActionSink {
  std::vector<Action> all;
  const Time* clock = nullptr;
  void send(RequestId id, EndpointId m, Time until) override { all.push_back({"send", id, m, until, 0, 0}); }
  void reject(RequestId id, Time after) override { all.push_back({"refuse", id, 0, after, 0, 0}); }
  void fail(RequestId id) override { all.push_back({"fail", id, 0, Time(0), 0, 0}); }
  void cancel(RequestId id, int attempt) override { all.push_back({"cancel", id, 0, Time(0), attempt, 0}); }
  void scheduleTimer(Time in, std::uint64_t token) override {
    all.push_back({"timer", 0, 0, in, 0, token, clock ? *clock + in : in});
  }
  void startHealthCheck(EndpointId m) override { all.push_back({"probe", 0, m, Time(0), 0, 0}); }
  void subscribe() override { all.push_back({"subscribe", 0, 0, Time(0), 0, 0}); }

  std::vector<Action> of(const std::string& what, RequestId id = 0) const {
    std::vector<Action> some;
    for (const Action& a : all)
      if (a.what == what && (id == 0 || a.id == id)) some.push_back(a);
    return some;
  }
};

enum : int { kBounded, kSession, kAny, kWrite, kFresh, kKeyedGroup, kKeyedAll };

inline Settings settings() {
  Settings s;
  const auto cls = [&](Requirement n, Idempotency e, double worth, int aim, int deadline) {
    ClassSettings c;
    c.requirement = n;
    c.idempotency = e;
    c.priorityWeight = worth;
    c.latencyObjective = milliseconds(aim);
    c.deadline = milliseconds(deadline);
    c.maxStaleness = n == Requirement::BoundedStaleness ? milliseconds(500) : Time(0);
    s.classes.push_back(c);
  };
  cls(Requirement::BoundedStaleness, Idempotency::Idempotent, 1, 200, 500);
  cls(Requirement::Session, Idempotency::Idempotent, 1, 300, 1000);
  cls(Requirement::Any, Idempotency::Idempotent, 1, 600, 2000);
  cls(Requirement::Write, Idempotency::NonIdempotent, 4, 1000, 3000);
  cls(Requirement::Strong, Idempotency::Idempotent, 1, 300, 1000);
  cls(Requirement::Any, Idempotency::WithKey, 1, 300, 1000);
  s.classes.back().idempotencyScope = IdempotencyScope::Group;
  s.classes.back().deduplicationWindow = milliseconds(400);
  cls(Requirement::Any, Idempotency::WithKey, 1, 300, 1000);
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

// A group of members 1, 2, 3 at 1100 s on the clock.
struct Bench {
  Recorder out;
  Settings s;
  Balancer b;
  Time now = seconds(1100);
  RequestId next = 100;
  std::set<std::size_t> fired;

  explicit Bench(const Settings& given = settings(), int n = 3, std::uint64_t seed = 1)
      : s(given), b(given, seed, out) {
    out.clock = &now;
    std::vector<ListedEndpoint> all;
    for (int k = 1; k <= n; ++k) all.push_back(entry(static_cast<EndpointId>(k)));
    b.list(now, ListKind::Cached, all);
  }
  static ListedEndpoint entry(EndpointId id, Lifecycle state = Lifecycle::Ready, Time started = Time(0)) {
    ListedEndpoint m;
    m.id = id;
    m.group = 7;
    m.state = state;
    m.started = started;
    return m;
  }
  void pass(int ms) { now += milliseconds(ms); }
  // Lets time go by with the housekeeping of an embedding program: the timers that come due.
  void run(int ms) {
    for (const Time end = now + milliseconds(ms); now < end; pass(5)) {
      std::vector<std::uint64_t> ring;
      for (std::size_t k = 0; k < out.all.size(); ++k)
        if (out.all[k].what == "timer" && out.all[k].due <= now && fired.insert(k).second)
          ring.push_back(out.all[k].token);
      for (const std::uint64_t token : ring) b.timer(now, token);
    }
  }
  RequestId ask(int cls, std::uint64_t session = 0, float token = 0, int deadlineMs = 0) {
    Request q;
    q.id = next++;
    q.classIndex = cls;
    q.group = 7;
    q.session = session;
    q.sessionTokenAgeMs = token;
    q.deadline = now + (deadlineMs ? Time(milliseconds(deadlineMs))
                                   : s.classes[static_cast<std::size_t>(cls)].deadline);
    b.request(now, q);
    return q.id;
  }
  std::vector<Action> sends(RequestId id) const { return out.of("send", id); }
  EndpointId lastTo(RequestId id) const { return sends(id).empty() ? 0 : sends(id).back().member; }
  bool finalAnswer(RequestId id) const {
    return !out.of("refuse", id).empty() || !out.of("fail", id).empty();
  }
  void end(RequestId id, AttemptResult r, std::uint32_t note = 0, int attempt = -1) {
    const auto all = sends(id);
    ASSERT_FALSE(all.empty());
    AttemptOutcome o;
    o.request = id;
    o.attempt = attempt < 0 ? static_cast<int>(all.size()) - 1 : attempt;
    o.endpoint = all[static_cast<std::size_t>(o.attempt)].member;
    o.result = r;
    o.clientAnswered = r == AttemptResult::Ok;
    o.replicationStatus = note;
    b.outcome(now, o);
  }
  // The last attempt of the request is answered. As in an embedding program, the answer is withheld where it
  // shows that its data were too old. Returns whether the client gets it.
  bool answered(RequestId id, std::uint32_t note) {
    const auto all = sends(id);
    AttemptOutcome o;
    o.request = id;
    o.attempt = static_cast<int>(all.size()) - 1;
    o.endpoint = all.back().member;
    o.replicationStatus = note;
    o.clientAnswered = b.fresh(now, o);
    if (!o.clientAnswered) o.result = AttemptResult::StaleAnswer;
    b.outcome(now, o);
    return o.clientAnswered;
  }
  // A report of a position `agoMs` before now.
  void report(EndpointId m, int agoMs, bool primary = false) {
    HealthCheckResult p;
    p.endpoint = m;
    p.ok = true;
    p.report = {static_cast<float>(
                    std::chrono::duration<double>(now - milliseconds(agoMs) - s.positionEpoch).count()),
                primary ? 1.0f : 0.0f};
    b.probed(now, p);
  }
  std::uint32_t note(int agoMs, int role) const {
    return static_cast<std::uint32_t>((now - s.positionEpoch - milliseconds(agoMs)) / milliseconds(1)) * 4 +
           static_cast<std::uint32_t>(role);
  }
  // Teaches that member m is the primary by an answer to a write that tries members by id.
  void teachPrimary(EndpointId m) { report(m, 0, true); }
};

}  // namespace sablespur::balancer::test
