// State of admission control, as reported by `sablespur status`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine/engine.hpp"

namespace sablespur {

struct AdmissionView {
  struct Group {
    std::string name;
    double weight = 1;
    std::size_t connections = 0;
    std::size_t idleConnections = 0;
    std::size_t maxConnections = 0;  // 0 if the group has no limit
    std::size_t reserve = 0;
    std::size_t reserveRemaining = 0;
    std::uint64_t connectionsAdmitted = 0;
    std::uint64_t connectionsEvicted = 0;
    std::map<std::string, std::uint64_t> connectionsRejected;  // by reason
    std::size_t requestsInFlight = 0;
    std::size_t requestsQueued = 0;
    std::uint64_t requestsAdmitted = 0;
    std::uint64_t requestsEnqueued = 0;
    std::map<std::string, std::uint64_t> requestsRejected;  // by reason
    bool rejecting = false;  // whether a rejection period is active for connections or requests
  };
  struct Queue {
    // Replication group; -1 for the queue that is shared by all keys beyond the maximum number of
    // queues.
    std::int64_t group = 0;
    bool primary = false;  // whether the queue is for requests that need the primary
    std::size_t limit = 0;
    std::size_t inFlight = 0;
    std::size_t queued = 0;
    Time typicalLatency{};
  };

  std::size_t connections = 0;
  std::size_t maxConnections = 0;
  std::size_t maxUnadmittedConnections = 0;
  std::size_t recentClients = 0;  // client addresses on record
  std::vector<Group> groups;
  bool limitsRequests = false;
  std::vector<Queue> queues;  // empty if requests are not limited
};

}  // namespace sablespur
