#include "translation/scanner.hpp"

namespace sablespur::translation {
namespace {

bool isDigit(char c) { return c >= '0' && c <= '9'; }
bool isIdentifierStart(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' ||
         static_cast<unsigned char>(c) >= 0x80;
}

}  // namespace

bool Scanner::isIdentifierChar(std::size_t at) const {
  return at < text_.size() && (isIdentifierStart(text_[at]) || isDigit(text_[at]) || text_[at] == '$');
}

// `at` is the opening quote. A doubled quote does not end the string.
std::size_t Scanner::skipQuoted(std::size_t at, char quote, bool escapes) {
  for (++at; at < text_.size(); ++at) {
    if (escapes && text_[at] == '\\') {
      ++at;
    } else if (text_[at] == quote) {
      if (at + 1 >= text_.size() || text_[at + 1] != quote) return at + 1;
      ++at;
    }
  }
  complete_ = false;
  return text_.size();
}

std::size_t Scanner::skipComment(std::size_t at) {
  if (text_[at] == '-') {
    const std::size_t end = text_.find('\n', at);
    return end == std::string_view::npos ? text_.size() : end;
  }
  int depth = 0;
  while (at < text_.size()) {
    if (text_.compare(at, 2, "/*") == 0) {
      ++depth;
      at += 2;
    } else if (text_.compare(at, 2, "*/") == 0) {
      at += 2;
      if (--depth == 0) return at;
    } else {
      ++at;
    }
  }
  complete_ = false;
  return text_.size();
}

std::size_t Scanner::skipDollarTag(std::size_t at) const {
  std::size_t end = at + 1;
  if (end < text_.size() && isIdentifierStart(text_[end]))
    while (end < text_.size() && (isIdentifierStart(text_[end]) || isDigit(text_[end]))) ++end;
  if (end >= text_.size() || text_[end] != '$') return at;
  return end + 1;
}

Token Scanner::next(std::string_view& piece) {
  const std::size_t from = at_;
  const auto take = [&](std::size_t end, Token t) {
    at_ = end;
    piece = text_.substr(from, end - from);
    return t;
  };
  if (from >= text_.size()) return take(from, Token::End);
  std::size_t at = from;
  while (at < text_.size()) {
    const char c = text_[at];
    const char following = at + 1 < text_.size() ? text_[at + 1] : '\0';
    const bool starts = at == from;
    // A letter before a quote is a string prefix only when no other identifier character precedes
    // it.
    const bool continuesIdentifier = !starts && isIdentifierChar(at - 1);
    if (isIdentifierStart(c) && !continuesIdentifier) {
      const bool ampersand = (c == 'U' || c == 'u') && following == '&' && at + 2 < text_.size() &&
                             (text_[at + 2] == '\'' || text_[at + 2] == '"');
      const bool prefix = following == '\'' && std::string_view("eEbBxXnN").find(c) != std::string_view::npos;
      if (prefix || ampersand) {
        if (!starts) return take(at, Token::Plain);
        if (ampersand && text_[at + 2] == '"')
          return take(skipQuoted(at + 2, '"', false), Token::QuotedIdentifier);
        if (ampersand) return take(skipQuoted(at + 2, '\'', false), Token::PrefixedLiteral);
        const bool escape = c == 'e' || c == 'E';
        return take(skipQuoted(at + 1, '\'', escape), escape ? Token::EscapeLiteral : Token::PrefixedLiteral);
      }
      while (isIdentifierChar(at)) ++at;
      continue;
    }
    const bool opens =
        c == '\'' || c == '"' || (c == '-' && following == '-') || (c == '/' && following == '*');
    if (opens) {
      if (!starts) return take(at, Token::Plain);
      if (c == '\'') return take(skipQuoted(at, '\'', backslashes_), Token::Literal);
      if (c == '"') return take(skipQuoted(at, '"', false), Token::QuotedIdentifier);
      return take(skipComment(at), Token::Comment);
    }
    if (c == '$' && !continuesIdentifier) {
      if (isDigit(following)) {
        if (!starts) return take(at, Token::Plain);
        std::size_t end = at + 1;
        while (end < text_.size() && isDigit(text_[end])) ++end;
        return take(end, Token::Parameter);
      }
      const std::size_t tag = skipDollarTag(at);
      if (tag != at) {
        if (!starts) return take(at, Token::Plain);
        const std::size_t end = text_.find(text_.substr(at, tag - at), tag);
        if (end == std::string_view::npos) complete_ = false;
        return take(end == std::string_view::npos ? text_.size() : end + (tag - at), Token::DollarQuoted);
      }
    }
    ++at;
  }
  return take(text_.size(), Token::Plain);
}

}  // namespace sablespur::translation
