#include "engine/endpoint_start_times.hpp"

#include <algorithm>
#include <chrono>

namespace sablespur {
namespace {

// Smaller corrections are not worth another list event.
constexpr Time kMinCorrection = std::chrono::seconds(1);

// Converts a time stamp to this process's clock. The result is in (0, now]: to the balancer 0 means
// an unknown start, and no endpoint starts in the future.
Time fromStamp(std::chrono::milliseconds stamp, Time now, Time clockOffset) {
  return std::clamp<Time>(stamp - clockOffset, Time(1), now);
}

}  // namespace

std::optional<Time> EndpointStartTimes::startOf(EndpointId id, std::optional<std::chrono::milliseconds> stamp,
                                                bool inInitialLists, Time now, Time clockOffset) {
  if (!stamp) {
    starts_.erase(id);
    return std::nullopt;
  }
  const auto known = starts_.find(id);
  if (known != starts_.end() && known->second.stamp == *stamp) return known->second.at;
  Start start;
  start.stamp = *stamp;
  start.fromStamp = inInitialLists;
  start.at = inInitialLists ? fromStamp(*stamp, now, clockOffset) : now;
  starts_[id] = start;
  return start.at;
}

void EndpointStartTimes::recordListed(const balancer::ListedEndpoint& listed) {
  if (const auto start = starts_.find(listed.id); start != starts_.end()) start->second.listed = listed;
}

std::vector<balancer::ListedEndpoint> EndpointStartTimes::reassess(Time now, Time clockOffset,
                                                                   Time warmUpPeriod) {
  std::vector<balancer::ListedEndpoint> corrected;
  for (auto& [id, start] : starts_) {
    if (!start.fromStamp) continue;
    const Time at = fromStamp(start.stamp, now, clockOffset);
    const bool warming = now < at + warmUpPeriod;
    const bool ready = start.listed.state == balancer::Lifecycle::Ready;
    if (at < start.at + kMinCorrection || !warming || !ready) continue;
    start.at = at;
    start.listed.started = at;
    corrected.push_back(start.listed);
  }
  return corrected;
}

}  // namespace sablespur
