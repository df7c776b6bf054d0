// Reads single records of a LevelDB log (leveldb/doc/log_format.md). Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sablespur::durability {

constexpr std::size_t kLogBlockBytes = 32768;
constexpr std::size_t kLogHeaderBytes = 7;  // checksum (4), length (2), type (1)

enum class FragmentType : std::uint8_t { Zero = 0, Full = 1, First = 2, Middle = 3, Last = 4 };

// Returns the number of bytes from `offset` to the end of its block.
constexpr std::size_t bytesLeftInLogBlock(std::size_t offset) {
  return kLogBlockBytes - offset % kLogBlockBytes;
}
// Whether the type in the fragment header at `offset` is that of a record's first fragment.
bool mayBeginLogRecord(std::string_view log, std::size_t offset);

// A record assembled from its fragments, or the defect that prevented it.
struct LogRecord {
  std::string payload;
  std::size_t end = 0;           // offset of the first byte after the record
  const char* defect = nullptr;  // null: the record is whole
};
LogRecord readLogRecord(std::string_view log, std::size_t offset);

// Read an integer at `offset`, which must be followed by at least as many bytes as the integer has.
std::uint32_t readLittleEndian32(std::string_view bytes, std::size_t offset);
std::uint64_t readLittleEndian64(std::string_view bytes, std::size_t offset);

}  // namespace sablespur::durability
