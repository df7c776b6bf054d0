// Integers as protocol 2.0 encodes them: big-endian. Pure.
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

// `from` holds two bytes at least from `at` on.
inline std::uint16_t read16(std::string_view from, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(from[at]) << 8 |
                                    static_cast<unsigned char>(from[at + 1]));
}

// `from` holds four bytes at least from `at` on.
inline std::uint32_t read32(std::string_view from, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t k = 0; k < 4; ++k) value = value << 8 | static_cast<unsigned char>(from[at + k]);
  return value;
}

// Bytes of a row's bitmap, a bit for each column.
inline std::size_t bitmapSize(std::size_t columns) { return (columns + 7) / 8; }

// The bit of this column in its byte of the bitmap; the first one is the highest. 1: a value, 0: null.
inline unsigned bitOf(std::size_t column) { return 0x80u >> column % 8; }

}  // namespace sablespur::postgres2
