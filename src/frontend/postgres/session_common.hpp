// What the parts of Session share: the codecs of the protocol versions, errors, and the read-ahead.
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

// Bytes read of a client before it is known what is coming.
constexpr std::size_t kReadAhead = 16 << 10;

inline translation::ErrorReport problem(const char* severity, const char* code, std::string_view text) {
  translation::ErrorReport p;
  p.severity = severity;
  p.code = code;
  p.text = std::string(text);
  return p;
}

// Retry-After as errors tell it: milliseconds, rounded up; none for a time of zero.
inline std::optional<std::uint32_t> retryAfterMs(Clock::Time retryAfter) {
  const auto ms = (retryAfter.count() + 999) / 1000;
  if (ms <= 0) return std::nullopt;
  return static_cast<std::uint32_t>(ms);
}

}  // namespace sablespur
