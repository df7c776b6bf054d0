#include "app/text_table.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace sablespur {
namespace {

constexpr std::size_t kColumnGap = 2;

std::vector<std::size_t> columnWidths(const TextRows& rows) {
  std::vector<std::size_t> widths(rows.empty() ? 0 : rows.front().size());
  for (const auto& row : rows)
    for (std::size_t column = 0; column < row.size(); ++column)
      widths[column] = std::max(widths[column], row[column].size());
  return widths;
}

}  // namespace

std::string formatTable(const TextRows& rows) {
  const std::vector<std::size_t> widths = columnWidths(rows);
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column)
      line += fmt::format("{:<{}}", row[column].empty() ? "-" : row[column], widths[column] + kColumnGap);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace sablespur
