// Random bytes for keys, and comparison of secrets in constant time.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sablespur {

// Returns `count` bytes from the system's cryptographic random number generator. Throws
// std::runtime_error if it is not available.
std::string randomBytes(std::size_t count);
// Returns whether both are equal, in a time that depends only on their lengths.
bool sameSecret(std::string_view a, std::string_view b);

}  // namespace sablespur
