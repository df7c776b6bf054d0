// Rows of text in columns, for terminals.
#pragma once

#include <string>
#include <vector>

namespace sablespur {

// The first row holds the headings.
using TextRows = std::vector<std::vector<std::string>>;

// A line for each row; each column is as wide as its longest cell, and "-" stands for an empty one.
std::string formatTable(const TextRows&);

}  // namespace sablespur
