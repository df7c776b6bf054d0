// Version 2's form of what translate/terms.hpp names, for clients. Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "translation/terms.hpp"

namespace sablespur::pg2 {

class Codec final : public translation::ClientCodec {
 public:
  std::string columns(const std::vector<translation::Column>&) const override;
  void addRow(std::string& to, const std::vector<translation::Value>&, bool binary) const override;
  std::string completed(std::string_view tag) const override;
  std::string emptyStatement() const override;
  // One string, without a code: what programs of that time look for stands at its beginning ("ERROR:  ..."),
  // the rest follows in lines of their own. When to come back is the last line, "RETRY:  250 ms".
  std::string problem(const translation::Problem&) const override;
  std::string ready() const override;
};

}  // namespace sablespur::pg2
