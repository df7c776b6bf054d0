// Parses PROXY protocol headers from trusted and untrusted senders.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "protocol/proxy_protocol/header.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto h = proxy_protocol::parse(text);
  if (h.length > size || (h.malformed && (h.length != 0 || h.client))) std::abort();
  // More input does not change a complete header, and one byte less makes it incomplete.
  if (h.length > 0) {
    const auto longer = proxy_protocol::parse(std::string(text) + "Q");
    if (longer.malformed || longer.length != h.length) std::abort();
    const auto shorter = proxy_protocol::parse(text.substr(0, h.length - 1));
    if (shorter.malformed || shorter.length != 0) std::abort();
  }
  // Formatting and parsing must round-trip.
  if (h.client)
    for (const std::string& formatted : {proxy_protocol::formatVersion1(*h.client, *h.client),
                                         proxy_protocol::formatVersion2(*h.client, *h.client)})
      if (const auto reparsed = proxy_protocol::parse(formatted);
          reparsed.length != formatted.size() || !reparsed.client || *reparsed.client != *h.client)
        std::abort();
  return 0;
}
