// Version 2's form of what translate/terms.hpp names, for clients. Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "translation/terms.hpp"

namespace sablespur::postgres2 {

class Codec final : public translation::ClientCodec {
 public:
  std::string columns(const std::vector<translation::Column>&) const override;
  void appendRow(std::string& to, const std::vector<translation::Value>&, bool binary) const override;
  std::string commandComplete(std::string_view tag) const override;
  std::string emptyQueryResponse() const override;
  // One string, without a code: what programs of that time look for stands at its beginning ("ERROR:  ..."),
  // the rest follows in lines of their own. When to come back is the last line, "RETRY:  250 ms".
  std::string errorResponse(const translation::ErrorReport&) const override;
  std::string ready() const override;
};

}  // namespace sablespur::postgres2
