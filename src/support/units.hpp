// Parsing and formatting of values with units, such as 250ms or 64MB.
//
// Each parser returns the value, or a ValueError that says what is wrong and how to write it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace sablespur {

struct ValueError {
  std::string problem;  // what is wrong, with the text quoted
  std::string fix;      // how to write it
};

template <typename T>
using ParseResult = std::variant<T, ValueError>;

// 200us, 1.5s, 2min, 3h, 1d. Only "0" needs no unit. Negative values are rejected.
ParseResult<std::chrono::microseconds> readTime(std::string_view text);
// 512B, 64KB, 32MB, 1GB, in powers of 1024; a whole number of bytes.
ParseResult<std::uint64_t> readSize(std::string_view text);
// 21% or 0.21.
ParseResult<double> readShare(std::string_view text);
// A whole number, which may be negative.
ParseResult<std::int64_t> readCount(std::string_view text);
// A finite number without a unit.
ParseResult<double> readNumber(std::string_view text);
// yes, no, on, off, true, false.
ParseResult<bool> readFlag(std::string_view text);

// Formats a time with the largest unit, up to hours, from which readTime() restores the same time.
std::string writeTime(std::chrono::microseconds time);
// Formats a size with the largest unit from which readSize() restores the same size.
std::string writeSize(std::uint64_t bytes);

}  // namespace sablespur
