#include "auth/stored_secret.hpp"

#include <openssl/evp.h>

#include <charconv>

#include "auth/base64.hpp"
#include "auth/digest.hpp"

namespace sablespur::auth {
namespace {

constexpr std::string_view kVerifierPrefix = "SCRAM-SHA-256$";
constexpr std::string_view kMd5Prefix = "md5";

std::optional<std::uint32_t> parseIterations(std::string_view text) {
  std::uint32_t iterations = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, iterations);
  if (error != std::errc() || stop != end) return std::nullopt;
  if (iterations < kMinIterations || iterations > kMaxIterations) return std::nullopt;
  return iterations;
}

std::optional<std::string> parseKey(std::string_view text) {
  std::optional<std::string> key = fromBase64(text);
  if (key && key->size() != kKeySize) return std::nullopt;
  return key;
}

}  // namespace

std::string saltPassword(std::string_view password, std::string_view salt, std::uint32_t iterations) {
  unsigned char out[kKeySize];
  PKCS5_PBKDF2_HMAC(password.data(), static_cast<int>(password.size()),
                    reinterpret_cast<const unsigned char*>(salt.data()), static_cast<int>(salt.size()),
                    static_cast<int>(iterations), EVP_sha256(), sizeof out, out);
  return {reinterpret_cast<char*>(out), sizeof out};
}

std::string Verifier::text() const {
  return std::string(kVerifierPrefix) + std::to_string(iterations) + ":" + toBase64(salt) + "$" +
         toBase64(storedKey) + ":" + toBase64(serverKey);
}

Verifier makeVerifier(std::string_view password, std::string_view salt, std::uint32_t iterations) {
  const std::string salted = saltPassword(password, salt, iterations);
  Verifier verifier;
  verifier.salt = std::string(salt);
  verifier.storedKey = sha256(hmacSha256(salted, "Client Key"));
  verifier.serverKey = hmacSha256(salted, "Server Key");
  verifier.iterations = iterations;
  return verifier;
}

std::optional<Verifier> parseVerifier(std::string_view text) {
  if (text.substr(0, kVerifierPrefix.size()) != kVerifierPrefix) return std::nullopt;
  text.remove_prefix(kVerifierPrefix.size());
  // Format: iterations:salt$storedKey:serverKey
  const std::size_t saltColon = text.find(':');
  const std::size_t dollar = text.find('$');
  const std::size_t keyColon = text.rfind(':');
  if (saltColon == std::string_view::npos || dollar == std::string_view::npos) return std::nullopt;
  if (saltColon > dollar || keyColon <= dollar) return std::nullopt;
  const auto iterations = parseIterations(text.substr(0, saltColon));
  const auto salt = fromBase64(text.substr(saltColon + 1, dollar - saltColon - 1));
  const auto storedKey = parseKey(text.substr(dollar + 1, keyColon - dollar - 1));
  const auto serverKey = parseKey(text.substr(keyColon + 1));
  if (!iterations || !salt || salt->empty() || !storedKey || !serverKey) return std::nullopt;
  return Verifier{*salt, *storedKey, *serverKey, *iterations};
}

std::string md5Stored(std::string_view user, std::string_view password) {
  return std::string(kMd5Prefix) + md5Hex(std::string(password) + std::string(user));
}

std::string md5Answer(std::string_view stored, std::string_view salt) {
  const std::string_view digits = stored.substr(kMd5Prefix.size());
  return std::string(kMd5Prefix) + md5Hex(std::string(digits) + std::string(salt));
}

}  // namespace sablespur::auth
