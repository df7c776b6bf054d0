// An answer on its way from one side to the other: values brought into the form that the asker reads. Pure.
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

// What an asker wants of values.
struct ResultFormat {
  std::optional<ByteaForm> bytea;           // nothing: as they come
  std::vector<std::int16_t> columnFormats;  // 1 binary, 0 text: none all text, one of all, else one a column
  bool plain() const {
    return !bytea && std::find(columnFormats.begin(), columnFormats.end(), 1) == columnFormats.end();
  }
};

// The binary form of a value that came as text. Nothing: the type's binary form is not known here, or the
// text is no value of that type.
std::optional<std::string> toBinary(std::uint32_t type, std::string_view text);

// Hands an answer on to a codec, value by value, and gathers what that writes. After a failure nothing that
// was gathered may go out: why() tells, and the answer ends in an error instead.
class AnswerConverter final : public AnswerConsumer {
 public:
  // `described`: whether the columns are told, too. `most`: bytes of what is gathered. `mostRows`: 0, or
  // after so many rows the rest is left and suspended() is true.
  AnswerConverter(const ClientCodec& codec, ResultFormat wanted, bool described, std::size_t most,
                  std::size_t mostRows = 0)
      : codec_(codec),
        format_(std::move(wanted)),
        described_(described),
        maxBytes_(most),
        maxRows_(mostRows) {}

  bool columns(const std::vector<Column>&) override;
  bool row(const std::vector<Value>&) override;
  bool completed(std::string_view tag) override;

  const std::string& failure() const { return failure_; }  // empty: it went well
  bool suspended() const { return suspended_; }
  std::string take() { return std::move(out_); }

 private:
  bool fail(std::string why);
  bool wantsBinary(std::size_t column) const;
  bool append(const std::string& message);

  const ClientCodec& codec_;
  const ResultFormat format_;
  const bool described_;
  const std::size_t maxBytes_, maxRows_;
  std::vector<std::uint32_t> types_;
  std::vector<bool> binary_;  // by column, as the asker gets it
  std::size_t rows_ = 0;
  bool suspended_ = false;
  std::string out_, failure_;
};

}  // namespace sablespur::translation
