// Every decision of knotstack; interface: src/balancer/balancer.hpp; records: state.hpp. Members; the
// need of a read; read sets; writes; attempts and retries; refusals; the list, drains and cold starts;
// probes.
#include "balancer/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "balancer/state.hpp"

namespace sablespur::balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- constants -------------------------------------------------------------------------------------------
constexpr std::size_t kWindow = 20;    // latencies kept a member, as in the paper
constexpr std::size_t kPositions = 8;  // position samples kept: enough for a share, quick to follow a lag
constexpr Time kRecent = seconds(8);   // samples older than this say little about the present
constexpr double kTarget = 0.95;       // chance wanted that a read set answers in time
constexpr double kWidth = 3;           // requests that a member serves side by side before they queue
constexpr double kComeBack = 0.25;    // of a usual latency: when a refused client may return; its aim goes on
constexpr double kUseful = 0.85;      // least share of its worth that a request must be likely to earn
constexpr double kUnheard = 0.45;     // of its time: so long a request may wait for a member that can take it
constexpr double kSmooth = 0.05;      // weight of a new latency in a class's usual one
constexpr double kPatience = 4;       // silence for so many usual latencies is a symptom
constexpr double kRetryShare = 0.05;  // further attempts earned a request, so overload cannot feed itself
constexpr Time kPurse = seconds(2);   // so they fade, down to one: saved up by hundreds they feed an overload
constexpr int kAsk = 2;               // candidates asked before a send: one may be the worse of two
constexpr int kHold = 8;              // a request waits for their word for 1/8 of its aim at most
constexpr Time kDumb = milliseconds(25);  // a probe is answered beside the queue: later is silence
constexpr double kAtOnce = 0.5;           // of a class's low latency: no work was done by then
constexpr int kStreak = 3;                // failures in a row that set a member aside
constexpr Time kBackoffFirst = milliseconds(500), kBackoffMost = seconds(8);
constexpr Time kNews = seconds(1);        // a report of load says something for so long
constexpr Time kForget = seconds(10);     // what is gone and quiet is remembered for so long
constexpr Time kTick = milliseconds(20);  // housekeeping: waiting requests, silence, probes
constexpr Time kTrouble = seconds(1);  // how long a miss or a time-out keeps the best member out of the sum
constexpr Time kKindle = milliseconds(40);  // between probes, by all routers, of one none hears of
constexpr double kPlan = 0.8, kSaved = 1;   // of a cold member's budget: planned; saved up at most
constexpr double kLeast = 1.5;              // requests that all may send it in a window, whatever it can do
constexpr int kFewestProxies = 3;           // that share kLeast: more may run than the settings name
constexpr double kCrowd = 1.5;              // times what it can do is the most that a group is asked
constexpr Time kScout = milliseconds(250);  // pause between probes for a missing primary
constexpr Time kAskFirst = milliseconds(200), kAskMost = milliseconds(600);  // after failed calls
constexpr double kLate = std::numeric_limits<double>::infinity();
constexpr std::size_t kSessions = 200000;  // remembered writes; older ones are folded into one commit a group

enum Token : std::uint64_t { kTokenTick, kTokenAsk, kTokenWake };

std::size_t at(int k) { return static_cast<std::size_t>(k); }
double ratio(Time a, Time b) { return static_cast<double>(a.count()) / static_cast<double>(b.count()); }
Time scaled(Time t, double by) {
  return Time(static_cast<std::int64_t>(static_cast<double>(t.count()) * by));
}

bool mayHaveRun(AttemptResult r) {
  return r != AttemptResult::Rejected && r != AttemptResult::ConnectFailed && r != AttemptResult::NotSent &&
         r != AttemptResult::TooStale;
}

}  // namespace

// ---- what is known of members ----------------------------------------------------------------------------
struct Balancer::Core {
  Settings s;
  ActionSink& sink;
  Time now{};
  std::map<EndpointId, Member> members;
  std::map<GroupId, Group> groups;
  std::unordered_map<RequestId, Open> open;
  std::unordered_map<std::uint64_t, Time> commits;  // last write of each session, where not carried
  std::vector<double> usual, base;  // mean and low latency of each class, microseconds; 0: not seen yet
  std::vector<Sample> pool;         // of all members together: stands in where a window is thin
  double retries = 1;
  const std::uint64_t seed;
  Time fadedAt{}, ratesAt = never, began = never;
  int outNow = 0;  // attempts that are out
  // Kept so that housekeeping costs what is under way, not what is listed.
  std::set<EndpointId> busyMembers;  // with attempts out
  std::set<EndpointId> goneMembers;  // with a goneAt
  std::set<GroupId> waitingGroups;   // every group with waiting requests; some may have none left
  std::uint64_t listsTaken = 1;      // a group was scouted if it was since the last list
  Decayed asked;                     // requests that came here
  double taken = 10, wrote = 0;      // the share of them that write, as if ten others had come before
  double typical = 0;                // mean latency of all classes, microseconds; 0: not seen yet
  double perWeight = 0;              // as of ratesAt: work of a warm member for its weight
  struct Totals {                    // over all usable members; from a pass over them only after a change
    bool stale = true;
    Time validUntil = never;  // when the next member stops warming up; never: none is
    double warmWeight = 0, warmingWeight = 0;
    Decayed warmServed;  // kept up to date with every answer
    double groupsInUse = 0;
  } totals;
  bool ticking = false, begun = false, asking = false;
  bool hearsLoad = false, hinted = false;  // reports tell a member's load; routers pass on what they hear
  Time askBackoff = kAskFirst;
  std::uint64_t askTurn = 0;

  Core(const Settings& settings, std::uint64_t own, ActionSink& out) : s(settings), sink(out), seed(own) {
    usual = base = std::vector<double>(s.classes.size());
    hearsLoad = std::count(s.reportFields.begin(), s.reportFields.end(), ReportField::Inflight) > 0;
    if (s.classes.empty()) throw std::invalid_argument("no classes");
    for (const ClassSettings& c : s.classes)
      if (c.latencyObjective <= Time(0) || c.deadline < c.latencyObjective)
        throw std::invalid_argument("a class's aim is 0 or past its deadline");
    if (s.maxAttempts < 1 || s.proxyCount < 1 || s.warmUpStartCapacity <= 0 || s.warmUpStartCapacity > 1)
      throw std::invalid_argument("attemptsCap or balancers below 1, or startCapacity not in (0, 1]");
  }

  // A number that is the same for the same things at this router, and another at each other one.
  std::uint64_t dice(std::uint64_t a, std::uint64_t b = 0) const {
    std::uint64_t x = seed + 0x9e3779b97f4a7c15ull * (a + 1) + 0xc2b2ae3d27d4eb4full * b;
    for (int k = 0; k < 2; ++k) x = (x ^ (x >> 31)) * 0xbf58476d1ce4e5b9ull;
    return x ^ (x >> 29);
  }
  double chance(std::uint64_t a, std::uint64_t b = 0) const {
    return static_cast<double>(dice(a, b) >> 11) * 0x1p-53;
  }

