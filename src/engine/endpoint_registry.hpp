// The identity of endpoints: name, id and gossip tag. Pure: no I/O, no clock.
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

  // The endpoint's id; assigns one if the name is new.
  EndpointId add(const std::string& name);
  // Forgets the name, the id and the tag. The name still counts as listed before.
  void remove(EndpointId);

  std::optional<EndpointId> find(const std::string& name) const;
  // Nothing also where two endpoints share the tag.
  std::optional<EndpointId> findByTag(std::uint64_t tag) const;
  // Empty where the id is not registered.
  std::string name(EndpointId) const;
  std::optional<std::uint64_t> tag(EndpointId) const;
  const std::unordered_map<std::string, EndpointId>& idsByName() const { return ids_; }
  bool everHadEndpoints() const { return lastId_ != 0; }

  // Names that the endpoint list has ever had, up to a bound: only these may be suspended.
  void recordListed(const std::string& name);
  bool wasListed(const std::string& name) const { return listedNames_.count(name) > 0; }

 private:
  static constexpr EndpointId kAmbiguous = 0;  // the tag of two endpoints

  std::unordered_map<std::string, EndpointId> ids_;
  std::unordered_map<EndpointId, std::string> names_;
  std::unordered_map<std::uint64_t, EndpointId> idsByTag_;
  std::unordered_map<EndpointId, std::uint64_t> tags_;
  std::unordered_set<std::string> listedNames_;
  EndpointId lastId_ = 0;
};

}  // namespace sablespur
