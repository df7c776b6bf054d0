// SCRAM-SHA-256 (RFC 5802, 7677) as PostgreSQL speaks it, both sides, and its older relatives. Pure: random
// bytes are given, cryptography is OpenSSL's. Passwords are taken as the bytes they are (PostgreSQL applies
// SASLprep, which leaves ASCII as it is; other passwords have to be given in normal form).
//
// Salting costs milliseconds of CPU on purpose: saltPassword belongs on a worker, the rest is cheap.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sablespur::auth {

constexpr const char* kScramMechanism = "SCRAM-SHA-256";
constexpr std::size_t kKeySize = 32, kMaxScramMessage = 2048;
// A server may ask for any count; each is so many HMACs of ours. Guards against one that asks for billions.
constexpr std::uint32_t kMinIterations = 1, kMaxIterations = 1000000;

// Compares in a time that tells nothing of where they differ.
bool sameSecret(std::string_view a, std::string_view b);
std::string toBase64(std::string_view);
std::optional<std::string> fromBase64(std::string_view);
std::string saltPassword(std::string_view password, std::string_view salt, std::uint32_t iterations);  // slow

// What a user file keeps of a password: it lets nobody log in elsewhere.
struct Verifier {
  std::string salt, storedKey, serverKey;
  std::uint32_t iterations = 4096;
  std::string text() const;  // "SCRAM-SHA-256$4096:salt$stored:server", as in pg_authid
};
Verifier makeVerifier(std::string_view password, std::string_view salt, std::uint32_t iterations);  // slow
std::optional<Verifier> parseVerifier(std::string_view);

// The side that logs in.
class ScramClient {
 public:
  ScramClient(std::string user, std::string nonce) : user_(std::move(user)), nonce_(std::move(nonce)) {}
  std::string first() const;
  // The server's first message; nothing and `why`: it is malformed, its nonce is not ours, or it asks too
  // much.
  struct Challenge {
    std::string salt;
    std::uint32_t iterations = 0;
  };
  std::optional<Challenge> readChallenge(std::string_view serverFirst, std::string& why);
  // With the password salted by that challenge.
  std::string final(std::string_view saltedPassword);
  // Whether the server knows the password, too.
  bool verify(std::string_view serverFinal, std::string& why) const;

 private:
  const std::string user_, nonce_;
  std::string firstBare_, serverFirst_, combinedNonce_, serverSignature_;
};

// The side that lets in.
class ScramServer {
 public:
  // For a user that is not known, give a verifier made up for its name: the exchange then looks like any
  // other.
  ScramServer(Verifier v, std::string nonce) : verifier_(std::move(v)), nonce_(std::move(nonce)) {}
  std::optional<std::string> first(std::string_view clientFirst, std::string& why);
  // The server's last word, or nothing: the password is wrong or the message malformed.
  std::optional<std::string> final(std::string_view clientFinal, std::string& why);

 private:
  const Verifier verifier_;
  const std::string nonce_;
  std::string gs2Header_, clientFirstBare_, serverFirst_, combinedNonce_;
};

// PostgreSQL's MD5 logins: "md5" and hex of md5(md5(password user) salt); `stored` is "md5" and hex of the
// inner one.
std::string md5Stored(std::string_view user, std::string_view password);
std::string md5Answer(std::string_view stored, std::string_view salt);

}  // namespace sablespur::auth
