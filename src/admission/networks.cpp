#include "admission/networks.hpp"

#include <netinet/in.h>

#include <asio/ip/network_v4.hpp>
#include <asio/ip/network_v6.hpp>
#include <cstring>

namespace sablespur::admission {
namespace {

using asio::ip::address_v4;
using asio::ip::address_v6;

address_v4 masked(const address_v4& a, int bits) {
  const std::uint32_t mask = bits <= 0 ? 0 : bits >= 32 ? 0xffffffffu : ~(0xffffffffu >> bits);
  return address_v4(a.to_uint() & mask);
}
address_v6 masked(const address_v6& a, int bits) {
  address_v6::bytes_type bytes = a.to_bytes();
  for (int k = 0; k < 16; ++k) {
    const int left = bits - 8 * k;
    if (left < 8)
      bytes[static_cast<std::size_t>(k)] &= static_cast<unsigned char>(left <= 0 ? 0 : 0xff << (8 - left));
  }
  return address_v6(bytes);
}

}  // namespace

IpAddress addressOf(const sockaddr* a) {
  if (a->sa_family == AF_INET) {
    sockaddr_in in{};
    std::memcpy(&in, a, sizeof in);
    return address_v4(ntohl(in.sin_addr.s_addr));
  }
  if (a->sa_family != AF_INET6) return {};
  sockaddr_in6 in{};
  std::memcpy(&in, a, sizeof in);
  address_v6::bytes_type bytes;
  std::memcpy(bytes.data(), &in.sin6_addr, bytes.size());
  const address_v6 v6(bytes);
  if (v6.is_v4_mapped()) return asio::ip::make_address_v4(asio::ip::v4_mapped, v6);
  return v6;
}

IpAddress prefixOf(const IpAddress& a, int bits4, int bits6) {
  if (a.is_v4()) return masked(a.to_v4(), bits4);
  return masked(a.to_v6(), bits6);
}

bool Networks::add(std::string_view network, std::size_t group, std::string& why) {
  const std::string text(network);
  const bool single = text.find('/') == std::string::npos;
  asio::error_code error;
  const auto put = [&](auto& tables, int bits, const IpAddress& first) {
    const auto [it, fresh] = tables[bits].emplace(first, group);
    if (!fresh && it->second != group) {
      why = "'" + text + "' belongs to another group already";
      return false;
    }
    size_ += fresh;
    return true;
  };
  const auto stray = [&] {
    why = "'" + text + "' has bits beyond its prefix";
    return false;
  };
  if (text.find(':') == std::string::npos) {
    const auto n = asio::ip::make_network_v4(single ? text + "/32" : text, error);
    if (!error) return n != n.canonical() ? stray() : put(v4_, n.prefix_length(), n.network());
  } else {
    const auto n = asio::ip::make_network_v6(single ? text + "/128" : text, error);
    if (!error) return n != n.canonical() ? stray() : put(v6_, n.prefix_length(), n.network());
  }
  why = "'" + text + "' is no network";
  return false;
}

std::size_t Networks::find(const IpAddress& a, std::size_t otherwise) const {
  for (const auto& [bits, table] : a.is_v4() ? v4_ : v6_) {
    const auto it = table.find(prefixOf(a, bits, bits));
    if (it != table.end()) return it->second;
  }
  return otherwise;
}

}  // namespace sablespur::admission
