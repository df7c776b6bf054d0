// Which group an address belongs to: networks of IPv4 and IPv6, nested as they like; the longest that holds
// it counts. Parsing and addresses are asio's. Pure.
#pragma once

#include <sys/socket.h>

#include <asio/ip/address.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sablespur::admission {

using IpAddress = asio::ip::address;

// An IPv4 address that comes mapped into IPv6 (::ffff:10.1.0.7) is the IPv4 one. Unspecified for another
// family.
IpAddress addressOf(const sockaddr*);
// Its first bits, the others 0: what stands for a network of that size.
IpAddress prefixOf(const IpAddress&, int bits4, int bits6);

class Networks {
 public:
  // "10.1.0.0/16", "10.1.0.7", "fd00:1::/32". False and `why`: it is none, has bits beyond its prefix, or
  // belongs to another group already.
  bool add(std::string_view network, std::size_t group, std::string& why);
  // The group of the longest network that holds it, else `otherwise`. Its cost hangs on how many prefix
  // lengths there are, not on how many networks.
  std::size_t find(const IpAddress&, std::size_t otherwise) const;
  std::size_t size() const { return size_; }

 private:
  using Table = std::unordered_map<IpAddress, std::size_t>;
  std::map<int, Table, std::greater<>> v4_, v6_;  // by prefix length, the longest first
  std::size_t size_ = 0;
};

}  // namespace sablespur::admission
