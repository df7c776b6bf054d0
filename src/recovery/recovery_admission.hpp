// Limits the requests in flight to each replication group after a start, until the group is known
// to serve at its usual load. Performs no I/O and reads no clock. A group passes through these
// phases:
//
//   AwaitingEndpoints   no endpoint has responded since the start; the initial window of reads and
//                       occasional writes are admitted, to find endpoints that serve
//   Reading             an endpoint has responded; reads are admitted within a window that grows
//                       with each response, writes still only occasionally
//   Writing             an endpoint has responded as primary; writes are admitted within the window
//                       as well
//   Complete            every request is admitted
//
// Admission neither chooses an endpoint nor checks staleness; the balancer does both. A request
// that is not admitted is rejected at once with a retry delay and never queued.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sablespur::recovery {

using Time = std::chrono::microseconds;

enum class RecoveryPhase { AwaitingEndpoints, Reading, Writing, Complete };
const char* recoveryPhaseName(RecoveryPhase);

struct RecoveryAdmissionPolicy {
  int proxies = 1;           // estimated number of proxies that recover at the same time
  double initialWindow = 4;  // requests in flight per group; also the minimum of the window
  double maxWindow = 64;     // a group whose window has grown to this size needs no further limit
  Time timeout = std::chrono::seconds(20);  // after the start; recovery ends then in any case
  // Mean time between the writes that all proxies together send to find a group's primary.
  Time primaryDiscoveryInterval = std::chrono::milliseconds(12);
  Time minRetryAfter = std::chrono::milliseconds(40);
  Time maxRetryAfter = std::chrono::seconds(1);
};

// The result of an admitted request.
enum class RequestEnd { Served, Rejected, Failed, ClientDisconnected };

class RecoveryAdmission {
 public:
  struct Decision {
    bool admitted = false;
    Time retryAfter{};  // if not admitted
  };
  struct PhaseChange {
    std::uint32_t group = 0;
    RecoveryPhase phase = RecoveryPhase::AwaitingEndpoints;
    Time sinceStart{};
  };
  RecoveryAdmission(const RecoveryAdmissionPolicy&, std::uint64_t seed, Time now);

  // Sets how many requests this proxy had in flight in the group before the start; 0: not known.
  void setUsualConcurrency(std::uint32_t group, double inFlight);
  // Report that an endpoint of the group responded, or responded as primary. They advance the
  // phase.
  void endpointResponded(Time now, std::uint32_t group);
  void primaryResponded(Time now, std::uint32_t group);
  // Admits or rejects a request. An admitted request counts as in flight until requestEnded() is
  // called.
  Decision admit(Time now, std::uint32_t group, bool write);
  void requestEnded(Time now, std::uint32_t group, bool write, RequestEnd);

  RecoveryPhase phase(std::uint32_t group) const;
  double window(std::uint32_t group) const;
  // Returns true if every group with requests so far is Complete, or the timeout has passed.
  bool finished(Time now) const;
  std::vector<PhaseChange> takePhaseChanges();  // since the last call

 private:
  struct GroupState {
    RecoveryPhase phase = RecoveryPhase::AwaitingEndpoints;
    double window = 0;            // allowed requests in flight
    double usualConcurrency = 0;  // before the start; 0: not known
    int inFlight = 0;
    Time nextPrimaryDiscovery{};
    Time nextDecrease{};  // earliest time of the next decrease of the window
    int rejectedSinceServed = 0;
  };
  GroupState& groupState(std::uint32_t group);
  void advanceTo(Time now, std::uint32_t id, GroupState&, RecoveryPhase);
  double randomFraction();

  const RecoveryAdmissionPolicy policy_;
  const Time startedAt_;
  std::uint64_t randomState_;
  std::map<std::uint32_t, GroupState> groups_;
  std::vector<PhaseChange> changes_;
};

// Returns how long after its start proxy `self` waits before it connects to `endpoint`, so that all
// proxies together connect at `connectsPerSecond`: the proxy's rank divided by that rate. Each
// endpoint has its own ranking of all proxies (rendezvous hashing: Thaler and Ravishankar, 1998),
// which every proxy with the same list computes alike without communication.
Time connectDelay(const std::string& endpoint, const std::string& self,
                  const std::vector<std::string>& proxies, double connectsPerSecond);

}  // namespace sablespur::recovery
