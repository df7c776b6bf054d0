// Maps instances to targets, the hosts that their SRV records name, and back. Pure.
#pragma once

#include <map>
#include <set>

#include "protocol/dns/message.hpp"

namespace sablespur {

class TargetIndex {
 public:
  // Replaces the target of an instance; empty for none.
  void set(const dns::Name& instance, const dns::Name& target);
  // Removes all instances but these.
  void retain(const std::set<dns::Name>& instances);

  bool isTarget(const dns::Name& name) const { return instancesByTarget_.count(name) > 0; }
  // Returns the instances with this target; empty if there are none.
  std::set<dns::Name> instancesOf(const dns::Name& target) const;

 private:
  void remove(const dns::Name& target, const dns::Name& instance);

  std::map<dns::Name, std::set<dns::Name>> instancesByTarget_;
  std::map<dns::Name, dns::Name> targetByInstance_;
};

}  // namespace sablespur
