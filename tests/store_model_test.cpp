// The protocol between intent, send, outcome and answer, checked exhaustively: two requests of one key, every
// order of their steps, of the ledger's commits, of what becomes of attempts and of time, and a crash at any
// point. The rules are the ledger's own (store/rules.hpp); the module is a few lines that send as often as it
// may.
//
// Leaving out one of the protocol's waits has to break a promise: the checker is tried on those, too.
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

struct Protocol {
  bool intentFirst = true;   // no send before the intent is durable
  bool outcomeFirst = true;  // no answer before the outcome is durable
  bool windowKept = true;    // the module is told since when an earlier request may be out
  bool oneAtATime = true;    // a request of the key waits for the end of another
};

enum class Stage { Idle, Asking, Going, Finishing, Over };
struct Request {
  Stage stage = Stage::Idle;
  bool intended = false;
  int ranAt = -1;  // of an earlier request; -1: none
  int sends = 0;
  int out = -1;      // its attempt under way, by index
  bool ran = false;  // an attempt that is over may have run
  int firstRan = -1;
};
struct Sent {
  int at = 0;
  bool mayHaveRun = true;
};
using Queued = std::variant<BeginKeyedRequest, RecordAttemptSent, RecordAttemptEnd, CompleteRequest,
                            RecordResponseDelivered, AbandonRequest>;

struct State {
  int now = 0, crashes = 0;
  std::optional<KeyRecord> durable;
  std::deque<Queued> queue;
  Request r[2];
  std::vector<Sent> sent;
  bool acknowledged = false;  // a client was told that it was served
  std::string broken;

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
    for (const Queued& q : queue) {
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
      s += "|" + std::to_string(static_cast<int>(q.stage)) + (q.intended ? "i" : "") +
           std::to_string(q.ranAt) + "," + std::to_string(q.sends) + "," + std::to_string(q.out) +
           (q.ran ? "r" : "") + std::to_string(q.firstRan);
    for (const Sent& t : sent) s += ";" + std::to_string(t.at) + (t.mayHaveRun ? "m" : "");
    return s;
  }
};

Time ticks(int n) { return std::chrono::seconds(n); }

class Checker {
 public:
  explicit Checker(Protocol p) : p_(p) {}
  std::string run() {
    visit(State());
    return broken_;
  }
  std::size_t states() const { return seen_.size(); }

 private:
  static std::string id(int k) { return k == 0 ? "a" : "b"; }

  void visit(State s) {
    std::vector<State> open{std::move(s)};
    while (!open.empty() && broken_.empty()) {
      State at = std::move(open.back());
      open.pop_back();
      if (!seen_.insert(at.print()).second) continue;
      const auto next = [&](State to) {
        if (!to.broken.empty() && broken_.empty()) broken_ = to.broken + " after " + at.print();
        open.push_back(std::move(to));
      };
      steps(at, next);
    }
  }

  template <typename Next>
  void steps(const State& s, Next next) {
    if (s.now < kLastTick) {
      State t = s;
      ++t.now;
      next(std::move(t));
    }
    // Without a crash it does not matter when a note is committed, only in which order: one commit takes all
    // up to the first that somebody waits for. A crash may leave any beginning of the queue durable.
    if (waited(s) < s.queue.size()) {
      State t = s;
      for (std::size_t n = waited(s) + 1; n > 0; --n) t = commit(std::move(t));
      next(std::move(t));
    }
    if (s.crashes < kCrashes) {
      State t = s;
      for (std::size_t n = std::min(waited(s), s.queue.size()); n > 0; --n) {
        next(crash(t));
        t = commit(std::move(t));
      }
      next(crash(std::move(t)));
    }
    for (int k = 0; k < 2; ++k) {
      const Request& q = s.r[k];
      const Stage other = s.r[1 - k].stage;
      const bool alone = other == Stage::Idle || other == Stage::Over;
      if (q.stage == Stage::Idle && (alone || !p_.oneAtATime)) next(ask(s, k));
      if (q.stage == Stage::Asking && !p_.intentFirst && q.out < 0) next(send(s, k));
      if (q.stage == Stage::Going) {
        if (q.out < 0 && maySend(s, q)) next(send(s, k));
        if (q.out < 0) next(giveUp(s, k));
        if (q.out >= 0)
          for (const AttemptEffect e :
               {AttemptEffect::Executed, AttemptEffect::MayHaveExecuted, AttemptEffect::NotExecuted})
            next(end(s, k, e));
        next(leave(s, k));
      }
      if (q.stage == Stage::Asking || q.stage == Stage::Finishing) next(leave(s, k));
    }
  }

  static std::size_t waited(const State& s) {
    std::size_t n = 0;
    while (n < s.queue.size() && !std::holds_alternative<BeginKeyedRequest>(s.queue[n]) &&
           !(std::holds_alternative<CompleteRequest>(s.queue[n]) &&
             std::get<CompleteRequest>(s.queue[n]).outcome == Outcome::Served))
      ++n;
    return n;
  }

