#include "discovery/dnssd/target_index.hpp"

namespace sablespur {

using dns::Name;

void TargetIndex::set(const Name& instance, const Name& target) {
  Name& current = targetByInstance_[instance];
  if (current == target) return;
  if (!current.empty()) remove(current, instance);
  if (!target.empty()) instancesByTarget_[target].insert(instance);
  current = target;
}

void TargetIndex::retain(const std::set<Name>& instances) {
  for (auto entry = targetByInstance_.begin(); entry != targetByInstance_.end();) {
    const auto& [instance, target] = *entry;
    if (instances.count(instance) > 0) {
      ++entry;
      continue;
    }
    remove(target, instance);
    entry = targetByInstance_.erase(entry);
  }
}

std::set<Name> TargetIndex::instancesOf(const Name& target) const {
  const auto instances = instancesByTarget_.find(target);
  return instances == instancesByTarget_.end() ? std::set<Name>() : instances->second;
}

void TargetIndex::remove(const Name& target, const Name& instance) {
  const auto instances = instancesByTarget_.find(target);
  if (instances == instancesByTarget_.end()) return;
  instances->second.erase(instance);
  if (instances->second.empty()) instancesByTarget_.erase(instances);
}

}  // namespace sablespur
