// PostgreSQL's protocol 2.0: the startup packet of fixed size, messages without lengths, rows with a bitmap
// of the columns that aren't null, errors as one text. Pure: no sockets, no buffers of its own; views point
// into the message given. It knows of no other version.
//
// PostgreSQL 7.3's documentation, "Frontend/Backend Protocol".
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::postgres2 {

constexpr std::size_t kStartupLength = 296;
constexpr std::size_t kCancelLength = 16;
constexpr std::uint32_t kVersion = 2u << 16;
constexpr std::uint32_t kCancelCode = 80877102;

// Bounds on what a client sends and on the columns of an answer.
constexpr std::size_t kMaxQuery = 160 << 10;
constexpr std::size_t kMaxPassword = 1024;
constexpr std::size_t kMaxColumns = 1600;
// Longest message that is one text, its type and NUL included.
constexpr std::size_t kMaxText = 8192;

struct Startup {
  std::uint32_t version = kVersion;  // with any minor version
  std::string database;
  std::string user;
  std::string options;
};
// `packet`: length included. std::nullopt where it is of another size or major version.
std::optional<Startup> parseStartup(std::string_view packet);
std::string startup(const Startup& startup);

// What a client cancels its request with.
struct Cancel {
  std::uint32_t process = 0;
  std::uint32_t key = 0;
};
// `packet`: length included.
std::optional<Cancel> parseCancel(std::string_view packet);
std::string cancel(const Cancel& cancel);

// What a client sends after its login.
struct ClientMessage {
  char type = 0;          // Q (query), X (terminate) or F (function call)
  std::string_view text;  // of Q, without its NUL
  std::size_t size = 0;   // of the whole message; of F, of its type alone
};
// std::nullopt: the message has not arrived whole, or, with `bad`, is malformed. After that the connection
// can't be read any further, since nothing tells where the message ends.
std::optional<ClientMessage> parseClientMessage(std::string_view in, bool& bad);
std::string query(std::string_view statement);

// A password comes without a type: its length, then the text and a NUL. `size`: of the whole message.
// std::nullopt and `bad` as above.
std::optional<std::string_view> parsePassword(std::string_view in, std::size_t& size, bool& bad);
std::string password(std::string_view text);

// What a server sends.

struct Column {
  std::string name;
  std::uint32_t type = 0;  // object id
  std::int16_t size = -1;  // in bytes; -1: it varies
  std::int32_t modifier = -1;
};
using Value = std::optional<std::string_view>;  // std::nullopt: null

std::string authenticationOk();
std::string askCleartext();
// `salt`: 4 bytes.
std::string askMd5(std::string_view salt);
std::string keyData(const Cancel& key);
std::string ready();
std::string emptyQuery();
// CursorResponse, before the rows of a SELECT.
std::string cursor();
// CompletedResponse.
std::string completed(std::string_view tag);
// ErrorResponse and NoticeResponse: one text, which ends with a line feed by custom.
std::string error(std::string_view text);
std::string notice(std::string_view text);
std::string rowDescription(const std::vector<Column>& columns);
// Appends an AsciiRow or, with `binary`, a BinaryRow.
void appendRow(std::string& to, const std::vector<Value>& values, bool binary);
std::string row(const std::vector<Value>& values, bool binary);

}  // namespace sablespur::postgres2