  double jitter() const { return 0.5 + chance(kTokenAsk, static_cast<std::uint64_t>(now.count())); }
  const ClassSettings& classOf(const Open& r) const { return s.classes[at(r.q.classIndex)]; }
  Member* find(EndpointId id) {
    const auto it = members.find(id);
    return it == members.end() ? nullptr : &it->second;
  }
  Time usually(int cls) const { return Time(static_cast<std::int64_t>(usual[at(cls)])); }

  // Guards against sends to what drains or is gone, from the very event that tells of it.
  bool usable(const Member& m) const {
    if (m.suspended) return false;
    if (m.listed.state == Lifecycle::Ready) return true;
    return s.removedEndpointsStayUsable && m.listed.state == Lifecycle::Gone && !m.seenDraining;
  }
  bool healthy(const Member& m) const {
    if (m.probing && now - m.probedAt > kDumb) return false;
    if (m.asideUntil == never) return true;
    if (now < m.asideUntil) return false;  // then it comes back by one request at a time
    return std::none_of(m.out.begin(), m.out.end(), [&](const Sent& o) { return o.at >= m.asideUntil; });
  }
  void setAside(Member& m, bool erring = false) {
    m.erring = erring;
    m.backoff = std::max(m.backoff, kBackoffFirst);
    m.asideUntil = now + m.backoff;
    m.backoff = std::min(2 * m.backoff, kBackoffMost);
    groups[m.listed.group].troubleAt = now;
  }

  // Roles: the newest evidence wins, however it came. A report is as old as the position in it.
  void sawRole(Member& m, Role role, Time at) {
    if (at < m.roleAt) return;
    Group& g = groups[m.listed.group];
    if (role == Role::Primary) {
      Member* const other = g.primary == m.listed.id ? nullptr : find(g.primary);
      if (other && other->roleAt > at) return;
      if (other) other->role = Role::Unknown;
      g.primary = m.listed.id, g.scoutedIn = 0;
    } else if (g.primary == m.listed.id) {
      g.primary = 0, g.scoutedIn = 0;
    }
    m.role = role, m.roleAt = at;
  }
  Member* primaryOf(Group& g) {
    Member* const m = find(g.primary);
    return m && usable(*m) ? m : nullptr;
  }

  void sawPosition(Member& m, Time position) {
    m.position = std::max(m.position, position);
    if (m.lags.size() == kPositions) m.lags.erase(m.lags.begin());
    m.lags.emplace_back(now, now - m.position);
  }
  void sawReport(Member& m, const std::vector<float>& report) {
    Time at = never;
    Role role = Role::Unknown;
    for (std::size_t k = 0; k < report.size() && k < s.reportFields.size(); ++k) {
      const float v = report[k];
      if (s.reportFields[k] == ReportField::Position && v > 0 && v < 1e9f) {
        // An f32 may have been rounded up: the next one below it is proven.
        const double low = static_cast<double>(std::nextafterf(v, 0.0f));
        at = s.positionEpoch + Time(static_cast<std::int64_t>(std::floor(low * 1e6)));
      } else if (s.reportFields[k] == ReportField::Primary) {
        role = v >= 0.5f ? Role::Primary : Role::Replica;
      } else if (s.reportFields[k] == ReportField::Inflight && v >= 0 && v < 1e6f) {
        m.told = static_cast<int>(v), m.toldAt = now;
      }
    }
    if (at == never || at > now) return;
    sawPosition(m, at);
    if (role != Role::Unknown) sawRole(m, role, at);
  }

  // Guards against attempts that are lost rather than queued: what was sent in the younger half of its age
  // has been answered. Only far beyond the usual latency: members may serve out of turn.
  Time patience(int cls) const {
    const ClassSettings& c = s.classes[at(cls)];
    return usually(cls) > Time(0) ? scaled(usually(cls), kPatience) : c.latencyObjective;
  }
  bool overtaken(const Member& m, const Sent& o) const {
    return now - o.at > patience(o.cls) && m.answeredSent > o.at + (now - o.at) / 2;
  }
  // Own requests there, or what its last report told of all routers' while that is news.
  int loadOf(const Member& m) const {
    const auto own =
        std::count_if(m.out.begin(), m.out.end(), [&](const Sent& o) { return !overtaken(m, o); });
    const bool news = m.toldAt != never && now - m.toldAt < kNews;
    return std::max(static_cast<int>(own), news ? m.told : 0);
  }
  void addSample(Member& m, const Sent& o, double latency) {
    std::vector<Sample>& w = o.held ? m.held : m.immediate;
    if (w.size() == kWindow) w.erase(w.begin());
    w.push_back({latency, o.cls, o.load, now});
    if (latency == kLate || o.held) return;
    if (pool.size() == 2 * kWindow) pool.erase(pool.begin());
    pool.push_back(w.back());
  }
  double convert(double latency, int from, int to) const {
    const double a = usual[at(from)], b = usual[at(to)];
    return a > 0 && b > 0 ? latency * b / a : latency;
  }

  // ---- the need of a read --------------------------------------------------------------------------------
  // The instant that a member's data must reach if it is sent now; never: any data will do.
  Time needOf(const Open& r) const {
    return classOf(r).requirement == Requirement::BoundedStaleness ? now - classOf(r).maxStaleness : r.commit;
  }
  void learnNeed(Open& r) {
    const ClassSettings& c = classOf(r);
    if (c.requirement == Requirement::Strong) r.commit = now;
    if (c.requirement != Requirement::Session) return;
    if (!s.sessionTokensCarried) {
      const auto it = commits.find(r.q.session);
      r.commit = it != commits.end() ? it->second : groups[r.q.group].forgotten;
    }
    if (!(r.q.sessionTokenAgeMs > 0)) return;
    // The age may have been rounded up: take the next f32 below it, so that the need is rounded up.
    const double age = static_cast<double>(std::nextafterf(r.q.sessionTokenAgeMs, 0.0f)) * 1e3;
    r.commit = std::max(
        r.commit, now - Time(static_cast<std::int64_t>(std::min(age, static_cast<double>(now.count())))));
  }
  // The share of recent samples that were new enough, 1 where the position proves it, below 0: leave it out.
  double stalenessFactor(const Member& m, const Group& g, Time need) const {
    if (need == never || m.listed.id == g.primary || m.position >= need) return 1;
    if (s.laggingReplicaPolicy == LaggingReplicaPolicy::Serve)
      return -1;  // it would answer from old data: only a proof will do
    const Time age = now - need;
    double in = 0, all = 0;
    for (const auto& [at, lag] : m.lags) {
      if (at + kRecent >= now) all += 1, in += lag <= age;
    }
    return all > 0 ? in / all : 0.5;
  }

