// How many requests each replication group is given after a start, before it is known to serve. Pure: no I/O
// and no clock. The phases of a group:
//
//   AwaitingEndpoints   no endpoint has responded since the start: a few requests are admitted to find out
//   Reading             some have: reads are admitted, as many at once as responses have shown capacity for
//   Writing             one has responded as primary: writes are admitted, too
//   Complete            every request is admitted
//
// Which endpoint serves, and whether its data are fresh enough, is the balancer's decision. A request that is
// not admitted is rejected at once with a Retry-After, never queued.
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
  int proxies = 1;           // that recover together, as far as is known
  double initialWindow = 4;  // requests in flight in a group, at first
  double maxWindow = 64;     // a window that any start gets by with: nothing is limited beyond it
  Time timeout = std::chrono::seconds(20);  // after which recovery ends in any case
  // Between writes that are sent to find a primary, of all proxies together.
  Time primaryDiscoveryInterval = std::chrono::milliseconds(12);
  Time minRetryAfter = std::chrono::milliseconds(40);
  Time maxRetryAfter = std::chrono::seconds(1);
};

// How an admitted request ended.
enum class RequestEnd { Served, Rejected, Failed, ClientDisconnected };

class RecoveryAdmission {
 public:
  struct Decision {
    bool admitted = false;
    Time retryAfter{};  // of one that is not admitted
  };
  struct PhaseChange {
    std::uint32_t group = 0;
    RecoveryPhase phase = RecoveryPhase::AwaitingEndpoints;
    Time sinceStart{};
  };
  RecoveryAdmission(const RecoveryAdmissionPolicy&, std::uint64_t seed, Time now);

  // Requests that this proxy had in flight in the group before the start; 0: not known.
  void setUsualConcurrency(std::uint32_t group, double inFlight);
  // Evidence: an endpoint of the group responded; one responded as primary.
  void endpointResponded(Time now, std::uint32_t group);
  void primaryResponded(Time now, std::uint32_t group);
  // An admitted request counts as in flight until requestEnded().
  Decision admit(Time now, std::uint32_t group, bool write);
  void requestEnded(Time now, std::uint32_t group, bool write, RequestEnd);

  RecoveryPhase phase(std::uint32_t group) const;
  double window(std::uint32_t group) const;
  // Every group that was requested is Complete, or the timeout has passed.
  bool finished(Time now) const;
  std::vector<PhaseChange> takePhaseChanges();  // since the last call

 private:
  struct GroupState {
    RecoveryPhase phase = RecoveryPhase::AwaitingEndpoints;
    double window = 0;            // requests in flight that are allowed
    double usualConcurrency = 0;  // before the start; 0: not known
    int inFlight = 0;
    Time nextPrimaryDiscovery{};
    Time nextDecrease{};  // of the window, at the earliest
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

// How long after its start a proxy connects to an endpoint that all proxies return to: its rank in the
// endpoint's own order of all proxies (rendezvous hashing: Thaler and Ravishankar, 1998) over the connect
// rate of all together. Every proxy with the same list computes the same order without communication.
Time connectDelay(const std::string& endpoint, const std::string& self,
                  const std::vector<std::string>& proxies, double dialsPerSecond);

}  // namespace sablespur::recovery
