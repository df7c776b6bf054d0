#include "app/local_socket.hpp"

#include <cstring>
#include <stdexcept>

namespace sablespur {

sockaddr_un localSocketAddress(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path)
    throw std::runtime_error("key [status] socket: the path has " + std::to_string(path.size()) +
                             " bytes; the system allows " + std::to_string(sizeof address.sun_path - 1));
  std::memcpy(address.sun_path, path.data(), path.size());
  return address;
}

}  // namespace sablespur
