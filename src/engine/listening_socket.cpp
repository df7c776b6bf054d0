#include "engine/listening_socket.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>

#include "engine/system_calls.hpp"

namespace sablespur {
namespace {

bool enableOption(const FileDescriptor& socket, int option) {
  const int on = 1;
  return setsockopt(socket.get(), SOL_SOCKET, option, &on, sizeof on) == 0;
}

bool startListening(const FileDescriptor& socket, const Address& address, int backlog, PortSharing sharing) {
  if (!enableOption(socket, SO_REUSEADDR)) return false;
  if (sharing == PortSharing::Shared && !enableOption(socket, SO_REUSEPORT)) return false;
  if (bind(socket.get(), address.data(), address.size()) != 0) return false;
  return listen(socket.get(), backlog) == 0;
}

}  // namespace

FileDescriptor openListeningSocket(const Address& address, int backlog, PortSharing sharing,
                                   const char* settingsKey) {
  FileDescriptor socket(systemCalls().socket(address.v6() ? AF_INET6 : AF_INET));
  if (!socket || !startListening(socket, address, backlog, sharing))
    throw std::runtime_error(std::string("key ") + settingsKey + ": " + std::strerror(errno));
  return socket;
}

}  // namespace sablespur
