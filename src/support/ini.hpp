// Reads an INI file with inih into sections and entries with their line numbers. Values are not
// interpreted.
//
// inih reports neither line numbers nor repeated sections, so the function that passes the lines to
// inih records both. Indentation has no meaning. A comment begins with ; or # at the start of a
// line, or with ; after a space.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "support/fault.hpp"

namespace sablespur {

// One "key = value".
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

// One section. "[class tour-read]" has the type "class" and the name "tour-read".
struct IniSection {
  std::string type;
  std::string name;  // empty if the header has none
  int line = 0;      // of the header
  std::vector<IniEntry> entries;

  // Returns the header in canonical form.
  std::string title() const { return "[" + type + (name.empty() ? "" : " " + name) + "]"; }
};

struct IniFile {
  std::vector<IniSection> sections;  // in the order of the file; a title may occur more than once
  std::vector<Fault> faults;         // one for each line that could not be read
};

// Parses `text`; faults name `file`. In sections whose type is in `rawTypes`, each line that is not
// a header becomes an entry with an empty key whose value is the line without its comment.
IniFile parseIni(std::string_view text, const std::string& file, const std::set<std::string>& rawTypes = {});

}  // namespace sablespur
