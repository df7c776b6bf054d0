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
  RequestLimiter::Asked ask(Time now, RequestKey, QueueKey, std::size_t group, Time deadline);
  std::vector<Answered> ended(Time now, RequestKey, Time latency, bool dropped);
  std::vector<Answered> left(Time now, RequestKey);
  std::vector<Answered> overdue(Time now);  // and forgets lanes that have been quiet
  void reload(RequestLimiterSettings);

  RequestLimiter::Count count(std::size_t group) const;  // over all lanes, those forgotten included
  std::size_t groups() const { return open_.size(); }
  struct View {
    QueueKey lane;
    std::size_t limit, out, waiting;
    Time usual;
  };
  std::vector<View> view() const;
  std::size_t size() const { return lanes_.size(); }
  static constexpr QueueKey kRest = ~QueueKey{0};

 private:
  struct Lane {
    QueueKey key;
    RequestLimiter requests;
    Time used{};
  };
  Lane& lane(Time now, QueueKey);
  void settle(const std::vector<Answered>&);  // those that have had their last word
  void close(RequestKey);
  static RequestLimiterSettings within(RequestLimiterSettings);  // a lane's: caps by group are ours

  RequestLimiterSettings s_;
  const std::size_t most_;
  std::unordered_map<QueueKey, std::unique_ptr<Lane>> lanes_;
  struct Open {
    Lane* lane;
    std::size_t group;
  };
  std::unordered_map<RequestKey, Open> requests_;
  std::vector<std::size_t> open_;              // by group, waiting ones included
  std::vector<RequestLimiter::Count> before_;  // of lanes that are forgotten
};

}  // namespace sablespur::admission
