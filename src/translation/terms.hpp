// Columns, values and errors independent of any protocol version. Each version has a codec that
// converts between its own wire format and these types, so that no codec depends on another
// version. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::translation {

// The text format of bytea (see values.hpp).
enum class ByteaForm { Hex, Escape };

struct Column {
  std::string_view name;
  std::uint32_t type = 25;  // OID in pg_type; 25 is text
  std::int16_t size = -1;   // in bytes; -1: variable length
  std::int32_t modifier = -1;
  bool binary = false;
};
using Value = std::optional<std::string_view>;  // std::nullopt: NULL

constexpr std::size_t kMaxColumns = 1600;

// Receives an answer in order: its columns, if it has any, its rows, then its command tag ("SELECT
// 2"). Arguments are valid only during the call. Returning false stops the reader.
class AnswerConsumer {
 public:
  virtual ~AnswerConsumer() = default;
  virtual bool columns(const std::vector<Column>&) = 0;
  virtual bool row(const std::vector<Value>&) = 0;
  virtual bool completed(std::string_view tag) = 0;
};

// An error that takes the place of an answer. Empty fields were absent.
struct ErrorReport {
  std::string severity = "ERROR", code, text, detail, hint, position;
  std::string schema, table, column, type, constraint;  // since PostgreSQL 9.3
  std::optional<std::uint32_t> retryAfterMs;            // delay before the same request is sent again
};

// Reads answers in the wire format of one protocol version. Each answer carries the reader for its
// format.
class AnswerReader {
 public:
  virtual ~AnswerReader() = default;
  // Passes the answer to the consumer; false when it is malformed or the consumer returned false.
  virtual bool read(std::string_view messages, AnswerConsumer&) const = 0;
  // Reads a single error; its code is empty when the message is malformed.
  virtual ErrorReport readError(std::string_view messages) const = 0;
};

// Encodes messages to a client; each call returns or appends complete messages.
class ClientCodec {
 public:
  virtual ~ClientCodec() = default;
  virtual std::string columns(const std::vector<Column>&) const = 0;
  // Appends to `to`, as rows may be long and each copy of one costs time. `binary`: all values are
  // in binary format.
  virtual void appendRow(std::string& to, const std::vector<Value>&, bool binary) const = 0;
  std::string row(const std::vector<Value>& values, bool binary) const {
    std::string message;
    appendRow(message, values, binary);
    return message;
  }
  virtual std::string commandComplete(std::string_view tag) const = 0;
  virtual std::string emptyQueryResponse() const = 0;
  virtual std::string errorResponse(const ErrorReport&) const = 0;
  virtual std::string ready() const = 0;
};

}  // namespace sablespur::translation
