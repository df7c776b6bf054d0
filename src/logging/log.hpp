// The program's log, on spdlog: one function, a line an event, on standard error, rate-limited.
//
// An event has a name (lower case, words joined by _, its subject first: "discovery_watch_closed") and
// fields. A value may hold anything, bytes from the network included: what would break the line or its form
// is escaped, and what is longer than kLongestValue is cut. Secrets are never fields. Not thread-safe: the
// loop's thread logs, workers hand their events to it.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace sablespur {

enum class LogForm { Logfmt, Json };
enum class LogLevel { Trace, Debug, Info, Warning, Error };

struct LogField {
  template <typename T, std::enable_if_t<std::is_integral_v<T> && !std::is_same_v<T, bool>, int> = 0>
  LogField(std::string_view n, T v) : name(n), value(static_cast<std::int64_t>(v)) {}
  LogField(std::string_view n, bool v) : name(n), value(v) {}
  LogField(std::string_view n, double v) : name(n), value(v) {}
  LogField(std::string_view n, std::string_view v) : name(n), value(v) {}
  LogField(std::string_view n, const char* v) : name(n), value(std::string_view(v)) {}
  LogField(std::string_view n, const std::string& v) : name(n), value(std::string_view(v)) {}

  std::string_view name;
  std::variant<std::int64_t, double, bool, std::string_view> value;
};

constexpr std::size_t kLongestValue = 400;

// Until the first call: logfmt, from Info on. May be called again; later lines follow it.
void setLog(LogForm, LogLevel least);

// Writes one line. Guards against a log that grows with a trouble's size: beyond a burst of 50, lines over 10
// a second are counted, and the count goes out as an event of its own ("log_lines_dropped") before the next
// line. Lines of level Trace are what a day is counted from: they are all written, or none, and whoever has
// them to write asks tracing() first.
bool tracing();
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> = {});

// The line without time and level, as both forms write it; for tests and tools.
std::string formatEvent(LogForm, std::string_view event, std::initializer_list<LogField>);

}  // namespace sablespur
