// `sablespur serve`: a proxy from its checked settings to the exit, and the signals that it follows.
#pragma once

#include "app/proxy.hpp"
#include "config/config.hpp"

namespace sablespur {

// Serves until SIGTERM or SIGINT has been carried out; returns the exit status. SIGHUP reads the settings
// anew from `source`. Throws std::runtime_error where the proxy cannot start.
int serve(const Config&, const SettingsSource& source);

}  // namespace sablespur
