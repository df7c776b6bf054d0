// Parses the comment at the end of a statement, in which applications pass the request's id, class
// and remaining time, and the key in the statement. Does no I/O; returned views point into the
// given text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sablespur::postgres {

// Offsets are relative to the start of the given text.
struct Comment {
  std::string_view id;
  std::string_view className;
  std::string_view key;            // of a keyed write; empty: none
  std::uint32_t timeLeftMs = 0;    // d, in milliseconds
  std::size_t timeLeftOffset = 0;  // position of the digits of d
  std::size_t timeLeftLength = 0;  // 0: the comment has no d
  std::uint32_t cluster = 0;
  std::int64_t after = 0;       // position to read at, Unix time in milliseconds; 0: none
  const char* fault = nullptr;  // why the comment is invalid; nullptr: it is valid
};

// Parses "/* id=...,cluster=...,... */", the last comment of the text. Unknown names are skipped.
Comment parseComment(std::string_view text);

// Returns the first quoted text of a statement; empty if there is none.
std::string_view parseKey(std::string_view text);

}  // namespace sablespur::postgres
