// Base64 (RFC 4648 section 4), as SCRAM's messages and stored secrets use it. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::auth {

// Longest text that fromBase64 takes; no message of SCRAM is longer.
constexpr std::size_t kMaxBase64Length = 2048;

std::string toBase64(std::string_view bytes);
// The bytes; std::nullopt where the text is too long, of a wrong length or has other characters.
std::optional<std::string> fromBase64(std::string_view text);

}  // namespace sablespur::auth
