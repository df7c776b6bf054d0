// PostgreSQL's protocol 3: framing, and the messages that every part of the proxy writes and reads. Pure: no
// sockets, no buffers of its own; views point into the message given.
//
// PostgreSQL's documentation, "Message Formats".
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sablespur::postgres {

constexpr std::size_t kHeaderSize = 5;  // type and length of a message
constexpr std::size_t kMaxMessage = 160
                                    << 10;   // a value of 64 KiB in hexadecimal, and the statement around it
constexpr std::size_t kMaxStartup = 4096;    // a startup packet
constexpr std::size_t kMaxValue = 64 << 10;  // the value of an answer of one column
constexpr std::size_t kRowHeaderSize = 6;    // of a DataRow: number of columns, length of the first value
constexpr std::size_t kMaxOtherMessage = 4096;  // a server's message without a value

// Codes at the start of packets without a type.
constexpr std::uint32_t kVersion3 = 196608;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssEncRequest = 80877104;
constexpr std::uint32_t kCancelRequest = 80877102;

// Reads four bytes, big-endian.
std::uint32_t readInt32(const char* bytes);

struct MessageHeader {
  char type;
  std::size_t bodySize;  // bytes after the header
};
// std::nullopt: the length is below 4 or above kMaxMessage.
std::optional<MessageHeader> parseHeader(const char (&bytes)[kHeaderSize]);

// A message of this type, framed.
std::string message(char type, std::string_view body);
// A StartupMessage without further parameters.
std::string startup(std::string_view user, std::string_view database);
std::string parameterStatus(std::string_view name, std::string_view value);
std::string query(std::string_view statement);
// The header of a Query whose statement, NUL included, has this length.
std::string queryHeader(std::size_t length);
// ReadyForQuery, outside of a transaction.
std::string readyForQuery();
// The answer to a startup message of a stand-in server that asks for no password, ReadyForQuery included.
std::string greeting();
// An ErrorResponse. The detail is left out where it is empty.
std::string error(const char* severity, const char* code, std::string_view text,
                  std::string_view detail = {});

struct ErrorFields {
  std::string_view severity;
  std::string_view code;  // SQLSTATE
  std::string_view text;
};
// The body of an ErrorResponse; all fields are empty where it is malformed.
ErrorFields parseError(std::string_view body);

// Whether this is the body of a RowDescription of one column.
bool isRowDescription(std::string_view body);
// Whether these are the first bytes of a DataRow of one column that isn't NULL, in a body of this size.
bool isRowHeader(const char (&bytes)[kRowHeaderSize], std::size_t body);
// Whether this is the body of a CommandComplete; with `oneRow`, of one that says that it affected one row.
bool isCommandTag(std::string_view body, bool oneRow);
// The body of a ParameterStatus: name and value, both empty where it is malformed.
std::pair<std::string_view, std::string_view> parseParameter(std::string_view body);
// The value of a DataRow of one column; std::nullopt where it is malformed, has other columns or holds NULL.
std::optional<std::string_view> parseColumn(std::string_view body);

}  // namespace sablespur::postgres
