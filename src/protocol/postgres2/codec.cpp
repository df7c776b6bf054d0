#include "protocol/postgres2/codec.hpp"

#include "protocol/postgres2/pg2.hpp"

namespace sablespur::pg2 {

std::string Codec::columns(const std::vector<translation::Column>& columns) const {
  std::vector<Column> own;
  for (const translation::Column& c : columns)
    own.push_back({std::string(c.name), c.type, c.size, c.modifier});
  return cursor() + rowDescription(own);
}

void Codec::addRow(std::string& to, const std::vector<translation::Value>& values, bool binary) const {
  pg2::addRow(to, values, binary);
}

// "SELECT 3" counts since 9.0; programs of 2.0's time compare with "SELECT".
std::string Codec::completed(std::string_view tag) const {
  return pg2::completed(tag.substr(0, 7) == "SELECT " ? "SELECT" : tag);
}
std::string Codec::emptyStatement() const { return emptyQuery(); }
std::string Codec::ready() const { return pg2::ready(); }

std::string Codec::problem(const translation::Problem& p) const {
  std::string text = p.severity + ":  " + p.text;
  if (!p.detail.empty()) text += "\nDETAIL:  " + p.detail;
  if (!p.hint.empty()) text += "\nHINT:  " + p.hint;
  if (p.comeBackMs) text += "\nRETRY:  " + std::to_string(*p.comeBackMs) + " ms";
  return error(text + "\n");
}

}  // namespace sablespur::pg2
