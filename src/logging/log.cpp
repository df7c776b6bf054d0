#include "logging/log.hpp"

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace sablespur {
namespace {

using Text = fmt::memory_buffer;

bool needsNoQuotes(std::string_view v) {
  return !v.empty() && std::all_of(v.begin(), v.end(), [](unsigned char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  });
}

// Appends a quoted value. Both formats use the escaping of JSON. Bytes beyond ASCII may not be
// valid UTF-8, so they are escaped as Latin-1 code points, which keeps the line valid for any
// input.
void appendQuoted(Text& to, std::string_view v) {
  to.push_back('"');
  for (const char c : v.substr(0, kMaxValueLength)) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      to.push_back('\\');
      to.push_back(c);
    } else if (c == '\n') {
      fmt::format_to(std::back_inserter(to), "\\n");
    } else if (byte < ' ' || byte >= 0x7f) {
      fmt::format_to(std::back_inserter(to), "\\u{:04x}", byte);
    } else {
      to.push_back(c);
    }
  }
  if (v.size() > kMaxValueLength) fmt::format_to(std::back_inserter(to), "...");
  to.push_back('"');
}

struct ValueAppender {
  LogForm form;
  Text& to;
  void operator()(std::int64_t v) const { fmt::format_to(std::back_inserter(to), "{}", v); }
  void operator()(bool v) const { fmt::format_to(std::back_inserter(to), "{}", v); }
  void operator()(double v) const {
    if (std::isfinite(v))
      fmt::format_to(std::back_inserter(to), "{:.6g}", v);
    else
      appendQuoted(to, fmt::format("{}", v));  // JSON has no literal for infinity and NaN
  }
  void operator()(std::string_view v) const {
    if (form == LogForm::Logfmt && v.size() <= kMaxValueLength && needsNoQuotes(v))
      to.append(v.data(), v.data() + v.size());
    else
      appendQuoted(to, v);
  }
};

void appendEvent(Text& to, LogForm form, std::string_view event, const LogField* first,
                 const LogField* last) {
  const bool json = form == LogForm::Json;
  fmt::format_to(std::back_inserter(to), json ? "\"event\":\"{}\"" : "event={}", event);
  for (; first != last; ++first) {
    fmt::format_to(std::back_inserter(to), json ? ",\"{}\":" : " {}=", first->name);
    std::visit(ValueAppender{form, to}, first->value);
  }
}

spdlog::level::level_enum toSpdlog(LogLevel l) {
  switch (l) {
    case LogLevel::Trace:
      return spdlog::level::trace;
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    default:
      return spdlog::level::err;
  }
}

class Log {
 public:
  Log() : logger_("sablespur", std::make_shared<spdlog::sinks::stderr_sink_st>()) {
    logger_.flush_on(spdlog::level::trace);
    configure(LogForm::Logfmt, LogLevel::Info);
  }
  void configure(LogForm form, LogLevel minLevel) {
    form_ = form;
    logger_.set_level(toSpdlog(minLevel));
    tracing_ = minLevel == LogLevel::Trace;
    const char* const pattern = form == LogForm::Json
                                    ? "{\"ts\":\"%Y-%m-%dT%H:%M:%S.%eZ\",\"level\":\"%l\",%v}"
                                    : "ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";
    logger_.set_pattern(pattern, spdlog::pattern_time_type::utc);
  }
  bool tracing() const { return tracing_; }
  void writeLimited(LogLevel level, std::string_view event, const LogField* first, const LogField* last) {
    if (!logger_.should_log(toSpdlog(level))) return;
    if (level == LogLevel::Trace) return write(level, event, first, last);
    const Clock::time_point now = Clock::now();
    tokens_ = std::min(kBurst,
                       tokens_ + kLinesPerSecond * std::chrono::duration<double>(now - refilledAt_).count());
    refilledAt_ = now;
    if (tokens_ < 1) {
      ++dropped_;
      return;
    }
    tokens_ -= 1;
    if (dropped_ > 0) {
      const LogField count("count", dropped_);
      write(LogLevel::Warning, "log_lines_dropped", &count, &count + 1);
      dropped_ = 0;
    }
    write(level, event, first, last);
  }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr double kBurst = 50, kLinesPerSecond = 10;

  void write(LogLevel level, std::string_view event, const LogField* first, const LogField* last) {
    Text text;
    appendEvent(text, form_, event, first, last);
    logger_.log(toSpdlog(level), spdlog::string_view_t(text.data(), text.size()));
  }

  spdlog::logger logger_;
  LogForm form_ = LogForm::Logfmt;
  bool tracing_ = false;
  double tokens_ = kBurst;
  std::int64_t dropped_ = 0;
  Clock::time_point refilledAt_ = Clock::now();
};

Log& globalLog() {
  static Log log;
  return log;
}

}  // namespace

void setLog(LogForm form, LogLevel minLevel) { globalLog().configure(form, minLevel); }

bool tracing() { return globalLog().tracing(); }

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  globalLog().writeLimited(level, event, fields.begin(), fields.end());
}

std::string formatEvent(LogForm form, std::string_view event, std::initializer_list<LogField> fields) {
  Text text;
  appendEvent(text, form, event, fields.begin(), fields.end());
  return fmt::to_string(text);
}

}  // namespace sablespur