  // ---- read-set selection --------------------------------------------------------------------------------
  // The share of a window that would miss `budget` now, with samples brought to this class and the member's
  // load; `byLoad` leaves out failures that come at any load. What all members showed lately counts as one
  // more and stands in for a thin window. What is out for longer is a miss: a hung member is silent.
  double missChance(const Member& m, const std::vector<Sample>& window, int cls, Time budget,
                    double* expected = nullptr, bool byLoad = false) const {
    const double load = std::max(kWidth, loadOf(m) + 1.0), limit = static_cast<double>(budget.count());
    double late = 0, all = 0, sum = 0;
    const auto count = [&](double latency) {
      late += latency > limit;
      sum += std::min(latency, 4 * limit);
      all += 1;
    };
    const auto countAll = [&](const std::vector<Sample>& w) {
      for (const Sample& x : w)
        if (x.at + kRecent >= now && !(byLoad && x.latency == kLate))
          count(convert(x.latency, x.cls, cls) * load / std::max(kWidth, x.load + 1.0));
    };
    countAll(pool);
    if (all == 0) all = 1, sum = usual[at(cls)] * load / kWidth;  // nothing seen yet counts as on time
    late /= all, sum /= all, all = 1;
    countAll(window);
    for (const Sent& o : m.out) {
      const double age = convert(static_cast<double>((now - o.at).count()), o.cls, cls);
      if (age > limit && !(byLoad && overtaken(m, o))) count(age);
    }
    if (expected) *expected = sum / all;
    return late / all;
  }

  // The members that a read may go to, least recently used first (a send counts as use, lest a burst go to
  // one), alike ones in an order of this router's own. A read for which any data will do leaves the fresh
  // ones to those that need them where a replica was too old for a bounded read: a lag must not spread.
  std::vector<Member*> candidates(const Open& r, bool lastResort = false) {
    Group& g = groups[r.q.group];
    std::vector<Member*> some;
    for (const EndpointId id : g.members) {
      Member& m = members.at(id);
      if (usable(m) && (healthy(m) || (lastResort && m.erring)) && mayTake(r, m) && withinColdBudget(m, r))
        some.push_back(&m);
    }
    const Time bound = tightestBound();
    const bool any = needOf(r) == never;
    std::sort(some.begin(), some.end(), [&](const Member* a, const Member* b) {
      const auto old = [&](const Member* m) { return !m->lags.empty() && m->lags.back().second > bound; };
      if (any && old(a) != old(b)) return old(a);
      return a->lastUsed != b->lastUsed ? a->lastUsed < b->lastUsed : a->salt < b->salt;
    });
    return some;
  }

  // Whether the last word of a member will do for a choice now: where members do not check, a proven
  // position; where reports tell their load, or for a write that must not be lost, a word within the aim.
  bool known(const Open& r, const Member& m) const {
    const Time need = needOf(r);
    if (s.laggingReplicaPolicy == LaggingReplicaPolicy::Serve && need != never &&
        m.listed.id != groups.at(r.q.group).primary && m.position < need)
      return false;
    if (!hearsLoad && classOf(r).requirement != Requirement::Write) return true;
    const Time word = std::max(m.wordAt, m.heardAt);
    return word != never && now - word < classOf(r).latencyObjective;
  }
  // Guards against choosing blindly where a router hears of a member once in many seconds. It asks those that
  // are next in turn and waits briefly for their word; what does not answer is taken for dead by healthy().
  // Where they pass on what they hear, one that none hears of is asked by all in turn, lest they crowd.
  bool inquire(Open& r, const std::vector<Member*>& next) {
    if (!s.healthChecksAllowed || s.loadReportMode == LoadReportMode::None || r.asked) return false;
    if (classOf(r).requirement == Requirement::Strong) return false;  // no replica's word can be new enough
    const EndpointId spared = classOf(r).requirement != Requirement::Write ? groups[r.q.group].primary : 0;
    const auto heard = [&](Member* m) { return m->listed.id != spared && known(r, *m); };
    if (hinted && std::any_of(next.begin(), next.end(), heard)) {
      const auto dark = std::find_if_not(next.begin(), next.end(), heard);
      const Time spell = scaled(s.proxyCount * kKindle, 0.5 + chance(r.q.id));
      if (dark != next.end() && !(*dark)->probing && now - (*dark)->probedAt >= spell) probe(**dark);
      return false;
    }
    bool have = false, pending = false;
    const Time pause = hearsLoad ? kTick : tightestBound() / 4;
    int left = kAsk;
    for (Member* m : next) {
      if (m->listed.id == spared) continue;
      const bool fine = known(r, *m);
      have = have || fine;
      if (left-- <= 0 || fine) continue;
      if (!m->probing && (m->probedAt == never || now - m->probedAt >= pause)) probe(*m);
      pending = pending || m->probing;
    }
    if (!pending || (have && !hearsLoad)) return false;
    r.asked = true;
    wait(r, std::max(s.timerResolution, classOf(r).latencyObjective / kHold));
    return true;
  }
  // Whether the candidates' answers come in time is worked out one after another, only as far as it is
  // needed.
  std::vector<Choice> readSet(const Open& r, const std::vector<Member*>& among) {
    Group& g = groups[r.q.group];
    const ClassSettings& c = classOf(r);
    const Time need = needOf(r);
    Time budget = r.arrived + c.latencyObjective - now;
    if (budget <= Time(0)) budget = std::max(r.q.deadline - now, Time(1));
    const auto choiceOf = [&](Member& m, double fresh) {
      Choice choice{&m, 0, 0};
      choice.miss = missChance(m, m.immediate, r.q.classIndex, budget, &choice.expected) * fresh;
      if (fresh < 1)
        choice.miss += (m.held.empty() ? 0.0 : missChance(m, m.held, r.q.classIndex, budget)) * (1 - fresh);
      return choice;
    };
    std::vector<Choice> set;
    const bool leaveBestOut = g.troubleAt != never && now - g.troubleAt < kTrouble;
    double product = 1, best = 1;
    const auto enough = [&] {
      return 1 - (leaveBestOut ? product / std::max(best, 1e-9) : product) >= kTarget;
    };
    const auto add = [&](const Choice& choice) {
      set.push_back(choice);
      product *= std::max(choice.miss, 1e-9);
      best = std::min(best, std::max(choice.miss, 1e-9));
    };
    Member* primary = nullptr;
    for (Member* m : among) {
      if (m->listed.id == g.primary) {
        primary = m;
        continue;
      }
      const double fresh = stalenessFactor(*m, g, need);
      if (fresh < 0) continue;
      add(choiceOf(*m, fresh));
      if (enough()) break;
    }
    // Sparing the primary, whose data is always new enough.
    if (primary && (set.empty() || !enough())) add(choiceOf(*primary, 1));
    std::stable_sort(set.begin(), set.end(), [](const Choice& a, const Choice& b) {
      return a.miss != b.miss ? a.miss < b.miss : a.expected < b.expected;
    });
    return set;
  }
  std::vector<Choice> readSet(const Open& r, bool lastResort = false) {
    return readSet(r, candidates(r, lastResort));
  }

