// `sablespur members`: queries the configured discovery source once.
#pragma once

#include "config/config.hpp"

namespace sablespur {

struct MembersOptions {
  bool json = false;
  double waitSeconds = 5;
};

// Prints the members of the first list that the source delivers. Returns the exit status: 0 on
// success, 1 if no list arrives within the wait; then the members from the settings are printed,
// and the reason on standard error.
int showMembers(const Config&, const MembersOptions&);

}  // namespace sablespur
