// Rows of text in columns, for terminals.
#pragma once

#include <string>
#include <vector>

namespace sablespur {

std::string table(
    const std::vector<std::vector<std::string>>& rows);  // the first holds the heads; "-" for nothing

}  // namespace sablespur
