#include "protocol/postgres/answer_reader.hpp"

#include <algorithm>

#include "protocol/postgres/bytes.hpp"
#include "protocol/postgres/error_fields.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur::postgres {
namespace {

using translation::AnswerConsumer;
using translation::Column;
using translation::ErrorReport;
using translation::Value;

constexpr std::size_t kCountSize = 2;
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kSqlStateLength = 5;

// Fields after a column's name, with their sizes in bytes: table (4), column (2), type (4), size
// (2), modifier (4), format (2).
constexpr std::size_t kColumnTailSize = 18;
constexpr std::size_t kTypeOffset = 6;
constexpr std::size_t kSizeOffset = 10;
constexpr std::size_t kModifierOffset = 12;
constexpr std::size_t kFormatOffset = 16;

struct Message {
  char type;
  std::string_view body;
};

// Removes a message from the front of `from`; std::nullopt if there is no complete one.
std::optional<Message> takeMessage(std::string_view& from) {
  if (from.size() < kHeaderSize) return std::nullopt;
  char bytes[kHeaderSize];
  std::copy_n(from.data(), kHeaderSize, bytes);
  const auto header = parseHeader(bytes);
  if (!header || from.size() - kHeaderSize < header->bodySize) return std::nullopt;
  const std::string_view body = from.substr(kHeaderSize, header->bodySize);
  from.remove_prefix(kHeaderSize + header->bodySize);
  return Message{header->type, body};
}

// Removes a value from the front of `from` and appends it to `values`; returns false if it is
// truncated.
bool takeValue(std::string_view& from, std::vector<Value>& values) {
  if (from.size() < kLengthSize) return false;
  const std::uint32_t length = readInt32(from.data());
  from.remove_prefix(kLengthSize);
  if (length == kNullLength) {
    values.emplace_back();
    return true;
  }
  if (length > from.size()) return false;
  values.emplace_back(from.substr(0, length));
  from.remove_prefix(length);
  return true;
}

bool readRow(std::string_view body, std::vector<Value>& values) {
  values.clear();
  if (body.size() < kCountSize) return false;
  const std::size_t count = read16(body, 0);
  body.remove_prefix(kCountSize);
  for (std::size_t k = 0; k < count; ++k)
    if (!takeValue(body, values)) return false;
  return body.empty();
}

std::optional<Column> takeColumn(std::string_view& from) {
  const auto name = takeText(from);
  if (!name || from.size() < kColumnTailSize) return std::nullopt;
  Column column;
  column.name = *name;
  column.type = readInt32(from.data() + kTypeOffset);
  column.size = static_cast<std::int16_t>(read16(from, kSizeOffset));
  column.modifier = static_cast<std::int32_t>(readInt32(from.data() + kModifierOffset));
  column.binary = read16(from, kFormatOffset) == 1;
  from.remove_prefix(kColumnTailSize);
  return column;
}

void setField(ErrorReport& report, char letter, const std::string& text) {
  for (const ErrorField& field : kFirstErrorFields)
    if (field.letter == letter) report.*field.text = text;
  for (const ErrorField& field : kLaterErrorFields)
    if (field.letter == letter) report.*field.text = text;
}

class Reader final : public translation::AnswerReader {
 public:
  bool read(std::string_view messages, AnswerConsumer& consumer) const override {
    return readAnswer(messages, consumer);
  }
  ErrorReport readError(std::string_view messages) const override {
    return parseErrorReport(messages.substr(std::min(kHeaderSize, messages.size())));
  }
};

}  // namespace

const translation::AnswerReader& reader() {
  static const Reader instance;
  return instance;
}

bool readAnswer(std::string_view messages, AnswerConsumer& consumer) {
  std::vector<Value> values;
  std::vector<Column> columns;
  while (const auto message = takeMessage(messages)) {
    const std::string_view body = message->body;
    if (message->type == 'T') {
      if (!readColumns(body, columns) || !consumer.columns(columns)) return false;
    } else if (message->type == 'D') {
      if (!readRow(body, values) || !consumer.row(values)) return false;
    } else if (message->type == 'C') {
      const bool isLast = messages.empty() && isCommandTag(body, false);
      return isLast && consumer.completed(body.substr(0, body.size() - 1));
    } else {
      return false;
    }
  }
  return false;  // no CommandComplete
}

bool readColumns(std::string_view body, std::vector<Column>& columns) {
  columns.clear();
  if (body.size() < kCountSize) return false;
  const std::size_t count = read16(body, 0);
  if (count > translation::kMaxColumns) return false;
  body.remove_prefix(kCountSize);
  for (std::size_t k = 0; k < count; ++k) {
    const auto column = takeColumn(body);
    if (!column) return false;
    columns.push_back(*column);
  }
  return body.empty();
}

bool isRow(std::string_view body, std::size_t columns) {
  std::vector<Value> values;
  return readRow(body, values) && values.size() == columns;
}

ErrorReport parseErrorReport(std::string_view body) {
  ErrorReport report;
  report.severity.clear();
  std::string nonLocalizedSeverity;
  while (!body.empty() && body[0] != '\0') {
    const char letter = body[0];
    body.remove_prefix(1);
    const auto value = takeText(body);
    if (!value) return {};
    const std::string text(*value);
    if (letter == kNonLocalizedSeverity) nonLocalizedSeverity = text;
    setField(report, letter, text);
  }
  if (body.size() != 1 || report.code.size() != kSqlStateLength) return {};
  if (!nonLocalizedSeverity.empty()) report.severity = nonLocalizedSeverity;
  return report;
}

}  // namespace sablespur::postgres
