// The program's log, written with spdlog to standard error: one line per event, rate-limited.
//
// An event has a name (lower case, words joined by _, subject first: "discovery_watch_closed") and
// fields. Values may contain arbitrary bytes, also from the network: characters that would break
// the line or its format are escaped, and values longer than kMaxValueLength are truncated. Secrets
// must never be fields. Not thread-safe: only the event loop's thread logs, and worker threads pass
// their events to it.
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

constexpr std::size_t kMaxValueLength = 400;  // in bytes, before escaping

// Sets the format and the lowest level of the lines that follow. The defaults are Logfmt and Info.
void setLog(LogForm, LogLevel minLevel);

// Returns whether lines of level Trace are written. Callers check it before they log such lines.
bool tracing();
// Writes one line. So that the log does not grow with the size of an incident, a burst of 50 lines
// and then 10 lines per second are written; further lines are counted, and the count is logged as
// an event ("log_lines_dropped") before the next line. Lines of level Trace are exempt from this
// limit, since tools count requests by them and need all of them.
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> = {});

// Returns the line without time and level, in the given format; for tests and tools.
std::string formatEvent(LogForm, std::string_view event, std::initializer_list<LogField>);

}  // namespace sablespur
