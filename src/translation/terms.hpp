// Requests and answers in terms that no version of a protocol owns. A codec for each version reads its own
// form into these and writes them in its own form, and knows of no other version. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablespur::translation {

// How bytea stands in text (see values.hpp).
enum class ByteaForm { Hex, Escape };

struct Column {
  std::string_view name;
  std::uint32_t type = 25;  // by its id in pg_type; 25 is text
  std::int16_t size = -1;   // in bytes; -1: it varies
  std::int32_t modifier = -1;
  bool binary = false;
};
using Value = std::optional<std::string_view>;  // nothing: null

constexpr std::size_t kMaxColumns = 1600;

// Takes an answer piece by piece: columns, where it has any, its rows, then its tag ("SELECT 2"). What is
// given lives as long as the call. False: it goes no further.
class AnswerConsumer {
 public:
  virtual ~AnswerConsumer() = default;
  virtual bool columns(const std::vector<Column>&) = 0;
  virtual bool row(const std::vector<Value>&) = 0;
  virtual bool completed(std::string_view tag) = 0;
};

// Why there is no answer. Texts that are empty were not told.
struct ErrorReport {
  std::string severity = "ERROR", code, text, detail, hint, position;
  std::string schema, table, column, type, constraint;  // since 9.3
  std::optional<std::uint32_t> retryAfterMs;            // when to come back with the same request
};

// Reads what a server answered. Which one an answer came with tells its form.
class AnswerReader {
 public:
  virtual ~AnswerReader() = default;
  virtual bool read(std::string_view messages,
                    AnswerConsumer&) const = 0;  // false: malformed, or the taker said so
  virtual ErrorReport readError(std::string_view messages) const = 0;  // one error; no code: malformed
};

// Writes for a client, each call whole messages.
class ClientCodec {
 public:
  virtual ~ClientCodec() = default;
  virtual std::string columns(const std::vector<Column>&) const = 0;
  // Behind what stands there: rows may be long, and each copy of one shows. binary: all values are.
  virtual void appendRow(std::string& to, const std::vector<Value>&, bool binary) const = 0;
  std::string row(const std::vector<Value>& values, bool binary) const {
    std::string one;
    appendRow(one, values, binary);
    return one;
  }
  virtual std::string commandComplete(std::string_view tag) const = 0;
  virtual std::string emptyQueryResponse() const = 0;
  virtual std::string errorResponse(const ErrorReport&) const = 0;
  virtual std::string ready() const = 0;
};

}  // namespace sablespur::translation
