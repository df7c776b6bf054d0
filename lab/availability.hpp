// Detects read outages: times in which a proxy fails every read of a group although a healthy
// server with fresh data could have served them. Performs no I/O and reads no clock: every event is
// passed in with its time, in the order of the events.
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
    Time patience = std::chrono::seconds(2);  // every read may fail for this long
    int leastReads = 3;                       // fewer failed reads are not an outage
    // Without health checks only a write can find a new primary. If true, a proxy is checked only
    // once a write that its clients sent after the group became available has ended.
    bool foundByWrites = false;
  };
  explicit Availability(const Rules& rules) : rules_(rules) {}
  Availability() : Availability(Rules()) {}

  // Records whether some server of the group is reachable, answers without errors and has fresh
  // data. To be called often, since the time of a change is that of the call.
  void observe(Time, int group, bool available);
  void writeEnded(Time now, int proxy, int group, Time begun);
  // Records the end of a read that a client sent at `begun`, and the outage that it completes, if
  // any.
  void readEnded(Time now, int proxy, int group, Time begun, bool served);

  // A proxy that was told to end, or has ended, is not judged until proxyStarted(), and then only by
  // reads that begin later.
  void proxyStopped(int proxy);
  void proxyStarted(Time, int proxy);

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

  // Returns the time since which the proxy could have served reads of the group, or std::nullopt if
  // it could not.
  std::optional<Time> couldServeSince(int proxy, int group) const;

  bool isJudged(int proxy, Time begun) const;

  const Rules rules_;
  std::map<int, std::optional<Time>> servingSince_;    // of proxies that were stopped; nullopt: stopped
  std::map<int, std::optional<Time>> availableSince_;  // by group; std::nullopt: not available
  std::map<std::pair<int, int>, Time> firstWrite_;     // end of the first write since, by (proxy, group)
  std::map<std::pair<int, int>, Failing> failing_;     // failed reads in series, by (proxy, group)
  std::vector<Outage> outages_;
};

}  // namespace sablespur::lab
