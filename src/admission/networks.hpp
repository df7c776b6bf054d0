// Networks: maps an address to the group of the longest matching IPv4 or IPv6 prefix. Pure; addresses and
// their parsing are asio's.
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

// An IPv4-mapped IPv6 address (::ffff:10.1.0.7) becomes the IPv4 one. Unspecified (asio's default address)
// for a family other than IPv4 and IPv6.
IpAddress addressOf(const sockaddr*);
// The address with all bits after the prefix cleared; `bits4` or `bits6` counts, by its family.
IpAddress prefixOf(const IpAddress&, int bits4, int bits6);

class Networks {
 public:
  // Adds a network such as "10.1.0.0/16", "fd00:1::/32", or a single address. Returns false and sets `why` if
  // it does not parse, has bits after its prefix, or belongs to another group already.
  bool add(std::string_view network, std::size_t group, std::string& why);
  // The group of the longest network that contains the address, else `otherwise`. The cost grows with the
  // number of different prefix lengths, not with the number of networks.
  std::size_t find(const IpAddress&, std::size_t otherwise) const;
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
