// `sablespur members`: what discovery finds now.
#pragma once

#include <map>
#include <string>

#include "config/config.hpp"
#include "discovery/endpoint_table.hpp"

namespace sablespur {

struct MembersOptions {
  bool json = false;
  double waitSeconds = 5;
};

// Asks the configured source once and prints what it has told within the wait. 0: it told; 1: it did not
// (what is known from the settings is printed all the same, and the reason goes to standard error).
int showMembers(const Config&, const MembersOptions&);

// The same as text.
struct MembersView {
  EndpointTable::View members;
  std::map<std::string, std::string> faults;  // instances that are no members, and why
  Time now{};
};
std::string membersTable(const Config&, const MembersView&);
std::string membersJson(const Config&, const MembersView&);

}  // namespace sablespur
