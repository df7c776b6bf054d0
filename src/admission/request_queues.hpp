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

using LaneKey = std::uint64_t;

class Lanes {
 public:
  // Guards the memory: clients name the groups. Beyond `mostLanes` the rest share one.
  explicit Lanes(RequestSettings, std::size_t mostLanes = 256);

  // As Requests; the caps of groups count over all lanes.
  Requests::Asked ask(Time now, RequestKey, LaneKey, std::size_t group, Time deadline);
  std::vector<Answered> ended(Time now, RequestKey, Time latency, bool dropped);
  std::vector<Answered> left(Time now, RequestKey);
  std::vector<Answered> overdue(Time now);  // and forgets lanes that have been quiet
  void reload(RequestSettings);

  Requests::Count count(std::size_t group) const;  // over all lanes, those forgotten included
  std::size_t groups() const { return open_.size(); }
  struct View {
    LaneKey lane;
    std::size_t limit, out, waiting;
    Time usual;
  };
  std::vector<View> view() const;
  std::size_t size() const { return lanes_.size(); }
  static constexpr LaneKey kRest = ~LaneKey{0};

 private:
  struct Lane {
    LaneKey key;
    Requests requests;
    Time used{};
  };
  Lane& lane(Time now, LaneKey);
  void settle(const std::vector<Answered>&);  // those that have had their last word
  void close(RequestKey);
  static RequestSettings within(RequestSettings);  // a lane's: caps by group are ours

  RequestSettings s_;
  const std::size_t most_;
  std::unordered_map<LaneKey, std::unique_ptr<Lane>> lanes_;
  struct Open {
    Lane* lane;
    std::size_t group;
  };
  std::unordered_map<RequestKey, Open> requests_;
  std::vector<std::size_t> open_;        // by group, waiting ones included
  std::vector<Requests::Count> before_;  // of lanes that are forgotten
};

}  // namespace sablespur::admission