  // Whether one more attempt may go out at all: what may have run is not run twice.
  bool remembered(const Open& r) const {
    const ClassSettings& c = classOf(r);
    return !r.ran || c.idempotency == Idempotency::Idempotent ||
           (c.idempotency == Idempotency::WithKey && now < r.ranAt + c.deduplicationWindow);
  }
  // Whether one more attempt of this request may go to this member, by its effect and what was tried.
  bool mayTake(const Open& r, const Member& m) {
    if (std::find(r.tried.begin(), r.tried.end(), m.listed.id) != r.tried.end()) return false;
    const ClassSettings& c = classOf(r);
    if (!remembered(r)) return false;
    if (!r.ran || c.idempotency == Idempotency::Idempotent) return true;
    const Member* const first = find(r.ranWhere);
    // Where an earlier request of the key ran is not told, but that it was in this group.
    if (!first) return r.ranWhere == 0 && c.idempotencyScope != IdempotencyScope::Zone;
    return c.idempotencyScope == IdempotencyScope::All ||
           (c.idempotencyScope == IdempotencyScope::Zone ? first->listed.zone == m.listed.zone
                                                         : first->listed.group == m.listed.group);
  }

  void advanceRead(Open& r) {
    const std::vector<Member*> next = candidates(r);
    if (inquire(r, next)) return;
    std::vector<Choice> set = readSet(r, next);
    if (set.empty() && !r.tried.empty()) {  // all were tried: another round
      r.tried.clear();
      set = readSet(r);
    }
    const bool none = set.empty();
    const auto leaveOut = [&](auto&& unfit) {
      set.erase(std::remove_if(set.begin(), set.end(), unfit), set.end());
    };
    leaveOut([&](const Choice& ch) { return !useful(r, *ch.member); });
    // Guards against reads that nobody takes while one member fails some at once: to try it again costs less.
    for (int round = 0; set.empty() && round < 2; ++round) {
      if (round > 0) r.tried.clear();
      set = readSet(r, true);
      leaveOut([&](const Choice& ch) { return !ch.member->erring || !useful(r, *ch.member); });
    }
    if (set.empty()) return none ? wait(r) : finish(r);
    send(r, *set[0].member);
  }

  // ---- primary finding and writes ------------------------------------------------------------------------
  void advanceWrite(Open& r) {
    Group& g = groups[r.q.group];
    g.primaryWanted = now;
    Member* const m = primaryOf(g);
    if (m) {
      r.tried.clear();
      // A primary that fails some at once is the only way all the same; one that is silent or gone is none.
      const bool fit = healthy(*m) || m->erring;
      if (!fit || !mayTake(r, *m) || !withinColdBudget(*m, r)) return wait(r);
      if (inquire(r, {m})) return;
      return useful(r, *m) ? send(r, *m) : finish(r);
    }
    // No primary known: one write tries the members by id, the others wait for an answer as primary. Where
    // probes can tell, one round is enough; else the next round follows after a pause.
    if (g.scoutedIn != listsTaken && (g.scout == 0 || g.scout == r.q.id)) {
      for (const EndpointId id : g.members) {
        Member& x = members.at(id);
        if (!usable(x) || !healthy(x) || !mayTake(r, x) || !withinColdBudget(x, r)) continue;
        g.scout = r.q.id;
        return send(r, x);
      }
      g.scoutedIn = listsTaken;
    }
    if (g.scout == r.q.id) g.scout = 0;
    r.tried.clear();
    wait(r);
  }

  // ---- attempts, time-outs, retries ----------------------------------------------------------------------
  void send(Open& r, Member& m) {
    const Time need = needOf(r);
    const Group& g = groups[r.q.group];
    const bool held = need != never && m.listed.id != g.primary && m.position < need;
    r.attempts.push_back({m.listed.id, now});
    r.tried.push_back(m.listed.id);
    ++r.outstanding;
    if (Allowance& a = m.allowance[classOf(r).requirement == Requirement::Write]; cold(m))
      a.saved -= a.price, a.drawnFor = 0;
    m.out.push_back({r.q.id, static_cast<int>(r.attempts.size()) - 1, r.q.classIndex, loadOf(m), now, held});
    m.lastUsed = now;
    busyMembers.insert(m.listed.id);
    r.asked = false, ++outNow;
    tickSoon();
    sink.send(r.q.id, m.listed.id, std::max(endOf(r), now + Time(1)));
  }

  void advance(Open& r) {
    if (r.outstanding > 0) return;
    const ClassSettings& c = classOf(r);
    const bool spent = static_cast<int>(r.attempts.size()) >= s.maxAttempts;
    if (spent || now >= giveUpAt(r) || (r.ran && c.idempotency == Idempotency::NonIdempotent))
      return finish(r);
    if (c.requirement == Requirement::Write)
      advanceWrite(r);
    else
      advanceRead(r);
  }
  void wait(Open& r, Time most = never) {
    if (r.waiting) return;
    r.waiting = true;
    Time in = std::max(std::min(giveUpAt(r), r.q.deadline) - now, Time(1));
    if (most != never) in = std::min(in, most);
    sink.scheduleTimer(in, kTokenWake | r.q.id << 8);
    tickSoon();
    groups[r.q.group].waiting.push_back(r.q.id);
    waitingGroups.insert(r.q.group);
  }
  void serveWaiting(Group& g) {
    std::vector<RequestId> ids;
    ids.swap(g.waiting);
    for (const RequestId id : ids) {
      const auto it = open.find(id);
      if (it == open.end() || !it->second.waiting) continue;
      it->second.waiting = false;
      advance(it->second);
    }
  }

  // Every group with waiting requests, by id. A group whose requests all went on is dropped from the set.
  void serveAllWaiting(bool seek = false) {
    for (const GroupId id : std::vector<GroupId>(waitingGroups.begin(), waitingGroups.end())) {
      const auto it = groups.find(id);
      if (it != groups.end() && !it->second.waiting.empty()) {
        serveWaiting(it->second);
        if (seek) seekPrimary(it->second);
      }
      if (it == groups.end() || it->second.waiting.empty()) waitingGroups.erase(id);
    }
  }

