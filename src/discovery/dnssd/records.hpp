// Reads the attributes of a data server from its instance's TXT record (RFC 6763 section 6). Pure.
//
// | key     | value                                     | where it is missing                  |
// | group   | a group's name or number                  | the default group, or it is a fault  |
// | zone    | the building                              | none                                 |
// | kind    | the kind of machine                       | none                                 |
// | weight  | its size, above 0                         | 1                                    |
// | state   | active, or leaving: it wants nothing new  | active                               |
// | started | its last start, Unix time in milliseconds | a return counts as a start           |
// | txtvers | 1                                         | 1                                    |
//
// Keys are compared without regard to case; the first of a name counts; unknown keys are ignored.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/config.hpp"

namespace sablespur {

// What is wrong with a TXT record; names the key.
struct TxtFault {
  std::string reason;
};

// The attributes of the endpoint, with neither name nor address.
std::variant<DiscoveredEndpoint, TxtFault> readTxt(const std::vector<std::string>& strings,
                                                   const std::vector<GroupName>& groups,
                                                   std::optional<balancer::GroupId> defaultGroup);

}  // namespace sablespur
