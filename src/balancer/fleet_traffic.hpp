// Estimates the work that clients request from the fleet and the work that the fleet serves, from
// the traffic of this proxy. Slow start bases its budgets on these estimates.
#pragma once

#include <map>

#include "balancer/state.hpp"

namespace sablespur::balancer {

struct Context;

// Work is counted in requests of mean work. Rates are per Settings::overloadWindow.
class FleetTraffic {
 public:
  // Called when the first list arrives; rates are available from then on.
  void started(Time now) { startedAt_ = now; }
  void requestArrived(Time now, double work, bool isWrite);
  void answeredByWarmEndpoint(Time now, double work) { totals_.warmServed.add(now, work); }
  // Called when endpoints, groups or settings change. The totals are recomputed on next use.
  void endpointsChanged() { totals_.stale = true; }

  // Rates at the time of the event being handled.
  struct Rates {
    double workPerGroup;       // requests of a replication group, as the mean over all groups
    double writesPerGroup;     // the writes among them
    double workPerWeightUnit;  // work served by a warm endpoint per unit of its weight
  };
  Rates rates(const Context&);

 private:
  // Totals over all usable endpoints. Computing them takes a pass over all endpoints, so it is only
  // done after a change.
  struct Totals {
    bool stale = true;
    Time validUntil = kNever;  // end of the next warm-up; kNever: no endpoint is warming up
    double warmWeight = 0;
    double warmingWeight = 0;
    DecayingCounter warmServed;  // updated with every answer
    double groupsInUse = 0;
  };

  void recount(const Context&);
  void updateWorkPerWeightUnit(const Context&);

  DecayingCounter requested_;
  double requestsSeen_ = kAssumedEarlierRequests;
  double writeShare_ = 0;
  Time startedAt_ = kNever;
  Time updatedAt_ = kNever;
  double workPerWeightUnit_ = 0;  // as of updatedAt_
  Totals totals_;

  // The write share starts as if this many reads had arrived, because a single early write says
  // little.
  static constexpr double kAssumedEarlierRequests = 10;
};

// Returns the work per overload window, by a counter that has counted since `since`.
double workPerWindow(const Context&, const DecayingCounter&, Time since);

}  // namespace sablespur::balancer
