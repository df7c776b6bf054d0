// Assigns ids to endpoints and stores the engine's state of each. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "balancer/balancer.hpp"

namespace sablespur {

// Maps endpoint names and gossip tags to ids. Ids are never reused, because late events may still
// carry the id of a removed endpoint.
class EndpointRegistry {
 public:
  using EndpointId = balancer::EndpointId;

  struct Endpoint {
    std::string name;
    std::uint64_t gossipTag = 0;
    bool ready = false;                           // listed as ready
    std::optional<balancer::Time> notReadySince;  // std::nullopt while ready
    std::optional<balancer::Time> healthCheckSentAt;
    std::optional<balancer::GroupId> group;  // std::nullopt until listed

    void setReady(bool isReady, balancer::Time now) {
      ready = isReady;
      if (isReady)
        notReadySince.reset();
      else if (!notReadySince)
        notReadySince = now;
    }
  };

  // Returns the endpoint's id; assigns one if the name is new.
  EndpointId add(const std::string& name);
  // Records the replication group of a registered endpoint.
  void setGroup(EndpointId, balancer::GroupId);
  // Number of replication groups of the registered endpoints.
  std::size_t groupCount() const { return groupSizes_.size(); }
  // Removes the endpoint; wasListed() still returns true for its name.
  void remove(EndpointId);

  // Returns null if the id is not registered. The pointer is valid until the next add() or
  // remove().
  Endpoint* find(EndpointId);
  const Endpoint* find(EndpointId) const;
  std::optional<EndpointId> findByName(const std::string& name) const;
  // Returns std::nullopt if no endpoint or more than one endpoint has the tag.
  std::optional<EndpointId> findByTag(std::uint64_t tag) const;
  // Returns an empty string if the id is not registered.
  std::string name(EndpointId) const;
  const std::unordered_map<std::string, EndpointId>& idsByName() const { return idsByName_; }
  bool everHadEndpoints() const { return lastId_ != 0; }

  // Names that the endpoint list has ever contained, up to a limit. Only these endpoints may be
  // suspended.
  void recordListed(const std::string& name);
  bool wasListed(const std::string& name) const { return listedNames_.count(name) > 0; }

 private:
  void leaveGroup(Endpoint&);

  std::unordered_map<EndpointId, Endpoint> endpoints_;
  std::unordered_map<std::string, EndpointId> idsByName_;
  // std::nullopt: the tag is shared by two endpoints.
  std::unordered_map<std::uint64_t, std::optional<EndpointId>> idsByTag_;
  std::unordered_set<std::string> listedNames_;
  std::unordered_map<balancer::GroupId, std::size_t> groupSizes_;
  EndpointId lastId_ = 0;
};

}  // namespace sablespur
