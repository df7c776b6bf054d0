// What PostgreSQL stores of a password, in pg_authid and in files of users: SCRAM verifiers and MD5 hashes.
// Pure; random bytes are given.
//
// Passwords are taken as the bytes they are. PostgreSQL applies SASLprep, which leaves ASCII unchanged; other
// passwords have to be given in normal form.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::auth {

constexpr const char* kScramMechanism = "SCRAM-SHA-256";
constexpr std::size_t kKeySize = 32;
// Bounds on the iteration count: a peer that asks for billions would keep a worker busy for minutes.
constexpr std::uint32_t kMinIterations = 1;
constexpr std::uint32_t kMaxIterations = 1000000;
constexpr std::uint32_t kDefaultIterations = 4096;  // PostgreSQL's

// The SaltedPassword of RFC 5802: PBKDF2 with HMAC-SHA-256. Takes milliseconds; run it on a worker.
std::string saltPassword(std::string_view password, std::string_view salt, std::uint32_t iterations);

// What a server keeps of a SCRAM password. It does not allow a login as that user.
struct Verifier {
  std::string salt;
  std::string storedKey;
  std::string serverKey;
  std::uint32_t iterations = kDefaultIterations;

  // "SCRAM-SHA-256$4096:salt$stored:server", as in pg_authid.
  std::string text() const;
};

// As slow as saltPassword.
Verifier makeVerifier(std::string_view password, std::string_view salt, std::uint32_t iterations);
// Reads what Verifier::text() writes; std::nullopt where it is malformed or its iterations are out of bounds.
std::optional<Verifier> parseVerifier(std::string_view text);

// "md5" and the hexadecimal digits of md5(password user), as in pg_authid.
std::string md5Stored(std::string_view user, std::string_view password);
// What a client answers to a request for an MD5 password with this salt; `stored` is of md5Stored().
std::string md5Answer(std::string_view stored, std::string_view salt);

}  // namespace sablespur::auth
