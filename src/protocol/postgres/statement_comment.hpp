// The comment at the end of a statement, in which applications name the request, its class and its deadline,
// and the key in the statement. Pure; views point into the text given.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sablespur::postgres {

// Offsets count from the start of the text given.
struct Comment {
  std::string_view id;
  std::string_view className;
  std::string_view key;            // of a keyed write; empty: none
  std::uint32_t timeLeftMs = 0;    // d, in milliseconds
  std::size_t timeLeftOffset = 0;  // where the digits of d stand
  std::size_t timeLeftLength = 0;  // 0: there is no d
  std::uint32_t cluster = 0;
  std::int64_t after = 0;       // position to read at, Unix time in milliseconds; 0: none
  const char* fault = nullptr;  // what is wrong; nullptr: nothing
};

// Reads "/* id=...,cluster=...,... */", the last comment of the text. Unknown names are skipped.
Comment parseComment(std::string_view text);

// The first quoted text of a statement; empty where there is none.
std::string_view parseKey(std::string_view text);

}  // namespace sablespur::postgres
