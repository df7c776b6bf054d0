// The order in which service returns after a start, group by group: pure, no I/O and no clock.
//
//   waking      no data server of the group has answered since the start: a few requests go on to find out
//   reading     some have: reads go on, as many at once as their answers have shown room for
//   writing     one has answered as primary: writes, too
//   returned    what is asked goes on unlooked at, as if there had been no start
//
// Which server, and whether its data are fresh enough, stays with the decision module; here is only how many
// requests it is handed while nothing is known. What is not handed on is turned away at once with a time to
// come back, never held.
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
  int proxies = 1;                          // that come back together, as far as is known
  double initialWindow = 4;                 // requests out at once in a group, at first
  double maxWindow = 64;                    // with so many out at once nothing is held back any more
  Time timeout = std::chrono::seconds(20);  // after which it is over whatever has been heard
  Time primaryDiscoveryInterval =
      std::chrono::milliseconds(12);  // writes to find a primary: all proxies' together, one in so long
  Time minRetryAfter = std::chrono::milliseconds(40),
       maxRetryAfter = std::chrono::seconds(1);  // told to the turned away
};

enum class RequestEnd { Served, Rejected, Failed, ClientDisconnected };

class RecoveryAdmission {
 public:
  struct Decision {
    bool admitted = false;
    Time retryAfter{};  // if it does not: when to come back
  };
  struct PhaseChange {
    std::uint32_t group = 0;
    RecoveryPhase phase = RecoveryPhase::AwaitingEndpoints;
    Time sinceStart{};  // since the start
  };
  RecoveryAdmission(const RecoveryAdmissionPolicy&, std::uint64_t seed, Time now);

  // What the group did before the start, aged: requests that this proxy had out there at once; 0: not known.
  void setUsualConcurrency(std::uint32_t group, double out);
  void endpointResponded(Time now, std::uint32_t group);      // a data server of the group, with its position
  void primaryResponded(Time now, std::uint32_t group);       // one answered as primary
  Decision admit(Time now, std::uint32_t group, bool write);  // go: it counts as out until `ended`
  void requestEnded(Time now, std::uint32_t group, bool write, RequestEnd);

  RecoveryPhase phase(std::uint32_t group) const;
  double window(std::uint32_t group) const;
  // Every group that was asked for has returned, or the longest time is up.
  bool finished(Time now) const;
  std::vector<PhaseChange> takePhaseChanges();  // since the last call

 private:
  struct GroupState {
    RecoveryPhase phase = RecoveryPhase::AwaitingEndpoints;
    double window = 0, usualConcurrency = 0;
    int inFlight = 0;
    Time nextPrimaryDiscovery{}, nextDecrease{};
    Time latency = std::chrono::milliseconds(50);  // of requests that were served, smoothed
    int rejectedSinceServed = 0;                   // away since the last that was served
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

// The moment, after its start, at which a proxy dials a member that all proxies come back to: its place in
// the member's own order of all proxies (rendezvous hashing: Thaler and Ravishankar, 1998), at so many dials
// a second of all together. The same at every proxy that has the same list, with no word among them.
Time connectDelay(const std::string& member, const std::string& self, const std::vector<std::string>& proxies,
                  double dialsPerSecond);

}  // namespace sablespur::recovery
