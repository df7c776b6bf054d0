// The whole interface of knotstack: settings, events, actions and the Balancer that joins them.
//
// An embedding program owns the network and the clock. It tells a Balancer what happened, one event at a
// time and in order, and carries out the actions that come back through the Sink before the call returns.
// A Balancer does no I/O, reads no clock, starts no thread and shares nothing with another Balancer: the same
// settings, seed and events give the same actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sablespur::balancer {

using Time = std::chrono::microseconds;  // an instant on the caller's clock, or an interval; never negative
using MemberId = std::uint64_t;          // opaque, the same as long as the member keeps its address
using RequestId = std::uint64_t;         // never used twice during the life of a Balancer
using GroupId = std::uint32_t;           // a primary and its replicas

enum class Effect { Safe, Keyed, Unsafe };                // may a request run twice?
enum class KeyScope { All, Zone, Group };                 // keyed: who drops a repeat
enum class Need { Any, Bounded, Session, Fresh, Write };  // what data a request needs
enum class Checks { Silent, Refuse, Wait };               // what a member does with a read it lags for
enum class RoleListed { Silent, Start, Late };            // how the list's role follows the real one
enum class Discovery { Automatic, Subscribe };            // does the list come by itself?
enum class Reports { Silent, Piggyback, Pull };           // where load reports travel
enum class Figure { Position, Primary, Inflight, Queue, Other };  // what a value of a report says

struct ClassSettings {
  Need need = Need::Any;
  Effect effect = Effect::Safe;
  KeyScope scope = KeyScope::All;  // keyed only
  Time memory{};                   // keyed only: how long repeats are dropped, from the first send
  Time bound{};                    // bounded only: greatest age of the data at the time of the send
  Time aim{};                      // an answer within this earns the full worth
  Time deadline{};                 // a client's whole patience
  double worth = 1;
  double lateWorth = 0;  // share of the worth that a late answer earns
};

struct Settings {
  std::vector<ClassSettings> classes;
  Checks checks = Checks::Silent;
  RoleListed roleListed = RoleListed::Silent;
  Discovery discovery = Discovery::Automatic;
  Reports reports = Reports::Silent;
  std::vector<Figure> figures;      // order of the values in a report
  bool positionsInAnswers = false;  // every answer carries a position
  bool tokensCarried = false;  // session reads bring the age of their last write; else it is remembered here
  bool synchronous = false;    // a write is answered only once a replica has it
  bool probing = false, cancel = false, parallelTries = false, retryAfter = false;
  bool droppedStayOpen = false;  // only 'draining' binds, not 'gone'
  int attemptsCap = 1;           // attempts for one request
  int balancers = 1;             // routers before the same members, this one included
  Time holdsFor{};               // Checks::Wait: how long a member waits to catch up
  Time zero{};                   // positions in answers and reports count from here
  Time maxRetryAfter{};
  Time drainGrace{}, coldFor{}, fallFor{}, mustAskIn{}, step{};
  double startCapacity = 1, fallMultiple = 1;
  double goalWhole = 1, goalWorstClass = 0;  // what counts: all worth served, the worst class's share served
};

enum class Lifecycle { Gone, Ready, Draining };
struct ListedMember {
  MemberId id = 0;
  GroupId group = 0;
  int zone = 0;
  Lifecycle state = Lifecycle::Ready;
  bool primary = false;    // see Settings::roleListed
  double weight = 1;       // size, comparable among members
  Time started{};          // latest start; 0: long ago
  bool suspended = false;  // by staff, see Balancer::suspend
};
enum class ListKind { Delta, Full, Cached, Failed };  // Full, Cached: what is absent is gone

struct Request {
  RequestId id = 0;
  int cls = 0;  // index into Settings::classes; anything else is refused
  GroupId group = 0;
  std::uint64_t session = 0;  // 0: none
  float tokenMs = 0;  // milliseconds since the session's last commit, as far as it is told; 0: not told
  Time ranAt{};       // an earlier request of the same key may have run, since then; 0: none has
  Time deadline{};    // the client leaves then
};

enum class Result { Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot, Miss };
struct Outcome {
  RequestId request = 0;
  int attempt = 0;  // counted from 0 in the order of the sends of this request
  MemberId member = 0;
  Result result = Result::Ok;
  Time latency{};
  bool closed = false;  // the client has its final answer
  std::uint32_t note =
      0;  // 4 x position in ms after zero, + 1 from a primary, + 2 from a replica; 0: nothing
  std::vector<float> report;  // values in the order of Settings::figures; may be empty
};
struct Probe {
  MemberId member = 0;
  bool ok = false;
  Time latency{};
  std::vector<float> report;
};

// Carries out what a Balancer decides. Calls come during an event, in the order in which they take effect.
class Sink {
 public:
  virtual ~Sink() = default;
  virtual void send(RequestId, MemberId, Time until) = 0;  // until 0: when the client leaves
  virtual void refuse(RequestId, Time retryAfter) = 0;     // final: a new try is harmless; 0: no word
  virtual void fail(RequestId) = 0;                        // final: it may have run
  virtual void cancel(RequestId, int attempt) = 0;         // its Outcome still has to be told
  virtual void timer(Time in, std::uint64_t token) = 0;    // answer with Balancer::timer, never early
  virtual void probe(MemberId) = 0;                        // answer with Balancer::probed
  virtual void subscribe() = 0;                            // answer with Balancer::list
  virtual void log(const std::string& line) = 0;           // for staff
};

// Every call takes the present, which never goes back. Events about what is not known (any more) are ignored.
// The Sink must outlive the Balancer and must not call into it. std::invalid_argument: settings that
// contradict each other; no other call throws but for lack of memory.
class Balancer {
 public:
  Balancer(const Settings&, std::uint64_t seed, Sink&);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) = delete;

  void list(Time now, ListKind, const std::vector<ListedMember>&);  // the first one right after construction
  void request(Time now, const Request&);                           // from here on one final answer is owed
  void outcome(Time now, const Outcome&);  // exactly one for each send, the client's time-out included
  void clientLeft(Time now, RequestId);    // nothing is owed any more; outcomes still come
  void probed(Time now, const Probe&);     // exactly one for each probe
  void timer(Time now, std::uint64_t token);
  // What another router had from a member itself: a note as in an Outcome; the class and latency of the
  // request that it answered, or a class below 0. It may be old or never come.
  void heard(Time now, MemberId, std::uint32_t note, int cls, Time latency);

  // Whether a send that had to wait for its connection may still go out: since it was decided the member may
  // have drained, or its data grown too old. If not, its Outcome is Moot.
  bool fit(Time now, RequestId, MemberId);
  // Staff take a member out of use, or back; whatever the list says. Nothing new goes to it from here on,
  // probes included; what is out goes on. One that comes back counts as just started, unless the list knows
  // better.
  void suspend(Time now, MemberId, bool on);
  // New settings. Classes keep their indices: those that requests under way may have must stand where they
  // were.
  void settle(Time now, const Settings&);
  // Forgets the members that have been gone and quiet for long, and names them: their ids may be dropped. A
  // late event about one is ignored like any about what is not known.
  std::vector<MemberId> forget(Time now);
  void countFrom(Time zero);  // positions in later answers and reports count from here
  // The caller's idea of other machines' clocks has changed: instants that they told, and that are known
  // here, lie later by so much on the caller's clock than was thought (earlier, if it is negative).
  void instantsMoved(Time now, Time by);

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace sablespur::balancer
