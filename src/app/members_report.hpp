// Formats the members that discovery has found as a table and as JSON.
#pragma once

#include <map>
#include <string>

#include "config/config.hpp"
#include "discovery/endpoint_table.hpp"

namespace sablespur {

// The content of a report.
struct MembersView {
  EndpointTable::View members;
  std::map<std::string, std::string> faults;  // why instances are excluded, by instance name
  Time now{};                                 // on the clock of `members`
};

std::string membersTable(const Config&, const MembersView&);
// Returns one JSON document that ends with a newline.
std::string membersJson(const Config&, const MembersView&);

}  // namespace sablespur
