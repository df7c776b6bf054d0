// PostgreSQL's wire protocol, version 3: framing, the messages that a proxy writes and reads, and the comment
// in a statement. Pure: no sockets, no buffers of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sablespur::postgres {

constexpr std::size_t kHeaderSize = 5;          // type and length of a message
constexpr std::size_t kMaxMessage = 160 << 10;  // a value of 64 KiB in hex, and the statement round it
constexpr std::size_t kMaxStartup = 4096;
constexpr std::size_t kMaxValue = 64 << 10,
                      kRowHeaderSize = 6;       // of a DataRow: columns, the length of the first
constexpr std::size_t kMaxOtherMessage = 4096;  // any other message of a data server
constexpr std::uint32_t kVersion3 = 196608, kSslRequest = 80877103, kGssEncRequest = 80877104,
                        kCancelRequest = 80877102;

std::uint32_t readInt32(const char* p);

struct MessageHeader {
  char type;
  std::size_t bodySize;  // bytes after the head
};
// Nothing: a length that no message of this protocol has here.
std::optional<MessageHeader> parseHeader(const char (&bytes)[kHeaderSize]);

// Messages.
std::string message(char type, std::string_view body);
std::string startup(std::string_view user, std::string_view database);
std::string parameterStatus(std::string_view name, std::string_view value);
std::string query(std::string_view statement);
std::string queryHeader(std::size_t length);  // of a Query whose statement, NUL included, is that long
std::string readyForQuery();
std::string greeting();  // what answers a startup message, ReadyForQuery included
std::string error(const char* severity, const char* code, std::string_view text,
                  std::string_view detail = {});

struct ErrorFields {
  std::string_view severity, code, text;
};
ErrorFields parseError(std::string_view body);  // all empty where the body is malformed
// Whether a data server's message has the form that an answer of one row with one column has.
bool isRowDescription(std::string_view body);
bool isRowHeader(const char (&bytes)[kRowHeaderSize],
                 std::size_t body);                     // the head of a DataRow of that length
bool isCommandTag(std::string_view body, bool oneRow);  // CommandComplete
// Name and value; empty where the body is malformed.
std::pair<std::string_view, std::string_view> parseParameter(std::string_view body);
// The only column of a DataRow; nothing where the row is malformed, has other columns or holds NULL.
std::optional<std::string_view> parseColumn(std::string_view body);

// What the comment at the end of a statement says. Offsets count from the start of the text given.
struct Comment {
  std::string_view id, className, key;                 // key: empty where there is none
  std::uint32_t timeLeftMs = 0;                        // d
  std::size_t timeLeftOffset = 0, timeLeftLength = 0;  // where its digits stand; 0 digits: it has none
  std::uint32_t cluster = 0;
  std::int64_t after = 0;  // Unix ms; 0: none
  const char* fault = nullptr;
};
Comment parseComment(std::string_view text);
// The quoted key of a statement, from its beginning; empty where there is none.
std::string_view parseKey(std::string_view text);

}  // namespace sablespur::postgres
