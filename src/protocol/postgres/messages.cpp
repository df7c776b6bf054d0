#include "protocol/postgres/messages.hpp"

#include <algorithm>
#include <charconv>

#include "protocol/postgres/bytes.hpp"

namespace sablespur::postgres {
namespace {

// Guards against a client that fills the memory with groups that do not exist: the list knows no larger
// number.
constexpr std::uint32_t kLargestCluster = 65535;

template <typename T>
bool toNumber(std::string_view text, T& value) {
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && stop == end && !text.empty();
}

}  // namespace

std::uint32_t readInt32(const char* p) {
  std::uint32_t v = 0;
  for (int k = 0; k < 4; ++k) v = v << 8 | static_cast<unsigned char>(p[k]);
  return v;
}

std::optional<MessageHeader> parseHeader(const char (&bytes)[kHeaderSize]) {
  const std::uint32_t length = readInt32(bytes + 1);
  if (length < 4 || length > kMaxMessage) return std::nullopt;
  return MessageHeader{bytes[0], length - 4};
}

std::string queryHeader(std::size_t length) {
  std::string head(1, 'Q');
  put32(head, static_cast<std::uint32_t>(length + 4));
  return head;
}

std::string message(char type, std::string_view body) {
  std::string m(1, type);
  put32(m, static_cast<std::uint32_t>(body.size() + 4));
  m.append(body);
  return m;
}

std::string startup(std::string_view user, std::string_view database) {
  std::string body;
  put32(body, kVersion3);
  for (const std::string_view text : {std::string_view("user"), user, std::string_view("database"), database})
    body.append(text).push_back('\0');
  body.push_back('\0');
  std::string m;
  put32(m, static_cast<std::uint32_t>(body.size() + 4));
  return m + body;
}

std::string query(std::string_view statement) { return message('Q', std::string(statement) + '\0'); }
std::string parameterStatus(std::string_view name, std::string_view value) {
  return message('S', std::string(name) + '\0' + std::string(value) + '\0');
}
std::string readyForQuery() { return message('Z', "I"); }

std::string greeting() {
  using namespace std::string_view_literals;
  std::string m = message('R', "\0\0\0\0"sv);
  m += message('S',
               "server_version\0"
               "15.0\0"sv);
  m += message('S', "server_encoding\0UTF8\0"sv);
  m += message('S', "client_encoding\0UTF8\0"sv);
  m += message('S', "standard_conforming_strings\0on\0"sv);
  m += message('K', "\0\0\0\1\0\0\0\0"sv);
  return m + readyForQuery();
}

std::string error(const char* severity, const char* code, std::string_view text, std::string_view detail) {
  std::string body;
  const auto field = [&](char type, std::string_view value) {
    body.push_back(type);
    body.append(value).push_back('\0');
  };
  field('S', severity);
  field('V', severity);
  field('C', code);
  field('M', text);
  if (!detail.empty()) field('D', detail);
  body.push_back('\0');
  return message('E', body);
}

ErrorFields parseError(std::string_view body) {
  ErrorFields fields;
  while (!body.empty() && body[0] != '\0') {
    const char type = body[0];
    body.remove_prefix(1);
    const auto value = takeText(body);
    if (!value) return {};
    if (type == 'S') fields.severity = *value;
    if (type == 'C') fields.code = *value;
    if (type == 'M') fields.text = *value;
  }
  const bool whole = body.size() == 1 && fields.code.size() == 5;
  return whole ? fields : ErrorFields{};
}

bool isRowDescription(std::string_view body) {
  constexpr std::size_t kColumnTail = 18;  // table, column, type, size, modifier, format
  if (body.size() < 2 || body[0] != 0 || body[1] != 1) return false;
  body.remove_prefix(2);
  return takeText(body) && body.size() == kColumnTail;
}
bool isRowHeader(const char (&bytes)[kRowHeaderSize], std::size_t body) {
  return bytes[0] == 0 && bytes[1] == 1 && body >= kRowHeaderSize && body - kRowHeaderSize <= kMaxValue &&
         readInt32(bytes + 2) == body - kRowHeaderSize;
}
bool isCommandTag(std::string_view body, bool oneRow) {
  if (body.empty() || body.find('\0') != body.size() - 1) return false;
  body.remove_suffix(1);
  return !oneRow || (body.size() > 2 && body.substr(body.size() - 2) == " 1");
}

std::pair<std::string_view, std::string_view> parseParameter(std::string_view body) {
  const auto name = takeText(body);
  const auto value = name ? takeText(body) : std::nullopt;
  if (!value || !body.empty()) return {};
  return {*name, *value};
}

std::optional<std::string_view> parseColumn(std::string_view body) {
  if (body.size() < 6 || body[0] != 0 || body[1] != 1) return std::nullopt;
  const std::uint32_t length = readInt32(body.data() + 2);
  if (length != body.size() - 6) return std::nullopt;  // NULL is 2^32 - 1
  return body.substr(6);
}

Comment parseComment(std::string_view text) {
  Comment c;
  const std::size_t open = text.rfind("/*"), close = text.rfind("*/");
  if (open == std::string_view::npos || close == std::string_view::npos || close < open + 2) {
    c.fault = "no comment at the end of the statement";
    return c;
  }
  bool cluster = false;
  for (std::size_t at = open + 2; at < close;) {
    const std::size_t end = std::min(text.find(',', at), close);
    std::size_t from = at, to = end;
    while (from < to && text[from] == ' ') ++from;
    while (to > from && text[to - 1] == ' ') --to;
    at = end + 1;
    const std::size_t eq = text.find('=', from);
    if (eq >= to) continue;
    const std::string_view name = text.substr(from, eq - from), value = text.substr(eq + 1, to - eq - 1);
    if (name == "id") {
      c.id = value;
    } else if (name == "c") {
      c.className = value;
    } else if (name == "k") {
      c.key = value;
    } else if (name == "d") {
      if (!toNumber(value, c.timeLeftMs)) c.fault = "d is no number of milliseconds";
      c.timeLeftOffset = eq + 1;
      c.timeLeftLength = value.size();
    } else if (name == "cluster") {
      cluster = toNumber(value, c.cluster) && c.cluster <= kLargestCluster;
    } else if (name == "after") {
      if (!toNumber(value, c.after)) c.fault = "after is no position";
    }
  }
  if (c.id.empty()) c.fault = "the comment has no id";
  if (!cluster) c.fault = "the comment has no usable cluster";
  return c;
}

std::string_view parseKey(std::string_view text) {
  const std::size_t from = text.find('\'');
  const std::size_t to = from == std::string_view::npos ? from : text.find('\'', from + 1);
  return to == std::string_view::npos ? std::string_view() : text.substr(from + 1, to - from - 1);
}

}  // namespace sablespur::postgres
