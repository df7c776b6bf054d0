// The first messages of protocol 3: the startup packet, negotiation of the minor version, keys for
// cancelling. Pure.
//
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

constexpr int kNewestMinor = 2;  // 3.2; no server or client speaks 3.1

// Lengths of the secret part of a key.
constexpr std::size_t kShortKey = 4;      // in 3.0
constexpr std::size_t kLongKey = 32;      // what is given out in 3.2
constexpr std::size_t kLongestKey = 256;  // that 3.2 allows

struct Startup {
  int minor = 0;  // as the client asks for it
  std::string user;
  std::string database;                                       // empty: not given
  std::vector<std::pair<std::string, std::string>> settings;  // the other parameters
  std::vector<std::string> extensions;                        // names of protocol extensions, "_pq_.name"
};
// `packet`: length included. std::nullopt where it is malformed, of another major version or names no user.
std::optional<Startup> parseStartup(std::string_view packet);
std::string startup(const Startup& startup);

// The minor version to speak with a client that asks for `minor`.
int agreedMinor(int minor);
// NegotiateProtocolVersion: the minor version that is spoken, and the extensions that are not known.
std::string negotiate(int minor, const std::vector<std::string>& unknown);
// The minor version in the body of a NegotiateProtocolVersion; std::nullopt where it is malformed.
std::optional<int> parseNegotiate(std::string_view body);

// What a client cancels its request with.
struct Key {
  std::uint32_t process = 0;
  std::string secret;  // 4 bytes in 3.0, 4 to 256 in 3.2
};
// BackendKeyData.
std::string keyData(const Key& key);
std::optional<Key> parseKeyData(std::string_view body);
// CancelRequest.
std::string cancel(const Key& key);
// `packet`: length included.
std::optional<Key> parseCancel(std::string_view packet);

// What completes a client's login: AuthenticationOk, ParameterStatus, its key, ReadyForQuery. `backslashes`:
// whether servers read backslashes in plain literals as escapes.
std::string loginComplete(const Key& key, bool backslashes);

}  // namespace sablespur::postgres
