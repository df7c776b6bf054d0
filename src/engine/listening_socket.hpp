// Opens TCP sockets that listen.
#pragma once

#include "engine/file_descriptor.hpp"
#include "support/address.hpp"

namespace sablespur {

// Whether another process may listen at the same address (SO_REUSEPORT).
enum class PortSharing { Exclusive, Shared };

// A non-blocking socket that listens at `address`. Throws std::runtime_error, which names the settings key of
// the address, if it cannot listen.
FileDescriptor openListeningSocket(const Address& address, int backlog, PortSharing, const char* settingsKey);

}  // namespace sablespur
