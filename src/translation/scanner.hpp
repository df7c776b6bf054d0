// The lexical skin of a statement: where strings, quoted names, comments and parameters stand, and nothing
// more (PostgreSQL's documentation, chapter "Lexical Structure"). Pure; reads in place.
#pragma once

#include <cstddef>
#include <string_view>

namespace sablespur::translation {

enum class Token {
  Plain,          // anything else, in one piece
  Literal,        // '...', quotes included
  EscapeLiteral,  // E'...'
  OtherLiteral,   // B'...', X'...', N'...', U&'...'
  Name,           // "..." or U&"..."
  Dollar,         // $tag$...$tag$
  Comment,        // to the line's end, or /* nested */
  Parameter,      // $1
  End
};

class Scanner {
 public:
  // `backslashes`: in '...' a backslash escapes, as where standard_conforming_strings is off.
  Scanner(std::string_view statement, bool backslashes) : text_(statement), backslashes_(backslashes) {}

  // The next token and its text; pieces follow each other without gaps. A string or comment without its end
  // runs to the statement's end, and `whole` then says false.
  Token next(std::string_view& piece);
  bool complete() const { return complete_; }

 private:
  std::size_t quoted(std::size_t at, char quote, bool escapes);
  std::size_t comment(std::size_t at);
  std::size_t dollar(std::size_t at) const;  // where it ends; `at` itself: there is none
  bool word(std::size_t at) const;           // a letter, digit or _ stands there

  const std::string_view text_;
  const bool backslashes_;
  std::size_t at_ = 0;
  bool complete_ = true;
};

}  // namespace sablespur::translation
