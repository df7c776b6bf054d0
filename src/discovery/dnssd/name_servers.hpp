// Selects one of several name servers for a query. Pure.
//
// The server that answered last is preferred: servers may hold different versions of a zone, and
// alternating between them would make records flap. After a failure a server is in backoff for a
// time that doubles with each consecutive failure, up to a maximum. If all are in backoff, the one
// whose backoff ends first is selected.
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

  // Returns the index of a server that is not marked in `tried`; std::nullopt if all are.
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
