// When each endpoint started, on this process's clock; its slow start counts from there. Pure: no I/O, no
// clock.
#pragma once

#include <chrono>
#include <optional>
#include <unordered_map>
#include <vector>

#include "balancer/balancer.hpp"
#include "config/config.hpp"

namespace sablespur {

class EndpointStartTimes {
 public:
  using EndpointId = balancer::EndpointId;

  // The start of an endpoint that the list names with the time stamp `stamp` (Unix time). A start first seen
  // now counts as recent whatever its stamp says; in the initial lists it may be long ago, which only the
  // stamp can tell. `clockOffset` is that of the reference clock. Nothing: no start is known.
  std::optional<Time> startOf(EndpointId, std::optional<std::chrono::milliseconds> stamp, bool inInitialLists,
                              Time now, Time clockOffset);
  // The entry that the balancer was given for an endpoint, to be given again by reassess().
  void recordListed(const balancer::ListedEndpoint&);
  // After the reference clock has moved: the ready endpoints that turn out to have started later than
  // assumed and are still warming up, with their new start.
  std::vector<balancer::ListedEndpoint> reassess(Time now, Time clockOffset, Time warmUpPeriod);
  void remove(EndpointId id) { starts_.erase(id); }

 private:
  struct Start {
    std::chrono::milliseconds stamp{};  // as listed, Unix time
    Time at{};                          // on this process's clock
    bool fromStamp = false;             // `at` was computed from the stamp
    balancer::ListedEndpoint listed;
  };
  std::unordered_map<EndpointId, Start> starts_;
};

}  // namespace sablespur
