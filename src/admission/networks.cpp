#include "admission/networks.hpp"

#include <netinet/in.h>

#include <asio/ip/network_v4.hpp>
#include <asio/ip/network_v6.hpp>
#include <cstring>

namespace sablespur::admission {
namespace {

using asio::ip::address_v4;
using asio::ip::address_v6;

address_v4 masked(const address_v4& address, int bits) {
  if (bits <= 0) return {};
  const std::uint32_t mask = bits >= 32 ? 0xffffffffu : ~(0xffffffffu >> bits);
  return address_v4(address.to_uint() & mask);
}

address_v6 masked(const address_v6& address, int bits) {
  address_v6::bytes_type bytes = address.to_bytes();
  int left = bits;
  for (unsigned char& byte : bytes) {
    if (left < 8) byte &= static_cast<unsigned char>(left <= 0 ? 0 : 0xff << (8 - left));
    left -= 8;
  }
  return address_v6(bytes);
}

}  // namespace

IpAddress addressOf(const sockaddr* socketAddress) {
  if (socketAddress->sa_family == AF_INET) {
    sockaddr_in in{};
    std::memcpy(&in, socketAddress, sizeof in);
    return address_v4(ntohl(in.sin_addr.s_addr));
  }
  if (socketAddress->sa_family != AF_INET6) return {};
  sockaddr_in6 in{};
  std::memcpy(&in, socketAddress, sizeof in);
  address_v6::bytes_type bytes;
  std::memcpy(bytes.data(), &in.sin6_addr, bytes.size());
  const address_v6 v6(bytes);
  if (v6.is_v4_mapped()) return asio::ip::make_address_v4(asio::ip::v4_mapped, v6);
  return v6;
}

IpAddress prefixOf(const IpAddress& address, int bits4, int bits6) {
  if (address.is_v4()) return masked(address.to_v4(), bits4);
  return masked(address.to_v6(), bits6);
}

template <typename Network>
bool Networks::insert(TablesByLength& tables, const Network& network, std::size_t group,
                      const std::string& text, std::string& why) {
  if (network != network.canonical()) {
    why = "'" + text + "' has bits beyond its prefix";
    return false;
  }
  const auto [it, added] = tables[network.prefix_length()].emplace(network.network(), group);
  if (!added && it->second != group) {
    why = "'" + text + "' belongs to another group already";
    return false;
  }
  if (added) ++size_;
  return true;
}

bool Networks::add(std::string_view network, std::size_t group, std::string& why) {
  const std::string text(network);
  const bool singleAddress = text.find('/') == std::string::npos;
  asio::error_code error;
  if (text.find(':') == std::string::npos) {
    const auto parsed = asio::ip::make_network_v4(singleAddress ? text + "/32" : text, error);
    if (!error) return insert(v4_, parsed, group, text, why);
  } else {
    const auto parsed = asio::ip::make_network_v6(singleAddress ? text + "/128" : text, error);
    if (!error) return insert(v6_, parsed, group, text, why);
  }
  why = "'" + text + "' is no network";
  return false;
}

std::size_t Networks::find(const IpAddress& address, std::size_t defaultGroup) const {
  for (const auto& [bits, table] : address.is_v4() ? v4_ : v6_) {
    const auto it = table.find(prefixOf(address, bits, bits));
    if (it != table.end()) return it->second;
  }
  return defaultGroup;
}

}  // namespace sablespur::admission
