#include "engine/endpoint_registry.hpp"

#include "cluster/gossip.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kMaxListedNames = 65536;

}  // namespace

EndpointRegistry::EndpointId EndpointRegistry::add(const std::string& name) {
  const auto [it, added] = ids_.emplace(name, lastId_ + 1);
  const EndpointId id = it->second;
  if (!added) return id;
  lastId_ = id;
  names_[id] = name;
  const std::uint64_t tag = cluster::endpointTag(name);
  tags_[id] = tag;
  const auto [sameTag, unique] = idsByTag_.emplace(tag, id);
  if (!unique) sameTag->second = kAmbiguous;
  return id;
}

void EndpointRegistry::remove(EndpointId id) {
  if (const auto name = names_.find(id); name != names_.end()) {
    ids_.erase(name->second);
    names_.erase(name);
  }
  if (const auto tag = tags_.find(id); tag != tags_.end()) {
    idsByTag_.erase(tag->second);
    tags_.erase(tag);
  }
}

std::optional<EndpointRegistry::EndpointId> EndpointRegistry::find(const std::string& name) const {
  const auto it = ids_.find(name);
  return it == ids_.end() ? std::nullopt : std::make_optional(it->second);
}

std::optional<EndpointRegistry::EndpointId> EndpointRegistry::findByTag(std::uint64_t tag) const {
  const auto it = idsByTag_.find(tag);
  if (it == idsByTag_.end() || it->second == kAmbiguous) return std::nullopt;
  return it->second;
}

std::string EndpointRegistry::name(EndpointId id) const {
  const auto it = names_.find(id);
  return it == names_.end() ? std::string() : it->second;
}

std::optional<std::uint64_t> EndpointRegistry::tag(EndpointId id) const {
  const auto it = tags_.find(id);
  return it == tags_.end() ? std::nullopt : std::make_optional(it->second);
}

void EndpointRegistry::recordListed(const std::string& name) {
  if (listedNames_.size() < kMaxListedNames) listedNames_.insert(name);
}

}  // namespace sablespur
