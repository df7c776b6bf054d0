// Helpers of the key tables: units for bounds, and conversions of key values to the types of the
// settings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "auth/method.hpp"
#include "config/keys.hpp"

namespace sablespur::key_tables {

// Bounds of durations are in microseconds.
constexpr double kMillisecond = 1e3;
constexpr double kSecond = 1e6;
constexpr double kHour = 3600e6;

// Returns the value as T, which must be the type that its KeyKind is read into.
template <typename T>
const T& as(const KeyValue& value) {
  return std::get<T>(value);
}
inline const std::string& text(const KeyValue& value) { return as<std::string>(value); }
inline Time duration(const KeyValue& value) { return as<Time>(value); }
inline std::size_t byteCount(const KeyValue& value) {
  return static_cast<std::size_t>(as<std::uint64_t>(value));
}
// Converts a KeyKind::Count. The bounds of the key must guarantee that it fits into T.
template <typename T>
T integer(const KeyValue& value) {
  return static_cast<T>(as<std::int64_t>(value));
}

// Returns the login methods named in the list. Unknown words are skipped; loadCredentials() reports
// them.
std::vector<auth::Method> loginMethods(const KeyValue& value);

}  // namespace sablespur::key_tables
