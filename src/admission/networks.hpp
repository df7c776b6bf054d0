// Networks: maps an address to the group of the longest matching IPv4 or IPv6 prefix. Performs no
// I/O; addresses and their parsing come from asio.
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

// Converts a socket address. IPv4-mapped IPv6 addresses (::ffff:10.1.0.7) become IPv4 addresses.
// Returns asio's default address, 0.0.0.0, for families other than IPv4 and IPv6.
IpAddress addressOf(const sockaddr*);
// Returns the address with all bits after the prefix cleared. The prefix length is `bits4` for IPv4
// and `bits6` for IPv6.
IpAddress prefixOf(const IpAddress&, int bits4, int bits6);

class Networks {
 public:
  // Adds a network such as "10.1.0.0/16", "fd00:1::/32", or a single address. Returns false and
  // sets `why` if it does not parse, has bits set beyond its prefix, or already belongs to another
  // group.
  bool add(std::string_view network, std::size_t group, std::string& why);
  // Returns the group of the longest matching network, or `defaultGroup` if none matches. The cost
  // grows with the number of distinct prefix lengths, not with the number of networks.
  std::size_t find(const IpAddress&, std::size_t defaultGroup) const;
  std::size_t size() const { return size_; }

 private:
  using Table = std::unordered_map<IpAddress, std::size_t>;
  using TablesByLength = std::map<int, Table, std::greater<>>;  // longest prefix first

  template <typename Network>
  bool insert(TablesByLength&, const Network&, std::size_t group, const std::string& text, std::string& why);

  TablesByLength v4_;
  TablesByLength v6_;
  std::size_t size_ = 0;
};

}  // namespace sablespur::admission
