// The startup messages of protocol 3: the startup packet, negotiation of the minor version, and the
// keys of CancelRequests. Does no I/O.
//
// PostgreSQL's documentation, "Message Formats": StartupMessage, NegotiateProtocolVersion,
// BackendKeyData, CancelRequest.
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

// Lengths of the secret part of a key, in bytes.
constexpr std::size_t kShortKey = 4;      // in 3.0
constexpr std::size_t kLongKey = 32;      // of the keys sent to clients of 3.2
constexpr std::size_t kLongestKey = 256;  // maximum in 3.2

struct Startup {
  int minor = 0;  // as requested by the client
  std::string user;
  std::string database;                                       // empty: not specified
  std::vector<std::pair<std::string, std::string>> settings;  // the other parameters
  std::vector<std::string> extensions;                        // names of protocol extensions, "_pq_.name"
};
// `packet` includes its length. Returns std::nullopt if it is malformed, of another major version
// or has no user.
std::optional<Startup> parseStartup(std::string_view packet);
std::string startup(const Startup& startup);

// Returns the minor version to use with a client that requests `minor`.
int agreedMinor(int minor);
// NegotiateProtocolVersion with the supported minor version and the unknown extensions.
std::string negotiate(int minor, const std::vector<std::string>& unknown);
// Returns the minor version in the body of a NegotiateProtocolVersion; std::nullopt if it is
// malformed.
std::optional<int> parseNegotiate(std::string_view body);

// Identifies the client's connection in a CancelRequest.
struct Key {
  std::uint32_t process = 0;
  std::string secret;  // 4 bytes in 3.0, 4 to 256 in 3.2
};
// BackendKeyData.
std::string keyData(const Key& key);
std::optional<Key> parseKeyData(std::string_view body);
// CancelRequest.
std::string cancel(const Key& key);
// `packet` includes its length.
std::optional<Key> parseCancel(std::string_view packet);

// The messages that complete a client's login: AuthenticationOk, ParameterStatus, BackendKeyData,
// ReadyForQuery. `backslashes`: whether servers treat backslashes in plain string literals as
// escapes.
std::string loginComplete(const Key& key, bool backslashes);

}  // namespace sablespur::postgres
