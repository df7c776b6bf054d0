// Checks of an INI file that span several keys or sections, one function a concern. Each reports what is
// wrong to the document, and completes the settings where nothing is.
#pragma once

#include <optional>
#include <string>

#include "config/settings_document.hpp"
#include "config/settings_draft.hpp"

namespace sablespur {

// By its name or its number.
std::optional<balancer::GroupId> findGroup(const Config&, const std::string& nameOrNumber);

// Sets the group of DNS-SD instances whose records name none.
void checkDiscovery(SettingsDocument&, SettingsDraft&);
// Login methods of both sides; reads the files of users and of the password for data servers.
void loadCredentials(SettingsDocument&, SettingsDraft&);
void checkPeers(SettingsDocument&, const Config&);
// Sets Config::store where the file names a directory.
void completeStore(SettingsDocument&, SettingsDraft&);
// Sets Config::admission where it is enabled. The bounds on clients have to be known.
void completeAdmission(SettingsDocument&, SettingsDraft&);

}  // namespace sablespur
