// Opens listening TCP sockets.
#pragma once

#include "engine/file_descriptor.hpp"
#include "support/address.hpp"

namespace sablespur {

// Whether another process may listen at the same address (SO_REUSEPORT).
enum class PortSharing { Exclusive, Shared };

// Returns a non-blocking socket that listens at `address`. On failure throws std::runtime_error
// with the settings key of the address in its message.
FileDescriptor openListeningSocket(const Address& address, int backlog, PortSharing, const char* settingsKey);

}  // namespace sablespur