  void outcome(const AttemptOutcome& o) {
    Member* const m = find(o.endpoint);
    if (!m) return;
    const auto sent = std::find_if(m->out.begin(), m->out.end(), [&](const Sent& x) {
      return x.request == o.request && x.attempt == o.attempt;
    });
    if (sent == m->out.end()) return;
    const Sent was = *sent;
    m->out.erase(sent);
    if (m->out.empty()) busyMembers.erase(o.endpoint);
    --outNow;
    const GroupId group = m->listed.group;
    learn(*m, was, o);
    const auto it = open.find(o.request);
    if (it != open.end()) {
      Open& r = it->second;
      Attempt& a = r.attempts[at(o.attempt)];
      a.open = false, --r.outstanding;
      r.reached =
          r.reached || (o.result != AttemptResult::ConnectFailed && o.result != AttemptResult::NotSent);
      if (mayHaveRun(o.result) && (!r.ran || a.at < r.ranAt)) {
        r.ran = true, r.ranAt = a.at, r.ranWhere = a.member;
      }
      if (o.clientAnswered || o.result == AttemptResult::Ok) {
        close(r);
      } else {
        // What cost the member nothing is free; what was really tried again must be earned.
        const bool ended = o.result == AttemptResult::Error || o.result == AttemptResult::Reset ||
                           o.result == AttemptResult::ConnectFailed;
        const bool quick =
            ended && static_cast<double>((now - a.at).count()) < base[at(r.q.classIndex)] * kAtOnce;
        const bool free =
            o.result == AttemptResult::TooStale || o.result == AttemptResult::NotSent || a.cancelled || quick;
        if (r.outstanding == 0 && !free && now < r.q.deadline) {
          if (retries >= 1)
            retries -= 1;
          else
            return finish(r);
        }
        advance(r);
      }
    }
    serveWaiting(groups[group]);
  }

  // What an outcome says of its member, whether or not the request is still open.
  void learn(Member& m, const Sent& was, const AttemptOutcome& o) {
    Group& g = groups[m.listed.group];
    const ClassSettings& c = s.classes[at(was.cls)];
    const Time latency = now - was.at;
    const Role role = o.replicationStatus % 4 == 1   ? Role::Primary
                      : o.replicationStatus % 4 == 2 ? Role::Replica
                                                     : Role::Unknown;
    const Time stamp =
        o.replicationStatus / 4 ? s.positionEpoch + milliseconds(o.replicationStatus / 4) : never;
    const bool write = c.requirement == Requirement::Write;
    const bool answered = o.result == AttemptResult::Ok || o.result == AttemptResult::TooStale ||
                          o.result == AttemptResult::Rejected || o.result == AttemptResult::Error;
    if (answered && role != Role::Unknown) sawRole(m, role, now);
    if (stamp != never && stamp <= now + milliseconds(1))
      sawPosition(m, std::min(now, write ? stamp - milliseconds(1) : stamp));  // a commit was rounded up
    sawReport(m, o.report);
    if (answered && o.result != AttemptResult::Error) {
      m.lastAnswer = m.lastUsed = m.wordAt = now;
      m.answeredSent = std::max(m.answeredSent, o.result == AttemptResult::Ok ? was.at : never);
    }
    if (o.result == AttemptResult::Ok) {
      count(m.served, costOf(was.cls));
      if (usable(m) && !cold(m)) count(totals.warmServed, costOf(was.cls));
      double& u = usual[at(was.cls)];
      const double us = static_cast<double>(latency.count());
      u = u > 0 ? u + kSmooth * (us - u) : us;
      typical = typical > 0 ? typical + kSmooth * (us - typical) : us;
      double& b = base[at(was.cls)];
      b = b > 0 ? b + (us < b ? kSmooth : kSmooth / 10) * (us - b) : us;
      addSample(m, was, us);
      m.failures = 0, m.backoff = Time(0);
      m.asideUntil = never, m.erring = false;
    } else if (o.result != AttemptResult::NotSent && o.result != AttemptResult::Cancelled &&
               !(write && o.result == AttemptResult::TooStale)) {
      // A fast failure must not look fast. A full queue is a wait past the deadline, a time-out one past the
      // aim, both at that load: no symptom. Whether a member is silent noticeSilence() finds.
      const bool byLoad =
          o.result == AttemptResult::Rejected || (o.result == AttemptResult::Timeout && !overtaken(m, was));
      const Time least =
          o.result == AttemptResult::Rejected ? c.deadline : std::max(latency, c.latencyObjective * 5 / 4);
      addSample(m, was, byLoad ? static_cast<double>(least.count()) : kLate);
      if (o.result == AttemptResult::TooStale || o.result == AttemptResult::Timeout) g.troubleAt = now;
      // A failed connection, with nothing heard since, is a process that is gone; a reset alone is not.
      const bool down = o.result == AttemptResult::ConnectFailed && m.lastAnswer < was.at;
      const bool broken = o.result == AttemptResult::ConnectFailed || o.result == AttemptResult::Reset;
      if (o.result != AttemptResult::TooStale && !byLoad && (++m.failures >= kStreak || down)) {
        if (broken && s.healthChecksAllowed && s.loadReportMode != LoadReportMode::None) {
          if (!m.probing && (m.erring || now >= m.asideUntil)) probe(m);
          return;
        }
        if (now >= m.asideUntil) setAside(m, o.result == AttemptResult::Error);
        if (down) sawRole(m, Role::Unknown, now);  // its process is gone: whoever is primary must say so anew
      }
    }
  }

  // Guards against members that take work and answer nothing (hung, cut off, crawling) and against answers
  // lost on the way. A member that has answered nothing since an attempt was sent, for several usual
  // latencies, is probed: if that stays unanswered too it is set aside, else that attempt alone is lost.
  void noticeSilence(Member& m) {
    const bool canProbe = s.healthChecksAllowed && s.loadReportMode != LoadReportMode::None;
    for (const Sent& o : std::vector<Sent>(m.out)) {
      const Time due = o.at + patience(o.cls);
      if (m.lastAnswer >= o.at || now < due) continue;
      const bool trial = m.asideUntil != never && o.at < m.asideUntil;  // it was sent before that
      if (!trial && !canProbe) setAside(m);
      if (canProbe && m.wordAt < due && !m.probing && !trial) probe(m);
      if (now >= m.asideUntil && healthy(m) && (!canProbe || m.wordAt < due)) continue;
      const auto it = open.find(o.request);
      if (it == open.end()) continue;
      Open& r = it->second;
      Attempt& a = r.attempts[at(o.attempt)];
      if (classOf(r).idempotency != Idempotency::Idempotent || a.cancelled || !s.cancelAllowed || retries < 1)
        continue;
      if (static_cast<int>(r.attempts.size()) >= s.maxAttempts || readSet(r).empty()) continue;
      retries -= 1, a.cancelled = true;
      sink.cancel(o.request, o.attempt);  // its outcome brings the next attempt
    }
  }

