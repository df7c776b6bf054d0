// Encodes the types of translation/terms.hpp as messages of protocol 2.0 for clients. Does no I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "translation/terms.hpp"

namespace sablespur::postgres2 {

class Codec final : public translation::ClientCodec {
 public:
  // Includes the CursorResponse that precedes RowDescription.
  std::string columns(const std::vector<translation::Column>& columns) const override;
  void appendRow(std::string& to, const std::vector<translation::Value>& values, bool binary) const override;
  std::string commandComplete(std::string_view tag) const override;
  std::string emptyQueryResponse() const override;
  // A single text without an SQLSTATE. It starts with "ERROR:  ...", which clients of that time
  // look for; detail and hint follow on separate lines. The last line, "RETRY:  250 ms", gives the
  // retry delay.
  std::string errorResponse(const translation::ErrorReport& report) const override;
  std::string ready() const override;
};

}  // namespace sablespur::postgres2
