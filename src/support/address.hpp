// An IPv4 or IPv6 address with a port, as a value that converts from and to text, DNS data and
// socket addresses.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur {

class Address {
 public:
  // The unspecified address: none() holds, the port is 0 and the text is empty.
  Address() = default;

  // Parses "10.1.0.18:5432" or "[fe80::1]:5432"; std::nullopt for any other text.
  static std::optional<Address> parse(std::string_view text);
  // `bytes` in network byte order, as DNS carries them: 4 for IPv4, 16 for IPv6. Any other length
  // gives an unspecified address.
  static Address fromBytes(std::string_view bytes, std::uint16_t port);
  // Copies an AF_INET or AF_INET6 socket address; any other family gives an unspecified address.
  static Address fromSocket(const sockaddr* from);

  // Whether this is the unspecified address.
  bool none() const { return socketAddress_.any.sa_family == AF_UNSPEC; }
  // Whether this is an IPv6 address.
  bool v6() const { return socketAddress_.any.sa_family == AF_INET6; }
  // In host byte order.
  std::uint16_t port() const;
  // For system calls; valid while this object lives.
  const sockaddr* data() const { return &socketAddress_.any; }
  // The length of data().
  socklen_t size() const { return v6() ? sizeof socketAddress_.v6 : sizeof socketAddress_.v4; }
  // In the form that parse() reads; empty for the unspecified address.
  std::string text() const;

  friend bool operator==(const Address& a, const Address& b);
  friend bool operator!=(const Address& a, const Address& b) { return !(a == b); }

 private:
  // The family, which is the first member of each alternative, determines the active one.
  union SocketAddress {
    sockaddr any;
    sockaddr_in v4;
    sockaddr_in6 v6 = {};
  };

  void setV4(const in_addr& host, std::uint16_t port);
  void setV6(const in6_addr& host, std::uint16_t port);

  SocketAddress socketAddress_ = {};
};

}  // namespace sablespur
