// Random bytes for keys, and comparison of secrets in constant time.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sablespur {

// `count` bytes of the system's cryptographic generator. Throws std::runtime_error where it is missing.
std::string randomBytes(std::size_t count);
// Whether both are equal, in a time that depends on the lengths alone.
bool sameSecret(std::string_view a, std::string_view b);

}  // namespace sablespur
