#include "translate/values.hpp"

#include "translate/scanner.hpp"

namespace sablespur::translate {
namespace {

int hexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}
bool octal(char c) { return c >= '0' && c <= '7'; }
bool word(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '$' ||
         static_cast<unsigned char>(c) >= 0x80;
}
bool printable(unsigned char c) { return c >= 0x20 && c < 0x7f; }

std::optional<std::string> readHex(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size() / 2);
  for (std::size_t k = 0; k < text.size(); k += 2) {
    const int high = hexDigit(text[k]), low = k + 1 < text.size() ? hexDigit(text[k + 1]) : -1;
    if (high < 0 || low < 0) return std::nullopt;
    bytes.push_back(static_cast<char>(high << 4 | low));
  }
  return bytes;
}

}  // namespace

std::optional<std::string> readBytea(std::string_view text) {
  if (text.size() >= 2 && text[0] == '\\' && text[1] == 'x') return readHex(text.substr(2));
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t k = 0; k < text.size(); ++k) {
    if (text[k] != '\\') {
      bytes.push_back(text[k]);
    } else if (k + 1 < text.size() && text[k + 1] == '\\') {
      bytes.push_back('\\');
      ++k;
    } else if (k + 3 < text.size() && text[k + 1] <= '3' && octal(text[k + 1]) && octal(text[k + 2]) &&
               octal(text[k + 3])) {
      bytes.push_back(
          static_cast<char>((text[k + 1] - '0') << 6 | (text[k + 2] - '0') << 3 | (text[k + 3] - '0')));
      k += 3;
    } else {
      return std::nullopt;
    }
  }
  return bytes;
}

std::size_t byteaLength(ByteaForm form, std::string_view bytes) {
  if (form == ByteaForm::Hex) return 2 + 2 * bytes.size();
  std::size_t n = 0;
  for (const char c : bytes) n += c == '\\' ? 2 : printable(static_cast<unsigned char>(c)) ? 1 : 4;
  return n;
}

std::string writeBytea(ByteaForm form, std::string_view bytes) {
  std::string text;
  text.reserve(byteaLength(form, bytes));
  constexpr char kDigits[] = "0123456789abcdef";
  if (form == ByteaForm::Hex) {
    text = "\\x";
    for (const char c : bytes) {
      text.push_back(kDigits[static_cast<unsigned char>(c) >> 4]);
      text.push_back(kDigits[static_cast<unsigned char>(c) & 15]);
    }
    return text;
  }
  for (const char c : bytes) {
    const auto b = static_cast<unsigned char>(c);
    if (c == '\\') {
      text += "\\\\";
    } else if (printable(b)) {
      text.push_back(c);
    } else {
      text.push_back('\\');
      for (const int shift : {6, 3, 0}) text.push_back(static_cast<char>('0' + (b >> shift & 7)));
    }
  }
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

// Hex within E'...': the backslash is doubled, so that it reads the same on both sides of the setting.
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
    // Guards a word that stands right before the quote: SELECT'a' must not become SELECTE'a'.
    if (!out.empty() && word(out.back())) out.push_back(' ');
    if (fromBackslashes) {
      out.push_back('E');  // what escapes for its writer escapes in E'...' for everyone
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

}  // namespace sablespur::translate
