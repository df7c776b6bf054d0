// SCRAM-SHA-256 (RFC 5802, RFC 7677) as PostgreSQL speaks it: the exchange of messages, client and server.
// Pure: random bytes are given, and salting, which is slow, is left to the caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "auth/base64.hpp"         // IWYU pragma: export
#include "auth/stored_secret.hpp"  // IWYU pragma: export

namespace sablespur::auth {

constexpr std::size_t kMaxScramMessage = 2048;

// The client's side. Where a function fails, `why` says why, for logs.
class ScramClient {
 public:
  // What the server asks the password to be salted with.
  struct Challenge {
    std::string salt;
    std::uint32_t iterations = 0;
  };

  // `nonce`: random and printable, without a comma.
  ScramClient(std::string user, std::string nonce) : user_(std::move(user)), nonce_(std::move(nonce)) {}

  // The client-first-message.
  std::string first() const;
  // Reads the server-first-message. std::nullopt where it is malformed, its nonce does not continue the
  // client's, or its iteration count is out of bounds.
  std::optional<Challenge> readChallenge(std::string_view serverFirst, std::string& why);
  // The client-final-message, for the password salted by that challenge.
  std::string final(std::string_view saltedPassword);
  // Reads the server-final-message: whether the server has proved that it knows the password.
  bool verify(std::string_view serverFinal, std::string& why) const;

 private:
  std::string firstBare() const;

  const std::string user_;
  const std::string nonce_;
  std::string serverFirst_;
  std::string combinedNonce_;
  std::string serverSignature_;  // that the server has to send
};

// The server's side. Where a function fails, `why` says why, for logs.
class ScramServer {
 public:
  // For an unknown user give a verifier derived from its name, so that the exchange looks like any other.
  // `nonce`: random and printable, without a comma.
  ScramServer(Verifier verifier, std::string nonce)
      : verifier_(std::move(verifier)), nonce_(std::move(nonce)) {}

  // Reads the client-first-message; gives the server-first-message, or std::nullopt where it is malformed or
  // asks for channel binding.
  std::optional<std::string> first(std::string_view clientFirst, std::string& why);
  // Reads the client-final-message; gives the server-final-message, or std::nullopt where it is malformed or
  // the password is wrong.
  std::optional<std::string> final(std::string_view clientFinal, std::string& why);

 private:
  const Verifier verifier_;
  const std::string nonce_;
  std::string gs2Header_;
  std::string clientFirstBare_;
  std::string serverFirst_;
  std::string combinedNonce_;
};

}  // namespace sablespur::auth
