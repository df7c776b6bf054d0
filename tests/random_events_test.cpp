// Long pseudo-random sequences of legal but adverse events, each from a fixed seed, and the
// invariants that must hold in all of them.
#include <algorithm>
#include <map>
#include <random>

#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

class RandomEvents : public testing::TestWithParam<int> {};

struct Attempt {
  EndpointId endpoint;
  bool open = true;
  Time sentAt{};
};
struct TrackedRequest {
  int cls = 0;
  Time deadline{};
  Time commit{-1};  // position that a server needs for the read
  bool ended = false, mayHaveRun = false;
  Time mayHaveRunSince{};
  std::vector<Attempt> attempts;
};

TEST_P(RandomEvents, InvariantsHold) {
  const int variant = GetParam();
  std::mt19937_64 random(static_cast<std::uint64_t>(variant) * 7919 + 1);
  const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
  Settings s = settings();
  s.laggingReplicaPolicy = static_cast<LaggingReplicaPolicy>(variant % 3);
  s.sessionTokensCarried = variant & 1;
  s.positionsInAnswers = variant & 2;
  s.parallelAttemptsAllowed = variant & 4;
  s.discoveryMode = variant & 8 ? DiscoveryMode::Subscribe : DiscoveryMode::Automatic;
  s.removedEndpointsStayUsable = variant & 16;
  BalancerFixture t(s, 5);
  std::map<RequestId, TrackedRequest> requests;
  std::map<EndpointId, Lifecycle> state;
  std::map<EndpointId, bool> draining;
  std::map<EndpointId, Time> proven;
  std::map<EndpointId, bool> wasPrimary;
  std::map<std::uint64_t, Time> commits;
  std::multimap<Time, std::uint64_t> timers;
  std::multimap<Time, EndpointId> probes;
  for (EndpointId m = 1; m <= 5; ++m) state[m] = Lifecycle::Ready;
  std::size_t checked = 0;  // actions in t.out.all
  const auto checkActions = [&] {
    for (; checked < t.out.all.size(); ++checked) {
      const Action a = t.out.all[checked];
      if (a.what == "timer") timers.emplace(t.now + a.time, a.token);
      if (a.what == "probe") probes.emplace(t.now + milliseconds(3), a.endpoint);
      if (a.what == "send") {
        TrackedRequest& k = requests.at(a.id);
        const ClassSettings& c = s.classes[static_cast<std::size_t>(k.cls)];
        ASSERT_FALSE(k.ended) << "a send after the final answer";
        ASSERT_LT(k.attempts.size(), static_cast<std::size_t>(s.maxAttempts));
        if (s.removedEndpointsStayUsable) {
          ASSERT_FALSE(draining[a.endpoint]);
        } else {
          ASSERT_EQ(state[a.endpoint], Lifecycle::Ready) << "a send to a server that is not ready";
        }
        const bool open =
            std::any_of(k.attempts.begin(), k.attempts.end(), [](const Attempt& x) { return x.open; });
        if (!s.parallelAttemptsAllowed || c.idempotency == Idempotency::NonIdempotent) {
          ASSERT_FALSE(open) << "two concurrent attempts";
        }
        if (c.idempotency == Idempotency::NonIdempotent) {
          ASSERT_FALSE(k.mayHaveRun) << "a retry of a request that may have run";
        }
        if (c.idempotency == Idempotency::WithKey && k.mayHaveRun) {
          ASSERT_LT(t.now, k.mayHaveRunSince + c.deduplicationWindow);
        }
        if (s.laggingReplicaPolicy == LaggingReplicaPolicy::Serve && !wasPrimary[a.endpoint]) {
          const Time required =
              c.requirement == Requirement::BoundedStaleness ? t.now - c.maxStaleness : k.commit;
          if (c.requirement != Requirement::Write) {
            ASSERT_GE(proven[a.endpoint], required) << "a stale send";
          }
        }
        k.attempts.push_back({a.endpoint, true, t.now});
      }
      if (a.what == "reject" || a.what == "fail") {
        TrackedRequest& k = requests.at(a.id);
        const ClassSettings& c = s.classes[static_cast<std::size_t>(k.cls)];
        ASSERT_FALSE(k.ended) << "two final answers";
        const bool open =
            std::any_of(k.attempts.begin(), k.attempts.end(), [](const Attempt& x) { return x.open; });
        if (a.what == "reject" &&
            (c.idempotency == Idempotency::NonIdempotent || c.idempotencyScope != IdempotencyScope::All)) {
          ASSERT_FALSE(c.idempotency != Idempotency::Idempotent && (k.mayHaveRun || open))
              << "a rejection of a request that may have run";
        }
        k.ended = true;
      }
    }
  };
  for (int step = 0; step < 4000; ++step) {
    // The clock may jump ahead.
    t.now += step % 997 == 0 ? Time(seconds(7)) : Time(milliseconds(pick(8)));
    while (!timers.empty() && timers.begin()->first <= t.now) {
      const std::uint64_t token = timers.begin()->second;
      timers.erase(timers.begin());
      t.b.timerFired(t.now, token);
      checkActions();
      if (HasFatalFailure()) return;
    }
    for (auto& [id, k] : requests) {  // the embedding program reports timeouts at the deadline
      if (t.now < k.deadline) continue;
      for (std::size_t n = 0; n < k.attempts.size(); ++n) {
        if (!k.attempts[n].open) continue;
        k.attempts[n].open = false;
        if (!k.mayHaveRun) k.mayHaveRunSince = k.attempts[n].sentAt;
        k.mayHaveRun = true;
        AttemptOutcome o;
        o.request = id;
        o.attempt = static_cast<int>(n);
        o.endpoint = k.attempts[n].endpoint;
        o.result = AttemptResult::Timeout;
        o.clientAnswered = k.ended;
        t.b.attemptEnded(t.now, o);
        checkActions();
        if (HasFatalFailure()) return;
      }
      ASSERT_TRUE(k.ended) << "no final answer by the deadline";
    }
    while (!probes.empty() && probes.begin()->first <= t.now) {
      const EndpointId m = probes.begin()->second;
      probes.erase(probes.begin());
      HealthCheckResult p;
      p.endpoint = m;
      p.ok = pick(5) != 0;
      const Time at = t.now - milliseconds(pick(600));
      const bool primary = pick(12) == 0;
      if (p.ok) {
        p.report = {static_cast<float>(std::chrono::duration<double>(at - s.positionEpoch).count()),
                    primary ? 1.0f : 0.0f};
        proven[m] = std::max(proven[m], at);
        if (primary) wasPrimary[m] = true;
      }
      t.b.healthCheckEnded(t.now, p);
      checkActions();
      if (HasFatalFailure()) return;
    }
    switch (pick(8)) {
      case 0:
      case 1:
      case 2: {
        const int cls = pick(7);
        TrackedRequest k;
        k.cls = cls;
        k.deadline = t.now + s.classes[static_cast<std::size_t>(cls)].deadline / (1 + pick(2));
        const std::uint64_t session = 1 + random() % 5;
        const float age = static_cast<float>(pick(900));
        if (cls == kStrong) k.commit = t.now;
        if (cls == kSession && s.sessionTokensCarried && age > 0)
          k.commit = t.now - Time(static_cast<std::int64_t>(age * 1000));
        if (cls == kSession && !s.sessionTokensCarried && commits.count(session)) k.commit = commits[session];
        const RequestId id = t.nextId;
        requests[id] = k;
        t.request(cls, session, age, static_cast<int>((k.deadline - t.now) / milliseconds(1)));
        break;
      }
      case 3: {  // a list update while requests are open
        const EndpointId m = 1 + random() % 5;
        const auto to = static_cast<Lifecycle>(pick(4) ? 1 : pick(3));
        if (pick(3) == 0) {
          state[m] = to;
          draining[m] = to == Lifecycle::Draining || (draining[m] && to == Lifecycle::Gone);
          t.b.endpointsListed(t.now, ListKind::Delta,
                              {BalancerFixture::entry(m, to, pick(2) ? t.now : Time(0))});
        } else if (pick(9) == 0) {
          t.b.endpointsListed(t.now, ListKind::Failed, {});
        }
        break;
      }
      case 4:
        if (!requests.empty() && pick(20) == 0) {
          auto it = requests.end();
          --it;
          it->second.ended = true;
          t.b.clientDisconnected(t.now, it->first);
        }
        break;
      default:
        for (auto it = requests.rbegin(); it != requests.rend(); ++it) {
          TrackedRequest& k = it->second;
          std::size_t n = 0;
          while (n < k.attempts.size() && !k.attempts[n].open) ++n;
          if (n == k.attempts.size() || pick(3) == 0) continue;
          static const AttemptResult results[] = {
              AttemptResult::Ok,      AttemptResult::Ok,       AttemptResult::Ok,
              AttemptResult::Error,   AttemptResult::Rejected, AttemptResult::Reset,
              AttemptResult::Timeout, AttemptResult::TooStale, AttemptResult::ConnectFailed};
          const AttemptResult result = results[pick(9)];
          k.attempts[n].open = false;
          if (result != AttemptResult::Rejected && result != AttemptResult::TooStale &&
              result != AttemptResult::ConnectFailed && !k.mayHaveRun) {
            k.mayHaveRun = true;
            k.mayHaveRunSince = k.attempts[n].sentAt;
          }
          AttemptOutcome o;
          o.request = it->first;
          o.attempt = static_cast<int>(n);
          o.endpoint = k.attempts[n].endpoint;
          o.result = result;
          o.clientAnswered = k.ended || result == AttemptResult::Ok;
          const bool answered = result == AttemptResult::Ok || result == AttemptResult::TooStale ||
                                result == AttemptResult::Rejected;
          const bool primary = pick(6) == 0;
          if (answered) {
            o.replicationStatus = primary ? 1 : 2;
            wasPrimary[o.endpoint] = primary;
            // A primary has all commits, and positions never regress: at the send it had all
            // commits until then.
            if (primary) proven[o.endpoint] = std::max(proven[o.endpoint], k.attempts[n].sentAt);
            if (s.classes[static_cast<std::size_t>(k.cls)].requirement == Requirement::Write &&
                result == AttemptResult::Ok) {
              o.replicationStatus =
                  t.replicationStatus(0, 1);  // the commit of the write, which the primary has
              wasPrimary[o.endpoint] = true;
              proven[o.endpoint] = std::max(proven[o.endpoint], t.now - milliseconds(1));
            }
          }
          if (result == AttemptResult::Ok) k.ended = true;
          t.b.attemptEnded(t.now, o);
          checkActions();
          if (HasFatalFailure()) return;
          // The parallel attempts are cancelled.
          for (std::size_t x = 0; x < k.attempts.size(); ++x) {
            if (!k.attempts[x].open || result != AttemptResult::Ok) continue;
            k.attempts[x].open = false;
            o.attempt = static_cast<int>(x);
            o.endpoint = k.attempts[x].endpoint;
            o.result = AttemptResult::Cancelled;
            o.replicationStatus = 0;
            t.b.attemptEnded(t.now, o);
          }
          break;
        }
    }
    checkActions();
    if (HasFatalFailure()) return;
  }
  for (const auto& [id, k] : requests) EXPECT_TRUE(k.ended || t.now <= k.deadline) << id;
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, testing::Range(0, 32));

}  // namespace
}  // namespace sablespur::balancer::test
