// The identity of endpoints, and what the engine keeps for each. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "balancer/balancer.hpp"

namespace sablespur {

// Ids are never reused, because late events may still carry the id of a removed endpoint.
class EndpointRegistry {
 public:
  using EndpointId = balancer::EndpointId;

  struct Endpoint {
    std::string name;
    std::uint64_t gossipTag = 0;
    bool ready = false;                           // by the endpoint list
    std::optional<balancer::Time> notReadySince;  // empty while it is ready
    std::optional<balancer::Time> healthCheckSentAt;

    void setReady(bool isReady, balancer::Time now) {
      ready = isReady;
      if (isReady)
        notReadySince.reset();
      else if (!notReadySince)
        notReadySince = now;
    }
  };

  // The endpoint's id; assigns one if the name is new.
  EndpointId add(const std::string& name);
  // Forgets the endpoint. Its name still counts as listed before.
  void remove(EndpointId);

  // Null where the id is not registered. Valid until the next add() or remove().
  Endpoint* find(EndpointId);
  const Endpoint* find(EndpointId) const;
  std::optional<EndpointId> findByName(const std::string& name) const;
  // Nothing also where two endpoints share the tag.
  std::optional<EndpointId> findByTag(std::uint64_t tag) const;
  // Empty where the id is not registered.
  std::string name(EndpointId) const;
  const std::unordered_map<std::string, EndpointId>& idsByName() const { return idsByName_; }
  bool everHadEndpoints() const { return lastId_ != 0; }

  // Names that the endpoint list has ever had, up to a bound: only these may be suspended.
  void recordListed(const std::string& name);
  bool wasListed(const std::string& name) const { return listedNames_.count(name) > 0; }

 private:
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  std::unordered_map<std::string, EndpointId> idsByName_;
  std::unordered_map<std::uint64_t, std::optional<EndpointId>> idsByTag_;  // nothing: two endpoints share it
  std::unordered_set<std::string> listedNames_;
  EndpointId lastId_ = 0;
};

}  // namespace sablespur
