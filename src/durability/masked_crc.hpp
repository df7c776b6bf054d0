// The checksum of LevelDB's logs and tables.
#pragma once

#include <cstdint>
#include <string_view>

namespace sablespur::durability {

// CRC-32C, masked as LevelDB stores it: of a record's type and payload, or of a table's block and type.
std::uint32_t maskedCrc(std::string_view);

}  // namespace sablespur::durability
