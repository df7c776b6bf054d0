// Reads the records of a LevelDB manifest (leveldb/db/version_edit.cc). Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sablespur::durability {

// The fields of a version edit that an inspection needs; std::nullopt if the edit does not set the
// field.
struct VersionEdit {
  std::optional<std::uint64_t> lastSequence;
  std::optional<std::uint64_t> logNumber;
};

// Returns std::nullopt if the record is not a version edit.
std::optional<VersionEdit> readVersionEdit(std::string_view record);

}  // namespace sablespur::durability