  // ---- refusals ------------------------------------------------------------------------------------------
  // Guards against members spent on what has lost its worth: a class that earns nothing late ends at its aim.
  Time endOf(const Open& r) const {
    return classOf(r).lateWeight > 0 ? r.q.deadline
                                     : std::min(r.q.deadline, r.arrived + classOf(r).latencyObjective);
  }
  // From when on a request can no longer be answered usefully by a new attempt.
  Time giveUpAt(const Open& r) const {
    Time end = endOf(r);
    // Guards against holding back what finds no member: where none has had it by nearly half of its time, the
    // client is told to come back while that is still of use to it.
    if (!r.reached && r.outstanding == 0)
      end = std::min(end, r.arrived + scaled(r.q.deadline - r.arrived, kUnheard) + usually(r.q.classIndex));
    return std::max(end - usually(r.q.classIndex), r.arrived + Time(r.attempts.empty() && end > r.arrived));
  }
  // Guards against queues that make everything late. A request goes out only where it is likely to earn its
  // worth. An idle member takes any: the way back stays open.
  bool useful(const Open& r, const Member& m) {
    if (loadOf(m) == 0) return true;
    const Time left = std::max(endOf(r) - now, Time(1));
    return 1 - missChance(m, m.immediate, r.q.classIndex, left, nullptr, true) >= kUseful;
  }
  void finish(Open& r) {
    const ClassSettings& c = classOf(r);
    const bool untouched = !r.ran && r.outstanding == 0;
    const bool harmless =
        untouched || c.idempotency == Idempotency::Idempotent ||
        (c.idempotency == Idempotency::WithKey && c.idempotencyScope == IdempotencyScope::All);
    const RequestId id = r.q.id;
    // Soon, while its aim goes on; what comes back after that is only load.
    const Time again =
        now < r.arrived + c.latencyObjective ? scaled(usually(r.q.classIndex), kComeBack) : s.maxRetryAfter;
    if (harmless)
      sink.reject(id, s.retryAfterAllowed ? std::min(s.maxRetryAfter, again) : Time(0));
    else
      sink.fail(id);
    close(r);
  }
  void close(Open& r) {
    const RequestId id = r.q.id;
    Group& g = groups[r.q.group];
    if (g.scout == id) g.scout = 0;
    for (std::size_t k = 0; s.cancelAllowed && k < r.attempts.size(); ++k)
      if (r.attempts[k].open && !r.attempts[k].cancelled) sink.cancel(id, static_cast<int>(k));
    open.erase(id);
  }

  // ---- list, drains, cold starts -------------------------------------------------------------------------
  void list(ListKind kind, const std::vector<ListedEndpoint>& entries) {
    asking = kind == ListKind::Failed && s.discoveryMode == DiscoveryMode::Subscribe;
    if (asking) {
      sink.scheduleTimer(scaled(askBackoff, jitter()), kTokenAsk | ++askTurn << 8);
      askBackoff = std::min(2 * askBackoff, kAskMost);
    }
    if (kind == ListKind::Failed) return;
    askBackoff = kAskFirst;
    totals.stale = true;
    if (kind != ListKind::Delta) {
      std::vector<EndpointId> listed;
      listed.reserve(entries.size());
      for (const ListedEndpoint& e : entries) listed.push_back(e.id);
      std::sort(listed.begin(), listed.end());
      auto next = listed.cbegin();  // both go up by id
      for (auto& [id, m] : members) {
        while (next != listed.cend() && *next < id) ++next;
        if (next == listed.cend() || *next != id) m.listed.state = Lifecycle::Gone;
        if (m.listed.state == Lifecycle::Gone) markGone(id, m);
      }
    }
    auto place = members.begin();  // most lists name members by id going up: then no search is needed
    for (const ListedEndpoint& e : entries) {
      if (place == members.end() || place->first != e.id) place = members.try_emplace(e.id).first;
      Member& m = (place++)->second;
      m.salt = dice(e.id);
      if (m.listed.id == 0 || m.listed.group != e.group) {
        std::vector<EndpointId>& ids = groups[e.group].members;
        ids.insert(std::lower_bound(ids.begin(), ids.end(), e.id), e.id);
        if (m.listed.id != 0) {
          std::vector<EndpointId>& was = groups[m.listed.group].members;
          was.erase(std::remove(was.begin(), was.end(), e.id), was.end());
        }
      }
      if (e.started > m.listed.started) {  // a new process: nothing of what was learned holds on
        m.immediate.clear(), m.held.clear();
        m.served = {}, m.allowance[0] = m.allowance[1] = {}, m.asideUntil = never;
        m.failures = 0, m.backoff = Time(0);
        if (m.listed.id != 0) {
          m.listed = e;
          sawRole(m, Role::Unknown, std::max(m.roleAt, std::min(e.started, now)));
        }
      }
      m.listed = e;
      m.suspended = m.suspended || e.suspended;
      if (e.state == Lifecycle::Gone)
        markGone(e.id, m);
      else
        m.goneAt = never, goneMembers.erase(e.id);
      m.seenDraining = e.state == Lifecycle::Draining || (m.seenDraining && e.state != Lifecycle::Ready);
      if (!usable(m)) {
        if (groups[e.group].primary == e.id) sawRole(m, Role::Unknown, std::max(m.roleAt, now));
      } else if (e.primary && s.listedRolePolicy != ListedRolePolicy::NotListed && m.roleAt == never &&
                 groups[e.group].primary == 0) {
        groups[e.group].primary = e.id;  // the weakest evidence: anything heard from a member replaces it
        m.role = Role::Primary, m.roleAt = Time(0);
      }
    }
    ++listsTaken;
    serveAllWaiting();
  }
  void markGone(EndpointId id, Member& m) {
    if (m.goneAt == never) m.goneAt = now;
    goneMembers.insert(id);
  }
  // Guards against growth where members are replaced. What is out there still ends in an event about it.
  std::vector<EndpointId> forget() {
    std::vector<EndpointId> gone;
    for (const EndpointId id : goneMembers) {
      const Member& m = members.at(id);
      if (!usable(m) && now >= m.goneAt + kForget && m.out.empty() && !m.probing) gone.push_back(id);
    }
    totals.stale = totals.stale || !gone.empty();
    for (const EndpointId id : gone) {
      Group& g = groups[members.at(id).listed.group];
      g.members.erase(std::remove(g.members.begin(), g.members.end(), id), g.members.end());
      if (g.primary == id) g.primary = 0;
      members.erase(id);
      goneMembers.erase(id);
    }
    for (auto it = groups.begin(); it != groups.end();) {  // clients may name groups that do not exist
      const Group& g = it->second;
      it = g.members.empty() && g.waiting.empty() && g.scout == 0 && g.forgotten == never ? groups.erase(it)
                                                                                          : std::next(it);
    }
    return gone;
  }
  void ask() {
    asking = true;
    sink.subscribe();
    if (s.discoveryPollDeadline > Time(0))
      sink.scheduleTimer(scaled(s.discoveryPollDeadline / 3, jitter()), kTokenAsk | ++askTurn << 8);
  }

