// Settings of the decision module: what the caller knows about clients, endpoints and rules before
// any event.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace sablespur::balancer {

// An instant on the caller's clock or a duration; never negative.
using Time = std::chrono::microseconds;
using EndpointId = std::uint64_t;  // opaque; constant as long as the endpoint keeps its address
using RequestId = std::uint64_t;   // never reused during the life of a Balancer
using GroupId = std::uint32_t;     // a replication group: a primary and its replicas

// Whether a request may run twice.
enum class Idempotency { Idempotent, WithKey, NonIdempotent };

// Which endpoints recognise a repeated request by its idempotency key.
enum class IdempotencyScope { All, Zone, Group };

// Which data a request needs.
enum class Requirement { Any, BoundedStaleness, Session, Strong, Write };

// What a replica does with a read for which its data are too old.
enum class LaggingReplicaPolicy { Serve, Reject, Wait };

// How the role in the endpoint list relates to the actual role: absent, as at the start, or
// delayed.
enum class ListedRolePolicy { NotListed, AtStart, Delayed };

// Whether the endpoint list arrives unasked or has to be subscribed to.
enum class DiscoveryMode { Automatic, Subscribe };

// How load reports arrive: not at all, with answers, or only in replies to health checks.
enum class LoadReportMode { None, Piggyback, Pull };

// Meaning of a value in a load report.
enum class ReportField { Position, Primary, Inflight, Queue, Other };

// The settings of a class of requests.
struct ClassSettings {
  Requirement requirement = Requirement::Any;
  Idempotency idempotency = Idempotency::Idempotent;
  IdempotencyScope idempotencyScope = IdempotencyScope::All;  // with a key only
  // With a key only: how long repeats are recognised, counted from the first send.
  Time deduplicationWindow{};
  // Bounded staleness only: greatest age of the data at the time of the send.
  Time maxStaleness{};
  Time latencyObjective{};    // an answer within this time has its full worth
  Time deadline{};            // from the arrival; the client leaves at this time
  double priorityWeight = 1;  // worth of an answer
  double lateWeight = 0;      // share of the worth that an answer after the objective has
};

struct Settings {
  std::vector<ClassSettings> classes;
  LaggingReplicaPolicy laggingReplicaPolicy = LaggingReplicaPolicy::Serve;
  ListedRolePolicy listedRolePolicy = ListedRolePolicy::NotListed;
  DiscoveryMode discoveryMode = DiscoveryMode::Automatic;
  LoadReportMode loadReportMode = LoadReportMode::None;
  std::vector<ReportField> reportFields;  // order of the values in a load report
  bool positionsInAnswers = false;        // every answer carries a replication position
  // Session reads carry the age of the last commit of their session; otherwise the Balancer
  // remembers it.
  bool sessionTokensCarried = false;
  bool synchronousReplication = false;  // a write is answered only after a replica has it
  bool healthChecksAllowed = false;
  bool cancelAllowed = false;
  bool parallelAttemptsAllowed = false;
  bool retryAfterAllowed = false;
  // Only Lifecycle::Draining stops new requests, not Lifecycle::Gone.
  bool removedEndpointsStayUsable = false;
  int maxAttempts = 1;      // per request
  int proxyCount = 1;       // proxies in front of the same endpoints, including this one
  Time replicaWaitLimit{};  // how long a replica waits to catch up (LaggingReplicaPolicy::Wait)
  Time positionEpoch{};     // origin of the replication positions in answers and reports
  Time maxRetryAfter{};     // longest retry-after that a client may be given
  Time drainGrace{};        // how long an endpoint accepts requests after it began to drain
  Time warmUpPeriod{};      // from an endpoint's start to its full capacity
  Time overloadWindow{};    // period over which the load of a warming-up endpoint is counted
  // A call of discovery is due this long after the last; 0: none is due.
  Time discoveryPollDeadline{};
  Time timerResolution{};          // shorter timers are not useful
  double warmUpStartCapacity = 1;  // share of the full capacity at the start, in (0, 1]
  // How many times its capacity a warming-up endpoint can take within overloadWindow.
  double overloadFactor = 1;
  double wholeServiceGoalWeight = 1;  // weight of the goal: total worth served
  double worstClassGoalWeight = 0;    // weight of the goal: share served of the worst class
};

}  // namespace sablespur::balancer
