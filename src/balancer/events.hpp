// Records of what happened, as the caller passes them to a Balancer.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/settings.hpp"

namespace sablespur::balancer {

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

}  // namespace sablespur::balancer
