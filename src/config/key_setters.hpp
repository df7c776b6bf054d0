// What the tables of keys share: units of their bounds, and the values of a key as the types that setters
// want.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "auth/method.hpp"
#include "config/keys.hpp"

namespace sablespur::key_tables {

// Durations are bounded in microseconds.
constexpr double kMillisecond = 1e3;
constexpr double kSecond = 1e6;
constexpr double kHour = 3600e6;

// The value as the type that its KeyKind is read into.
template <typename T>
const T& as(const KeyValue& value) {
  return std::get<T>(value);
}
inline const std::string& text(const KeyValue& value) { return as<std::string>(value); }
inline Time duration(const KeyValue& value) { return as<Time>(value); }
inline std::size_t byteCount(const KeyValue& value) {
  return static_cast<std::size_t>(as<std::uint64_t>(value));
}
// KeyKind::Count; the key's bounds keep it within T.
template <typename T>
T integer(const KeyValue& value) {
  return static_cast<T>(as<std::int64_t>(value));
}

// The login methods among the words. Unknown words are left out; the check of the whole file reports them.
std::vector<auth::Method> loginMethods(const KeyValue& value);

}  // namespace sablespur::key_tables
