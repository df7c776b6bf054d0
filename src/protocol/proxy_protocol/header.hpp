// The PROXY protocol, versions 1 and 2: what a front that hides its clients' addresses says before their
// first byte. Pure. Source: "The PROXY protocol, Versions 1 & 2", haproxy.org, proxy-protocol.txt,
// sections 2.1, 2.2.
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
  std::size_t length = 0;  // of the header, in bytes; 0: more of it has to come
  bool malformed = false;  // what stands there is none; the connection is to be closed
  // Who connected to the front. Nothing: the front speaks for itself (LOCAL), or does not know (UNKNOWN,
  // UNSPEC, a UNIX socket); then the connection's own address counts.
  std::optional<Address> client;
};
// From the first bytes of a connection, as many as have come.
Header parse(std::string_view bytes);

std::string formatVersion1(const Address& client, const Address& server);
std::string formatVersion2(const Address& client, const Address& server);

}  // namespace sablespur::proxy_protocol
