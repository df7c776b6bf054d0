// Which instances have which target (the host that an SRV record names). Pure.
#pragma once

#include <map>
#include <set>

#include "protocol/dns/message.hpp"

namespace sablespur {

class TargetIndex {
 public:
  // Replaces the target of an instance; an empty one: it has none.
  void set(const dns::Name& instance, const dns::Name& target);
  // Forgets all other instances.
  void retain(const std::set<dns::Name>& instances);

  bool isTarget(const dns::Name& name) const { return instancesByTarget_.count(name) > 0; }
  // Empty where the name is nobody's target.
  std::set<dns::Name> instancesOf(const dns::Name& target) const;

 private:
  void remove(const dns::Name& target, const dns::Name& instance);

  std::map<dns::Name, std::set<dns::Name>> instancesByTarget_;
  std::map<dns::Name, dns::Name> targetByInstance_;
};

}  // namespace sablespur
