// Reads single records of a LevelDB log (leveldb/doc/log_format.md). Pure: bytes in, records out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sablespur::durability {

constexpr std::size_t kLogBlockBytes = 32768;
constexpr std::size_t kLogHeaderBytes = 7;  // checksum (4), length (2), type (1)

enum class FragmentType : std::uint8_t { Zero = 0, Full = 1, First = 2, Middle = 3, Last = 4 };

// The bytes that are left of the block in which the offset lies.
constexpr std::size_t roomInLogBlock(std::size_t offset) { return kLogBlockBytes - offset % kLogBlockBytes; }
// Whether the fragment whose header stands at `offset` says that a record begins with it.
bool mayBeginLogRecord(std::string_view log, std::size_t offset);

// A record put together from its fragments, or why there is none.
struct LogRecord {
  std::string payload;
  std::size_t end = 0;           // the offset behind it
  const char* defect = nullptr;  // null: the record is whole
};
LogRecord readLogRecord(std::string_view log, std::size_t offset);

// Integers as LevelDB writes them; `bytes` has to hold as many from `offset` on.
std::uint32_t readLittleEndian32(std::string_view bytes, std::size_t offset);
std::uint64_t readLittleEndian64(std::string_view bytes, std::size_t offset);

}  // namespace sablespur::durability
