// `sablespur serve`: runs a proxy until its exit and handles its signals.
#pragma once

#include "app/proxy.hpp"
#include "config/config.hpp"

namespace sablespur {

// Serves until the drain that SIGTERM or SIGINT starts has ended; returns the exit status. SIGHUP
// reloads the settings from `source`. Throws std::runtime_error if the proxy cannot start.
int serve(const Config&, const SettingsSource& source);

}  // namespace sablespur
