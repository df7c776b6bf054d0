// Version 2's messages from either side. What a client sends, and what a stand-in client reads.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "protocol/postgres2/messages.hpp"
#include "protocol/postgres2/server_message_reader.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  postgres2::parseCancel(text);
  if (const auto s = postgres2::parseStartup(text))
    if (const auto again = postgres2::parseStartup(postgres2::startup(*s));
        !again || again->user != s->user.substr(0, 31))
      std::abort();
  bool bad = false;
  std::size_t taken = 0;
  if (const auto p = postgres2::parsePassword(text, taken, bad); p && (taken > size || p->size() >= taken))
    std::abort();
  for (std::string_view in = text; const auto sent = postgres2::parseClientMessage(in, bad);) {
    if (bad || sent->size == 0 || sent->size > in.size()) std::abort();
    in.remove_prefix(sent->size);
  }
  postgres2::Reader reader;
  for (std::string_view in = text; const auto m = reader.take(in, taken, bad);) {
    if (bad || taken == 0 || taken > in.size()) std::abort();
    in.remove_prefix(taken);
  }
  return 0;
}
