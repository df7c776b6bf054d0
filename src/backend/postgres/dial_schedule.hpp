// Decides when and how many connections to a data server are opened ahead of need.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "config/config.hpp"
#include "engine/engine.hpp"

namespace sablespur {

// The proxies of a large fleet all react at the same time when a data server starts or when they
// start themselves. In a large fleet each proxy therefore keeps a single idle connection and opens
// it after a pseudo-random delay. Connections that requests need are dialed immediately, regardless
// of this schedule.
class DialSchedule {
 public:
  explicit DialSchedule(const Config& config) : config_(config) {}

  // Replaces the built-in delay between the listing of an endpoint and the first connections opened
  // to it.
  void setDelay(std::function<Time(EndpointId)> delay) { customDelay_ = std::move(delay); }
  Time delay(EndpointId) const;
  // The number of idle connections to keep. `warmAt`: end of the data server's slow start.
  std::size_t warmConnections(Time now, Time warmAt) const;

 private:
  bool largeFleet() const;
  std::uint64_t hash(EndpointId) const;

  const Config& config_;
  std::function<Time(EndpointId)> customDelay_;
};

}  // namespace sablespur
