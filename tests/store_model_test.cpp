// Model checker for the order of intent, send, outcome and answer of keyed writes. It explores
// exhaustively two requests of one key: every order of their steps, of the store's commits, of the
// ends of attempts and of clock ticks, with a crash at any point. The store's rules are the real
// ones (durability/rules.hpp); the balancer is modelled by a few lines that send as often as it
// may.
//
// The checker also runs on protocols that leave out one of the required waits and has to find a
// violation in each of them.
#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

#include "durability/idempotency_store.hpp"

namespace sablespur::test {
namespace {

using namespace durability;

constexpr int kWindow = 2, kLastTick = 4, kAttempts = 2, kCrashes = 1;

// The waits of the protocol. A test turns one off to see that the checker finds a violation.
struct Protocol {
  bool intentBeforeSend = true;     // no send before the intent is durable
  bool outcomeBeforeAnswer = true;  // no answer before the outcome is durable
  bool passEarlierSendTime = true;  // the balancer gets the time since which an earlier request may have run
  bool oneRequestPerKey = true;     // a request waits for the end of another one with the same key
};

enum class Stage { Idle, AwaitingIntent, Executing, AwaitingOutcome, Finished };
struct Request {
  Stage stage = Stage::Idle;
  bool intentDurable = false;
  int earlierMayHaveRunSince = -1;  // tick since which an earlier request may have run; -1: none
  int sends = 0;
  int inFlight = -1;              // its attempt in flight, as an index of State::sent; -1: none
  bool mayHaveRun = false;        // an attempt that has ended may have run
  int firstMayHaveRunSince = -1;  // tick at which the first such attempt was sent
};
struct SentAttempt {
  int at = 0;
  bool mayHaveRun = true;
};
using QueuedOperation = std::variant<BeginKeyedRequest, RecordAttemptSent, RecordAttemptEnd, CompleteRequest,
                                     RecordResponseDelivered, AbandonRequest>;

struct State {
  int now = 0, crashes = 0;
  std::optional<KeyRecord> durable;
  std::deque<QueuedOperation> queue;
  Request r[2];
  std::vector<SentAttempt> sent;
  bool acknowledged = false;  // a client received the answer of the served write
  std::string violation;

  // Encodes the state, as the key of the set of visited states.
  std::string print() const {
    std::string s = std::to_string(now) + "," + std::to_string(crashes) + (acknowledged ? "A" : "-");
    if (durable) {
      const KeyRecord& d = *durable;
      s += std::to_string(d.intentAt.count() / 1000000) + (d.mayHaveExecuted ? "m" : "") +
           std::to_string(static_cast<int>(d.outcome)) + (d.hasResponse ? "a" : "");
      for (const Attempt& a : d.attempts)
        s += a.id + std::to_string(a.number) + std::to_string(static_cast<int>(a.effect));
      for (const std::string& o : d.pendingIds) s += "o" + o;
    }
    s += "|";
    for (const QueuedOperation& q : queue) {
      s += std::to_string(q.index());
      std::visit(
          [&](const auto& o) {
            using T = std::decay_t<decltype(o)>;
            if constexpr (std::is_same_v<T, BeginKeyedRequest>)
              s += o.request.id;
            else
              s += o.id;
            if constexpr (std::is_same_v<T, RecordAttemptEnd>)
              s += std::to_string(static_cast<int>(o.effect)) + std::to_string(o.attempt);
            if constexpr (std::is_same_v<T, CompleteRequest>)
              s += std::to_string(static_cast<int>(o.outcome)) + (o.mayHaveExecuted ? "m" : "");
            if constexpr (std::is_same_v<T, AbandonRequest>) s += o.mayHaveExecuted ? "m" : "";
          },
          q);
    }
    for (const Request& q : r)
      s += "|" + std::to_string(static_cast<int>(q.stage)) + (q.intentDurable ? "i" : "") +
           std::to_string(q.earlierMayHaveRunSince) + "," + std::to_string(q.sends) + "," +
           std::to_string(q.inFlight) + (q.mayHaveRun ? "r" : "") + std::to_string(q.firstMayHaveRunSince);
    for (const SentAttempt& t : sent) s += ";" + std::to_string(t.at) + (t.mayHaveRun ? "m" : "");
    return s;
  }
};

Time ticks(int n) { return std::chrono::seconds(n); }

class Checker {
 public:
  explicit Checker(Protocol p) : p_(p) {}
  // Explores all states. Returns the first violation, or "".
  std::string run() {
    explore(State());
    return violation_;
  }
  std::size_t states() const { return visited_.size(); }

 private:
  static std::string id(int k) { return k == 0 ? "a" : "b"; }

  void explore(State s) {
    std::vector<State> open{std::move(s)};
    while (!open.empty() && violation_.empty()) {
      State at = std::move(open.back());
      open.pop_back();
      if (!visited_.insert(at.print()).second) continue;
      const auto next = [&](State to) {
        if (!to.violation.empty() && violation_.empty()) violation_ = to.violation + " after " + at.print();
        open.push_back(std::move(to));
      };
      forEachSuccessor(at, next);
    }
  }

