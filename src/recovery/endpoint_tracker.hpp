// Tracks the endpoints that discovery lists and this run's measurements of them, for the next
// snapshot.
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

// Performs no I/O and reads no clock. Endpoints are identified by name, in gossip updates by a hash
// of the name (cluster::endpointTag).
class EndpointTracker {
 public:
  // Removes all listed endpoints but keeps their measurements, because the list that follows may
  // contain them.
  void clearListed() { endpoints_.clear(); }
  // Adds or updates a listed endpoint, or removes it if its state is Gone. An endpoint listed
  // without an address keeps its previous address.
  void update(const DiscoveredEndpoint&);
  // Removes index entries and measurements of endpoints no longer listed, once there are many of
  // them (see kStaleFactor). Has to be called after each list.
  void removeStaleEntries();

  // Returns the listed endpoint with this tag, or null. The pointer is valid until the next update.
  const DiscoveredEndpoint* findByTag(std::uint64_t tag) const;
  // Records the position and latency reported with a response of the endpoint.
  void recordResponse(const std::string& name, const cluster::GossipUpdate&, Time now);

  // Returns one record for each endpoint that is ready, sorted by name. Endpoints without
  // measurements get latency and rate from the record of the same name in `fallback`, if any.
  std::vector<EndpointRecord> records(Time now, const std::vector<EndpointRecord>& fallback) const;

 private:
  struct Measurements {
    double latencyUs = 0;         // exponentially weighted mean; 0: no response yet
    double decayedResponses = 0;  // exponentially decayed count, as of updatedAt
    Time updatedAt{};
    std::int64_t positionMs = 0;
  };
  static double decayedResponses(const Measurements&, Time now);

  std::map<std::string, DiscoveredEndpoint> endpoints_;
  std::unordered_map<std::string, Measurements> measurements_;
  std::unordered_map<std::uint64_t, std::string> namesByTag_;
};

}  // namespace sablespur::recovery
