// `sablespur members`: asks the configured discovery source once.
#pragma once

#include "config/config.hpp"

namespace sablespur {

struct MembersOptions {
  bool json = false;
  double waitSeconds = 5;
};

// Prints what the source has told within the wait. Returns the exit status: 0 where it told; 1 where it did
// not, then what the settings know is printed, and the reason goes to standard error.
int showMembers(const Config&, const MembersOptions&);

}  // namespace sablespur
