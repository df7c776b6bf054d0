// PostgreSQL's protocol 2.0 (PostgreSQL 7.3's documentation, "Frontend/Backend Protocol"): a startup packet
// of fixed size, messages without lengths, rows with a bitmap of what is null, errors as one string. Pure: no
// sockets, no buffers of its own. It knows no other version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::postgres2 {

constexpr std::size_t kStartupLength = 296, kCancelLength = 16;
constexpr std::uint32_t kVersion = 2u << 16, kCancelCode = 80877102;
constexpr std::size_t kMaxQuery = 160 << 10, kMaxPassword = 1024, kMaxColumns = 1600;

struct Startup {
  std::uint32_t version = kVersion;  // the minor one may differ
  std::string database, user, options;
};
std::optional<Startup> parseStartup(std::string_view packet);  // all 296 bytes, length included
std::string startup(const Startup&);

struct Cancel {
  std::uint32_t process = 0, key = 0;
};
std::optional<Cancel> parseCancel(std::string_view packet);
std::string cancel(const Cancel&);

// What a client sends after the startup. Nothing: it has not all come; `bad`: it cannot be read, and there is
// no way back into step, since nothing says where it ends.
struct ClientMessage {
  char type = 0;          // Q, X; F is known by name alone
  std::string_view text;  // of Q, without its NUL
  std::size_t size = 0;   // of the whole message
};
std::optional<ClientMessage> parseClientMessage(std::string_view in, bool& bad);
std::string query(std::string_view statement);
// A password comes without a type: its length, then the text and a NUL.
std::optional<std::string_view> parsePassword(std::string_view in, std::size_t& size, bool& bad);
std::string password(std::string_view text);

// ---- what a server sends
struct Column {
  std::string name;
  std::uint32_t type = 0;
  std::int16_t size = -1;
  std::int32_t modifier = -1;
};
using Value = std::optional<std::string_view>;  // nothing: null

std::string authenticationOk();
std::string askCleartext();
std::string askMd5(std::string_view salt);  // 4 bytes
std::string keyData(const Cancel&);
std::string ready();
std::string emptyQuery();
std::string cursor();  // "blank", before the rows of a select
std::string completed(std::string_view tag);
std::string error(std::string_view text);  // one string; a line feed ends it by custom
std::string notice(std::string_view text);
std::string rowDescription(const std::vector<Column>&);
void appendRow(std::string& to, const std::vector<Value>&, bool binary);  // behind what stands there
std::string row(const std::vector<Value>&, bool binary);

// Reads a server's messages, one at a time; rows need the columns that were described before. For stand-in
// clients.
class Reader {
 public:
  struct Message {
    char type = 0;
    std::string text;                             // E, N, C, P; R: the salt
    std::uint32_t number = 0;                     // R: the request; A: the process
    Cancel key;                                   // K
    std::vector<Column> columns;                  // T
    std::vector<std::optional<std::string>> row;  // D, B
  };
  // Nothing: it has not all come; `bad`: it is no message.
  std::optional<Message> take(std::string_view in, std::size_t& size, bool& bad);

 private:
  std::size_t columns_ = 0;
};

}  // namespace sablespur::postgres2
