#include "support/secret.hpp"

#include <sys/random.h>

#include <cerrno>
#include <stdexcept>

namespace sablespur {

std::string randomBytes(std::size_t n) {
  std::string bytes(n, '\0');
  for (std::size_t at = 0; at < n;) {
    const ssize_t got = getrandom(bytes.data() + at, n - at, 0);
    if (got > 0)
      at += static_cast<std::size_t>(got);
    else if (errno != EINTR)
      throw std::runtime_error("the system has no random numbers for keys");
  }
  return bytes;
}

bool sameSecret(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  volatile unsigned char differ =
      0;  // volatile: guards against a compiler that leaves at the first difference
  for (std::size_t k = 0; k < a.size(); ++k) differ = differ | static_cast<unsigned char>(a[k] ^ b[k]);
  return differ == 0;
}

}  // namespace sablespur
