// Numbers and texts as version 3 writes them: big-endian, texts with a NUL behind.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::postgres {

inline void put16(std::string& to, std::size_t v) {
  to.push_back(static_cast<char>(v >> 8));
  to.push_back(static_cast<char>(v));
}
inline void put32(std::string& to, std::uint32_t v) {
  for (int shift = 24; shift >= 0; shift -= 8) to.push_back(static_cast<char>(v >> shift));
}
inline void putText(std::string& to, std::string_view text) { to.append(text).push_back('\0'); }

// Takes the text up to the next NUL; nothing where there is none.
inline std::optional<std::string_view> takeText(std::string_view& from) {
  const std::size_t end = from.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view text = from.substr(0, end);
  from.remove_prefix(end + 1);
  return text;
}

}  // namespace sablespur::postgres
