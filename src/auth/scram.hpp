// SCRAM-SHA-256 (RFC 5802, RFC 7677) as PostgreSQL implements it: the message exchange, for client
// and server. Does no I/O: the caller supplies random bytes and salts the password, which is slow.
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

// The client's side of the exchange. A function that fails sets `why` to the reason, for logs.
class ScramClient {
 public:
  // The parameters for salting the password, from the server-first-message.
  struct Challenge {
    std::string salt;
    std::uint32_t iterations = 0;
  };

  // `nonce`: random and printable, without a comma.
  ScramClient(std::string user, std::string nonce) : user_(std::move(user)), nonce_(std::move(nonce)) {}

  // Returns the client-first-message.
  std::string first() const;
  // Reads the server-first-message. Returns std::nullopt if it is malformed, its nonce does not
  // extend the client's, or its iteration count is out of bounds.
  std::optional<Challenge> readChallenge(std::string_view serverFirst, std::string& why);
  // Returns the client-final-message, given the password salted according to the challenge.
  std::string final(std::string_view saltedPassword);
  // Reads the server-final-message. Returns whether the server has proved that it knows the
  // password.
  bool verify(std::string_view serverFinal, std::string& why) const;

 private:
  std::string firstBare() const;

  const std::string user_;
  const std::string nonce_;
  std::string serverFirst_;
  std::string combinedNonce_;
  std::string serverSignature_;  // expected in the server-final-message
};

// The server's side of the exchange. A function that fails sets `why` to the reason, for logs.
class ScramServer {
 public:
  // `verifier`: for an unknown user, pass one derived from its name, so that a client cannot tell
  // the difference. `nonce`: random and printable, without a comma.
  ScramServer(Verifier verifier, std::string nonce)
      : verifier_(std::move(verifier)), nonce_(std::move(nonce)) {}

  // Reads the client-first-message. Returns the server-first-message, or std::nullopt if the
  // client's message is malformed or requires channel binding.
  std::optional<std::string> first(std::string_view clientFirst, std::string& why);
  // Reads the client-final-message. Returns the server-final-message, or std::nullopt if the
  // client's message is malformed or the password is wrong.
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
