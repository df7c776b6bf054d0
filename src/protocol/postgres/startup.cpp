#include "protocol/postgres/startup.hpp"

#include "protocol/postgres/bytes.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur::postgres {
namespace {

constexpr std::size_t kNumberSize = 4;
constexpr std::size_t kStartupHeader = 2 * kNumberSize;  // length, version
constexpr std::size_t kCancelHeader = 3 * kNumberSize;   // length, code, process
constexpr std::uint32_t kMajor = kVersion3 >> 16;
constexpr std::uint32_t kMinorMask = 0xffff;
constexpr std::string_view kExtensionPrefix = "_pq_.";

// A packet without a type byte: its length, which includes itself, then its body.
std::string withLength(const std::string& body) {
  std::string packet;
  put32(packet, static_cast<std::uint32_t>(body.size() + kNumberSize));
  return packet + body;
}

std::uint32_t withMinor(int minor) { return kVersion3 | static_cast<std::uint32_t>(minor); }

bool isSecretLength(std::size_t length) { return length >= kShortKey && length <= kLongestKey; }

void addParameter(Startup& startup, std::string_view name, std::string_view value) {
  if (name == "user")
    startup.user = value;
  else if (name == "database")
    startup.database = value;
  else if (name.substr(0, kExtensionPrefix.size()) == kExtensionPrefix)
    startup.extensions.emplace_back(name);
  else
    startup.settings.emplace_back(name, value);
}

}  // namespace

std::optional<Startup> parseStartup(std::string_view packet) {
  if (packet.size() <= kStartupHeader || readInt32(packet.data()) != packet.size()) return std::nullopt;
  const std::uint32_t version = readInt32(packet.data() + kNumberSize);
  if (version >> 16 != kMajor) return std::nullopt;
  Startup startup;
  startup.minor = static_cast<int>(version & kMinorMask);
  packet.remove_prefix(kStartupHeader);
  while (!packet.empty() && packet[0] != '\0') {
    const auto name = takeText(packet);
    const auto value = name ? takeText(packet) : std::nullopt;
    if (!value) return std::nullopt;
    addParameter(startup, *name, *value);
  }
  const bool endsWithNul = packet.size() == 1;
  if (!endsWithNul || startup.user.empty()) return std::nullopt;
  return startup;
}

std::string startup(const Startup& startup) {
  std::string body;
  const auto putParameter = [&body](std::string_view name, std::string_view value) {
    putText(body, name);
    putText(body, value);
  };
  put32(body, withMinor(startup.minor));
  putParameter("user", startup.user);
  if (!startup.database.empty()) putParameter("database", startup.database);
  for (const auto& [name, value] : startup.settings) putParameter(name, value);
  for (const std::string& name : startup.extensions) putParameter(name, "on");
  body.push_back('\0');
  return withLength(body);
}

int agreedMinor(int minor) { return minor >= kNewestMinor ? kNewestMinor : 0; }

std::string negotiate(int minor, const std::vector<std::string>& unknown) {
  std::string body;
  put32(body, withMinor(minor));
  put32(body, static_cast<std::uint32_t>(unknown.size()));
  for (const std::string& name : unknown) putText(body, name);
  return message('v', body);
}

std::optional<int> parseNegotiate(std::string_view body) {
  if (body.size() < 2 * kNumberSize) return std::nullopt;
  const std::uint32_t version = readInt32(body.data());
  const std::uint32_t unknown = readInt32(body.data() + kNumberSize);
  body.remove_prefix(2 * kNumberSize);
  for (std::uint32_t k = 0; k < unknown; ++k)
    if (!takeText(body)) return std::nullopt;
  // Servers send the full version, although the documentation specifies only the minor one.
  const std::uint32_t major = version >> 16;
  if (!body.empty() || (major != 0 && major != kMajor)) return std::nullopt;
  return static_cast<int>(version & kMinorMask);
}

std::string keyData(const Key& key) {
  std::string body;
  put32(body, key.process);
  return message('K', body + key.secret);
}

std::optional<Key> parseKeyData(std::string_view body) {
  if (body.size() < kNumberSize || !isSecretLength(body.size() - kNumberSize)) return std::nullopt;
  return Key{readInt32(body.data()), std::string(body.substr(kNumberSize))};
}

std::string cancel(const Key& key) {
  std::string body;
  put32(body, kCancelRequest);
  put32(body, key.process);
  return withLength(body + key.secret);
}

std::optional<Key> parseCancel(std::string_view packet) {
  if (packet.size() < kCancelHeader || !isSecretLength(packet.size() - kCancelHeader)) return std::nullopt;
  if (readInt32(packet.data()) != packet.size()) return std::nullopt;
  if (readInt32(packet.data() + kNumberSize) != kCancelRequest) return std::nullopt;
  return Key{readInt32(packet.data() + 2 * kNumberSize), std::string(packet.substr(kCancelHeader))};
}

std::string loginComplete(const Key& key, bool backslashes) {
  using namespace std::string_view_literals;
  std::string messages = message('R', "\0\0\0\0"sv);  // AuthenticationOk
  messages += parameterStatus("server_version", "15.0");
  messages += parameterStatus("server_encoding", "UTF8");
  messages += parameterStatus("client_encoding", "UTF8");
  messages += parameterStatus("DateStyle", "ISO, MDY");
  messages += parameterStatus("integer_datetimes", "on");
  messages += parameterStatus("standard_conforming_strings", backslashes ? "off" : "on");
  return messages + keyData(key) + readyForQuery();
}

}  // namespace sablespur::postgres
