#include "app/table.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace sablespur {

std::string table(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths(rows.empty() ? 0 : rows.front().size());
  for (const auto& row : rows)
    for (std::size_t k = 0; k < row.size(); ++k) widths[k] = std::max(widths[k], row[k].size());
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t k = 0; k < row.size(); ++k)
      line += fmt::format("{:<{}}", row[k].empty() ? "-" : row[k], widths[k] + 2);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace sablespur
