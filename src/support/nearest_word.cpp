#include "support/nearest_word.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace sablespur {
namespace {

constexpr std::size_t kMaxDistance = 2;

// Returns the Levenshtein distance, computed with a single row of the matrix.
std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t k = 1; k < row.size(); ++k) {
      const std::size_t replaced = diagonal + (a[i] != b[k - 1] ? 1 : 0);
      diagonal = row[k];
      row[k] = std::min({row[k] + 1, row[k - 1] + 1, replaced});
    }
  }
  return row.back();
}

}  // namespace

std::string nearestWord(std::string_view word, const std::string* first, const std::string* last) {
  std::size_t least = kMaxDistance + 1;
  std::string nearest;
  for (; first != last; ++first) {
    const std::size_t distance = editDistance(word, *first);
    if (distance >= least) continue;
    least = distance;
    nearest = *first;
  }
  return nearest;
}

}  // namespace sablespur
