#include "protocol/postgres/messages.hpp"

#include "protocol/postgres/bytes.hpp"

namespace sablespur::postgres {
namespace {

constexpr std::size_t kLengthSize = 4;  // every length includes itself
// Fields after a column's name: table, column, type, size, modifier, format.
constexpr std::size_t kColumnTailSize = 18;
constexpr std::size_t kSqlStateLength = 5;

// Whether the body starts with a column count of one.
bool hasOneColumn(std::string_view body) { return body.size() >= 2 && read16(body, 0) == 1; }

}  // namespace

std::uint32_t readInt32(const char* bytes) {
  std::uint32_t value = 0;
  for (int k = 0; k < 4; ++k) value = value << 8 | static_cast<unsigned char>(bytes[k]);
  return value;
}

std::optional<MessageHeader> parseHeader(const char (&bytes)[kHeaderSize]) {
  const std::uint32_t length = readInt32(bytes + 1);
  if (length < kLengthSize || length > kMaxMessage) return std::nullopt;
  return MessageHeader{bytes[0], length - kLengthSize};
}

std::string queryHeader(std::size_t length) {
  std::string header(1, 'Q');
  put32(header, static_cast<std::uint32_t>(length + kLengthSize));
  return header;
}

std::string message(char type, std::string_view body) {
  std::string whole(1, type);
  put32(whole, static_cast<std::uint32_t>(body.size() + kLengthSize));
  whole.append(body);
  return whole;
}

std::string startup(std::string_view user, std::string_view database) {
  std::string body;
  put32(body, kVersion3);
  putText(body, "user");
  putText(body, user);
  putText(body, "database");
  putText(body, database);
  body.push_back('\0');
  std::string packet;
  put32(packet, static_cast<std::uint32_t>(body.size() + kLengthSize));
  return packet + body;
}

std::string query(std::string_view statement) { return message('Q', std::string(statement) + '\0'); }

std::string parameterStatus(std::string_view name, std::string_view value) {
  std::string body;
  putText(body, name);
  putText(body, value);
  return message('S', body);
}

std::string readyForQuery() { return message('Z', "I"); }

std::string greeting() {
  using namespace std::string_view_literals;
  std::string messages = message('R', "\0\0\0\0"sv);  // AuthenticationOk
  messages += parameterStatus("server_version", "15.0");
  messages += parameterStatus("server_encoding", "UTF8");
  messages += parameterStatus("client_encoding", "UTF8");
  messages += parameterStatus("standard_conforming_strings", "on");
  messages += message('K', "\0\0\0\1\0\0\0\0"sv);  // BackendKeyData: process 1, key 0
  return messages + readyForQuery();
}

std::string error(const char* severity, const char* code, std::string_view text, std::string_view detail) {
  std::string body;
  const auto putField = [&body](char type, std::string_view value) {
    body.push_back(type);
    putText(body, value);
  };
  putField('S', severity);
  putField('V', severity);
  putField('C', code);
  putField('M', text);
  if (!detail.empty()) putField('D', detail);
  body.push_back('\0');
  return message('E', body);
}

ErrorFields parseError(std::string_view body) {
  ErrorFields fields;
  while (!body.empty() && body[0] != '\0') {
    const char type = body[0];
    body.remove_prefix(1);
    const std::optional<std::string_view> value = takeText(body);
    if (!value) return {};
    if (type == 'S') fields.severity = *value;
    if (type == 'C') fields.code = *value;
    if (type == 'M') fields.text = *value;
  }
  const bool whole = body.size() == 1 && fields.code.size() == kSqlStateLength;
  return whole ? fields : ErrorFields{};
}

bool isRowDescription(std::string_view body) {
  if (!hasOneColumn(body)) return false;
  body.remove_prefix(2);
  return takeText(body) && body.size() == kColumnTailSize;
}

bool isRowHeader(const char (&bytes)[kRowHeaderSize], std::size_t body) {
  if (!hasOneColumn({bytes, kRowHeaderSize}) || body < kRowHeaderSize) return false;
  const std::size_t valueSize = body - kRowHeaderSize;
  return valueSize <= kMaxValue && readInt32(bytes + 2) == valueSize;
}

bool isCommandTag(std::string_view body, bool oneRow) {
  if (body.empty() || body.find('\0') != body.size() - 1) return false;
  if (!oneRow) return true;
  constexpr std::string_view kOneRow = " 1";
  const std::string_view tag = body.substr(0, body.size() - 1);
  return tag.size() > kOneRow.size() && tag.substr(tag.size() - kOneRow.size()) == kOneRow;
}

std::pair<std::string_view, std::string_view> parseParameter(std::string_view body) {
  const auto name = takeText(body);
  const auto value = name ? takeText(body) : std::nullopt;
  if (!value || !body.empty()) return {};
  return {*name, *value};
}

std::optional<std::string_view> parseColumn(std::string_view body) {
  if (!hasOneColumn(body) || body.size() < kRowHeaderSize) return std::nullopt;
  const std::string_view value = body.substr(kRowHeaderSize);
  if (readInt32(body.data() + 2) != value.size()) return std::nullopt;  // also for NULL (kNullLength)
  return value;
}

}  // namespace sablespur::postgres
