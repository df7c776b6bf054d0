// The PROXY protocol, versions 1 and 2: a header in which a proxy in front of this one names the client's
// address before the client's first byte. Pure. Source: "The PROXY protocol, Versions 1 & 2", haproxy.org,
// proxy-protocol.txt, sections 2.1 and 2.2.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "support/address.hpp"

namespace sablespur::proxy_protocol {

constexpr std::size_t kMaxVersion1Size = 107;    // "PROXY ... \r\n", section 2.1
constexpr std::size_t kVersion2HeaderSize = 16;  // signature, version and command, family, length
constexpr std::size_t kMaxVersion2Size =
    2048;  // with its TLVs, which are passed over; the specification allows 64 KiB

struct Header {
  std::size_t length = 0;  // bytes of the whole header; 0 while it is incomplete
  bool malformed = false;  // no PROXY header; the connection is to be closed
  // The client's address. None where the sender speaks for itself (LOCAL) or does not know the client
  // (UNKNOWN, UNSPEC, a UNIX socket); the connection's own address then counts.
  std::optional<Address> client;
};
// Parses the first bytes of a connection, as many as have arrived. Type-length-value fields are skipped.
Header parse(std::string_view bytes);

// The header that a proxy sends for a connection of `client` to `server`; both of one address family.
std::string formatVersion1(const Address& client, const Address& server);
std::string formatVersion2(const Address& client, const Address& server);

}  // namespace sablespur::proxy_protocol
