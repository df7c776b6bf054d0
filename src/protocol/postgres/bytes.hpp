// Encodes and decodes the integers (big-endian) and NUL-terminated strings of protocol 3.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::postgres {

// The length of a value that represents NULL.
constexpr std::uint32_t kNullLength = 0xffffffff;

inline void put16(std::string& to, std::size_t value) {
  to.push_back(static_cast<char>(value >> 8));
  to.push_back(static_cast<char>(value));
}

inline void put32(std::string& to, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) to.push_back(static_cast<char>(value >> shift));
}

inline void putText(std::string& to, std::string_view text) { to.append(text).push_back('\0'); }

// `from` must hold at least two bytes starting at `at`.
inline std::uint16_t read16(std::string_view from, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(from[at]) << 8 |
                                    static_cast<unsigned char>(from[at + 1]));
}

// Removes the text up to the next NUL, and the NUL, from the front of `from` and returns the text;
// std::nullopt if there is no NUL.
inline std::optional<std::string_view> takeText(std::string_view& from) {
  const std::size_t end = from.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view text = from.substr(0, end);
  from.remove_prefix(end + 1);
  return text;
}

}  // namespace sablespur::postgres
