// An IPv4 or IPv6 address with a port: where something listens. A value; cheap to copy.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur {

class Address {
 public:
  Address() = default;  // none
  // "10.1.0.18:5432" or "[fe80::1]:5432"; nothing where the text is neither.
  static std::optional<Address> parse(std::string_view text);
  // Network byte order, 4 or 16 bytes, as DNS carries them; another length gives none.
  static Address fromBytes(std::string_view bytes, std::uint16_t port);
  static Address fromSocket(const sockaddr*);  // none for another family

  bool none() const { return any_.sa_family == 0; }
  bool v6() const { return any_.sa_family == AF_INET6; }
  std::uint16_t port() const;
  const sockaddr* data() const { return &any_; }
  socklen_t size() const { return v6() ? sizeof v6_ : sizeof v4_; }
  std::string text() const;  // as parse takes it; empty for none

  friend bool operator==(const Address& a, const Address& b);
  friend bool operator!=(const Address& a, const Address& b) { return !(a == b); }

 private:
  union {
    sockaddr any_;
    sockaddr_in v4_;
    sockaddr_in6 v6_ = {};
  };
};

}  // namespace sablespur
