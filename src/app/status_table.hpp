// The status of a proxy as a person reads it on a terminal.
#pragma once

#include <string>

namespace sablespur {

// From the document of statusJson. Throws std::runtime_error where it is none.
std::string statusTable(const std::string& json);

}  // namespace sablespur
