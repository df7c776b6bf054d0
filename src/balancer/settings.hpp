// Settings of the decision module: what the caller knows of its clients, endpoints and rules before any
// event.
#pragma once

#include <chrono>
#include <cstdint>
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

}  // namespace sablespur::balancer
