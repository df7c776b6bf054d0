// `sablespur members`: what discovery finds now.
#pragma once

#include "config/config.hpp"

namespace sablespur {

struct MembersOptions {
  bool json = false;
  double waitSeconds = 5;
};

// Asks the configured source once and prints what it has told within the wait. 0: it told; 1: it did not
// (what is known from the settings is printed all the same, and the reason goes to standard error).
int showMembers(const Config&, const MembersOptions&);

// The same as text; for tests.
std::string membersTable(const Config&, const InstanceList&);
std::string membersJson(const Config&, const InstanceList&);

}  // namespace sablespur
