// Parses messages of PostgreSQL protocol version 2: those of clients, and those of servers with the
// reader of the simulated client.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "protocol/postgres2/messages.hpp"
#include "protocol/postgres2/server_message_reader.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  postgres2::parseCancel(text);
  if (const auto s = postgres2::parseStartup(text))
    if (const auto reparsed = postgres2::parseStartup(postgres2::startup(*s));
        !reparsed || reparsed->user != s->user.substr(0, 31))
      std::abort();
  bool malformed = false;
  std::size_t consumed = 0;
  if (const auto p = postgres2::parsePassword(text, consumed, malformed);
      p && (consumed > size || p->size() >= consumed))
    std::abort();
  for (std::string_view in = text; const auto message = postgres2::parseClientMessage(in, malformed);) {
    if (malformed || message->size == 0 || message->size > in.size()) std::abort();
    in.remove_prefix(message->size);
  }
  postgres2::Reader reader;
  for (std::string_view in = text; const auto m = reader.take(in, consumed, malformed);) {
    if (malformed || consumed == 0 || consumed > in.size()) std::abort();
    in.remove_prefix(consumed);
  }
  return 0;
}
