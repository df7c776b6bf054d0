#include "backend/postgres/answer_parser.hpp"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur {
namespace {

// Limits the memory used by an answer with any number of rows.
constexpr std::size_t kMaxAnswerSize = 256 << 10;
constexpr std::size_t kColumnCountLength = 2;
constexpr std::size_t kValueLengthLength = 4;
constexpr std::uint32_t kNullLength = 0xffffffff;

// Whether the DataRow at the front of `input` has one column whose length matches the body size.
bool isSingleValue(evbuffer* input, std::size_t body) {
  char start[postgres::kHeaderSize + postgres::kRowHeaderSize];
  if (evbuffer_copyout(input, start, sizeof start) != static_cast<ev_ssize_t>(sizeof start)) return false;
  char rowHead[postgres::kRowHeaderSize];
  std::copy(start + postgres::kHeaderSize, start + sizeof start, rowHead);
  return postgres::isRowHeader(rowHead, body);
}

// Copies `length` bytes starting at `at`; returns false if fewer are available.
bool peek(evbuffer* input, evbuffer_ptr& at, char* to, std::size_t length) {
  return evbuffer_copyout_from(input, &at, to, length) == static_cast<ev_ssize_t>(length);
}

// Returns 0, the value for "not reported", if `text` is malformed.
std::int64_t parsePosition(std::string_view text) {
  std::int64_t position = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, position);
  return error == std::errc() && stop == end ? position : 0;
}

Role parseRole(std::string_view text) {
  if (text == "primary") return Role::Primary;
  if (text == "replica") return Role::Replica;
  return Role::Unknown;
}

}  // namespace

AnswerParser::AnswerParser(AnswerKind kind) : kind_(kind), messages_(newBuffer()) {}

bool AnswerParser::expects(char type) const {
  switch (type) {
    case 'S':
    case 'N':
      return true;
    case 'T':
      return stage_ == Stage::Start;
    case 'D':
      return stage_ == Stage::Described || (stage_ == Stage::Row && !singleRow());
    case 'C':
      return stage_ == Stage::Row || (stage_ < Stage::Row && !singleRow());
    case 'E':
      return stage_ < Stage::Complete;
    case 'Z':
      return stage_ >= Stage::Complete;
    default:
      return false;
  }
}

std::size_t AnswerParser::maxBodySize(char type) const {
  if (type == 'D')
    return singleRow() ? postgres::kRowHeaderSize + postgres::kMaxValue : postgres::kMaxMessage;
  return type == 'T' && !singleRow() ? postgres::kMaxMessage : postgres::kMaxOtherMessage;
}

bool AnswerParser::hasRoomFor(std::size_t messageLength) const {
  return evbuffer_get_length(messages_.get()) + messageLength <= kMaxAnswerSize;
}

MessageFault AnswerParser::takeRow(evbuffer* input, std::size_t body) {
  if (!(singleRow() ? isSingleValue(input, body) : isRow(input, body))) return "a malformed row";
  stage_ = Stage::Row;
  forward(input, postgres::kHeaderSize + body);
  return std::nullopt;
}

// Whether the DataRow has the number of columns of the RowDescription and their lengths match the
// body size. Values are not inspected.
bool AnswerParser::isRow(evbuffer* input, std::size_t body) const {
  evbuffer_ptr at{};
  char bytes[kValueLengthLength];
  if (body < kColumnCountLength ||
      evbuffer_ptr_set(input, &at, postgres::kHeaderSize, EVBUFFER_PTR_SET) != 0 ||
      !peek(input, at, bytes, kColumnCountLength))
    return false;
  const std::size_t count = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0])) << 8 |
                            static_cast<unsigned char>(bytes[1]);
  if (count != columns_) return false;
  std::size_t left = body - kColumnCountLength;
  std::size_t skip = kColumnCountLength;
  for (std::size_t k = 0; k < columns_; ++k) {
    if (left < kValueLengthLength || evbuffer_ptr_set(input, &at, skip, EVBUFFER_PTR_ADD) != 0 ||
        !peek(input, at, bytes, kValueLengthLength))
      return false;
    const std::uint32_t length = postgres::readInt32(bytes);
    const std::size_t value = length == kNullLength ? 0 : length;
    left -= kValueLengthLength;
    if (value > left) return false;
    left -= value;
    skip = kValueLengthLength + value;
  }
  return left == 0;
}

MessageFault AnswerParser::takeDescription(std::string_view body) {
  if (singleRow()) {
    if (!postgres::isRowDescription(body)) return "a malformed description";
  } else {
    std::vector<translation::Column> columns;
    if (!postgres::readColumns(body, columns)) return "a malformed description";
    columns_ = columns.size();
  }
  stage_ = Stage::Described;
  return std::nullopt;
}

MessageFault AnswerParser::takeCompletion(std::string_view body) {
  if (!postgres::isCommandTag(body, kind_ == AnswerKind::SingleValue)) return "a malformed completion";
  stage_ = Stage::Complete;
  return std::nullopt;
}

void AnswerParser::takeReport(std::string_view body) {
  if (const auto column = postgres::parseColumn(body)) report_ = std::string(*column);
  stage_ = Stage::Row;
}

void AnswerParser::takeError(const ServerError& error, std::string_view body, bool forwardStatementErrors) {
  stage_ = Stage::Failed;
  errorResult_ = error.result;
  invalidStatement_ = error.invalidStatement;
  cancelled_ = error.cancelled;
  if (!error.invalidStatement || !forwardStatementErrors) return;
  evbuffer_drain(messages_.get(), evbuffer_get_length(messages_.get()));
  append(messages_.get(), postgres::message('E', body));
}

void AnswerParser::takeParameter(std::string_view name, std::string_view value) {
  if (name == "role") role_ = parseRole(value);
  if (name == "applied_ms") positionMs_ = parsePosition(value);
}

void AnswerParser::forward(evbuffer* input, std::size_t messageLength) {
  evbuffer_remove_buffer(input, messages_.get(), messageLength);
}

AttemptEnd AnswerParser::finish(std::optional<AttemptResult> cancelledAs) {
  AttemptEnd end;
  end.result = stage_ == Stage::Failed ? errorResult_ : AttemptResult::Ok;
  // Any answer but the cancellation's own error was sent before the cancellation took effect and
  // keeps its result.
  if (cancelledAs && cancelled_) end.result = *cancelledAs;
  end.invalidStatement = invalidStatement_;
  end.role = role_;
  end.positionMs = positionMs_;
  const bool ok = end.result == AttemptResult::Ok;
  if (ok || evbuffer_get_length(messages_.get()) > 0)
    end.answer = {std::move(messages_), &postgres::reader(), !ok};
  return end;
}

}  // namespace sablespur
