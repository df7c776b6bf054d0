// Checks of an INI file that span several keys or sections. Each function reports errors to the
// document, and completes the settings if there are none.
#pragma once

#include <optional>
#include <string>

#include "config/settings_document.hpp"
#include "config/settings_draft.hpp"

namespace sablespur {

// Returns the group with this name or number, or std::nullopt if there is none.
std::optional<balancer::GroupId> findGroup(const Config&, const std::string& nameOrNumber);

// Checks [discovery] and [dnssd], and sets the default group of DNS-SD instances.
void checkDiscovery(SettingsDocument&, SettingsDraft&);
// Checks the login methods of clients and data servers, and reads the users file and the password
// file.
void loadCredentials(SettingsDocument&, SettingsDraft&);
void checkPeers(SettingsDocument&, const Config&);
// Sets Config::store if the file names a directory.
void completeStore(SettingsDocument&, SettingsDraft&);
// Sets Config::admission if it is enabled. Requires the bounds on clients; see deriveBounds().
void completeAdmission(SettingsDocument&, SettingsDraft&);

}  // namespace sablespur