  State ask(State s, int k) {
    s.r[k].stage = Stage::Asking;
    s.queue.push_back(BeginKeyedRequest{{id(k), "key", "order", 3, ticks(kWindow)}});
    return s;
  }
  // As Balancer::mayAttempt has it.
  bool maySend(const State& s, const Request& q) const {
    if (q.sends >= kAttempts) return false;
    int since = q.firstRan;
    if (q.ranAt >= 0 && p_.windowKept) since = since < 0 ? q.ranAt : std::min(since, q.ranAt);
    return since < 0 || s.now < since + kWindow;
  }
  State send(State s, int k) {
    Request& q = s.r[k];
    q.out = static_cast<int>(s.sent.size());
    for (const Sent& earlier : s.sent)
      if (earlier.mayHaveRun && s.now - earlier.at >= kWindow)
        s.broken = "a key is sent " + std::to_string(s.now - earlier.at) + " ticks after it may have run";
    s.sent.push_back({s.now, true});
    s.queue.push_back(RecordAttemptSent{"key", id(k), "s-1", q.sends});
    ++q.sends;
    return s;
  }
  State end(State s, int k, AttemptEffect e) {
    Request& q = s.r[k];
    Sent& t = s.sent[static_cast<std::size_t>(q.out)];
    s.queue.push_back(RecordAttemptEnd{"key", id(k), q.sends - 1, e});
    t.mayHaveRun = e != AttemptEffect::NotExecuted;
    if (e != AttemptEffect::NotExecuted) {
      q.ran = true;
      if (q.firstRan < 0) q.firstRan = t.at;
    }
    q.out = -1;
    if (e != AttemptEffect::Executed) return s;
    s.queue.push_back(CompleteRequest{"key", id(k), Outcome::Served, "row", 0, 0, true});
    q.stage = Stage::Finishing;
    if (!p_.outcomeFirst) answer(s, k);
    return s;
  }
  void answer(State& s, int k) {
    s.acknowledged = true;
    s.r[k].stage = Stage::Over;
    s.queue.push_back(RecordResponseDelivered{"key", id(k)});
  }
  // The module's last word: refused where nothing may have run, else failed.
  State giveUp(State s, int k) {
    Request& q = s.r[k];
    const bool ran = q.ran || (q.ranAt >= 0 && p_.windowKept);
    s.queue.push_back(
        CompleteRequest{"key", id(k), ran ? Outcome::Failed : Outcome::Rejected, "", 0, 0, q.ran});
    s.queue.push_back(RecordResponseDelivered{"key", id(k)});
    q.stage = Stage::Over;
    return s;
  }
  State leave(State s, int k) {
    Request& q = s.r[k];
    if (q.stage == Stage::Asking)
      s.queue.push_back(AbandonRequest{"key", id(k), false});
    else
      s.queue.push_back(AbandonRequest{"key", id(k), true});
    q.stage = Stage::Over;
    return s;  // an attempt that is out may run still
  }
  State crash(State s) {
    ++s.crashes;
    s.queue.clear();
    for (Request& q : s.r)
      if (q.stage != Stage::Idle) q.stage = Stage::Over;
    return s;
  }

  // One operation at a time: every group is a run of these.
  State commit(State s) {
    const Queued q = s.queue.front();
    s.queue.pop_front();
    const Time now = ticks(s.now), keep = ticks(100);
    if (const auto* const a = std::get_if<BeginKeyedRequest>(&q)) {
      const KeyDecision j = decide(s.durable ? &*s.durable : nullptr, a->request, now, Time(0));
      s.durable = beginRequest(s.durable, a->request, j, now, keep, 1, 0);
      Request& r = s.r[a->request.id == "a" ? 0 : 1];
      if (r.stage != Stage::Asking) return s;  // it has left
      r.intended = true;
      if (s.acknowledged && (j.disposition == Disposition::Execute || j.disposition == Disposition::Retry))
        s.broken = "a key whose answer was told may run again";
      switch (j.disposition) {
        case Disposition::Execute:
          r.stage = Stage::Going;
          break;
        case Disposition::Retry:
          r.stage = Stage::Going;
          r.ranAt = s.now - static_cast<int>(j.sinceFirstSend / ticks(1));
          break;
        case Disposition::Replay:
          r.stage = Stage::Over;
          s.queue.push_back(RecordResponseDelivered{"key", a->request.id});
          break;
        case Disposition::OutcomeUnknown:
          r.stage = Stage::Over;
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
        if (s.r[k].stage == Stage::Finishing) answer(s, k);
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
  std::unordered_set<std::string> seen_;
  std::string broken_;
};

TEST(StoreModel, NoOrderOfStepsAndNoCrashBreaksAPromise) {
  Checker c{Protocol()};
  EXPECT_EQ(c.run(), "");
  EXPECT_GT(c.states(), 10000u);
  RecordProperty("states", static_cast<int>(c.states()));
}
TEST(StoreModel, WithoutOneOfTheWaitsAPromiseBreaks) {
  Protocol p;
  p.intentFirst = false;
  EXPECT_NE(Checker(p).run(), "") << "sent before the intent is durable";
  p = {};
  p.outcomeFirst = false;
  EXPECT_NE(Checker(p).run(), "") << "answered before the outcome is durable";
  p = {};
  p.windowKept = false;
  EXPECT_NE(Checker(p).run(), "") << "the module does not know of the earlier request";
  p = {};
  p.oneAtATime = false;
  EXPECT_NE(Checker(p).run(), "") << "the module does not know of the request beside";
}

}  // namespace
}  // namespace sablespur::test
