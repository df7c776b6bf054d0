// The table of all INI keys: section, kind and unit, default, bounds, meaning, and where the value goes. The
// reader, `sablespur check` and the operators' page all come from it.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/units.hpp"
#include "config/config.hpp"

namespace sablespur {

enum class Kind {
  Text,
  Address,
  Addresses,
  Duration,
  Size,
  Count,
  Number,
  Share,
  Flag,
  Choice,
  Words,
  Hex,
  Domain
};

using KeyValue = std::variant<std::string, Address, std::vector<Address>, Time, std::uint64_t, std::int64_t,
                              double, bool, std::vector<std::string>>;

// What a section's keys are set on.
struct Draft {
  Config& config;
  std::uint64_t memory = 0;
  std::size_t descriptors = 0;
  knotstack::ClassSettings cls;  // of the [class] at hand
  Instance member;               // of the [member] at hand
  std::string memberGroup;       // a name or a number
  GroupName group;               // of the [group] at hand
  std::string usersFile, passwordFile;
};

struct Key {
  const char* section;
  const char* name;
  Kind kind;
  const char* fallback;  // as a file would have it; null: it must be given
  double least, most;    // in microseconds, bytes or as it is; equal: no bounds
  const char* choices;   // Choice: its words, with blanks between
  void (*set)(Draft&, const KeyValue&);
  const char* meaning;
};

struct SectionInfo {
  const char* type;
  bool named;  // [class NAME], any number of them
  const char* meaning;
};

const std::vector<SectionInfo>& sectionTable();
const std::vector<Key>& keyTable();

// The value of a key as its kind reads it, within its bounds.
Read<KeyValue> readValue(const Key&, const std::string& text);

}  // namespace sablespur