  // Guards against pushing over a member that has just started, by all routers with no word among them: it
  // may get N in fallFor, fallMultiple times what it can do. That is no less than its ramp's part of what
  // warm ones do, than it has done, or than their mean. Each plans by what it had of them, so the sum is the
  // fleet's; it adds up with time, and a part of a request is drawn for (docs/design/cold-start.md).
  bool cold(const Member& m) const {
    return m.listed.started != Time(0) && now < m.listed.started + s.warmUpPeriod && s.warmUpPeriod > Time(0);
  }
  double lately(const Decayed& d) const { return d.n * std::exp(-ratio(now - d.at, kRecent)); }
  void count(Decayed& d, double work) { d.n = lately(d) + work, d.at = now; }
  double each(const Decayed& d, Time since) const {  // in a window, counted since then
    const double seen = 1 - std::exp(-ratio(std::max(now - since, kTick), kRecent));
    return lately(d) * ratio(std::max(s.overloadWindow, kTick), kRecent) / seen;
  }
  double costOf(int k) const { return usual[at(k)] > 0 ? std::clamp(usual[at(k)] / typical, 0.5, 2.0) : 1; }
  void sumUp() {
    if (std::exchange(ratesAt, now) == now) return;
    if (totals.stale || (totals.validUntil != never && now >= totals.validUntil)) recountTotals();
    // Where none is warm what is asked is taken for the most that can be.
    perWeight = totals.warmWeight > 0 ? each(totals.warmServed, began) / totals.warmWeight
                                      : each(asked, began) / std::max(totals.warmingWeight, 1e-9) / kCrowd;
  }
  void recountTotals() {
    totals = Totals();
    totals.stale = false;
    for (const auto& [id, m] : members) {
      if (!usable(m)) continue;
      if (cold(m)) {
        const Time warmAt = m.listed.started + s.warmUpPeriod;
        totals.validUntil = totals.validUntil == never ? warmAt : std::min(totals.validUntil, warmAt);
        totals.warmingWeight += m.listed.weight;
      } else {
        totals.warmWeight += m.listed.weight;
        count(totals.warmServed, lately(m.served));
      }
    }
    for (const auto& [id, g] : groups) totals.groupsInUse += !g.members.empty();
  }
  bool withinColdBudget(Member& m, const Open& r) {
    if (!cold(m)) return true;
    const bool write = classOf(r).requirement ==
                       Requirement::Write;  // which has one way: reads have what is left of a primary
    Allowance& a = m.allowance[write];
    if (a.drawnFor == r.q.id && (a.drawn || a.drawnAt == now)) return a.drawn;
    sumUp();  // a group is seldom asked at one of many routers: its part of all tells more than its own
    const double all = each(asked, began) / totals.groupsInUse, writes = all * wrote;
    const double ramp =
        s.warmUpStartCapacity + (1 - s.warmUpStartCapacity) * ratio(now - m.listed.started, s.warmUpPeriod);
    const double able = (2 * ramp * m.listed.weight * perWeight + each(m.served, m.listed.started)) / 2.7;
    const double least = kLeast / std::max(s.proxyCount, kFewestProxies);
    double part = std::max(kPlan * s.overloadFactor * able, least);  // for a window
    if (!write && groups.at(m.listed.group).primary == m.listed.id) part = std::max(part - writes, 0.0);
    const double due = std::max(write ? writes : all - writes, 1e-9);
    const double most = std::max({kSaved * part, least, std::min(1.0, part / due)});
    const double more = part * ratio(now - a.at, std::max(s.overloadWindow, kTick));
    a.saved = a.at == never ? std::min(1.0, std::max(most, 2 * least)) : std::min(most, a.saved + more);
    const double cost = costOf(r.q.classIndex), odds = std::min(1.0, a.saved / cost);
    a.at = a.drawnAt = now, a.drawnFor = r.q.id, a.price = odds * cost;
    a.drawn = chance(r.q.id, m.listed.id + static_cast<std::uint64_t>(now.count()) * 31) < odds;
    if (!a.drawn) a.saved -= a.price;
    return a.drawn;
  }

  // ---- probes --------------------------------------------------------------------------------------------
  void probe(Member& m) {
    m.probing = true, m.probedAt = now;
    sink.startHealthCheck(m.listed.id);
  }
  Time tightestBound() const {
    Time t = never;
    for (const ClassSettings& c : s.classes)
      if (c.requirement == Requirement::BoundedStaleness && (t == never || c.maxStaleness < t))
        t = c.maxStaleness;
    return t == never ? seconds(1) : t;
  }
  // Without a primary every member is asked who it is, while a write waits.
  void seekPrimary(Group& g) {
    if (!s.healthChecksAllowed || s.loadReportMode == LoadReportMode::None) return;
    if (now > g.primaryWanted + kTick || (primaryOf(g) && healthy(*primaryOf(g)))) return;
    for (const EndpointId id : g.members) {
      Member& m = members.at(id);
      if (usable(m) && !m.probing && (m.probedAt == never || now - m.probedAt >= kScout)) probe(m);
    }
  }
  // Housekeeping goes on only while something is out or waits.
  void tickSoon() {
    if (ticking) return;
    ticking = true;
    sink.scheduleTimer(std::max(s.timerResolution, kTick), kTokenTick);
  }
  void tick() {
    ticking = false;
    for (const EndpointId id : busyMembers) noticeSilence(members.at(id));  // which sends nothing itself
    serveAllWaiting(true);
    if (outNow > 0 || !waitingGroups.empty()) tickSoon();
  }
};

