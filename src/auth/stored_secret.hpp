// Password secrets in the formats that PostgreSQL stores in pg_authid: SCRAM verifiers and MD5
// hashes. The users file contains the same formats. Pure functions; the caller supplies random
// bytes.
//
// Passwords are used as raw bytes. PostgreSQL applies SASLprep, which leaves ASCII unchanged;
// non-ASCII passwords have to be passed in normalized form.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::auth {

constexpr const char* kScramMechanism = "SCRAM-SHA-256";
constexpr std::size_t kKeySize = 32;
// Bounds on the iteration count: a peer that requests billions would keep a worker busy for
// minutes.
constexpr std::uint32_t kMinIterations = 1;
constexpr std::uint32_t kMaxIterations = 1000000;
constexpr std::uint32_t kDefaultIterations = 4096;  // PostgreSQL's default

// Computes the SaltedPassword of RFC 5802: PBKDF2 with HMAC-SHA-256. Takes milliseconds; run it on
// a worker.
std::string saltPassword(std::string_view password, std::string_view salt, std::uint32_t iterations);

// The secret that a server stores for a SCRAM password. It does not suffice to log in as that user.
struct Verifier {
  std::string salt;
  std::string storedKey;
  std::string serverKey;
  std::uint32_t iterations = kDefaultIterations;

  // Returns "SCRAM-SHA-256$4096:salt$stored:server", as in pg_authid.
  std::string text() const;
};

// Takes as long as saltPassword.
Verifier makeVerifier(std::string_view password, std::string_view salt, std::uint32_t iterations);
// Parses the format of Verifier::text(). Returns std::nullopt if the text is malformed or the
// iteration count is out of bounds.
std::optional<Verifier> parseVerifier(std::string_view text);

// Returns "md5" and the hexadecimal digits of md5(password user), as in pg_authid.
std::string md5Stored(std::string_view user, std::string_view password);
// Returns a client's response to a request for an MD5 password with this salt. `stored` is a result
// of md5Stored().
std::string md5Answer(std::string_view stored, std::string_view salt);

}  // namespace sablespur::auth
