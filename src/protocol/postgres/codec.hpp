// Version 3's form of what translate/terms.hpp names: answers and errors, read from data servers and written
// for clients. Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "translation/terms.hpp"

namespace sablespur::postgres {

class Codec final : public translation::ClientCodec {
 public:
  explicit Codec(int minor) : minor_(minor) {}
  std::string columns(const std::vector<translation::Column>&) const override;
  void appendRow(std::string& to, const std::vector<translation::Value>&, bool binary) const override;
  std::string commandComplete(std::string_view tag) const override;
  std::string emptyQueryResponse() const override;
  std::string errorResponse(const translation::ErrorReport&) const override;
  std::string ready() const override;

 private:
  const int minor_;  // 3.0's clients get the fields of its time alone
};

// Version 3's answers, whatever the minor version.
const translation::AnswerReader& reader();

// Messages of an answer, from RowDescription or CommandComplete on; false: they are malformed, or the taker
// said so.
bool readAnswer(std::string_view messages, translation::AnswerConsumer&);
// The body of a RowDescription: names point into it. False: it is malformed.
bool readColumns(std::string_view body, std::vector<translation::Column>&);
// The form alone, for answers that are passed on as they are: a DataRow of so many columns.
bool isRow(std::string_view body, std::size_t columns);
// The body of an ErrorResponse; fields that are not known are passed over. Its code is empty where it is
// malformed.
translation::ErrorReport parseErrorReport(std::string_view body);

}  // namespace sablespur::postgres
