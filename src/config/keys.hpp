// The table of all INI keys: section, kind and unit, default, bounds, description, and where the value goes.
// The reader, `sablespur check` and the operators' page are all driven by it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/settings_draft.hpp"
#include "support/units.hpp"

namespace sablespur {

// How the text of a value is read, and what it becomes in KeyValue.
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

// The least and the greatest value of a key, both allowed: in microseconds, bytes or the plain number.
struct Bounds {
  double min;
  double max;
};
constexpr std::nullopt_t kUnbounded = std::nullopt;

// What a key that is no KeyKind::Choice has in place of choices.
constexpr const char* kNoChoices = "";

// One key of a section. All text has static storage duration.
struct Key {
  const char* section = "";
  const char* name = "";
  KeyKind kind = KeyKind::Text;
  const char* defaultText = nullptr;  // as a file would have it; null: the key is required
  std::optional<Bounds> bounds;
  const char* choices = kNoChoices;  // KeyKind::Choice: the allowed words, separated by blanks
  void (*set)(SettingsDraft&, const KeyValue&) = nullptr;
  const char* description = "";
};

struct SectionInfo {
  const char* type;
  bool named;  // [class NAME], any number of them
  const char* description;
};

// All section types, in the order in which they are read and documented.
const std::vector<SectionInfo>& sectionTable();
// All keys, grouped by section.
const std::vector<Key>& keyTable();

// Reads a value by its key's kind and checks its bounds; else says what is wrong and how to write it.
Read<KeyValue> readValue(const Key&, const std::string& text);

// A bound of a key as settings write it, with its unit.
std::string writeBound(KeyKind, double bound);

}  // namespace sablespur
