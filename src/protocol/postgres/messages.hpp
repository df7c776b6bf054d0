// PostgreSQL's protocol 3: framing, and the messages that all parts of the proxy write and read.
// Does no I/O and keeps no buffers; returned views point into the given message.
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

constexpr std::size_t kHeaderSize = 5;          // type and length of a message
constexpr std::size_t kMaxMessage = 160 << 10;  // a 64 KiB value in hexadecimal and its statement
constexpr std::size_t kMaxStartup = 4096;       // a startup packet
constexpr std::size_t kMaxValue = 64 << 10;     // the value of an answer with one column
constexpr std::size_t kRowHeaderSize = 6;       // of a DataRow: column count, first value's length
constexpr std::size_t kMaxOtherMessage = 4096;  // a server's message without a value

// Codes at the start of packets without a type byte.
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
// Returns std::nullopt if the length is below 4 or above kMaxMessage.
std::optional<MessageHeader> parseHeader(const char (&bytes)[kHeaderSize]);

// A message of this type with its header.
std::string message(char type, std::string_view body);
// A StartupMessage without further parameters.
std::string startup(std::string_view user, std::string_view database);
std::string parameterStatus(std::string_view name, std::string_view value);
std::string query(std::string_view statement);
// The header of a Query whose statement, NUL included, has this length.
std::string queryHeader(std::size_t length);
// ReadyForQuery, outside of a transaction.
std::string readyForQuery();
// A stand-in server's response to a startup message, without a password request, up to and
// including ReadyForQuery.
std::string greeting();
// An ErrorResponse. An empty detail is omitted.
std::string error(const char* severity, const char* code, std::string_view text,
                  std::string_view detail = {});

struct ErrorFields {
  std::string_view severity;
  std::string_view code;  // SQLSTATE
  std::string_view text;
};
// Parses the body of an ErrorResponse; all fields are empty if it is malformed.
ErrorFields parseError(std::string_view body);

// Whether `body` is that of a RowDescription with one column.
bool isRowDescription(std::string_view body);
// Whether these are the first bytes of a DataRow with one non-NULL column whose length matches a
// body of size `body`.
bool isRowHeader(const char (&bytes)[kRowHeaderSize], std::size_t body);
// Whether `body` is that of a CommandComplete; with `oneRow`, also whether its tag reports exactly
// one row.
bool isCommandTag(std::string_view body, bool oneRow);
// Returns the name and value in the body of a ParameterStatus; both are empty if it is malformed.
std::pair<std::string_view, std::string_view> parseParameter(std::string_view body);
// Returns the value in the body of a DataRow with one column; std::nullopt if it is malformed, has
// another number of columns or contains NULL.
std::optional<std::string_view> parseColumn(std::string_view body);

}  // namespace sablespur::postgres
