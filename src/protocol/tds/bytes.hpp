// Bytes and big-endian integers of TDS packet headers and PRELOGIN messages. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sablespur::tds {

inline std::uint8_t read8(std::string_view from, std::size_t at) {
  return static_cast<std::uint8_t>(from[at]);
}

// `from` must have at least two bytes at `at`.
inline std::size_t read16(std::string_view from, std::size_t at) {
  return static_cast<std::size_t>(read8(from, at)) << 8 | read8(from, at + 1);
}

inline void put8(std::string& to, std::uint8_t value) { to.push_back(static_cast<char>(value)); }

inline void put16(std::string& to, std::size_t value) {
  to.push_back(static_cast<char>(value >> 8));
  to.push_back(static_cast<char>(value));
}

}  // namespace sablespur::tds
