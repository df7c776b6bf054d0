#include "support/secret.hpp"

#include <sys/random.h>

#include <cerrno>
#include <stdexcept>

namespace sablespur {

std::string randomBytes(std::size_t count) {
  std::string bytes(count, '\0');
  std::size_t filled = 0;
  while (filled < count) {
    const ssize_t got = getrandom(bytes.data() + filled, count - filled, 0);
    if (got > 0)
      filled += static_cast<std::size_t>(got);
    else if (errno != EINTR)
      throw std::runtime_error("the system's random number generator failed");
  }
  return bytes;
}

bool sameSecret(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  // volatile keeps the compiler from ending the loop at the first difference.
  volatile unsigned char difference = 0;
  for (std::size_t k = 0; k < a.size(); ++k)
    difference = difference | static_cast<unsigned char>(a[k] ^ b[k]);
  return difference == 0;
}

}  // namespace sablespur
