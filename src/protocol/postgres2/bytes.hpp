// Encodes and decodes the integers (big-endian) and row bitmaps of protocol 2.0.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sablespur::postgres2 {

inline void put16(std::string& to, std::uint16_t value) {
  to.push_back(static_cast<char>(value >> 8));
  to.push_back(static_cast<char>(value));
}

inline void put32(std::string& to, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) to.push_back(static_cast<char>(value >> shift));
}

// `from` must hold at least two bytes starting at `at`.
inline std::uint16_t read16(std::string_view from, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(from[at]) << 8 |
                                    static_cast<unsigned char>(from[at + 1]));
}

// `from` must hold at least four bytes starting at `at`.
inline std::uint32_t read32(std::string_view from, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t k = 0; k < 4; ++k) value = value << 8 | static_cast<unsigned char>(from[at + k]);
  return value;
}

// Size in bytes of a row's bitmap, which has one bit per column.
inline std::size_t bitmapSize(std::size_t columns) { return (columns + 7) / 8; }

// The mask of a column's bit within its byte of the bitmap; the first column is the highest bit. A
// set bit means a value, a clear bit NULL.
inline unsigned columnMask(std::size_t column) { return 0x80u >> column % 8; }

}  // namespace sablespur::postgres2
