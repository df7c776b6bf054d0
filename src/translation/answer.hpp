// Converts the values of a server's answer into the formats that the client reads. Pure.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "translation/terms.hpp"

namespace sablespur::translation {

// The formats that a client requested for the values of an answer.
struct ResultFormat {
  std::optional<ByteaForm> bytea;  // std::nullopt: as the server sent them
  // 1 binary, 0 text. Empty: all columns are text; one entry: it applies to all columns; otherwise
  // one entry per column.
  std::vector<std::int16_t> columnFormats;
  // Whether the values need no conversion.
  bool plain() const {
    return !bytea && std::find(columnFormats.begin(), columnFormats.end(), 1) == columnFormats.end();
  }
};

// Returns the binary format of a value given as text. std::nullopt when the type's binary format is
// not supported or the text is not a valid value of the type.
std::optional<std::string> toBinary(std::uint32_t type, std::string_view text);

// Converts an answer value by value and collects the messages that a codec encodes from it. After a
// failure the output is empty and failure() has the reason; the client then gets an error in place
// of the answer.
class AnswerConverter final : public AnswerConsumer {
 public:
  // `describeColumns`: whether the output includes the column descriptions. `maxBytes` bounds the
  // output. `maxRows`: 0 for no limit; further rows are dropped and suspended() becomes true.
  AnswerConverter(const ClientCodec& codec, ResultFormat format, bool describeColumns, std::size_t maxBytes,
                  std::size_t maxRows = 0)
      : codec_(codec),
        format_(std::move(format)),
        describeColumns_(describeColumns),
        maxBytes_(maxBytes),
        maxRows_(maxRows) {}

  bool columns(const std::vector<Column>&) override;
  bool row(const std::vector<Value>&) override;
  bool completed(std::string_view tag) override;

  const std::string& failure() const { return failure_; }  // empty: no failure
  bool suspended() const { return suspended_; }
  std::string take() { return std::move(out_); }

 private:
  bool fail(std::string why);
  bool wantsBinary(std::size_t column) const;
  bool append(const std::string& message);

  const ClientCodec& codec_;
  const ResultFormat format_;
  const bool describeColumns_;
  const std::size_t maxBytes_, maxRows_;
  std::vector<std::uint32_t> types_;
  std::vector<bool> binary_;  // per column, in the client's format
  std::size_t rows_ = 0;
  bool suspended_ = false;
  std::string out_, failure_;
};

}  // namespace sablespur::translation
