// The first messages of version 3: who a client is, which minor version it speaks, keys for cancelling. Pure.
// PostgreSQL's documentation, "Message Formats": StartupMessage, NegotiateProtocolVersion, BackendKeyData,
// CancelRequest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sablespur::postgres {

constexpr int kNewestMinor = 2;  // 3.2; 3.1 was never spoken
constexpr std::size_t kShortKey = 4, kLongKey = 32, kLongestKey = 256;

struct Startup {
  int minor = 0;  // as it was asked for
  std::string user, database;
  std::vector<std::pair<std::string, std::string>> settings;  // the other parameters
  std::vector<std::string> extensions;                        // "_pq_.name"
};
// All bytes of the packet, length included. Nothing: it is malformed or names no user.
std::optional<Startup> parseStartup(std::string_view packet);
std::string startup(const Startup&);

// What is spoken with a client that asks for `minor`.
int agreedMinor(int minor);
// For a client that asked for more than is spoken: the minor version that is, and the extensions that are not
// known.
std::string negotiate(int minor, const std::vector<std::string>& unknown);
// Its body, as the other side reads it: the minor version. Nothing: it is malformed.
std::optional<int> parseNegotiate(std::string_view body);

struct Key {
  std::uint32_t process = 0;
  std::string secret;  // 4 bytes in 3.0, 4 to 256 in 3.2
};
std::string keyData(const Key&);
std::optional<Key> parseKeyData(std::string_view body);
std::string cancel(const Key&);                           // CancelRequest, whole
std::optional<Key> parseCancel(std::string_view packet);  // length included

// What answers a startup once the client is let in: AuthenticationOk, parameters, its key, ReadyForQuery.
std::string loginComplete(const Key&, bool backslashes);

}  // namespace sablespur::postgres
