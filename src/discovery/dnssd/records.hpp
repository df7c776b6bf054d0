// Reads the attributes of a data server from its instance's TXT record (RFC 6763 section 6). Pure.
//
// | key     | value                                 | if missing                          |
// | group   | name or number of a replication group | the default group, if any, or fault |
// | zone    | zone of the data server               | none                                |
// | kind    | machine type                          | none                                |
// | weight  | relative capacity, above 0            | 1                                   |
// | state   | active, or leaving: no new requests   | active                              |
// | started | last start, Unix time in milliseconds | reappearing counts as a start       |
// | txtvers | 1                                     | 1                                   |
//
// Keys are case-insensitive. The first occurrence of a key counts; unknown keys are ignored.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/config.hpp"

namespace sablespur {

// Why a TXT record is invalid.
struct TxtFault {
  std::string reason;  // names the key
};

// Returns the attributes of the endpoint; its name and address are left unset.
std::variant<DiscoveredEndpoint, TxtFault> readTxt(const std::vector<std::string>& strings,
                                                   const std::vector<GroupName>& groups,
                                                   std::optional<balancer::GroupId> defaultGroup);

}  // namespace sablespur
