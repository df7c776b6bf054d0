// A running proxy: everything that serves, from checked settings to the exit.
#pragma once

#include <functional>

#include "config/config.hpp"

namespace sablespur {

// Serves until SIGTERM or SIGINT has been carried out; gives the exit status. SIGHUP calls `reread`, which
// reads and checks the settings anew (a fault is a BadInput). Throws std::runtime_error where it cannot
// listen.
int serve(const Config&, const std::function<Config()>& reread);

}  // namespace sablespur
