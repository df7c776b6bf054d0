// Finds the word that an operator may have meant, for suggestions in error messages.
#pragma once

#include <string>
#include <string_view>

namespace sablespur {

// Returns the word in [first, last) with the smallest edit distance from `word`, or an empty string
// if that distance is above 2. If several words are equally near, the first one is returned.
std::string nearestWord(std::string_view word, const std::string* first, const std::string* last);

}  // namespace sablespur
