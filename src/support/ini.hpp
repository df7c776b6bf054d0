// An INI file as sections and entries with their lines, read by inih. What the values mean is settled
// elsewhere.
//
// inih keeps neither line numbers nor repeated sections apart; the reader that it takes its lines from counts
// both. Indentation means nothing; a comment begins with ; or # at a line's start, or with ; after a blank.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "support/fault.hpp"

namespace sablespur {

struct IniEntry {
  std::string key, value;
  int line = 0;
};
struct IniSection {
  std::string type, name;  // "[class tour-read]" is type "class", name "tour-read"
  int line = 0;
  std::vector<IniEntry> entries;
  std::string title() const { return "[" + type + (name.empty() ? "" : " " + name) + "]"; }
};
struct IniFile {
  std::vector<IniSection> sections;  // as they stand; the same title may come again
  std::vector<Fault> faults;         // lines that are no INI
};

// In the sections of the types named raw every line that is no header is an entry by itself, with the key ""
// and the line, without a comment behind it, as its value.
IniFile parseIni(std::string_view text, const std::string& file, const std::set<std::string>& raw = {});

}  // namespace sablespur
