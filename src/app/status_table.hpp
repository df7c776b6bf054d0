// Formats the status of a proxy for a terminal.
#pragma once

#include <string>

namespace sablespur {

// Formats a document of statusJson(). Throws std::runtime_error if `json` is not such a document.
std::string statusTable(const std::string& json);

}  // namespace sablespur
