// `sablespur status`: asks a running proxy on its local socket.
#pragma once

#include "config/config.hpp"

namespace sablespur {

struct StatusOptions {
  bool json = false;
};

// Prints the status as a table or as it came. Returns the exit status; throws std::runtime_error where no
// proxy answers.
int showStatus(const Config&, const StatusOptions&);

}  // namespace sablespur
