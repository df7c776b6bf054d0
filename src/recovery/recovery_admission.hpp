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

enum class RecoveryPhase { Waking, Reading, Writing, Returned };
const char* recoveryPhaseName(RecoveryPhase);

struct RecoveryAdmissionPolicy {
  int proxies = 1;                          // that come back together, as far as is known
  double window = 4;                        // requests out at once in a group, at first
  double wide = 64;                         // with so many out at once nothing is held back any more
  Time longest = std::chrono::seconds(20);  // after which it is over whatever has been heard
  Time scouts =
      std::chrono::milliseconds(12);  // writes to find a primary: all proxies' together, one in so long
  Time backLeast = std::chrono::milliseconds(40),
       backMost = std::chrono::seconds(1);  // told to the turned away
};

enum class End { Served, TurnedAway, Failed, Left };

class RecoveryAdmission {
 public:
  struct Decision {
    bool go = false;
    Time back{};  // if it does not: when to come back
  };
  struct Change {
    std::uint32_t group = 0;
    RecoveryPhase step = RecoveryPhase::Waking;
    Time after{};  // since the start
  };
  RecoveryAdmission(const RecoveryAdmissionPolicy&, std::uint64_t seed, Time now);

  // What the group did before the start, aged: requests that this proxy had out there at once; 0: not known.
  void usual(std::uint32_t group, double out);
  void answered(Time now, std::uint32_t group);             // a data server of the group, with its position
  void primary(Time now, std::uint32_t group);              // one answered as primary
  Decision ask(Time now, std::uint32_t group, bool write);  // go: it counts as out until `ended`
  void ended(Time now, std::uint32_t group, bool write, End);

  RecoveryPhase step(std::uint32_t group) const;
  double window(std::uint32_t group) const;
  // Every group that was asked for has returned, or the longest time is up.
  bool over(Time now) const;
  std::vector<Change> changes();  // since the last call

 private:
  struct Group {
    RecoveryPhase step = RecoveryPhase::Waking;
    double window = 0, usual = 0;
    int out = 0;
    Time scoutAt{}, cutAt{};
    Time latency = std::chrono::milliseconds(50);  // of requests that were served, smoothed
    int turned = 0;                                // away since the last that was served
  };
  Group& of(std::uint32_t group);
  void go(Time now, std::uint32_t id, Group&, RecoveryPhase);
  double chance();

  const RecoveryAdmissionPolicy policy_;
  const Time began_;
  std::uint64_t state_;
  std::map<std::uint32_t, Group> groups_;
  std::vector<Change> changes_;
};

// The moment, after its start, at which a proxy dials a member that all proxies come back to: its place in
// the member's own order of all proxies (rendezvous hashing: Thaler and Ravishankar, 1998), at so many dials
// a second of all together. The same at every proxy that has the same list, with no word among them.
Time dialTurn(const std::string& member, const std::string& self, const std::vector<std::string>& proxies,
              double dialsPerSecond);

}  // namespace sablespur::recovery
