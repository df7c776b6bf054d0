// Values with units, such as 250ms or 64MB: parsing and formatting. Pure.
//
// Each reader gives the value, or what is wrong with the text and how to write it.
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
using Read = std::variant<T, ValueError>;

// 200us, 1.5s, 2min, 3h, 1d. "0" alone needs no unit. Never negative.
Read<std::chrono::microseconds> readTime(std::string_view text);
// 512B, 64KB, 32MB, 1GB, in powers of 1024; a whole number of bytes.
Read<std::uint64_t> readSize(std::string_view text);
// 21% or 0.21.
Read<double> readShare(std::string_view text);
// A whole number, which may be negative.
Read<std::int64_t> readCount(std::string_view text);
// A finite number without a unit.
Read<double> readNumber(std::string_view text);
// yes, no, on, off, true, false.
Read<bool> readFlag(std::string_view text);

// The text with the largest unit, up to hours, that readTime reads as the same time.
std::string writeTime(std::chrono::microseconds time);
// The text with the largest unit that readSize reads as the same size.
std::string writeSize(std::uint64_t bytes);

}  // namespace sablespur
