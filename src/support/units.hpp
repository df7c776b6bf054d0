// Values with units, as settings write them. Pure; each reader gives the value, or the sentence that says
// what is wrong and how to write it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace sablespur {

struct ValueError {
  std::string problem, fix;
};
template <typename T>
using Read = std::variant<T, ValueError>;

Read<std::chrono::microseconds> readTime(std::string_view);  // 200us, 1.5s, 2min; "0" alone needs no unit
Read<std::uint64_t> readSize(std::string_view);              // 512B, 64KB, 32MB, 1GB; powers of 1024
Read<double> readShare(std::string_view);                    // 21% or 0.21
Read<std::int64_t> readCount(std::string_view);              // whole numbers
Read<double> readNumber(std::string_view);
Read<bool> readFlag(std::string_view);  // yes, no, on, off, true, false

std::string writeTime(std::chrono::microseconds);  // the shortest text that reads back as the same
std::string writeSize(std::uint64_t);

// The word of the list that is at most two edits away, the nearest; empty where there is none.
std::string nearestWord(std::string_view word, const std::string* first, const std::string* last);

}  // namespace sablespur
