// The endpoints that discovery lists and what this run has measured of them: what the next snapshot records.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/gossip.hpp"
#include "engine/engine.hpp"
#include "recovery/snapshot.hpp"

namespace sablespur::recovery {

// Pure: no I/O and no clock. Endpoints are known by their names; gossip updates name them by a hash of it
// (cluster::endpointTag).
class EndpointTracker {
 public:
  // Forgets the listed endpoints. Their measurements stay: the list that follows may name them again.
  void clearListed() { endpoints_.clear(); }
  // An endpoint that is gone is removed; one listed without an address keeps the address that it had.
  void update(const DiscoveredEndpoint&);
  // Bounds the index and the measurements by the number of listed endpoints. Call after each list.
  void removeStaleEntries();

  // Null where no listed endpoint has this tag. Valid until the next update.
  const DiscoveredEndpoint* findByTag(std::uint64_t tag) const;
  // Adds what a response of the endpoint has shown.
  void recordResponse(const std::string& name, const cluster::GossipUpdate&, Time now);

  // One record for each endpoint that is ready, in the order of their names. An endpoint of which nothing
  // has been measured takes its figures from `fallback`, by name, if there is one.
  std::vector<EndpointRecord> records(Time now, const std::vector<EndpointRecord>& fallback) const;

 private:
  struct Measurements {
    double latencyUs = 0;         // exponentially weighted mean; 0: no response yet
    double decayedResponses = 0;  // as of updatedAt
    Time updatedAt{};
    std::int64_t positionMs = 0;
  };
  static double decayedResponses(const Measurements&, Time now);

  std::map<std::string, DiscoveredEndpoint> endpoints_;
  std::unordered_map<std::string, Measurements> measurements_;
  std::unordered_map<std::uint64_t, std::string> namesByTag_;
};

}  // namespace sablespur::recovery
