// The table of all INI keys: section, name, kind, default, bounds, description and setter. The
// reader, `sablespur check` and the operators' page are all driven by it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/settings_draft.hpp"
#include "support/units.hpp"

namespace sablespur {

// How the text of a value is parsed, and which type of KeyValue it becomes.
enum class KeyKind {
  Text,
  Address,
  Addresses,
  Duration,
  Size,  // bytes
  Count,
  Number,
  Share,  // a fraction, written as 21% or 0.21
  Flag,
  Choice,
  Words,  // comma-separated
  Hex,
  Domain
};

using KeyValue = std::variant<std::string, Address, std::vector<Address>, Time, std::uint64_t, std::int64_t,
                              double, bool, std::vector<std::string>>;

// The inclusive bounds of a key's value, in microseconds, bytes or as a plain number.
struct Bounds {
  double min;
  double max;
};
constexpr std::nullopt_t kUnbounded = std::nullopt;

// The choices of a key that is not a KeyKind::Choice.
constexpr const char* kNoChoices = "";

// One key of a section. All text has static storage duration.
struct Key {
  const char* section = "";
  const char* name = "";
  KeyKind kind = KeyKind::Text;
  const char* defaultText = nullptr;  // as written in a file; null: the key is required
  std::optional<Bounds> bounds;
  const char* choices = kNoChoices;  // KeyKind::Choice: the allowed words, separated by spaces
  void (*set)(SettingsDraft&, const KeyValue&) = nullptr;
  const char* description = "";
};

struct SectionInfo {
  const char* type;
  bool named;  // such as [class NAME], which may occur any number of times
  const char* description;
};

// All section types, in the order in which they are read and documented.
const std::vector<SectionInfo>& sectionTable();
// All keys, grouped by section.
const std::vector<Key>& keyTable();

// Parses a value according to its key's kind and checks its bounds. Returns a ValueError if it is
// invalid.
ParseResult<KeyValue> readValue(const Key&, const std::string& text);

// Formats a bound of a key as a settings file would contain it, with its unit.
std::string writeBound(KeyKind, double bound);

}  // namespace sablespur
