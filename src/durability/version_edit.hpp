// Reads the records of a LevelDB manifest (leveldb/db/version_edit.cc). Pure: bytes in, fields out.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sablespur::durability {

// The fields of one edit that an inspection needs; nothing: the edit does not set it.
struct VersionEdit {
  std::optional<std::uint64_t> lastSequence;
  std::optional<std::uint64_t> logNumber;
};

// Nothing: the record is no edit.
std::optional<VersionEdit> readVersionEdit(std::string_view record);

}  // namespace sablespur::durability
