#include "protocol/postgres2/codec.hpp"

#include "protocol/postgres2/messages.hpp"

namespace sablespur::postgres2 {

std::string Codec::columns(const std::vector<translation::Column>& columns) const {
  std::vector<Column> described;
  described.reserve(columns.size());
  for (const translation::Column& column : columns)
    described.push_back({std::string(column.name), column.type, column.size, column.modifier});
  return cursor() + rowDescription(described);
}

void Codec::appendRow(std::string& to, const std::vector<translation::Value>& values, bool binary) const {
  postgres2::appendRow(to, values, binary);
}

std::string Codec::commandComplete(std::string_view tag) const {
  // The tag includes the row count ("SELECT 3") since 9.0; clients of protocol 2.0 compare it with
  // "SELECT".
  constexpr std::string_view kCountedSelect = "SELECT ";
  const bool countedSelect = tag.substr(0, kCountedSelect.size()) == kCountedSelect;
  return postgres2::completed(countedSelect ? "SELECT" : tag);
}

std::string Codec::emptyQueryResponse() const { return emptyQuery(); }
std::string Codec::ready() const { return postgres2::ready(); }

std::string Codec::errorResponse(const translation::ErrorReport& report) const {
  std::string text = report.severity + ":  " + report.text;
  if (!report.detail.empty()) text += "\nDETAIL:  " + report.detail;
  if (!report.hint.empty()) text += "\nHINT:  " + report.hint;
  if (report.retryAfterMs) text += "\nRETRY:  " + std::to_string(*report.retryAfterMs) + " ms";
  return error(text + "\n");
}

}  // namespace sablespur::postgres2
