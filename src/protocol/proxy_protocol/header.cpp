#include "protocol/proxy_protocol/header.hpp"

#include <algorithm>
#include <charconv>
#include <vector>

namespace sablespur::proxy_protocol {
namespace {

constexpr std::string_view kSignature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr std::string_view kVersion1Prefix = "PROXY ";

// Whether `bytes` start with `prefix`, as far as they have arrived.
bool matchesPrefix(std::string_view bytes, std::string_view prefix) {
  const std::size_t n = std::min(bytes.size(), prefix.size());
  return bytes.substr(0, n) == prefix.substr(0, n);
}
Header malformedHeader() {
  Header h;
  h.malformed = true;
  return h;
}
bool isValidPort(std::string_view text) {
  unsigned v = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, v);
  // Section 2.1: a decimal number from 0 to 65535 without leading zeros.
  return error == std::errc() && stop == end && v <= 65535 && (text.size() == 1 || text[0] != '0');
}

// Example: "PROXY TCP4 203.0.113.7 10.0.0.1 51000 5432\r\n"
Header parseVersion1(std::string_view bytes) {
  const std::size_t end = bytes.substr(0, kMaxVersion1Size).find("\r\n");
  if (end == std::string_view::npos) return bytes.size() < kMaxVersion1Size ? Header() : malformedHeader();
  std::vector<std::string_view> fields;
  std::string_view line = bytes.substr(0, end);
  for (std::size_t at = 0; at <= line.size();) {
    const std::size_t stop = std::min(line.find(' ', at), line.size());
    fields.push_back(line.substr(at, stop - at));
    at = stop + 1;
  }
  Header h;
  h.length = end + 2;
  if (fields.size() >= 2 && fields[1] == "UNKNOWN")
    return h;  // section 2.1: the rest of the line must be ignored
  if (fields.size() != 6 || (fields[1] != "TCP4" && fields[1] != "TCP6")) return malformedHeader();
  const bool ipv6 = fields[1] == "TCP6";
  const auto address = [&](std::string_view host, std::string_view port) -> std::optional<Address> {
    if (!isValidPort(port) || (host.find(':') != std::string_view::npos) != ipv6) return std::nullopt;
    return Address::parse((ipv6 ? "[" : "") + std::string(host) + (ipv6 ? "]:" : ":") + std::string(port));
  };
  h.client = address(fields[2], fields[4]);
  if (!h.client || !address(fields[3], fields[5])) return malformedHeader();
  return h;
}

// Section 2.2: signature, 0x2V, family and transport, length, addresses, TLVs.
Header parseVersion2(std::string_view bytes) {
  if (bytes.size() < kVersion2HeaderSize) return {};
  const auto byte = [&](std::size_t k) { return static_cast<unsigned char>(bytes[k]); };
  const std::size_t body = static_cast<std::size_t>(byte(14)) << 8 | byte(15);
  const unsigned version = byte(12) >> 4;
  const unsigned command = byte(12) & 15;
  const unsigned family = byte(13) >> 4;
  if (version != 2 || command > 1 || kVersion2HeaderSize + body > kMaxVersion2Size) return malformedHeader();
  if (bytes.size() < kVersion2HeaderSize + body) return {};
  Header h;
  h.length = kVersion2HeaderSize + body;
  if (command == 0) return h;  // LOCAL: sent by the proxy itself, such as for a health check
  const std::size_t addressSize = family == 1 ? 4 : family == 2 ? 16 : 0;
  if (addressSize == 0) return h;  // UNSPEC or a UNIX socket: no address to read
  if (body < 2 * addressSize + 4) return malformedHeader();
  const std::size_t port = kVersion2HeaderSize + 2 * addressSize;
  h.client = Address::fromBytes(bytes.substr(kVersion2HeaderSize, addressSize),
                                static_cast<std::uint16_t>(byte(port) << 8 | byte(port + 1)));
  return h;
}

std::string host(const Address& a) {
  const std::string text = a.text();
  const std::size_t colon = text.rfind(':');
  return a.v6() ? text.substr(1, colon - 2) : text.substr(0, colon);
}
// Returns 4 or 16 bytes in network byte order.
std::string addressBytes(const Address& a) {
  if (a.v6()) {
    const auto* const in = reinterpret_cast<const sockaddr_in6*>(a.data());
    return {reinterpret_cast<const char*>(&in->sin6_addr), 16};
  }
  const auto* const in = reinterpret_cast<const sockaddr_in*>(a.data());
  return {reinterpret_cast<const char*>(&in->sin_addr), 4};
}

}  // namespace

Header parse(std::string_view bytes) {
  if (matchesPrefix(bytes, kSignature)) return parseVersion2(bytes);
  if (matchesPrefix(bytes, kVersion1Prefix)) return parseVersion1(bytes);
  return malformedHeader();
}

std::string formatVersion1(const Address& client, const Address& server) {
  return "PROXY TCP" + std::string(client.v6() ? "6 " : "4 ") + host(client) + " " + host(server) + " " +
         std::to_string(client.port()) + " " + std::to_string(server.port()) + "\r\n";
}

std::string formatVersion2(const Address& client, const Address& server) {
  std::string s(kSignature);
  const std::string source = addressBytes(client);
  const std::string destination = addressBytes(server);
  const std::size_t body = source.size() + destination.size() + 2 * sizeof(std::uint16_t);
  s += '\x21';
  s += client.v6() ? '\x21' : '\x11';
  s += static_cast<char>(body >> 8);
  s += static_cast<char>(body);
  s += source + destination;
  for (const std::uint16_t port : {client.port(), server.port()}) {
    s += static_cast<char>(port >> 8);
    s += static_cast<char>(port);
  }
  return s;
}

}  // namespace sablespur::proxy_protocol
