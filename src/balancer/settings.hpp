// Settings of the decision module: what the caller knows of its clients,
// endpoints and rules before any event.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace sablespur::balancer {

using Time = std::chrono::microseconds;  // an instant on the caller's clock, or
                                         // a span; never negative
using EndpointId = std::uint64_t;        // opaque, the same as long as the endpoint keeps its address
using RequestId = std::uint64_t;         // never used twice during the life of a Balancer
using GroupId = std::uint32_t;           // a replication group: a primary and its replicas

// Whether a request may run twice.
enum class Idempotency { Idempotent, WithKey, NonIdempotent };

// For requests with an idempotency key: which endpoints recognise a repeat.
enum class IdempotencyScope { All, Zone, Group };

// What data a request needs.
enum class Requirement { Any, BoundedStaleness, Session, Strong, Write };

// What a replica does with a read for which its data are too old.
enum class LaggingReplicaPolicy { Serve, Reject, Wait };

// How the role in the endpoint list follows the real one.
enum class ListedRolePolicy { NotListed, AtStart, Delayed };

// Whether the endpoint list comes by itself or has to be asked for.
enum class DiscoveryMode { Automatic, Subscribe };

// How load reports travel: not at all, with answers, or in replies to health
// checks alone.
enum class LoadReportMode { None, Piggyback, Pull };

// What a value of a load report says.
enum class ReportField { Position, Primary, Inflight, Queue, Other };

// The settings of a class of requests.
struct ClassSettings {
  Requirement requirement = Requirement::Any;
  Idempotency idempotency = Idempotency::Idempotent;
  IdempotencyScope idempotencyScope = IdempotencyScope::All;  // with a key only
  Time deduplicationWindow{};                                 // with a key only: how long repeats are
                                                              // recognised, from the first send
  Time maxStaleness{};        // bounded staleness only: greatest age of the data at
                              // the time of the send
  Time latencyObjective{};    // an answer within this earns the full worth
  Time deadline{};            // from the arrival; then the client leaves
  double priorityWeight = 1;  // the worth of an answer
  double lateWeight = 0;      // share of the worth that an answer past the objective earns
};

struct Settings {
  std::vector<ClassSettings> classes;
  LaggingReplicaPolicy laggingReplicaPolicy = LaggingReplicaPolicy::Serve;
  ListedRolePolicy listedRolePolicy = ListedRolePolicy::NotListed;
  DiscoveryMode discoveryMode = DiscoveryMode::Automatic;
  LoadReportMode loadReportMode = LoadReportMode::None;
  std::vector<ReportField> reportFields;  // order of the values in a load report
  bool positionsInAnswers = false;        // every answer carries a replication position
  bool sessionTokensCarried = false;      // session reads bring the age of their
                                          // last write; else it is kept here
  bool synchronousReplication = false;    // a write is answered only once a replica has it
  bool healthChecksAllowed = false;
  bool cancelAllowed = false;
  bool parallelAttemptsAllowed = false;
  bool retryAfterAllowed = false;
  bool knownListMayBeOld = false;           // a cached first list may be older than what discovery counts
                                            // as told; discovery is asked at once
  bool removedEndpointsStayUsable = false;  // only Lifecycle::Draining binds, not Lifecycle::Gone
  int maxAttempts = 1;                      // for one request
  int proxyCount = 1;                       // proxies in front of the same endpoints, this one included
  Time replicaWaitLimit{};                  // LaggingReplicaPolicy::Wait: how long a replica
                                            // waits to catch up
  Time positionEpoch{};                     // replication positions in answers and reports count
                                            // from here
  Time maxRetryAfter{};                     // the longest wait that a client may be told
  Time drainGrace{};                        // how long an endpoint still takes requests after it began
                                            // to drain
  Time warmUpPeriod{};                      // from an endpoint's start to its full capacity
  Time overloadWindow{};                    // over which the load of a warming-up endpoint is
                                            // counted
  Time discoveryPollDeadline{};             // a call is due so long after the last; 0: none is due
  Time timerResolution{};                   // shorter timers are not useful
  double warmUpStartCapacity = 1;           // share of the full capacity at the start, in (0, 1]
  double overloadFactor = 1;          // a warming-up endpoint bears so many times its capacity in the window
  double wholeServiceGoalWeight = 1;  // what counts: the worth served in all
  double worstClassGoalWeight = 0;    // what counts: the share served of the worst class
};

}  // namespace sablespur::balancer
