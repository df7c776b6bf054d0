#include "auth/digest.hpp"

#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace sablespur::auth {
namespace {

std::string digest(const EVP_MD* algorithm, std::string_view text) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), out, &size, algorithm, nullptr);
  return {reinterpret_cast<char*>(out), size};
}

std::string toHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
}

}  // namespace

std::string sha256(std::string_view text) { return digest(EVP_sha256(), text); }

std::string hmacSha256(std::string_view key, std::string_view text) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), out, &size);
  return {reinterpret_cast<char*>(out), size};
}

std::string md5Hex(std::string_view text) { return toHex(digest(EVP_md5(), text)); }

}  // namespace sablespur::auth