  template <typename Next>
  void forEachSuccessor(const State& s, Next next) {
    if (s.now < kLastTick) {
      State t = s;
      ++t.now;
      next(std::move(t));
    }
    // Without a crash only the order of commits matters, not their time. So one commit takes all
    // operations up to and including the first that a request waits for. A crash may leave any
    // prefix of the queue durable.
    if (operationsBeforeAwaited(s) < s.queue.size()) {
      State t = s;
      for (std::size_t n = operationsBeforeAwaited(s) + 1; n > 0; --n) t = commit(std::move(t));
      next(std::move(t));
    }
    if (s.crashes < kCrashes) {
      State t = s;
      for (std::size_t n = std::min(operationsBeforeAwaited(s), s.queue.size()); n > 0; --n) {
        next(crash(t));
        t = commit(std::move(t));
      }
      next(crash(std::move(t)));
    }
    for (int k = 0; k < 2; ++k) {
      const Request& q = s.r[k];
      const Stage other = s.r[1 - k].stage;
      const bool alone = other == Stage::Idle || other == Stage::Finished;
      if (q.stage == Stage::Idle && (alone || !p_.oneRequestPerKey)) next(arrive(s, k));
      if (q.stage == Stage::AwaitingIntent && !p_.intentBeforeSend && q.inFlight < 0) next(send(s, k));
      if (q.stage == Stage::Executing) {
        if (q.inFlight < 0 && maySend(s, q)) next(send(s, k));
        if (q.inFlight < 0) next(endWithoutSuccess(s, k));
        if (q.inFlight >= 0)
          for (const AttemptEffect e :
               {AttemptEffect::Executed, AttemptEffect::MayHaveExecuted, AttemptEffect::NotExecuted})
            next(endAttempt(s, k, e));
        next(disconnect(s, k));
      }
      if (q.stage == Stage::AwaitingIntent || q.stage == Stage::AwaitingOutcome) next(disconnect(s, k));
    }
  }

  // The number of operations in the queue before the first that a request waits for.
  static std::size_t operationsBeforeAwaited(const State& s) {
    std::size_t n = 0;
    while (n < s.queue.size() && !std::holds_alternative<BeginKeyedRequest>(s.queue[n]) &&
           !(std::holds_alternative<CompleteRequest>(s.queue[n]) &&
             std::get<CompleteRequest>(s.queue[n]).outcome == Outcome::Served))
      ++n;
    return n;
  }

  State arrive(State s, int k) {
    s.r[k].stage = Stage::AwaitingIntent;
    s.queue.push_back(BeginKeyedRequest{{id(k), "key", "order", 3, ticks(kWindow)}});
    return s;
  }
  // The same condition as balancer::mayAttempt() (balancer/retry_policy.hpp).
  bool maySend(const State& s, const Request& q) const {
    if (q.sends >= kAttempts) return false;
    int since = q.firstMayHaveRunSince;
    if (q.earlierMayHaveRunSince >= 0 && p_.passEarlierSendTime)
      since = since < 0 ? q.earlierMayHaveRunSince : std::min(since, q.earlierMayHaveRunSince);
    return since < 0 || s.now < since + kWindow;
  }
  State send(State s, int k) {
    Request& q = s.r[k];
    q.inFlight = static_cast<int>(s.sent.size());
    for (const SentAttempt& earlier : s.sent)
      if (earlier.mayHaveRun && s.now - earlier.at >= kWindow)
        s.violation = "a key is sent " + std::to_string(s.now - earlier.at) + " ticks after it may have run";
    s.sent.push_back({s.now, true});
    s.queue.push_back(RecordAttemptSent{"key", id(k), "s-1", q.sends});
    ++q.sends;
    return s;
  }
  State endAttempt(State s, int k, AttemptEffect e) {
    Request& q = s.r[k];
    SentAttempt& t = s.sent[static_cast<std::size_t>(q.inFlight)];
    s.queue.push_back(RecordAttemptEnd{"key", id(k), q.sends - 1, e});
    t.mayHaveRun = e != AttemptEffect::NotExecuted;
    if (e != AttemptEffect::NotExecuted) {
      q.mayHaveRun = true;
      if (q.firstMayHaveRunSince < 0) q.firstMayHaveRunSince = t.at;
    }
    q.inFlight = -1;
    if (e != AttemptEffect::Executed) return s;
    s.queue.push_back(CompleteRequest{"key", id(k), Outcome::Served, "row", 0, 0, true});
    q.stage = Stage::AwaitingOutcome;
    if (!p_.outcomeBeforeAnswer) answer(s, k);
    return s;
  }
  void answer(State& s, int k) {
    s.acknowledged = true;
    s.r[k].stage = Stage::Finished;
    s.queue.push_back(RecordResponseDelivered{"key", id(k)});
  }
  // The final answer without success: rejected if no attempt may have run, otherwise failed.
  State endWithoutSuccess(State s, int k) {
    Request& q = s.r[k];
    const bool mayHaveRun = q.mayHaveRun || (q.earlierMayHaveRunSince >= 0 && p_.passEarlierSendTime);
    s.queue.push_back(CompleteRequest{"key", id(k), mayHaveRun ? Outcome::Failed : Outcome::Rejected, "", 0,
                                      0, q.mayHaveRun});
    s.queue.push_back(RecordResponseDelivered{"key", id(k)});
    q.stage = Stage::Finished;
    return s;
  }
  State disconnect(State s, int k) {
    Request& q = s.r[k];
    if (q.stage == Stage::AwaitingIntent)
      s.queue.push_back(AbandonRequest{"key", id(k), false});
    else
      s.queue.push_back(AbandonRequest{"key", id(k), true});
    q.stage = Stage::Finished;
    return s;  // an attempt in flight may still run
  }
  State crash(State s) {
    ++s.crashes;
    s.queue.clear();
    for (Request& q : s.r)
      if (q.stage != Stage::Idle) q.stage = Stage::Finished;
    return s;
  }

