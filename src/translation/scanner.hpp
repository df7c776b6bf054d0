// Splits a statement into strings, quoted identifiers, comments, parameters and the text between
// them; it does no further analysis (PostgreSQL's documentation, chapter "Lexical Structure").
// Pure; reads in place.
#pragma once

#include <cstddef>
#include <string_view>

namespace sablespur::translation {

enum class Token {
  Plain,             // any other text, up to the next token
  Literal,           // '...', quotes included
  EscapeLiteral,     // E'...'
  PrefixedLiteral,   // B'...', X'...', N'...', U&'...'
  QuotedIdentifier,  // "..." or U&"..."
  DollarQuoted,      // $tag$...$tag$
  Comment,           // -- to the end of the line, or /* nested */
  Parameter,         // $1
  End
};

class Scanner {
 public:
  // `backslashes`: backslashes are escapes in '...', as when standard_conforming_strings is off.
  Scanner(std::string_view statement, bool backslashes) : text_(statement), backslashes_(backslashes) {}

  // Returns the next token and sets `piece` to its text. The pieces cover the statement without
  // gaps. An unterminated string or comment extends to the end of the statement, and complete() is
  // false from then on.
  Token next(std::string_view& piece);
  bool complete() const { return complete_; }

 private:
  // These return the position after the construct that begins at `at`.
  std::size_t skipQuoted(std::size_t at, char quote, bool escapes);
  std::size_t skipComment(std::size_t at);
  std::size_t skipDollarTag(std::size_t at) const;  // `at` itself when there is no $tag$
  bool isIdentifierChar(std::size_t at) const;      // a letter, digit, _ or $

  const std::string_view text_;
  const bool backslashes_;
  std::size_t at_ = 0;
  bool complete_ = true;
};

}  // namespace sablespur::translation