// ---- events ----------------------------------------------------------------------------------------------
Balancer::Balancer(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : core_(std::make_unique<Core>(settings, seed, sink)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;

void Balancer::endpointsListed(Time now, ListKind kind, const std::vector<ListedEndpoint>& entries) {
  Core& c = *core_;
  c.now = now;
  c.list(kind, entries);
  if (c.begun) return;
  c.begun = true, c.began = now;
  if (c.s.discoveryMode == DiscoveryMode::Subscribe) c.ask();
}

void Balancer::request(Time now, const Request& q) {
  Core& c = *core_;
  c.now = now;
  if (c.open.count(q.id)) return;
  if (q.classIndex < 0 || at(q.classIndex) >= c.s.classes.size()) return c.sink.reject(q.id, Time(0));
  const double keep = std::exp(-ratio(now - c.fadedAt, kPurse));
  c.fadedAt = now;
  c.retries = std::max(std::min(c.retries, 1.0), c.retries * keep) + kRetryShare;
  const double work = c.costOf(q.classIndex),
               write = c.s.classes[at(q.classIndex)].requirement == Requirement::Write;
  c.count(c.asked, work);
  c.wrote += (write - c.wrote) / ++c.taken;
  Open& r = c.open[q.id];
  r.q = q, r.arrived = now;
  r.ran = q.mayHaveRunSince > Time(0), r.ranAt = q.mayHaveRunSince;
  c.learnNeed(r);
  c.advance(r);
}

void Balancer::attemptEnded(Time now, const AttemptOutcome& o) {
  Core& c = *core_;
  c.now = now;
  const auto it = c.open.find(o.request);
  if (!c.s.sessionTokensCarried && o.result == AttemptResult::Ok && it != c.open.end()) {
    const Open& r = it->second;
    if (c.classOf(r).requirement == Requirement::Write && r.q.session != 0) {
      const Time commit =
          o.replicationStatus / 4 ? c.s.positionEpoch + milliseconds(o.replicationStatus / 4) : now;
      Time& last = c.commits[r.q.session];
      last = std::max(last, commit);
      if (c.commits.size() > kSessions) {  // forgetting must not make a read stale: one commit stands for all
        for (const auto& entry : c.commits)
          for (auto& [id, g] : c.groups) g.forgotten = std::max(g.forgotten, entry.second);
        c.commits.clear();
      }
    }
  }
  c.outcome(o);
}

void Balancer::clientDisconnected(Time now, RequestId id) {
  Core& c = *core_;
  c.now = now;
  const auto it = c.open.find(id);
  if (it != c.open.end()) c.close(it->second);
}

void Balancer::healthCheckEnded(Time now, const HealthCheckResult& p) {
  Core& c = *core_;
  c.now = now;
  Member* const m = c.find(p.endpoint);
  if (!m) return;
  m->probing = false;
  if (p.ok) {
    c.sawReport(*m, p.report);
    m->wordAt = now, m->failures = 0;
    // Guards against asking the same laggards for ever, as they get no sends: to be asked in vain is a turn.
    if (m->position < now - c.tightestBound()) m->lastUsed = now;
  } else if (m->wordAt < m->probedAt && (m->erring || now >= m->asideUntil)) {
    c.setAside(*m);  // its silence or a refused connection: nothing is sent there for a while
    // Connections failed before: its process is gone, and whoever is primary must say so anew.
    if (m->failures > 0) c.sawRole(*m, Role::Unknown, now);
  }
  Group& g = c.groups[m->listed.group];
  // A choice by load needs the word of all that were asked.
  const auto asked = [&](EndpointId id) {
    return c.members.at(id).probing && now - c.members.at(id).probedAt <= kDumb;
  };
  if (!c.hearsLoad || std::none_of(g.members.begin(), g.members.end(), asked)) c.serveWaiting(g);
}

void Balancer::gossipReceived(Time now, EndpointId id, std::uint32_t note, int cls, Time latency) {
  Core& c = *core_;
  c.now = now;
  Member* const m = c.find(id);
  const Time when = c.s.positionEpoch + milliseconds(note / 4);
  if (!m || when > now || now - when > kRecent) return;
  c.hinted = true;
  m->heardAt = std::max(m->heardAt, when);
  if (when > m->position) c.sawPosition(*m, when);
  if (note % 4) c.sawRole(*m, note % 4 == 1 ? Role::Primary : Role::Replica, when);
  if (cls >= 0 && at(cls) < c.s.classes.size())
    c.addSample(*m, Sent{0, 0, cls, c.loadOf(*m), now, false}, static_cast<double>(latency.count()));
  if (!c.groups[m->listed.group].waiting.empty()) c.serveWaiting(c.groups[m->listed.group]);
}

void Balancer::timerFired(Time now, std::uint64_t token) {
  Core& c = *core_;
  c.now = now;
  if (token == kTokenTick) c.tick();
  if ((token & 255) == kTokenWake) {  // to the instant: a request that waits must not outlast its client
    const auto it = c.open.find(token >> 8);
    if (it != c.open.end() && it->second.waiting) {
      it->second.waiting = false;
      std::vector<RequestId>& w = c.groups[it->second.q.group].waiting;
      w.erase(std::remove(w.begin(), w.end(), token >> 8), w.end());
      c.advance(it->second);
    }
  }
  if ((token & 255) == kTokenAsk && token >> 8 == c.askTurn && c.asking) c.ask();
}

bool Balancer::maySendNow(Time now, RequestId id, EndpointId to) {
  Core& c = *core_;
  c.now = now;
  const auto it = c.open.find(id);
  const Member* const m = c.find(to);
  if (it == c.open.end() || !m || !c.usable(*m)) return false;
  if (!c.remembered(it->second)) return false;  // it waited for its connection
  return c.stalenessFactor(*m, c.groups[m->listed.group], c.needOf(it->second)) >= 0;
}

std::vector<EndpointId> Balancer::removeExpiredEndpoints(Time now) {
  core_->now = now;
  return core_->forget();
}

void Balancer::suspend(Time now, EndpointId id, bool on) {
  Core& c = *core_;
  c.now = now;
  Member* const m = c.find(id);
  if (!m || m->suspended == on) return;
  m->suspended = on;
  c.totals.stale = true;
  if (on) {
    m->suspendedAt = now;
    c.sawRole(*m, Role::Unknown, std::max(m->roleAt, now));
  } else {  // staff had a reason: unless the list knows better it counts as one that has just started
    if (m->listed.started < m->suspendedAt) m->listed.started = now, m->served = {};
    m->asideUntil = never, m->failures = 0;
    c.groups[m->listed.group].scoutedIn = 0;
  }
}

// Classes keep their indices, new ones come behind them: a request under way keeps the class it came with.
void Balancer::updateSettings(Time now, const Settings& settings) {
  Core& c = *core_;
  c.now = now;
  const Time zero = c.s.positionEpoch;
  c.s = settings;
  c.totals.stale = true;
  c.s.positionEpoch = zero;
  c.usual.resize(std::max(c.usual.size(), settings.classes.size()));
  c.base.resize(c.usual.size());
}

void Balancer::setPositionEpoch(Time zero) { core_->s.positionEpoch = zero; }

// What was seen by this router's own clock (a role, a fresh read's arrival) stays where it is.
void Balancer::instantsMoved(Time now, Time by) {
  Core& c = *core_;
  c.now = now;
  const auto move = [by](Time& t) {
    if (t != never) t = std::max(t + by, Time(0));
  };
  for (auto& [id, m] : c.members) {
    move(m.position);
    for (auto& [seenAt, age] : m.lags) age -= by;
  }
  for (auto& [session, commit] : c.commits) move(commit);
  for (auto& [id, g] : c.groups) move(g.forgotten);
  for (auto& [id, r] : c.open)
    if (c.classOf(r).requirement == Requirement::Session) move(r.commit);
}

}  // namespace sablespur::balancer
