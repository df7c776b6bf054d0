// Writes the terms of translation/terms.hpp as messages of protocol 2.0, for clients. Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "translation/terms.hpp"

namespace sablespur::postgres2 {

class Codec final : public translation::ClientCodec {
 public:
  // With the CursorResponse that goes before it.
  std::string columns(const std::vector<translation::Column>& columns) const override;
  void appendRow(std::string& to, const std::vector<translation::Value>& values, bool binary) const override;
  std::string commandComplete(std::string_view tag) const override;
  std::string emptyQueryResponse() const override;
  // One text, without an SQLSTATE: it begins with what programs of that time look for ("ERROR:  ..."), and
  // the rest follows on lines of its own. The last line, "RETRY:  250 ms", says when to retry.
  std::string errorResponse(const translation::ErrorReport& report) const override;
  std::string ready() const override;
};

}  // namespace sablespur::postgres2
