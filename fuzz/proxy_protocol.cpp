// PROXY headers, as a front or somebody else sends them.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "protocol/proxy_protocol/header.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto h = proxy_protocol::parse(text);
  if (h.length > size || (h.malformed && (h.length != 0 || h.client))) std::abort();
  // What is one with these bytes is the same one with more behind them, and with fewer it is none yet.
  if (h.length > 0) {
    const auto more = proxy_protocol::parse(std::string(text) + "Q");
    if (more.malformed || more.length != h.length) std::abort();
    const auto less = proxy_protocol::parse(text.substr(0, h.length - 1));
    if (less.malformed || less.length != 0) std::abort();
  }
  // What is read can be written and read again.
  if (h.client)
    for (const std::string& again : {proxy_protocol::formatVersion1(*h.client, *h.client),
                                     proxy_protocol::formatVersion2(*h.client, *h.client)})
      if (const auto b = proxy_protocol::parse(again);
          b.length != again.size() || !b.client || *b.client != *h.client)
        std::abort();
  return 0;
}
