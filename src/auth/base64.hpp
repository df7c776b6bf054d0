// Base64 (RFC 4648 section 4), as used in SCRAM messages and stored secrets. Pure functions.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::auth {

// Length of the longest text that fromBase64 decodes; equal to the limit on SCRAM messages.
constexpr std::size_t kMaxBase64Length = 2048;

std::string toBase64(std::string_view bytes);
// Returns the decoded bytes, or std::nullopt if the text is too long, its length is not a multiple
// of 4 or it contains invalid characters.
std::optional<std::string> fromBase64(std::string_view text);

}  // namespace sablespur::auth
