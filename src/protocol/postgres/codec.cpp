#include "protocol/postgres/codec.hpp"

#include <algorithm>

#include "protocol/postgres/bytes.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur::postgres {
namespace {

using translation::Column;
using translation::ErrorReport;
using translation::Value;

constexpr std::size_t kColumnTail = 18;  // table, column, type, size, modifier, format

std::uint16_t read16(std::string_view from, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(from[at]) << 8 |
                                    static_cast<unsigned char>(from[at + 1]));
}

bool readRow(std::string_view body, std::vector<Value>& values) {
  values.clear();
  if (body.size() < 2) return false;
  const std::size_t n = read16(body, 0);
  body.remove_prefix(2);
  for (std::size_t k = 0; k < n; ++k) {
    if (body.size() < 4) return false;
    const std::uint32_t length = readInt32(body.data());
    body.remove_prefix(4);
    if (length == 0xffffffff) {
      values.emplace_back();
      continue;
    }
    if (length > body.size()) return false;
    values.emplace_back(body.substr(0, length));
    body.remove_prefix(length);
  }
  return body.empty();
}

struct Field {
  char letter;
  std::string ErrorReport::*text;
};
// Those of 7.4, when 3.0 was new, then those that came later.
constexpr Field kFirstFields[] = {{'S', &ErrorReport::severity}, {'C', &ErrorReport::code},
                                  {'M', &ErrorReport::text},     {'D', &ErrorReport::detail},
                                  {'H', &ErrorReport::hint},     {'P', &ErrorReport::position}};
constexpr Field kLaterFields[] = {{'s', &ErrorReport::schema},
                                  {'t', &ErrorReport::table},
                                  {'c', &ErrorReport::column},
                                  {'d', &ErrorReport::type},
                                  {'n', &ErrorReport::constraint}};

}  // namespace

std::string Codec::columns(const std::vector<Column>& columns) const {
  std::string body;
  put16(body, columns.size());
  for (const Column& c : columns) {
    body.append(c.name).push_back('\0');
    put32(body, 0);  // of no table that the client could ask for
    put16(body, 0);
    put32(body, c.type);
    put16(body, static_cast<std::uint16_t>(c.size));
    put32(body, static_cast<std::uint32_t>(c.modifier));
    put16(body, c.binary ? 1 : 0);
  }
  return message('T', body);
}

void Codec::appendRow(std::string& to, const std::vector<Value>& values, bool) const {
  std::size_t size = 2;
  for (const Value& v : values) size += 4 + (v ? v->size() : 0);
  to.reserve(to.size() + kHeaderSize + size);
  to.push_back('D');
  put32(to, static_cast<std::uint32_t>(size + 4));
  put16(to, values.size());
  for (const Value& v : values) {
    put32(to, v ? static_cast<std::uint32_t>(v->size()) : 0xffffffff);
    if (v) to.append(*v);
  }
}

std::string Codec::commandComplete(std::string_view tag) const {
  return message('C', std::string(tag) + '\0');
}
std::string Codec::emptyQueryResponse() const { return message('I', {}); }
std::string Codec::ready() const { return readyForQuery(); }

std::string Codec::errorResponse(const ErrorReport& p) const {
  std::string body;
  const auto put = [&](char letter, const std::string& text) {
    if (text.empty()) return;
    body.push_back(letter);
    body.append(text.c_str()).push_back('\0');
  };
  for (const Field& f : kFirstFields) {
    put(f.letter, p.*f.text);
    if (f.letter == 'S') put('V', p.severity);
    // When to come back is a number alone in the detail, for programs.
    if (f.letter == 'D' && p.detail.empty() && p.retryAfterMs) put('D', std::to_string(*p.retryAfterMs));
  }
  if (minor_ > 0)
    for (const Field& f : kLaterFields) put(f.letter, p.*f.text);
  body.push_back('\0');
  return message('E', body);
}

bool readColumns(std::string_view body, std::vector<Column>& columns) {
  columns.clear();
  if (body.size() < 2) return false;
  const std::size_t n = read16(body, 0);
  if (n > translation::kMaxColumns) return false;
  body.remove_prefix(2);
  for (std::size_t k = 0; k < n; ++k) {
    const std::size_t end = body.find('\0');
    if (end == std::string_view::npos || body.size() - end - 1 < kColumnTail) return false;
    Column c;
    c.name = body.substr(0, end);
    body.remove_prefix(end + 1);
    c.type = readInt32(body.data() + 6);
    c.size = static_cast<std::int16_t>(read16(body, 10));
    c.modifier = static_cast<std::int32_t>(readInt32(body.data() + 12));
    c.binary = read16(body, 16) == 1;
    body.remove_prefix(kColumnTail);
    columns.push_back(c);
  }
  return body.empty();
}

bool isRow(std::string_view body, std::size_t columns) {
  std::vector<Value> values;
  return readRow(body, values) && values.size() == columns;
}

bool readAnswer(std::string_view in, translation::AnswerConsumer& taker) {
  std::vector<Value> values;
  std::vector<Column> columns;
  while (in.size() >= kHeaderSize) {
    char bytes[kHeaderSize];
    std::copy_n(in.data(), kHeaderSize, bytes);
    const auto head = parseHeader(bytes);
    if (!head || in.size() - kHeaderSize < head->bodySize) return false;
    const std::string_view body = in.substr(kHeaderSize, head->bodySize);
    in.remove_prefix(kHeaderSize + head->bodySize);
    if (head->type == 'T') {
      if (!readColumns(body, columns) || !taker.columns(columns)) return false;
    } else if (head->type == 'D') {
      if (!readRow(body, values) || !taker.row(values)) return false;
    } else if (head->type == 'C') {
      return in.empty() && isCommandTag(body, false) && taker.completed(body.substr(0, body.size() - 1));
    } else {
      return false;
    }
  }
  return false;  // without its completion
}

namespace {
class Reader final : public translation::AnswerReader {
 public:
  bool read(std::string_view messages, translation::AnswerConsumer& taker) const override {
    return readAnswer(messages, taker);
  }
  ErrorReport readError(std::string_view messages) const override {
    return parseErrorReport(messages.substr(std::min(kHeaderSize, messages.size())));
  }
};
}  // namespace
const translation::AnswerReader& reader() {
  static const Reader one;
  return one;
}

ErrorReport parseErrorReport(std::string_view body) {
  ErrorReport p;
  p.severity.clear();
  std::string nonLocalized;
  while (!body.empty() && body[0] != '\0') {
    const char letter = body[0];
    const std::size_t end = body.find('\0', 1);
    if (end == std::string_view::npos) return {};
    const std::string text(body.substr(1, end - 1));
    body.remove_prefix(end + 1);
    if (letter == 'V') nonLocalized = text;
    for (const Field& f : kFirstFields)
      if (f.letter == letter) p.*f.text = text;
    for (const Field& f : kLaterFields)
      if (f.letter == letter) p.*f.text = text;
  }
  if (body.size() != 1 || p.code.size() != 5) return {};
  if (!nonLocalized.empty()) p.severity = nonLocalized;
  return p;
}

}  // namespace sablespur::postgres
