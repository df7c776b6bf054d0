// Sections of an INI file against the table of keys: titles, unknown and repeated keys, defaults.
#pragma once

#include <string>

#include "config/settings_document.hpp"
#include "config/settings_draft.hpp"

namespace sablespur {

// Reports titles that are unknown, repeated, or have a name too many or too few.
void checkTitles(SettingsDocument&);

// Sets every key of the section type, by its value in the section or by its default, and reports what is
// wrong. Null: the file has no such section.
void readSection(SettingsDocument&, const std::string& type, const IniSection*, SettingsDraft&);

}  // namespace sablespur
