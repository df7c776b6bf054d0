// The PROXY protocol, versions 1 and 2: a header with which a proxy or load balancer in front of
// this one passes on the client's address before the client's first byte. Pure. Source: "The PROXY
// protocol, Versions 1 & 2", haproxy.org, proxy-protocol.txt, sections 2.1 and 2.2.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "support/address.hpp"

namespace sablespur::proxy_protocol {

constexpr std::size_t kMaxVersion1Size = 107;    // "PROXY ... \r\n", section 2.1
constexpr std::size_t kVersion2HeaderSize = 16;  // signature, version and command, family, length
// Includes the type-length-value fields, which are skipped. The specification allows 64 KiB.
constexpr std::size_t kMaxVersion2Size = 2048;

struct Header {
  std::size_t length = 0;  // bytes of the whole header; 0 while it is incomplete
  bool malformed = false;  // not a PROXY header; the connection must be closed
  // The client's address. std::nullopt if the sending proxy opened the connection for itself
  // (LOCAL) or does not pass on an IP address (UNKNOWN, UNSPEC, a UNIX socket); the address of the
  // connection then applies.
  std::optional<Address> client;
};
// Parses the first bytes of a connection, as far as they have arrived. Type-length-value fields are
// skipped.
Header parse(std::string_view bytes);

// Return the header for a connection from `client` to `server`, which must be of the same address
// family.
std::string formatVersion1(const Address& client, const Address& server);
std::string formatVersion2(const Address& client, const Address& server);

}  // namespace sablespur::proxy_protocol
