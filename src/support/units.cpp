#include "support/units.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

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

// Up to these bounds a double represents every whole number exactly.
constexpr double kMaxMicroseconds = 9e15;
constexpr double kMaxBytes = 1e15;

struct Quantity {
  double number = 0;
  std::string_view unit;  // empty: none
};

// Splits a text into its leading number and the unit after it.
std::optional<Quantity> splitQuantity(std::string_view text) {
  Quantity quantity;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, quantity.number, std::chars_format::fixed);
  if (error != std::errc() || !std::isfinite(quantity.number)) return std::nullopt;
  std::string_view rest(stop, static_cast<std::size_t>(end - stop));
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  quantity.unit = rest;
  return quantity;
}

template <std::size_t N>
const Unit* findUnit(const Unit (&units)[N], std::string_view name) {
  for (const Unit& unit : units)
    if (unit.name == name) return &unit;
  return nullptr;
}

ValueError valueError(std::string_view text, const std::string& why, const char* fix) {
  return {"'" + std::string(text) + "' " + why, fix};
}

}  // namespace

ParseResult<std::chrono::microseconds> readTime(std::string_view text) {
  if (text == "0") return std::chrono::microseconds(0);
  const std::optional<Quantity> quantity = splitQuantity(text);
  if (!quantity) return valueError(text, "is not a time", kTimeFix);
  const std::string_view name = quantity->unit;
  if (name.empty()) return valueError(text, "has no unit", kTimeFix);
  const Unit* const unit = findUnit(kTimes, name);
  if (!unit && findUnit(kSizes, name)) return valueError(text, "is a size, and a time is expected", kTimeFix);
  if (!unit) return valueError(text, "has the unknown unit '" + std::string(name) + "'", kTimeFix);
  const double microseconds = quantity->number * unit->factor;
  if (microseconds < 0) return valueError(text, "is negative", kTimeFix);
  if (microseconds > kMaxMicroseconds) return valueError(text, "is too long", kTimeFix);
  return std::chrono::microseconds(static_cast<std::int64_t>(std::llround(microseconds)));
}

ParseResult<std::uint64_t> readSize(std::string_view text) {
  const std::optional<Quantity> quantity = splitQuantity(text);
  if (!quantity) return valueError(text, "is not a size", kSizeFix);
  const std::string_view name = quantity->unit;
  if (name.empty()) return valueError(text, "has no unit", kSizeFix);
  const Unit* const unit = findUnit(kSizes, name);
  if (!unit && findUnit(kTimes, name)) return valueError(text, "is a time, and a size is expected", kSizeFix);
  if (!unit) return valueError(text, "has the unknown unit '" + std::string(name) + "'", kSizeFix);
  const double bytes = quantity->number * unit->factor;
  if (bytes < 0) return valueError(text, "is negative", kSizeFix);
  if (bytes > kMaxBytes) return valueError(text, "is too large", kSizeFix);
  if (bytes != std::floor(bytes)) return valueError(text, "is not a whole number of bytes", kSizeFix);
  return static_cast<std::uint64_t>(bytes);
}

ParseResult<double> readShare(std::string_view text) {
  const std::optional<Quantity> quantity = splitQuantity(text);
  if (!quantity || (!quantity->unit.empty() && quantity->unit != "%"))
    return valueError(text, "is not a share", "write a share such as 21% or 0.21");
  return quantity->unit == "%" ? quantity->number / 100 : quantity->number;
}

ParseResult<std::int64_t> readCount(std::string_view text) {
  std::int64_t count = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, count);
  if (error == std::errc() && stop == end) return count;
  return valueError(text, "is not a whole number", "write only digits, such as 8");
}

ParseResult<double> readNumber(std::string_view text) {
  const std::optional<Quantity> quantity = splitQuantity(text);
  if (!quantity || !quantity->unit.empty())
    return valueError(text, "is not a number", "write a number such as 2.5");
  return quantity->number;
}

ParseResult<bool> readFlag(std::string_view text) {
  for (const char* yes : {"yes", "on", "true"})
    if (text == yes) return true;
  for (const char* no : {"no", "off", "false"})
    if (text == no) return false;
  return valueError(text, "is neither yes nor no", "write yes or no");
}

std::string writeTime(std::chrono::microseconds time) {
  constexpr std::int64_t kMillisecond = 1000;
  constexpr std::int64_t kSecond = 1000 * kMillisecond;
  constexpr std::int64_t kMinute = 60 * kSecond;
  constexpr std::int64_t kHour = 60 * kMinute;
  const std::int64_t count = time.count();
  if (count == 0) return "0";
  if (count % kHour == 0) return std::to_string(count / kHour) + "h";
  if (count % kMinute == 0) return std::to_string(count / kMinute) + "min";
  if (count % kSecond == 0) return std::to_string(count / kSecond) + "s";
  if (count % kMillisecond == 0) return std::to_string(count / kMillisecond) + "ms";
  return std::to_string(count) + "us";
}

std::string writeSize(std::uint64_t bytes) {
  for (const Unit* unit = std::end(kSizes) - 1; unit != kSizes; --unit) {
    const auto factor = static_cast<std::uint64_t>(unit->factor);
    if (bytes > 0 && bytes % factor == 0) return std::to_string(bytes / factor) + std::string(unit->name);
  }
  return std::to_string(bytes) + "B";
}

}  // namespace sablespur
