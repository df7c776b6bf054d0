// What an instance's TXT record says of its data server (RFC 6763 section 6). Pure.
//
// | key     | value                                     | where it is missing                  |
// | group   | a group's name or number                  | the default group, or it is a fault  |
// | zone    | the building                              | none                                 |
// | kind    | the kind of machine                       | none                                 |
// | weight  | its size, above 0                         | 1                                    |
// | state   | active, or leaving: it wants nothing new  | active                               |
// | started | its last start, Unix time in milliseconds | not told: a return counts as a start |
// | txtvers | 1                                         | 1                                    |
//
// Keys are told apart without regard to case, the first of a name counts, others are passed over.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace sablespur {

// Fills what the record says into the instance; the sentence that says what is wrong with it, if anything.
std::optional<std::string> readTxt(const std::vector<std::string>& strings,
                                   const std::vector<GroupName>& groups,
                                   std::optional<balancer::GroupId> defaultGroup, DiscoveredEndpoint&);

}  // namespace sablespur
