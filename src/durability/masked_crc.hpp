// The checksum in LevelDB's logs and tables.
#pragma once

#include <cstdint>
#include <string_view>

namespace sablespur::durability {

// Returns the CRC-32C of the bytes, masked as LevelDB stores it. In a log it covers a record's type
// and payload, in a table a block and its type.
std::uint32_t maskedCrc(std::string_view);

}  // namespace sablespur::durability
