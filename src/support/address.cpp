#include "support/address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cstring>

namespace sablespur {

std::optional<Address> Address::parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) return std::nullopt;
  std::string host(text.substr(0, colon));
  Address a;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    if (inet_pton(AF_INET6, host.c_str(), &a.v6_.sin6_addr) != 1) return std::nullopt;
    a.v6_.sin6_family = AF_INET6;
    a.v6_.sin6_port = htons(port);
    return a;
  }
  if (inet_pton(AF_INET, host.c_str(), &a.v4_.sin_addr) != 1) return std::nullopt;
  a.v4_.sin_family = AF_INET;
  a.v4_.sin_port = htons(port);
  return a;
}

Address Address::fromBytes(std::string_view bytes, std::uint16_t port) {
  Address a;
  if (bytes.size() == sizeof a.v4_.sin_addr) {
    std::memcpy(&a.v4_.sin_addr, bytes.data(), bytes.size());
    a.v4_.sin_family = AF_INET;
    a.v4_.sin_port = htons(port);
  } else if (bytes.size() == sizeof a.v6_.sin6_addr) {
    std::memcpy(&a.v6_.sin6_addr, bytes.data(), bytes.size());
    a.v6_.sin6_family = AF_INET6;
    a.v6_.sin6_port = htons(port);
  }
  return a;
}

Address Address::fromSocket(const sockaddr* from) {
  Address a;
  if (from->sa_family == AF_INET) std::memcpy(&a.v4_, from, sizeof a.v4_);
  if (from->sa_family == AF_INET6) std::memcpy(&a.v6_, from, sizeof a.v6_);
  return a;
}

std::uint16_t Address::port() const { return ntohs(v6() ? v6_.sin6_port : v4_.sin_port); }

std::string Address::text() const {
  if (none()) return {};
  char host[INET6_ADDRSTRLEN];
  const void* const bytes =
      v6() ? static_cast<const void*>(&v6_.sin6_addr) : static_cast<const void*>(&v4_.sin_addr);
  inet_ntop(any_.sa_family, bytes, host, sizeof host);
  return (v6() ? "[" + std::string(host) + "]" : std::string(host)) + ":" + std::to_string(port());
}

bool operator==(const Address& a, const Address& b) {
  if (a.any_.sa_family != b.any_.sa_family) return false;
  if (a.none()) return true;
  if (a.port() != b.port()) return false;
  return a.v6() ? std::memcmp(&a.v6_.sin6_addr, &b.v6_.sin6_addr, sizeof a.v6_.sin6_addr) == 0
                : a.v4_.sin_addr.s_addr == b.v4_.sin_addr.s_addr;
}

}  // namespace sablespur
