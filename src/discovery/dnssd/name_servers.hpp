// Which of several name servers is asked. Pure.
//
// The one that answered last is asked again, since servers of one zone may hold different versions of it and
// going from one to the other would make records flap. One that failed rests for a time that doubles with
// each failure; when all rest, the one that has rested longest goes first.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace sablespur {

class NameServers {
 public:
  using Time = std::chrono::microseconds;
  explicit NameServers(std::size_t n) : servers_(n) {}

  // Of those not in `tried`; nothing when all are.
  std::optional<std::size_t> select(Time now, const std::vector<bool>& tried) const;
  void recordFailure(std::size_t, Time now);
  void recordAnswer(std::size_t);
  std::size_t current() const { return current_; }

 private:
  struct ServerState {
    int failures = 0;
    Time backoffUntil{};
  };
  std::vector<ServerState> servers_;
  std::size_t current_ = 0;
};

}  // namespace sablespur
