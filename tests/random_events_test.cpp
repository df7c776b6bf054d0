// Long, fixed sequences of legal but nasty events, and the invariants that hold whatever comes.
#include <algorithm>
#include <map>
#include <random>

#include "harness.hpp"

namespace sablespur::balancer::test {
namespace {

class Nasty : public testing::TestWithParam<int> {};

struct Try {
  EndpointId member;
  bool open = true;
  Time at{};
};
struct Known {
  int cls = 0;
  Time deadline{};
  Time commit{-1};
  bool ended = false, ran = false;
  Time ranAt{};
  std::vector<Try> tries;
};

TEST_P(Nasty, InvariantsHold) {
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
  Bench t(s, 5);
  std::map<RequestId, Known> known;
  std::map<EndpointId, Lifecycle> state;
  std::map<EndpointId, bool> draining;
  std::map<EndpointId, Time> proven;
  std::map<EndpointId, bool> wasPrimary;
  std::map<std::uint64_t, Time> commits;
  std::multimap<Time, std::uint64_t> timers;
  std::multimap<Time, EndpointId> probes;
  for (EndpointId m = 1; m <= 5; ++m) state[m] = Lifecycle::Ready;
  std::size_t seen = 0;
  const auto drain = [&] {
    for (; seen < t.out.all.size(); ++seen) {
      const Action a = t.out.all[seen];
      if (a.what == "timer") timers.emplace(t.now + a.time, a.token);
      if (a.what == "probe") probes.emplace(t.now + milliseconds(3), a.member);
      if (a.what == "send") {
        Known& k = known.at(a.id);
        const ClassSettings& c = s.classes[static_cast<std::size_t>(k.cls)];
        ASSERT_FALSE(k.ended) << "a send after the final answer";
        ASSERT_LT(k.tries.size(), static_cast<std::size_t>(s.maxAttempts));
        if (s.removedEndpointsStayUsable) {
          ASSERT_FALSE(draining[a.member]);
        } else {
          ASSERT_EQ(state[a.member], Lifecycle::Ready) << "a send to a drained member";
        }
        const bool open = std::any_of(k.tries.begin(), k.tries.end(), [](const Try& x) { return x.open; });
        if (!s.parallelAttemptsAllowed || c.idempotency == Idempotency::NonIdempotent) {
          ASSERT_FALSE(open) << "two attempts at once";
        }
        if (c.idempotency == Idempotency::NonIdempotent) {
          ASSERT_FALSE(k.ran) << "a repeat of what may have run";
        }
        if (c.idempotency == Idempotency::WithKey && k.ran) {
          ASSERT_LT(t.now, k.ranAt + c.deduplicationWindow);
        }
        if (s.laggingReplicaPolicy == LaggingReplicaPolicy::Serve && !wasPrimary[a.member]) {
          const Time need =
              c.requirement == Requirement::BoundedStaleness ? t.now - c.maxStaleness : k.commit;
          if (c.requirement != Requirement::Write) {
            ASSERT_GE(proven[a.member], need) << "a stale send";
          }
        }
        k.tries.push_back({a.member, true, t.now});
      }
      if (a.what == "refuse" || a.what == "fail") {
        Known& k = known.at(a.id);
        const ClassSettings& c = s.classes[static_cast<std::size_t>(k.cls)];
        ASSERT_FALSE(k.ended) << "two final answers";
        const bool open = std::any_of(k.tries.begin(), k.tries.end(), [](const Try& x) { return x.open; });
        if (a.what == "refuse" &&
            (c.idempotency == Idempotency::NonIdempotent || c.idempotencyScope != IdempotencyScope::All)) {
          ASSERT_FALSE(c.idempotency != Idempotency::Idempotent && (k.ran || open))
              << "a refusal of what may have run";
        }
        k.ended = true;
      }
    }
  };
  for (int step = 0; step < 4000; ++step) {
    t.now += step % 997 == 0 ? Time(seconds(7)) : Time(milliseconds(pick(8)));  // the clock may jump ahead
    while (!timers.empty() && timers.begin()->first <= t.now) {
      const std::uint64_t token = timers.begin()->second;
      timers.erase(timers.begin());
      t.b.timer(t.now, token);
      drain();
      if (HasFatalFailure()) return;
    }
    for (auto& [id, k] : known) {  // time-outs at the deadline come from outside
      if (t.now < k.deadline) continue;
      for (std::size_t n = 0; n < k.tries.size(); ++n) {
        if (!k.tries[n].open) continue;
        k.tries[n].open = false;
        if (!k.ran) k.ranAt = k.tries[n].at;
        k.ran = true;
        AttemptOutcome o;
        o.request = id;
        o.attempt = static_cast<int>(n);
        o.endpoint = k.tries[n].member;
        o.result = AttemptResult::Timeout;
        o.clientAnswered = k.ended;
        t.b.outcome(t.now, o);
        drain();
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
      t.b.probed(t.now, p);
      drain();
      if (HasFatalFailure()) return;
    }
    switch (pick(8)) {
      case 0:
      case 1:
      case 2: {
        const int cls = pick(7);
        Known k;
        k.cls = cls;
        k.deadline = t.now + s.classes[static_cast<std::size_t>(cls)].deadline / (1 + pick(2));
        const std::uint64_t session = 1 + random() % 5;
        const float age = static_cast<float>(pick(900));
        if (cls == kFresh) k.commit = t.now;
        if (cls == kSession && s.sessionTokensCarried && age > 0)
          k.commit = t.now - Time(static_cast<std::int64_t>(age * 1000));
        if (cls == kSession && !s.sessionTokensCarried && commits.count(session)) k.commit = commits[session];
        const RequestId id = t.next;
        known[id] = k;
        t.ask(cls, session, age, static_cast<int>((k.deadline - t.now) / milliseconds(1)));
        break;
      }
      case 3: {  // the list changes under way
        const EndpointId m = 1 + random() % 5;
        const auto to = static_cast<Lifecycle>(pick(4) ? 1 : pick(3));
        if (pick(3) == 0) {
          state[m] = to;
          draining[m] = to == Lifecycle::Draining || (draining[m] && to == Lifecycle::Gone);
          t.b.list(t.now, ListKind::Delta, {Bench::entry(m, to, pick(2) ? t.now : Time(0))});
        } else if (pick(9) == 0) {
          t.b.list(t.now, ListKind::Failed, {});
        }
        break;
      }
      case 4:
        if (!known.empty() && pick(20) == 0) {
          auto it = known.end();
          --it;
          it->second.ended = true;
          t.b.clientLeft(t.now, it->first);
        }
        break;
      default:
        for (auto it = known.rbegin(); it != known.rend(); ++it) {
          Known& k = it->second;
          std::size_t n = 0;
          while (n < k.tries.size() && !k.tries[n].open) ++n;
          if (n == k.tries.size() || pick(3) == 0) continue;
          static const AttemptResult results[] = {
              AttemptResult::Ok,      AttemptResult::Ok,       AttemptResult::Ok,
              AttemptResult::Error,   AttemptResult::Rejected, AttemptResult::Reset,
              AttemptResult::Timeout, AttemptResult::TooStale, AttemptResult::ConnectFailed};
          const AttemptResult result = results[pick(9)];
          k.tries[n].open = false;
          if (result != AttemptResult::Rejected && result != AttemptResult::TooStale &&
              result != AttemptResult::ConnectFailed && !k.ran) {
            k.ran = true;
            k.ranAt = k.tries[n].at;
          }
          AttemptOutcome o;
          o.request = it->first;
          o.attempt = static_cast<int>(n);
          o.endpoint = k.tries[n].member;
          o.result = result;
          o.clientAnswered = k.ended || result == AttemptResult::Ok;
          const bool answered = result == AttemptResult::Ok || result == AttemptResult::TooStale ||
                                result == AttemptResult::Rejected;
          const bool primary = pick(6) == 0;
          if (answered) {
            o.replicationStatus = primary ? 1 : 2;
            wasPrimary[o.endpoint] = primary;
            // A primary stands at the present, and no position moves back: it had all commits at the send.
            if (primary) proven[o.endpoint] = std::max(proven[o.endpoint], k.tries[n].at);
            if (s.classes[static_cast<std::size_t>(k.cls)].requirement == Requirement::Write &&
                result == AttemptResult::Ok) {
              o.replicationStatus = t.note(0, 1);  // its commit: the primary stands there at least
              wasPrimary[o.endpoint] = true;
              proven[o.endpoint] = std::max(proven[o.endpoint], t.now - milliseconds(1));
            }
          }
          if (result == AttemptResult::Ok) k.ended = true;
          t.b.outcome(t.now, o);
          drain();
          if (HasFatalFailure()) return;
          for (std::size_t x = 0; x < k.tries.size(); ++x) {  // the rest of a set is cancelled
            if (!k.tries[x].open || result != AttemptResult::Ok) continue;
            k.tries[x].open = false;
            o.attempt = static_cast<int>(x);
            o.endpoint = k.tries[x].member;
            o.result = AttemptResult::Cancelled;
            o.replicationStatus = 0;
            t.b.outcome(t.now, o);
          }
          break;
        }
    }
    drain();
    if (HasFatalFailure()) return;
  }
  for (const auto& [id, k] : known) EXPECT_TRUE(k.ended || t.now <= k.deadline) << id;
}
INSTANTIATE_TEST_SUITE_P(Sequences, Nasty, testing::Range(0, 32));

}  // namespace
}  // namespace sablespur::balancer::test
