#include "translation/values.hpp"

#include <algorithm>
#include <cstring>

#include "translation/scanner.hpp"

namespace sablespur::translation {
namespace {

// The value of each byte as a hexadecimal digit, or -1.
struct HexDigits {
  signed char value[256];
  constexpr HexDigits() : value() {
    for (int k = 0; k < 256; ++k) value[k] = -1;
    for (int k = 0; k < 10; ++k) value['0' + k] = static_cast<signed char>(k);
    for (int k = 0; k < 6; ++k) value['a' + k] = value['A' + k] = static_cast<signed char>(10 + k);
  }
};
constexpr HexDigits kHexDigits;
int hexDigit(char c) { return kHexDigits.value[static_cast<unsigned char>(c)]; }
bool isOctalDigit(char c) { return c >= '0' && c <= '7'; }
bool isIdentifierChar(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '$' ||
         static_cast<unsigned char>(c) >= 0x80;
}

// A byte's representation in escape format.
struct Escaped {
  char text[4];
  unsigned char length;
};
struct Escapes {
  Escaped of[256];
  constexpr Escapes() : of() {
    for (int k = 0; k < 256; ++k) {
      const char c = static_cast<char>(k);
      if (c == '\\')
        of[k] = {{c, c, 0, 0}, 2};
      else if (k >= 0x20 && k < 0x7f)
        of[k] = {{c, 0, 0, 0}, 1};
      else
        of[k] = {{'\\', static_cast<char>('0' + (k >> 6)), static_cast<char>('0' + (k >> 3 & 7)),
                  static_cast<char>('0' + (k & 7))},
                 4};
    }
  }
};
constexpr Escapes kEscapes;

std::optional<std::string> readHex(std::string_view text) {
  if (text.size() % 2 != 0) return std::nullopt;
  std::string bytes(text.size() / 2, '\0');
  int invalid = 0;  // negative once a character was not a digit
  for (std::size_t k = 0; k < bytes.size(); ++k) {
    const int high = hexDigit(text[2 * k]), low = hexDigit(text[2 * k + 1]);
    invalid |= high | low;
    bytes[k] = static_cast<char>(static_cast<unsigned>(high) << 4 | static_cast<unsigned>(low));
  }
  return invalid < 0 ? std::nullopt : std::make_optional(std::move(bytes));
}

}  // namespace

std::optional<std::string> readBytea(std::string_view text) {
  if (text.size() >= 2 && text[0] == '\\' && text[1] == 'x') return readHex(text.substr(2));
  std::string bytes;
  bytes.reserve(text.size());
  while (!text.empty()) {
    const std::size_t plain = std::min(text.find('\\'), text.size());
    bytes.append(text.substr(0, plain));
    text.remove_prefix(plain);
    if (text.empty()) break;
    if (text.size() >= 2 && text[1] == '\\') {
      bytes.push_back('\\');
      text.remove_prefix(2);
    } else if (text.size() >= 4 && text[1] <= '3' && isOctalDigit(text[1]) && isOctalDigit(text[2]) &&
               isOctalDigit(text[3])) {
      bytes.push_back(static_cast<char>((text[1] - '0') << 6 | (text[2] - '0') << 3 | (text[3] - '0')));
      text.remove_prefix(4);
    } else {
      return std::nullopt;
    }
  }
  return bytes;
}

std::size_t byteaLength(ByteaForm form, std::string_view bytes) {
  if (form == ByteaForm::Hex) return 2 + 2 * bytes.size();
  std::size_t n = 0;
  for (const char c : bytes) n += kEscapes.of[static_cast<unsigned char>(c)].length;
  return n;
}

std::string writeBytea(ByteaForm form, std::string_view bytes) {
  std::string text(byteaLength(form, bytes), '\0');
  char* to = text.data();
  constexpr char kDigits[] = "0123456789abcdef";
  if (form == ByteaForm::Hex) {
    *to++ = '\\';
    *to++ = 'x';
    for (const char c : bytes) {
      *to++ = kDigits[static_cast<unsigned char>(c) >> 4];
      *to++ = kDigits[static_cast<unsigned char>(c) & 15];
    }
    return text;
  }
  // Copies four bytes for each input byte and advances by the actual length: a branch on the length
  // would be mispredicted for random bytes.
  const std::size_t length = text.size();
  text.resize(length + 4);
  to = text.data();
  for (const char c : bytes) {
    const Escaped& e = kEscapes.of[static_cast<unsigned char>(c)];
    std::memcpy(to, e.text, sizeof e.text);
    to += e.length;
  }
  text.resize(length);
  return text;
}

std::optional<std::string> quoteLiteral(std::string_view text) {
  if (text.find('\0') != std::string_view::npos) return std::nullopt;
  const bool escapes = text.find('\\') != std::string_view::npos;
  std::string literal = escapes ? "E'" : "'";
  literal.reserve(text.size() + 3);
  for (const char c : text) {
    if (c == '\'' || c == '\\') literal.push_back(c);
    literal.push_back(c);
  }
  literal.push_back('\'');
  return literal;
}

// Hex format in E'...' with the backslash doubled, which reads the same for either setting of
// standard_conforming_strings.
std::string byteaLiteral(std::string_view bytes) {
  return "E'\\" + writeBytea(ByteaForm::Hex, bytes) + "'::bytea";
}

std::string rewriteLiterals(std::string_view statement, bool fromBackslashes, bool toBackslashes) {
  std::string out;
  out.reserve(statement.size());
  Scanner scanner(statement, fromBackslashes);
  std::string_view piece;
  for (Token t; (t = scanner.next(piece)) != Token::End;) {
    if (t != Token::Literal || fromBackslashes == toBackslashes ||
        piece.find('\\') == std::string_view::npos) {
      out.append(piece);
      continue;
    }
    // Separates the prefix from a preceding word: SELECT'a' must not become SELECTE'a'.
    if (!out.empty() && isIdentifierChar(out.back())) out.push_back(' ');
    if (fromBackslashes) {
      out.push_back('E');  // in E'...' backslashes are escapes for any setting
      out.append(piece);
    } else {
      out.push_back('E');
      for (const char c : piece) {
        if (c == '\\') out.push_back('\\');
        out.push_back(c);
      }
    }
  }
  return out;
}

}  // namespace sablespur::translation
