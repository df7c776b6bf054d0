// Atomic replacement of a file: after a crash at any time it has either the old or the new
// contents.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "durability/files.hpp"

namespace sablespur::durability {

// Writes PATH.new, syncs it, renames it to PATH and syncs the directory. Returns an empty string on
// success. Otherwise returns the error; the file is then unchanged, unless only the sync of the
// directory failed. Blocks; may be called from any thread.
std::string replaceFile(Files&, const std::string& path, std::string_view bytes);
// Returns std::nullopt if the file does not exist. Throws std::runtime_error if it cannot be read.
std::optional<std::string> readFile(Files&, const std::string& path);

}  // namespace sablespur::durability
