// How much work the fleet is asked for and does, as far as this proxy sees: what slow start plans by.
#pragma once

#include <map>

#include "balancer/state.hpp"

namespace sablespur::balancer {

struct Context;

// Work is counted in requests of mean work; rates are for one Settings::overloadWindow.
class FleetTraffic {
 public:
  // The first list has come: from here on rates can be told.
  void started(Time now) { startedAt_ = now; }
  void requestArrived(Time now, double work, bool isWrite);
  void answeredByWarmEndpoint(Time now, double work) { totals_.warmServed.add(now, work); }
  // Endpoints, groups or settings have changed; the totals are counted anew when they are next needed.
  void endpointsChanged() { totals_.stale = true; }

  // Rates as of the event under way.
  struct Rates {
    double workPerGroup;       // requests of a replication group, as the mean over all
    double writesPerGroup;     // the writes among them
    double workPerWeightUnit;  // what a warm endpoint does for each unit of its weight
  };
  Rates rates(const Context&);

 private:
  // Over all usable endpoints. Counting costs a pass over them, which is made only after a change.
  struct Totals {
    bool stale = true;
    Time validUntil = kNever;  // when the next endpoint ends its warm-up; kNever: none is warming up
    double warmWeight = 0;
    double warmingWeight = 0;
    DecayingCounter warmServed;  // kept up to date with every answer
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

  // The write share starts as if so many reads had come before: one early write says little.
  static constexpr double kAssumedEarlierRequests = 10;
};

// The work for one overload window, from a counter that has counted since `since`.
double workPerWindow(const Context&, const DecayingCounter&, Time since);

}  // namespace sablespur::balancer
