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

bool plain(std::string_view v) {
  return !v.empty() && std::all_of(v.begin(), v.end(), [](unsigned char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  });
}

// One escaping for both forms, that of JSON. Bytes beyond ASCII come from anywhere and need not be UTF-8, so
// they are written as the code points of Latin-1: the line stays valid whatever it quotes.
void quoted(Text& to, std::string_view v) {
  to.push_back('"');
  for (const char c : v.substr(0, kLongestValue)) {
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
  if (v.size() > kLongestValue) fmt::format_to(std::back_inserter(to), "...");
  to.push_back('"');
}

struct Value {
  LogForm form;
  Text& to;
  void operator()(std::int64_t v) const { fmt::format_to(std::back_inserter(to), "{}", v); }
  void operator()(bool v) const { fmt::format_to(std::back_inserter(to), "{}", v); }
  void operator()(double v) const {
    if (std::isfinite(v))
      fmt::format_to(std::back_inserter(to), "{:.6g}", v);
    else
      quoted(to, fmt::format("{}", v));  // JSON has no number for it
  }
  void operator()(std::string_view v) const {
    if (form == LogForm::Logfmt && v.size() <= kLongestValue && plain(v))
      to.append(v.data(), v.data() + v.size());
    else
      quoted(to, v);
  }
};

void write(Text& to, LogForm form, std::string_view event, const LogField* first, const LogField* last) {
  const bool json = form == LogForm::Json;
  fmt::format_to(std::back_inserter(to), json ? "\"event\":\"{}\"" : "event={}", event);
  for (; first != last; ++first) {
    fmt::format_to(std::back_inserter(to), json ? ",\"{}\":" : " {}=", first->name);
    std::visit(Value{form, to}, first->value);
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
    set(LogForm::Logfmt, LogLevel::Info);
  }
  void set(LogForm form, LogLevel least) {
    form_ = form;
    logger_.set_level(toSpdlog(least));
    tracing_ = least == LogLevel::Trace;
    const char* const pattern = form == LogForm::Json
                                    ? "{\"ts\":\"%Y-%m-%dT%H:%M:%S.%eZ\",\"level\":\"%l\",%v}"
                                    : "ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";
    logger_.set_pattern(pattern, spdlog::pattern_time_type::utc);
  }
  bool tracing() const { return tracing_; }
  void line(LogLevel level, std::string_view event, const LogField* first, const LogField* last) {
    if (!logger_.should_log(toSpdlog(level))) return;
    if (level == LogLevel::Trace) return put(level, event, first, last);
    const Clock::time_point now = Clock::now();
    allowance_ =
        std::min(kBurst, allowance_ + kPerSecond * std::chrono::duration<double>(now - last_).count());
    last_ = now;
    if (allowance_ < 1) {
      ++dropped_;
      return;
    }
    allowance_ -= 1;
    if (dropped_ > 0) {
      const LogField count("count", dropped_);
      put(LogLevel::Warning, "log_lines_dropped", &count, &count + 1);
      dropped_ = 0;
    }
    put(level, event, first, last);
  }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr double kBurst = 50, kPerSecond = 10;

  void put(LogLevel level, std::string_view event, const LogField* first, const LogField* last) {
    Text text;
    write(text, form_, event, first, last);
    logger_.log(toSpdlog(level), spdlog::string_view_t(text.data(), text.size()));
  }

  spdlog::logger logger_;
  LogForm form_ = LogForm::Logfmt;
  bool tracing_ = false;
  double allowance_ = kBurst;
  std::int64_t dropped_ = 0;
  Clock::time_point last_ = Clock::now();
};

Log& theLog() {
  static Log log;
  return log;
}

}  // namespace

void setLog(LogForm form, LogLevel least) { theLog().set(form, least); }

bool tracing() { return theLog().tracing(); }

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  theLog().line(level, event, fields.begin(), fields.end());
}

std::string formatEvent(LogForm form, std::string_view event, std::initializer_list<LogField> fields) {
  Text text;
  write(text, form, event, fields.begin(), fields.end());
  return fmt::to_string(text);
}

}  // namespace sablespur
