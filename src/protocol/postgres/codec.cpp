#include "protocol/postgres/codec.hpp"

#include "protocol/postgres/bytes.hpp"
#include "protocol/postgres/error_fields.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur::postgres {
namespace {

using translation::Column;
using translation::ErrorReport;
using translation::Value;

constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kCountSize = 2;

void putField(std::string& body, char letter, const std::string& text) {
  if (text.empty()) return;
  body.push_back(letter);
  putText(body, text.substr(0, text.find('\0')));
}

}  // namespace

std::string Codec::columns(const std::vector<Column>& columns) const {
  std::string body;
  put16(body, columns.size());
  for (const Column& column : columns) {
    putText(body, column.name);
    put32(body, 0);  // table and column: unknown to the client
    put16(body, 0);
    put32(body, column.type);
    put16(body, static_cast<std::uint16_t>(column.size));
    put32(body, static_cast<std::uint32_t>(column.modifier));
    put16(body, column.binary ? 1 : 0);
  }
  return message('T', body);
}

void Codec::appendRow(std::string& to, const std::vector<Value>& values, bool /*binary*/) const {
  std::size_t bodySize = kCountSize;
  for (const Value& value : values) bodySize += kLengthSize + (value ? value->size() : 0);
  to.reserve(to.size() + kHeaderSize + bodySize);
  to.push_back('D');
  put32(to, static_cast<std::uint32_t>(bodySize + kLengthSize));
  put16(to, values.size());
  for (const Value& value : values) {
    put32(to, value ? static_cast<std::uint32_t>(value->size()) : kNullLength);
    if (value) to.append(*value);
  }
}

std::string Codec::commandComplete(std::string_view tag) const {
  return message('C', std::string(tag) + '\0');
}

std::string Codec::emptyQueryResponse() const { return message('I', {}); }
std::string Codec::ready() const { return readyForQuery(); }

std::string Codec::errorResponse(const ErrorReport& report) const {
  std::string body;
  for (const ErrorField& field : kFirstErrorFields) {
    putField(body, field.letter, report.*field.text);
    if (field.letter == 'S') putField(body, kNonLocalizedSeverity, report.severity);
    // Clients read the retry delay in milliseconds from a detail that consists of a number alone.
    if (field.letter == 'D' && report.detail.empty() && report.retryAfterMs)
      putField(body, 'D', std::to_string(*report.retryAfterMs));
  }
  if (minor_ > 0)
    for (const ErrorField& field : kLaterErrorFields) putField(body, field.letter, report.*field.text);
  body.push_back('\0');
  return message('E', body);
}

}  // namespace sablespur::postgres
