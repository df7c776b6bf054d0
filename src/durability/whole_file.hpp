// A file that is replaced as a whole: at any end of the machine it holds what it held, or the new bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "durability/files.hpp"

namespace sablespur::durability {

// Writes PATH.new, makes it durable, renames it into place and makes the name durable. Empty: done; else what
// failed, and the file is as it was. Blocks; any thread.
std::string replaceFile(Files&, const std::string& path, std::string_view bytes);
// Nothing where there is no such file. Throws std::runtime_error where it cannot be read.
std::optional<std::string> readFile(Files&, const std::string& path);

}  // namespace sablespur::durability
