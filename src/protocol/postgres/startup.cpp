#include "protocol/postgres/startup.hpp"

#include "protocol/postgres/bytes.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur::postgres {
namespace {

std::string withLength(const std::string& body) {
  std::string m;
  put32(m, static_cast<std::uint32_t>(body.size() + 4));
  return m + body;
}

}  // namespace

std::optional<Startup> parseStartup(std::string_view p) {
  if (p.size() < 9 || readInt32(p.data()) != p.size() || readInt32(p.data() + 4) >> 16 != 3)
    return std::nullopt;
  Startup s;
  s.minor = static_cast<int>(readInt32(p.data() + 4) & 0xffff);
  p.remove_prefix(8);
  while (!p.empty() && p[0] != '\0') {
    const auto name = takeText(p);
    const auto value = name ? takeText(p) : std::nullopt;
    if (!value) return std::nullopt;
    if (*name == "user")
      s.user = *value;
    else if (*name == "database")
      s.database = *value;
    else if (name->substr(0, 5) == "_pq_.")
      s.extensions.emplace_back(*name);
    else
      s.settings.emplace_back(*name, *value);
  }
  return p.size() == 1 && !s.user.empty() ? std::make_optional(std::move(s)) : std::nullopt;
}

std::string startup(const Startup& s) {
  std::string body;
  put32(body, kVersion3 | static_cast<std::uint32_t>(s.minor));
  putText(body, "user");
  putText(body, s.user);
  if (!s.database.empty()) {
    putText(body, "database");
    putText(body, s.database);
  }
  for (const auto& [name, value] : s.settings) {
    putText(body, name);
    putText(body, value);
  }
  for (const std::string& name : s.extensions) {
    putText(body, name);
    putText(body, "on");
  }
  body.push_back('\0');
  return withLength(body);
}

int agreedMinor(int minor) { return minor >= kNewestMinor ? kNewestMinor : 0; }

std::string negotiate(int minor, const std::vector<std::string>& unknown) {
  std::string body;
  put32(body, kVersion3 | static_cast<std::uint32_t>(minor));
  put32(body, static_cast<std::uint32_t>(unknown.size()));
  for (const std::string& name : unknown) putText(body, name);
  return message('v', body);
}

std::optional<int> parseNegotiate(std::string_view body) {
  if (body.size() < 8) return std::nullopt;
  const std::uint32_t version = readInt32(body.data()), n = readInt32(body.data() + 4);
  body.remove_prefix(8);
  for (std::uint32_t k = 0; k < n; ++k)
    if (!takeText(body)) return std::nullopt;
  // Servers tell the whole number; the minor one alone is what the documentation says.
  if (!body.empty() || (version >> 16 != 0 && version >> 16 != 3)) return std::nullopt;
  return static_cast<int>(version & 0xffff);
}

std::string keyData(const Key& k) {
  std::string body;
  put32(body, k.process);
  return message('K', body + k.secret);
}
std::optional<Key> parseKeyData(std::string_view body) {
  if (body.size() < 4 + kShortKey || body.size() > 4 + kLongestKey) return std::nullopt;
  return Key{readInt32(body.data()), std::string(body.substr(4))};
}
std::string cancel(const Key& k) {
  std::string body;
  put32(body, kCancelRequest);
  put32(body, k.process);
  return withLength(body + k.secret);
}
std::optional<Key> parseCancel(std::string_view p) {
  if (p.size() < 12 + kShortKey || p.size() > 12 + kLongestKey || readInt32(p.data()) != p.size() ||
      readInt32(p.data() + 4) != kCancelRequest)
    return std::nullopt;
  return Key{readInt32(p.data() + 8), std::string(p.substr(12))};
}

std::string loginComplete(const Key& key, bool backslashes) {
  using namespace std::string_view_literals;
  std::string m = message('R', "\0\0\0\0"sv);
  const auto tell = [&](std::string_view name, std::string_view value) {
    std::string body;
    putText(body, name);
    putText(body, value);
    m += message('S', body);
  };
  tell("server_version", "15.0");
  tell("server_encoding", "UTF8");
  tell("client_encoding", "UTF8");
  tell("DateStyle", "ISO, MDY");
  tell("integer_datetimes", "on");
  tell("standard_conforming_strings", backslashes ? "off" : "on");
  return m + keyData(key) + readyForQuery();
}

}  // namespace sablespur::postgres
