// Selects one of several name servers for a query. Pure.
//
// The one that answered last is preferred: servers of one zone may hold different versions of it, and
// alternating between them would make records flap. A server that failed backs off for a time that doubles
// with each failure; when all do, the one whose backoff ends first is selected.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace sablespur {

class NameServers {
 public:
  using Time = std::chrono::microseconds;
  explicit NameServers(std::size_t count) : servers_(count) {}

  // The index of a server that is not in `tried`; nothing when all are.
  std::optional<std::size_t> select(Time now, const std::vector<bool>& tried) const;
  void recordFailure(std::size_t index, Time now);
  void recordAnswer(std::size_t index);
  // The index of the server that answered last.
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
