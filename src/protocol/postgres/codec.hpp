// Encodes the types of translation/terms.hpp as messages of protocol 3 for clients. Does no I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "protocol/postgres/answer_reader.hpp"  // IWYU pragma: export
#include "translation/terms.hpp"

namespace sablespur::postgres {

class Codec final : public translation::ClientCodec {
 public:
  // `minor`: the minor version of the protocol. Clients of 3.0 receive only the error fields of
  // PostgreSQL 7.4.
  explicit Codec(int minor) : minor_(minor) {}

  std::string columns(const std::vector<translation::Column>& columns) const override;
  // DataRow does not carry the format of its values, so `binary` has no effect.
  void appendRow(std::string& to, const std::vector<translation::Value>& values, bool binary) const override;
  std::string commandComplete(std::string_view tag) const override;
  std::string emptyQueryResponse() const override;
  std::string errorResponse(const translation::ErrorReport& report) const override;
  std::string ready() const override;

 private:
  const int minor_;
};

}  // namespace sablespur::postgres
