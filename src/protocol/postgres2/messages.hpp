// PostgreSQL's protocol 2.0: a startup packet of fixed size, messages without lengths, rows with a
// bitmap of the non-NULL columns, errors as a single text. Does no I/O and keeps no buffers;
// returned views point into the given message. Independent of the other protocol versions.
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

// Limits for messages of clients, in bytes, and for the columns of an answer.
constexpr std::size_t kMaxQuery = 160 << 10;
constexpr std::size_t kMaxPassword = 1024;
constexpr std::size_t kMaxColumns = 1600;
// Maximum size of a message that is a single text, including its type and NUL.
constexpr std::size_t kMaxText = 8192;

struct Startup {
  std::uint32_t version = kVersion;  // may have any minor version
  std::string database;
  std::string user;
  std::string options;
};
// `packet` includes its length. Returns std::nullopt if it has another size or major version.
std::optional<Startup> parseStartup(std::string_view packet);
std::string startup(const Startup& startup);

// Identifies the client's connection in a CancelRequest.
struct Cancel {
  std::uint32_t process = 0;
  std::uint32_t key = 0;
};
// `packet` includes its length.
std::optional<Cancel> parseCancel(std::string_view packet);
std::string cancel(const Cancel& cancel);

// A message of a client after its login.
struct ClientMessage {
  char type = 0;          // Q (query), X (terminate) or F (function call)
  std::string_view text;  // of Q, without the NUL
  std::size_t size = 0;   // of the whole message; for F, only of its type
};
// Returns std::nullopt if the message is incomplete or, with `malformed` set, malformed. After a
// malformed message the connection can't be read any further, because the end of the message is
// unknown.
std::optional<ClientMessage> parseClientMessage(std::string_view in, bool& malformed);
std::string query(std::string_view statement);

// A password message has no type: it consists of its length, the text and a NUL. `size`: of the
// whole message. std::nullopt and `malformed` as above.
std::optional<std::string_view> parsePassword(std::string_view in, std::size_t& size, bool& malformed);
std::string password(std::string_view text);

// Messages of a server.

struct Column {
  std::string name;
  std::uint32_t type = 0;  // OID
  std::int16_t size = -1;  // in bytes; -1: variable
  std::int32_t modifier = -1;
};
using Value = std::optional<std::string_view>;  // std::nullopt: NULL

std::string authenticationOk();
std::string authenticationCleartextPassword();
// `salt`: 4 bytes.
std::string authenticationMd5Password(std::string_view salt);
std::string keyData(const Cancel& key);
std::string ready();
std::string emptyQuery();
// CursorResponse, before the rows of a SELECT.
std::string cursor();
// CompletedResponse.
std::string completed(std::string_view tag);
// ErrorResponse and NoticeResponse: a single text, which by convention ends with a line feed.
std::string error(std::string_view text);
std::string notice(std::string_view text);
std::string rowDescription(const std::vector<Column>& columns);
// Appends an AsciiRow or, with `binary`, a BinaryRow.
void appendRow(std::string& to, const std::vector<Value>& values, bool binary);
std::string row(const std::vector<Value>& values, bool binary);

}  // namespace sablespur::postgres2
