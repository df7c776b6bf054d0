// FNV-1a, 64 bits: the same value for the same bytes in every process and version.
#pragma once

#include <cstdint>
#include <string_view>

namespace sablespur {

inline std::uint64_t fnv1a64(std::string_view bytes) {
  std::uint64_t hash = 0xcbf29ce484222325ull;
  for (const unsigned char byte : bytes) {
    hash ^= byte;
    hash *= 0x100000001b3ull;
  }
  return hash;
}

}  // namespace sablespur
