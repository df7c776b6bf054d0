// The members that discovery has found, as a table and as JSON.
#pragma once

#include <map>
#include <string>

#include "config/config.hpp"
#include "discovery/endpoint_table.hpp"

namespace sablespur {

// What a report tells.
struct MembersView {
  EndpointTable::View members;
  std::map<std::string, std::string> faults;  // instances that are no members, and why
  Time now{};                                 // by the clock of `members`
};

std::string membersTable(const Config&, const MembersView&);
// One document with a newline at its end.
std::string membersJson(const Config&, const MembersView&);

}  // namespace sablespur