  // Commits one operation. A group commit is a sequence of these.
  State commit(State s) {
    const QueuedOperation q = s.queue.front();
    s.queue.pop_front();
    const Time now = ticks(s.now), keep = ticks(100);
    if (const auto* const a = std::get_if<BeginKeyedRequest>(&q)) {
      const KeyDecision j = decide(s.durable ? &*s.durable : nullptr, a->request, now, Time(0));
      s.durable = beginRequest(s.durable, a->request, j, now, keep, 1, 0);
      Request& r = s.r[a->request.id == "a" ? 0 : 1];
      if (r.stage != Stage::AwaitingIntent) return s;  // its client has disconnected
      r.intentDurable = true;
      if (s.acknowledged && (j.disposition == Disposition::Execute || j.disposition == Disposition::Retry))
        s.violation = "a key whose answer was delivered may run again";
      switch (j.disposition) {
        case Disposition::Execute:
          r.stage = Stage::Executing;
          break;
        case Disposition::Retry:
          r.stage = Stage::Executing;
          r.earlierMayHaveRunSince = s.now - static_cast<int>(j.sinceFirstSend / ticks(1));
          break;
        case Disposition::Replay:
          r.stage = Stage::Finished;
          s.queue.push_back(RecordResponseDelivered{"key", a->request.id});
          break;
        case Disposition::OutcomeUnknown:
          r.stage = Stage::Finished;
          s.queue.push_back(RecordResponseDelivered{"key", a->request.id});
      }
      return s;
    }
    KeyRecord& d = *s.durable;
    if (const auto* const o = std::get_if<RecordAttemptSent>(&q)) {
      recordAttemptSent(d, {o->id, o->attempt, o->endpoint, now, AttemptEffect::InFlight});
    } else if (const auto* const e = std::get_if<RecordAttemptEnd>(&q)) {
      recordAttemptEnd(d, e->id, e->attempt, e->effect);
    } else if (const auto* const f = std::get_if<CompleteRequest>(&q)) {
      d.mayHaveExecuted = d.mayHaveExecuted || f->mayHaveExecuted;
      recordOutcome(d, f->id, f->outcome, now, keep);
      if (f->outcome == Outcome::Served) {
        d.hasResponse = true;
        d.response = f->response;
        const int k = f->id == "a" ? 0 : 1;
        if (s.r[k].stage == Stage::AwaitingOutcome) answer(s, k);
      }
    } else if (const auto* const t = std::get_if<RecordResponseDelivered>(&q)) {
      recordResponseDelivered(d, t->id);
    } else if (const auto* const l = std::get_if<AbandonRequest>(&q)) {
      d.mayHaveExecuted = d.mayHaveExecuted || l->mayHaveExecuted;
      abandonRequest(d, l->id);
    }
    return s;
  }

  const Protocol p_;
  std::unordered_set<std::string> visited_;
  std::string violation_;
};

TEST(StoreModel, NoOrderOfStepsAndNoCrashCausesAViolation) {
  Checker c{Protocol()};
  EXPECT_EQ(c.run(), "");
  EXPECT_GT(c.states(), 10000u);
  RecordProperty("states", static_cast<int>(c.states()));
}
TEST(StoreModel, LeavingOutAnyWaitCausesAViolation) {
  Protocol p;
  p.intentBeforeSend = false;
  EXPECT_NE(Checker(p).run(), "") << "sent before the intent is durable";
  p = {};
  p.outcomeBeforeAnswer = false;
  EXPECT_NE(Checker(p).run(), "") << "answered before the outcome is durable";
  p = {};
  p.passEarlierSendTime = false;
  EXPECT_NE(Checker(p).run(), "") << "the balancer does not know of the earlier request";
  p = {};
  p.oneRequestPerKey = false;
  EXPECT_NE(Checker(p).run(), "") << "the balancer does not know of the concurrent request";
}

}  // namespace
}  // namespace sablespur::test
