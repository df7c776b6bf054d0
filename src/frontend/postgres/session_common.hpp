// Definitions shared by the source files of Session: codecs of the protocol versions, error
// construction and the read-ahead limit.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "engine/clock.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres2/codec.hpp"
#include "translation/terms.hpp"

namespace sablespur {

inline const postgres::Codec kVersion30(0);
inline const postgres::Codec kVersion32(2);
inline const postgres2::Codec kVersion20;

// Maximum number of bytes that are buffered before the type and length of a message are known.
constexpr std::size_t kReadAhead = 16 << 10;

// Bytes at the end of a statement that are searched for its comment.
constexpr std::size_t kCommentSearchLength = 512;

inline translation::ErrorReport makeErrorReport(const char* severity, const char* code,
                                                std::string_view text) {
  translation::ErrorReport report;
  report.severity = severity;
  report.code = code;
  report.text = std::string(text);
  return report;
}

// Converts a Retry-After to milliseconds for an error, rounded up; std::nullopt if it is zero.
inline std::optional<std::uint32_t> retryAfterMs(Clock::Time retryAfter) {
  const auto ms = (retryAfter.count() + 999) / 1000;
  if (ms <= 0) return std::nullopt;
  return static_cast<std::uint32_t>(ms);
}

}  // namespace sablespur
