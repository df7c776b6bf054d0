// Judges whether a proxy turns away every read of a group that a healthy server with fresh data could have
// served. Pure: facts come with their times, in the order in which they happened.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lab/model.hpp"

namespace sablespur::lab {

class Availability {
 public:
  struct Rules {
    Time patience = std::chrono::seconds(2);  // so long every read may fail
    int leastReads = 3;                       // fewer failures tell nothing
    // Without health checks nothing but a write can find a new primary: a proxy is judged once one that its
    // clients sent since the group is available has ended.
    bool foundByWrites = false;
  };
  explicit Availability(const Rules& rules) : rules_(rules) {}
  Availability() : Availability(Rules()) {}

  // Whether some server of the group can be reached, answers without faults and has fresh data. To be told
  // often.
  void observe(Time, int group, bool available);
  void writeEnded(Time now, int proxy, int group, Time begun);
  // A read that a client sent at `begun` has ended.
  void readEnded(Time now, int proxy, int group, Time begun, bool served);

  struct Outage {
    Time at{};
    int proxy = 0, group = 0;
    Time lasted{};
    int reads = 0;
  };
  const std::vector<Outage>& outages() const { return outages_; }

 private:
  struct Failing {
    Time since{};
    int reads = 0;
  };

  // Since when the proxy could have served reads of the group; nothing: it could not.
  std::optional<Time> couldServeSince(int proxy, int group) const;

  const Rules rules_;
  std::map<int, std::optional<Time>> availableSince_;  // by group; nothing: it is not available
  std::map<std::pair<int, int>, Time> firstWrite_;     // by proxy and group: since it is available
  std::map<std::pair<int, int>, Failing> failing_;     // by proxy and group
  std::vector<Outage> outages_;
};

}  // namespace sablespur::lab
