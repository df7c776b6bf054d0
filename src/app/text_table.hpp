// Formats rows of text as aligned columns for terminals.
#pragma once

#include <string>
#include <vector>

namespace sablespur {

// The first row contains the headings.
using TextRows = std::vector<std::vector<std::string>>;

// Returns one line per row. Each column is as wide as its longest cell; "-" is printed for an empty
// cell.
std::string formatTable(const TextRows&);

}  // namespace sablespur
