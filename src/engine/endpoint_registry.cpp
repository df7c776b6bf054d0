#include "engine/endpoint_registry.hpp"

#include <utility>

#include "cluster/gossip.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kMaxListedNames = 65536;

}  // namespace

EndpointRegistry::EndpointId EndpointRegistry::add(const std::string& name) {
  const auto [known, added] = idsByName_.emplace(name, lastId_ + 1);
  const EndpointId id = known->second;
  if (!added) return id;
  lastId_ = id;
  Endpoint endpoint;
  endpoint.name = name;
  endpoint.gossipTag = cluster::endpointTag(name);
  const auto [sameTag, unique] = idsByTag_.emplace(endpoint.gossipTag, id);
  if (!unique) sameTag->second = std::nullopt;
  endpoints_.emplace(id, std::move(endpoint));
  return id;
}

void EndpointRegistry::setGroup(EndpointId id, balancer::GroupId group) {
  Endpoint* const endpoint = find(id);
  if (!endpoint || endpoint->group == group) return;
  leaveGroup(*endpoint);
  endpoint->group = group;
  ++groupSizes_[group];
}

void EndpointRegistry::leaveGroup(Endpoint& endpoint) {
  if (!endpoint.group) return;
  const auto size = groupSizes_.find(*endpoint.group);
  if (--size->second == 0) groupSizes_.erase(size);
  endpoint.group.reset();
}

void EndpointRegistry::remove(EndpointId id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  leaveGroup(it->second);
  idsByName_.erase(it->second.name);
  idsByTag_.erase(it->second.gossipTag);
  endpoints_.erase(it);
}

EndpointRegistry::Endpoint* EndpointRegistry::find(EndpointId id) {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const EndpointRegistry::Endpoint* EndpointRegistry::find(EndpointId id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

std::optional<EndpointRegistry::EndpointId> EndpointRegistry::findByName(const std::string& name) const {
  const auto it = idsByName_.find(name);
  return it == idsByName_.end() ? std::nullopt : std::make_optional(it->second);
}

std::optional<EndpointRegistry::EndpointId> EndpointRegistry::findByTag(std::uint64_t tag) const {
  const auto it = idsByTag_.find(tag);
  return it == idsByTag_.end() ? std::nullopt : it->second;
}

std::string EndpointRegistry::name(EndpointId id) const {
  const Endpoint* const endpoint = find(id);
  return endpoint ? endpoint->name : std::string();
}

void EndpointRegistry::recordListed(const std::string& name) {
  if (listedNames_.size() < kMaxListedNames) listedNames_.insert(name);
}

}  // namespace sablespur
