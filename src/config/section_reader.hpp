// Reads the sections of an INI file according to the key table: checks titles, reports unknown and
// repeated keys, and applies defaults.
#pragma once

#include <string>

#include "config/settings_document.hpp"
#include "config/settings_draft.hpp"

namespace sablespur {

// Reports titles that are unknown or repeated, lack a required name or have a name that is not
// allowed.
void checkTitles(SettingsDocument&);

// Sets every key of the section type from the section or from its default, and reports invalid,
// missing and unknown keys. The section is null if the file does not contain it.
void readSection(SettingsDocument&, const std::string& type, const IniSection*, SettingsDraft&);

}  // namespace sablespur
