// When, and how many, connections are opened to a data server ahead of need.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "config/config.hpp"
#include "engine/engine.hpp"

namespace sablespur {

// Proxies of a large fleet act at once when a data server starts, or when they start themselves. So with more
// than a few of them each keeps one connection alone and opens it at a moment of its own. What a request
// needs is dialed at once whatever this says.
class DialSchedule {
 public:
  explicit DialSchedule(const Config& config) : config_(config) {}

  // Replaces the built-in delay: how long after an endpoint has come connections to it are opened.
  void setDelay(std::function<Time(EndpointId)> delay) { customDelay_ = std::move(delay); }
  Time delay(EndpointId) const;
  // How many connections to keep; `warmAt`: until then the data server has just started.
  std::size_t warmConnections(Time now, Time warmAt) const;

 private:
  bool largeFleet() const;
  std::uint64_t hash(EndpointId) const;

  const Config& config_;
  std::function<Time(EndpointId)> customDelay_;
};

}  // namespace sablespur
