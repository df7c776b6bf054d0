#include "protocol/postgres2/messages.hpp"

#include "protocol/postgres2/bytes.hpp"

namespace sablespur::postgres2 {
namespace {

constexpr std::size_t kLengthSize = 4;

// Sizes of the fields of the startup packet, after its length and version.
constexpr std::size_t kStartupHeader = 8;
constexpr std::size_t kDatabaseSize = 64;
constexpr std::size_t kUserSize = 32;
constexpr std::size_t kOptionsSize = 64;
constexpr std::size_t kUnusedSize = 64;
constexpr std::size_t kTtySize = 64;
static_assert(kStartupHeader + kDatabaseSize + kUserSize + kOptionsSize + kUnusedSize + kTtySize ==
              kStartupLength);

std::string_view upToNul(std::string_view text) { return text.substr(0, text.find('\0')); }

// A field of fixed size, padded with at least one NUL.
std::string padded(std::string_view text, std::size_t size) {
  std::string field(text.substr(0, size - 1));
  field.resize(size, '\0');
  return field;
}

// A message that consists of a single text.
std::string textMessage(char type, std::string_view text) {
  std::string message(1, type);
  message.append(upToNul(text));
  message.push_back('\0');
  return message;
}

// The same, truncated to kMaxText bytes including its type and NUL.
std::string boundedMessage(char type, std::string_view text) {
  return textMessage(type, text.substr(0, kMaxText - 2));
}

// AuthenticationRequests.
constexpr std::string_view kAuthOk{"R\0\0\0\0", 5};
constexpr std::string_view kAuthCleartext{"R\0\0\0\3", 5};
constexpr std::string_view kAuthMd5{"R\0\0\0\5", 5};
constexpr std::size_t kMd5SaltSize = 4;

}  // namespace

std::optional<Startup> parseStartup(std::string_view packet) {
  if (packet.size() != kStartupLength || read32(packet, 0) != kStartupLength) return std::nullopt;
  Startup startup;
  startup.version = read32(packet, kLengthSize);
  if (startup.version >> 16 != kVersion >> 16) return std::nullopt;
  packet.remove_prefix(kStartupHeader);
  startup.database = upToNul(packet.substr(0, kDatabaseSize));
  packet.remove_prefix(kDatabaseSize);
  startup.user = upToNul(packet.substr(0, kUserSize));
  packet.remove_prefix(kUserSize);
  startup.options = upToNul(packet.substr(0, kOptionsSize));
  return startup;
}

std::string startup(const Startup& startup) {
  std::string packet;
  put32(packet, kStartupLength);
  put32(packet, startup.version);
  packet += padded(startup.database, kDatabaseSize);
  packet += padded(startup.user, kUserSize);
  packet += padded(startup.options, kOptionsSize);
  return packet + std::string(kUnusedSize + kTtySize, '\0');
}

std::optional<Cancel> parseCancel(std::string_view packet) {
  if (packet.size() != kCancelLength || read32(packet, 0) != kCancelLength) return std::nullopt;
  if (read32(packet, kLengthSize) != kCancelCode) return std::nullopt;
  return Cancel{read32(packet, 2 * kLengthSize), read32(packet, 3 * kLengthSize)};
}

std::string cancel(const Cancel& cancel) {
  std::string packet;
  put32(packet, kCancelLength);
  put32(packet, kCancelCode);
  put32(packet, cancel.process);
  put32(packet, cancel.key);
  return packet;
}

std::optional<ClientMessage> parseClientMessage(std::string_view in, bool& malformed) {
  malformed = false;
  if (in.empty()) return std::nullopt;
  const char type = in[0];
  if (type == 'X' || type == 'F') return ClientMessage{type, {}, 1};
  if (type != 'Q') {
    malformed = true;
    return std::nullopt;
  }
  const std::size_t end = in.find('\0', 1);
  const bool whole = end != std::string_view::npos;
  malformed = (whole ? end : in.size()) > kMaxQuery;
  if (!whole || malformed) return std::nullopt;
  return ClientMessage{type, in.substr(1, end - 1), end + 1};
}

std::string query(std::string_view statement) { return textMessage('Q', statement); }

std::optional<std::string_view> parsePassword(std::string_view in, std::size_t& size, bool& malformed) {
  malformed = false;
  if (in.size() < kLengthSize) return std::nullopt;
  const std::uint32_t length = read32(in, 0);
  if (length <= kLengthSize || length > kMaxPassword) {
    malformed = true;
    return std::nullopt;
  }
  if (in.size() < length) return std::nullopt;
  size = length;
  return upToNul(in.substr(kLengthSize, length - kLengthSize));
}

std::string password(std::string_view text) {
  std::string message;
  put32(message, static_cast<std::uint32_t>(kLengthSize + text.size() + 1));
  message.append(text);
  message.push_back('\0');
  return message;
}

std::string authenticationOk() { return std::string(kAuthOk); }
std::string authenticationCleartextPassword() { return std::string(kAuthCleartext); }
std::string authenticationMd5Password(std::string_view salt) {
  return std::string(kAuthMd5).append(salt.substr(0, kMd5SaltSize));
}

std::string keyData(const Cancel& key) {
  std::string message = "K";
  put32(message, key.process);
  put32(message, key.key);
  return message;
}

std::string ready() { return "Z"; }
std::string emptyQuery() { return textMessage('I', ""); }
std::string cursor() { return textMessage('P', "blank"); }
std::string completed(std::string_view tag) { return textMessage('C', tag); }
std::string error(std::string_view text) { return boundedMessage('E', text); }
std::string notice(std::string_view text) { return boundedMessage('N', text); }

std::string rowDescription(const std::vector<Column>& columns) {
  std::string message = "T";
  put16(message, static_cast<std::uint16_t>(columns.size()));
  for (const Column& column : columns) {
    message.append(upToNul(column.name)).push_back('\0');
    put32(message, column.type);
    put16(message, static_cast<std::uint16_t>(column.size));
    put32(message, static_cast<std::uint32_t>(column.modifier));
  }
  return message;
}

void appendRow(std::string& to, const std::vector<Value>& values, bool binary) {
  std::size_t size = 1 + bitmapSize(values.size());
  for (const Value& value : values) size += value ? kLengthSize + value->size() : 0;
  to.reserve(to.size() + size);
  to.push_back(binary ? 'B' : 'D');
  const std::size_t bitmap = to.size();
  to.resize(bitmap + bitmapSize(values.size()), '\0');
  for (std::size_t k = 0; k < values.size(); ++k) {
    char& byte = to[bitmap + k / 8];
    if (values[k]) byte = static_cast<char>(static_cast<unsigned char>(byte) | columnMask(k));
  }
  // The length of a text value includes itself, that of a binary value does not.
  const std::size_t counted = binary ? 0 : kLengthSize;
  for (const Value& value : values) {
    if (!value) continue;
    put32(to, static_cast<std::uint32_t>(value->size() + counted));
    to.append(*value);
  }
}

std::string row(const std::vector<Value>& values, bool binary) {
  std::string message;
  appendRow(message, values, binary);
  return message;
}

}  // namespace sablespur::postgres2
