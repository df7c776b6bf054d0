#include "support/units.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <vector>

namespace sablespur {
namespace {

struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit kTimes[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}, {"d", 86400e6}};
constexpr Unit kSizes[] = {{"B", 1}, {"KB", 1024}, {"MB", 1 << 20}, {"GB", 1 << 30}};

constexpr const char* kTimeFix = "write a number with us, ms, s, min, h or d, such as 250ms";
constexpr const char* kSizeFix = "write a whole number with B, KB, MB or GB, such as 64MB";

// The number at the beginning and what stands behind it.
std::optional<std::pair<double, std::string_view>> split(std::string_view text) {
  double v = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, v, std::chars_format::fixed);
  if (error != std::errc() || !std::isfinite(v)) return std::nullopt;
  std::string_view rest(stop, static_cast<std::size_t>(end - stop));
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  return std::make_pair(v, rest);
}

template <std::size_t N>
const Unit* find(const Unit (&units)[N], std::string_view name) {
  for (const Unit& u : units)
    if (u.name == name) return &u;
  return nullptr;
}

ValueError wrong(std::string_view text, const std::string& why, const char* fix) {
  return {"'" + std::string(text) + "' " + why, fix};
}

}  // namespace

Read<std::chrono::microseconds> readTime(std::string_view text) {
  if (text == "0") return std::chrono::microseconds(0);
  const auto parts = split(text);
  if (!parts) return wrong(text, "is no time", kTimeFix);
  const auto [v, unit] = *parts;
  if (unit.empty()) return wrong(text, "has no unit", kTimeFix);
  const Unit* const u = find(kTimes, unit);
  if (!u && find(kSizes, unit)) return wrong(text, "is a size, and a time is wanted", kTimeFix);
  if (!u) return wrong(text, "has the unknown unit '" + std::string(unit) + "'", kTimeFix);
  const double us = v * u->factor;
  if (us < 0) return wrong(text, "is negative", kTimeFix);
  if (us > 9e15) return wrong(text, "is too long", kTimeFix);
  return std::chrono::microseconds(static_cast<std::int64_t>(std::llround(us)));
}

Read<std::uint64_t> readSize(std::string_view text) {
  const auto parts = split(text);
  if (!parts) return wrong(text, "is no size", kSizeFix);
  const auto [v, unit] = *parts;
  if (unit.empty()) return wrong(text, "has no unit", kSizeFix);
  const Unit* const u = find(kSizes, unit);
  if (!u && find(kTimes, unit)) return wrong(text, "is a time, and a size is wanted", kSizeFix);
  if (!u) return wrong(text, "has the unknown unit '" + std::string(unit) + "'", kSizeFix);
  const double bytes = v * u->factor;
  if (bytes < 0) return wrong(text, "is negative", kSizeFix);
  if (bytes > 1e15) return wrong(text, "is too large", kSizeFix);
  if (bytes != std::floor(bytes)) return wrong(text, "is no whole number of bytes", kSizeFix);
  return static_cast<std::uint64_t>(bytes);
}

Read<double> readShare(std::string_view text) {
  constexpr const char* kFix = "write a share such as 21% or 0.21";
  const auto parts = split(text);
  if (!parts || (!parts->second.empty() && parts->second != "%")) return wrong(text, "is no share", kFix);
  return parts->second == "%" ? parts->first / 100 : parts->first;
}

Read<std::int64_t> readCount(std::string_view text) {
  std::int64_t v = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, v);
  if (error == std::errc() && stop == end) return v;
  return wrong(text, "is no whole number", "write digits alone, such as 8");
}

Read<double> readNumber(std::string_view text) {
  const auto parts = split(text);
  if (!parts || !parts->second.empty()) return wrong(text, "is no number", "write a number such as 2.5");
  return parts->first;
}

Read<bool> readFlag(std::string_view text) {
  for (const char* yes : {"yes", "on", "true"})
    if (text == yes) return true;
  for (const char* no : {"no", "off", "false"})
    if (text == no) return false;
  return wrong(text, "is neither yes nor no", "write yes or no");
}

std::string writeTime(std::chrono::microseconds t) {
  const auto us = t.count();
  if (us == 0) return "0";
  if (us % 3600000000 == 0) return std::to_string(us / 3600000000) + "h";
  if (us % 60000000 == 0) return std::to_string(us / 60000000) + "min";
  if (us % 1000000 == 0) return std::to_string(us / 1000000) + "s";
  if (us % 1000 == 0) return std::to_string(us / 1000) + "ms";
  return std::to_string(us) + "us";
}

std::string writeSize(std::uint64_t bytes) {
  for (const Unit* u = std::end(kSizes) - 1; u != kSizes; --u) {
    const auto factor = static_cast<std::uint64_t>(u->factor);
    if (bytes > 0 && bytes % factor == 0) return std::to_string(bytes / factor) + std::string(u->name);
  }
  return std::to_string(bytes) + "B";
}

std::string nearestWord(std::string_view word, const std::string* first, const std::string* last) {
  std::size_t least = 3;
  std::string found;
  for (; first != last; ++first) {
    // Levenshtein's distance, a row at a time.
    std::vector<std::size_t> row(first->size() + 1);
    for (std::size_t k = 0; k < row.size(); ++k) row[k] = k;
    for (std::size_t i = 0; i < word.size(); ++i) {
      std::size_t diagonal = row[0];
      row[0] = i + 1;
      for (std::size_t k = 1; k < row.size(); ++k) {
        const std::size_t replaced = diagonal + (word[i] != (*first)[k - 1]);
        diagonal = row[k];
        row[k] = std::min({row[k] + 1, row[k - 1] + 1, replaced});
      }
    }
    if (row.back() < least) {
      least = row.back();
      found = *first;
    }
  }
  return found;
}

}  // namespace sablespur
