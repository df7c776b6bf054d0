#include "support/address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cstring>

namespace sablespur {
namespace {

std::optional<std::uint16_t> parsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || stop != end) return std::nullopt;
  return port;
}

bool isBracketed(std::string_view host) {
  return host.size() > 2 && host.front() == '[' && host.back() == ']';
}

}  // namespace

void Address::setV4(const in_addr& host, std::uint16_t port) {
  socketAddress_.v4.sin_family = AF_INET;
  socketAddress_.v4.sin_port = htons(port);
  socketAddress_.v4.sin_addr = host;
}

void Address::setV6(const in6_addr& host, std::uint16_t port) {
  socketAddress_.v6.sin6_family = AF_INET6;
  socketAddress_.v6.sin6_port = htons(port);
  socketAddress_.v6.sin6_addr = host;
}

std::optional<Address> Address::parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  const std::string_view host = text.substr(0, colon);
  Address address;
  if (isBracketed(host)) {
    const std::string v6Host(host.substr(1, host.size() - 2));
    in6_addr bytes = {};
    if (inet_pton(AF_INET6, v6Host.c_str(), &bytes) != 1) return std::nullopt;
    address.setV6(bytes, *port);
  } else {
    const std::string v4Host(host);
    in_addr bytes = {};
    if (inet_pton(AF_INET, v4Host.c_str(), &bytes) != 1) return std::nullopt;
    address.setV4(bytes, *port);
  }
  return address;
}

Address Address::fromBytes(std::string_view bytes, std::uint16_t port) {
  Address address;
  if (bytes.size() == sizeof(in_addr)) {
    in_addr host = {};
    std::memcpy(&host, bytes.data(), sizeof host);
    address.setV4(host, port);
  } else if (bytes.size() == sizeof(in6_addr)) {
    in6_addr host = {};
    std::memcpy(&host, bytes.data(), sizeof host);
    address.setV6(host, port);
  }
  return address;
}

Address Address::fromSocket(const sockaddr* from) {
  Address address;
  if (from->sa_family == AF_INET)
    std::memcpy(&address.socketAddress_.v4, from, sizeof address.socketAddress_.v4);
  if (from->sa_family == AF_INET6)
    std::memcpy(&address.socketAddress_.v6, from, sizeof address.socketAddress_.v6);
  return address;
}

std::uint16_t Address::port() const {
  return ntohs(v6() ? socketAddress_.v6.sin6_port : socketAddress_.v4.sin_port);
}

std::string Address::text() const {
  if (none()) return {};
  char host[INET6_ADDRSTRLEN] = {};
  const std::string portText = ":" + std::to_string(port());
  if (v6()) {
    inet_ntop(AF_INET6, &socketAddress_.v6.sin6_addr, host, sizeof host);
    return "[" + std::string(host) + "]" + portText;
  }
  inet_ntop(AF_INET, &socketAddress_.v4.sin_addr, host, sizeof host);
  return host + portText;
}

bool operator==(const Address& a, const Address& b) {
  if (a.socketAddress_.any.sa_family != b.socketAddress_.any.sa_family) return false;
  if (a.none()) return true;
  if (a.port() != b.port()) return false;
  if (a.v6())
    return std::memcmp(&a.socketAddress_.v6.sin6_addr, &b.socketAddress_.v6.sin6_addr, sizeof(in6_addr)) == 0;
  return a.socketAddress_.v4.sin_addr.s_addr == b.socketAddress_.v4.sin_addr.s_addr;
}

}  // namespace sablespur
