// The digests that PostgreSQL's logins are made of, computed by OpenSSL. Pure.
#pragma once

#include <string>
#include <string_view>

namespace sablespur::auth {

std::string sha256(std::string_view text);                            // 32 bytes
std::string hmacSha256(std::string_view key, std::string_view text);  // 32 bytes
std::string md5Hex(std::string_view text);                            // 32 hexadecimal digits, lower case

}  // namespace sablespur::auth
