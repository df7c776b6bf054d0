// Secrets: unguessable bytes, and comparing without telling where two differ.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sablespur {

std::string randomBytes(
    std::size_t n);  // of the system's generator for keys; throws std::runtime_error without it
bool sameSecret(std::string_view a, std::string_view b);  // in a time that hangs on the lengths alone

}  // namespace sablespur
