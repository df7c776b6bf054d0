// `sablespur status`: reads the status of a running proxy from its local socket.
#pragma once

#include "config/config.hpp"

namespace sablespur {

struct StatusOptions {
  bool json = false;
};

// Prints the status as a table or as the JSON that the proxy sent. Returns the exit status; throws
// std::runtime_error if no proxy responds.
int showStatus(const Config&, const StatusOptions&);

}  // namespace sablespur
