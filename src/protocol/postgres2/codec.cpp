#include "protocol/postgres2/codec.hpp"

#include "protocol/postgres2/messages.hpp"

namespace sablespur::postgres2 {

std::string Codec::columns(const std::vector<translation::Column>& columns) const {
  std::vector<Column> own;
  for (const translation::Column& c : columns)
    own.push_back({std::string(c.name), c.type, c.size, c.modifier});
  return cursor() + rowDescription(own);
}

void Codec::appendRow(std::string& to, const std::vector<translation::Value>& values, bool binary) const {
  postgres2::appendRow(to, values, binary);
}

// "SELECT 3" counts since 9.0; programs of 2.0's time compare with "SELECT".
std::string Codec::commandComplete(std::string_view tag) const {
  return postgres2::completed(tag.substr(0, 7) == "SELECT " ? "SELECT" : tag);
}
std::string Codec::emptyQueryResponse() const { return emptyQuery(); }
std::string Codec::ready() const { return postgres2::ready(); }

std::string Codec::errorResponse(const translation::ErrorReport& p) const {
  std::string text = p.severity + ":  " + p.text;
  if (!p.detail.empty()) text += "\nDETAIL:  " + p.detail;
  if (!p.hint.empty()) text += "\nHINT:  " + p.hint;
  if (p.retryAfterMs) text += "\nRETRY:  " + std::to_string(*p.retryAfterMs) + " ms";
  return error(text + "\n");
}

}  // namespace sablespur::postgres2
