// Finds the word that an operator may have meant, for suggestions in error messages. Pure.
#pragma once

#include <string>
#include <string_view>

namespace sablespur {

// The word in [first, last) with the least edit distance from `word`, if that is at most 2; otherwise an
// empty text. The first one wins among equals.
std::string nearestWord(std::string_view word, const std::string* first, const std::string* last);

}  // namespace sablespur
