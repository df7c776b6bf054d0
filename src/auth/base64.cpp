#include "auth/base64.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace sablespur::auth {
namespace {

constexpr std::size_t kGroupBytes = 3;       // each group of three bytes is encoded
constexpr std::size_t kGroupCharacters = 4;  // as four characters
constexpr std::size_t kMaxPadding = 2;

const unsigned char* asBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

bool isBase64Digit(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '+' || c == '/';
}

std::size_t paddingOf(std::string_view text) {
  std::size_t padding = 0;
  while (padding < kMaxPadding && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  return padding;
}

}  // namespace

std::string toBase64(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
  std::string text(groups * kGroupCharacters + 1, '\0');  // EVP_EncodeBlock appends a NUL
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), asBytes(bytes),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> fromBase64(std::string_view text) {
  if (text.size() % kGroupCharacters != 0 || text.size() > kMaxBase64Length) return std::nullopt;
  const std::size_t padding = paddingOf(text);
  // EVP_DecodeBlock skips whitespace, so the characters are checked first.
  const std::string_view digits = text.substr(0, text.size() - padding);
  if (!std::all_of(digits.begin(), digits.end(), isBase64Digit)) return std::nullopt;
  std::string bytes(text.size() / kGroupCharacters * kGroupBytes, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), asBytes(text),
                                     static_cast<int>(text.size()));
  if (length < 0) return std::nullopt;
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace sablespur::auth
