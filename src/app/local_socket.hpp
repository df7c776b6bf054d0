// Addresses of local (AF_UNIX) sockets.
#pragma once

#include <sys/socket.h>
#include <sys/un.h>

#include <string>

namespace sablespur {

// Throws std::runtime_error naming [status] socket where the path is longer than the system takes.
sockaddr_un localSocketAddress(const std::string& path);

// The address as bind() and connect() take it; it lives as long as its argument.
inline const sockaddr* asSocketAddress(const sockaddr_un& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace sablespur
