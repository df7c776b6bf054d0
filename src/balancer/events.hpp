// Events that the caller passes to a Balancer.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/settings.hpp"

namespace sablespur::balancer {

enum class Lifecycle { Gone, Ready, Draining };

// An entry of the endpoint list.
struct ListedEndpoint {
  EndpointId id = 0;
  GroupId group = 0;
  int zone = 0;
  Lifecycle state = Lifecycle::Ready;
  bool primary = false;    // how reliable this is depends on Settings::listedRolePolicy
  double weight = 1;       // capacity relative to other endpoints
  Time started{};          // latest start; 0: long ago
  bool suspended = false;  // by an administrator, see Balancer::suspend
};

// Delta: only changes. Full, Cached: endpoints that are absent are gone. Failed: the call returned
// no list.
enum class ListKind { Delta, Full, Cached, Failed };

// A client's request.
struct Request {
  RequestId id = 0;
  int classIndex = 0;  // into Settings::classes; any other value is rejected
  GroupId group = 0;
  std::uint64_t session = 0;    // 0: none
  float sessionTokenAgeMs = 0;  // milliseconds since the session's last commit; 0: unknown
  // An earlier request with the same key may have run since this instant; 0: none.
  Time mayHaveRunSince{};
  Time deadline{};  // instant at which the client leaves
};

enum class AttemptResult {
  Ok,
  Error,
  Rejected,  // the queue of the endpoint was full; the request did not run
  Timeout,
  ConnectFailed,
  Reset,
  Cancelled,
  NotSent,      // Balancer::maySendNow returned false
  TooStale,     // the data of the endpoint were too old; the request did not run
  StaleAnswer,  // the request ran, but its data may have been too old (Balancer::isFreshEnough)
};

// The end of an attempt.
struct AttemptOutcome {
  RequestId request = 0;
  int attempt = 0;  // index in the order of this request's sends
  EndpointId endpoint = 0;
  AttemptResult result = AttemptResult::Ok;
  Time latency{};
  bool clientAnswered = false;  // the client has received its final answer
  // 4 x the position in milliseconds since Settings::positionEpoch, + 1 from a primary, + 2 from a
  // replica; 0: unknown.
  std::uint32_t replicationStatus = 0;
  std::vector<float> report;  // values in the order of Settings::reportFields; may be empty
};

// The end of a health check.
struct HealthCheckResult {
  EndpointId endpoint = 0;
  bool ok = false;
  Time latency{};
  std::vector<float> report;  // as in AttemptOutcome
};

}  // namespace sablespur::balancer
