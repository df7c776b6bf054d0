// Tracks when each endpoint started, on this process's clock. Slow start counts from that time.
// Pure: no I/O, no clock.
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

  // Returns the start time of an endpoint that is listed with the time stamp `stamp` (Unix time),
  // or std::nullopt if the list gives no stamp. A new stamp in the initial lists is converted with
  // `clockOffset` (the offset of the reference clock), as the endpoint may have started long ago.
  // In any later list a new stamp means that the endpoint has just started: the result is `now`,
  // whatever the stamp's value.
  std::optional<Time> startOf(EndpointId, std::optional<std::chrono::milliseconds> stamp, bool inInitialLists,
                              Time now, Time clockOffset);
  // Stores the entry that the balancer has received for an endpoint; reassess() returns a corrected
  // copy.
  void recordListed(const balancer::ListedEndpoint&);
  // Recomputes the start times after the reference clock has moved. Returns the ready endpoints
  // that started later than assumed and are still warming up, with their new start.
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
