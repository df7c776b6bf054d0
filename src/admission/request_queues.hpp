// Requests by lane: what queues for one thing must not keep others from another. A lane is a group of data
// servers and whether its primary is needed; each has a limit of its own, learned from its own latency, and a
// queue of its own. Free of I/O and clocks.
//
// One limit for all was measured first: writes that waited for a crowded primary held all its places, and
// reads that idle replicas could have served were turned away (docs/measurements/admission).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "admission/request_limiter.hpp"

namespace sablespur::admission {

using QueueKey = std::uint64_t;

class RequestQueues {
 public:
  // Guards the memory: clients name the groups. Beyond `mostLanes` the rest share one.
  explicit RequestQueues(RequestLimiterSettings, std::size_t mostLanes = 256);

  // As Requests; the caps of groups count over all lanes.
  RequestLimiter::SubmitResult submit(Time now, RequestKey, QueueKey, std::size_t group, Time deadline);
  std::vector<ResolvedRequest> complete(Time now, RequestKey, Time latency, bool dropped);
  std::vector<ResolvedRequest> cancel(Time now, RequestKey);
  std::vector<ResolvedRequest> rejectOverdue(Time now);  // and forgets lanes that have been quiet
  void reload(RequestLimiterSettings);

  RequestLimiter::Counters counters(std::size_t group) const;  // over all lanes, those forgotten included
  std::size_t groupCount() const { return open_.size(); }
  struct QueueView {
    QueueKey key;
    std::size_t limit, inFlight, queued;
    Time typicalLatency;
  };
  std::vector<QueueView> view() const;
  std::size_t queueCount() const { return lanes_.size(); }
  static constexpr QueueKey kSharedQueue = ~QueueKey{0};

 private:
  struct Queue {
    QueueKey key;
    RequestLimiter requests;
    Time used{};
  };
  Queue& queueFor(Time now, QueueKey);
  void settle(const std::vector<ResolvedRequest>&);  // those that have had their last word
  void close(RequestKey);
  static RequestLimiterSettings within(RequestLimiterSettings);  // a lane's: caps by group are ours

  RequestLimiterSettings s_;
  const std::size_t most_;
  std::unordered_map<QueueKey, std::unique_ptr<Queue>> lanes_;
  struct Open {
    Queue* lane;
    std::size_t group;
  };
  std::unordered_map<RequestKey, Open> requests_;
  std::vector<std::size_t> open_;                 // by group, waiting ones included
  std::vector<RequestLimiter::Counters> before_;  // of lanes that are forgotten
};

}  // namespace sablespur::admission
