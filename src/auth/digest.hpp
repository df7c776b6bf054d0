// The digests used in PostgreSQL's password authentication, computed by OpenSSL. Pure functions.
#pragma once

#include <string>
#include <string_view>

namespace sablespur::auth {

std::string sha256(std::string_view text);                            // returns 32 bytes
std::string hmacSha256(std::string_view key, std::string_view text);  // returns 32 bytes
std::string md5Hex(std::string_view text);                            // 32 lower-case hex digits

}  // namespace sablespur::auth
