// Addresses of local (AF_UNIX) sockets.
#pragma once

#include <sys/socket.h>
#include <sys/un.h>

#include <string>

namespace sablespur {

// Throws std::runtime_error, naming the key [status] socket, if the path is longer than the system
// allows.
sockaddr_un localSocketAddress(const std::string& path);

// Returns the address in the form that bind() and connect() take; valid as long as the argument.
inline const sockaddr* asSocketAddress(const sockaddr_un& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace sablespur
