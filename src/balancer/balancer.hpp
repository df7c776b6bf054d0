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
using EndpointId = std::uint64_t;        // opaque, the same as long as the member keeps its address
using RequestId = std::uint64_t;         // never used twice during the life of a Balancer
using GroupId = std::uint32_t;           // a primary and its replicas

enum class Idempotency { Idempotent, WithKey, NonIdempotent };             // may a request run twice?
enum class IdempotencyScope { All, Zone, Group };                          // keyed: who drops a repeat
enum class Requirement { Any, BoundedStaleness, Session, Strong, Write };  // what data a request needs
enum class LaggingReplicaPolicy { Serve, Reject, Wait };      // what a member does with a read it lags for
enum class ListedRolePolicy { NotListed, AtStart, Delayed };  // how the list's role follows the real one
enum class DiscoveryMode { Automatic, Subscribe };            // does the list come by itself?
enum class LoadReportMode { None, Piggyback, Pull };          // where load reports travel
enum class ReportField { Position, Primary, Inflight, Queue, Other };  // what a value of a report says

struct ClassSettings {
  Requirement requirement = Requirement::Any;
  Idempotency idempotency = Idempotency::Idempotent;
  IdempotencyScope idempotencyScope = IdempotencyScope::All;  // keyed only
  Time deduplicationWindow{};  // keyed only: how long repeats are dropped, from the first send
  Time maxStaleness{};         // bounded only: greatest age of the data at the time of the send
  Time latencyObjective{};     // an answer within this earns the full worth
  Time deadline{};             // a client's whole patience
  double priorityWeight = 1;
  double lateWeight = 0;  // share of the worth that a late answer earns
};

struct Settings {
  std::vector<ClassSettings> classes;
  LaggingReplicaPolicy laggingReplicaPolicy = LaggingReplicaPolicy::Serve;
  ListedRolePolicy listedRolePolicy = ListedRolePolicy::NotListed;
  DiscoveryMode discoveryMode = DiscoveryMode::Automatic;
  LoadReportMode loadReportMode = LoadReportMode::None;
  std::vector<ReportField> reportFields;  // order of the values in a report
  bool positionsInAnswers = false;        // every answer carries a position
  bool sessionTokensCarried =
      false;  // session reads bring the age of their last write; else it is remembered here
  bool synchronousReplication = false;  // a write is answered only once a replica has it
  bool healthChecksAllowed = false, cancelAllowed = false, parallelAttemptsAllowed = false,
       retryAfterAllowed = false;
  bool removedEndpointsStayUsable = false;  // only 'draining' binds, not 'gone'
  int maxAttempts = 1;                      // attempts for one request
  int proxyCount = 1;                       // routers before the same members, this one included
  Time replicaWaitLimit{};                  // Checks::Wait: how long a member waits to catch up
  Time positionEpoch{};                     // positions in answers and reports count from here
  Time maxRetryAfter{};
  Time drainGrace{}, warmUpPeriod{}, overloadWindow{}, discoveryPollDeadline{}, timerResolution{};
  double warmUpStartCapacity = 1, overloadFactor = 1;
  double wholeServiceGoalWeight = 1,
         worstClassGoalWeight = 0;  // what counts: all worth served, the worst class's share served
};

enum class Lifecycle { Gone, Ready, Draining };
struct ListedEndpoint {
  EndpointId id = 0;
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
  int classIndex = 0;  // index into Settings::classes; anything else is refused
  GroupId group = 0;
  std::uint64_t session = 0;  // 0: none
  float sessionTokenAgeMs =
      0;                   // milliseconds since the session's last commit, as far as it is told; 0: not told
  Time mayHaveRunSince{};  // an earlier request of the same key may have run, since then; 0: none has
  Time deadline{};         // the client leaves then
};

enum class AttemptResult { Ok, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent, TooStale };
struct AttemptOutcome {
  RequestId request = 0;
  int attempt = 0;  // counted from 0 in the order of the sends of this request
  EndpointId endpoint = 0;
  AttemptResult result = AttemptResult::Ok;
  Time latency{};
  bool clientAnswered = false;  // the client has its final answer
  std::uint32_t replicationStatus =
      0;  // 4 x position in ms after zero, + 1 from a primary, + 2 from a replica; 0: nothing
  std::vector<float> report;  // values in the order of Settings::figures; may be empty
};
struct HealthCheckResult {
  EndpointId endpoint = 0;
  bool ok = false;
  Time latency{};
  std::vector<float> report;
};

// Carries out what a Balancer decides. Calls come during an event, in the order in which they take effect.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void send(RequestId, EndpointId, Time until) = 0;      // until 0: when the client leaves
  virtual void reject(RequestId, Time retryAfter) = 0;           // final: a new try is harmless; 0: no word
  virtual void fail(RequestId) = 0;                              // final: it may have run
  virtual void cancel(RequestId, int attempt) = 0;               // its Outcome still has to be told
  virtual void scheduleTimer(Time in, std::uint64_t token) = 0;  // answer with Balancer::timer, never early
  virtual void startHealthCheck(EndpointId) = 0;                 // answer with Balancer::probed
  virtual void subscribe() = 0;                                  // answer with Balancer::list
  virtual void log(const std::string& line) = 0;                 // for staff
};

// Every call takes the present, which never goes back. Events about what is not known (any more) are ignored.
// The Sink must outlive the Balancer and must not call into it. std::invalid_argument: settings that
// contradict each other; no other call throws but for lack of memory.
class Balancer {
 public:
  Balancer(const Settings&, std::uint64_t seed, ActionSink&);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) = delete;

  void endpointsListed(Time now, ListKind,
                       const std::vector<ListedEndpoint>&);  // the first one right after construction
  void request(Time now, const Request&);                    // from here on one final answer is owed
  void attemptEnded(Time now,
                    const AttemptOutcome&);      // exactly one for each send, the client's time-out included
  void clientDisconnected(Time now, RequestId);  // nothing is owed any more; outcomes still come
  void healthCheckEnded(Time now, const HealthCheckResult&);  // exactly one for each probe
  void timerFired(Time now, std::uint64_t token);
  // What another router had from a member itself: a note as in an Outcome; the class and latency of the
  // request that it answered, or a class below 0. It may be old or never come.
  void gossipReceived(Time now, EndpointId, std::uint32_t note, int cls, Time latency);

  // Whether a send that had to wait for its connection may still go out: since it was decided the member may
  // have drained, or its data grown too old. If not, its Outcome is Moot.
  bool maySendNow(Time now, RequestId, EndpointId);
  // Staff take a member out of use, or back; whatever the list says. Nothing new goes to it from here on,
  // probes included; what is out goes on. One that comes back counts as just started, unless the list knows
  // better.
  void suspend(Time now, EndpointId, bool on);
  // New settings. Classes keep their indices: those that requests under way may have must stand where they
  // were.
  void updateSettings(Time now, const Settings&);
  // Forgets the members that have been gone and quiet for long, and names them: their ids may be dropped. A
  // late event about one is ignored like any about what is not known.
  std::vector<EndpointId> removeExpiredEndpoints(Time now);
  void setPositionEpoch(Time zero);  // positions in later answers and reports count from here
  // The caller's idea of other machines' clocks has changed: instants that they told, and that are known
  // here, lie later by so much on the caller's clock than was thought (earlier, if it is negative).
  void instantsMoved(Time now, Time by);

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace sablespur::balancer
