// A small file that the processes of one proxy share. It is replaced as a whole, so that a reader
// never sees a part of it. Calls block for as long as the file system does.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace sablespur {

// Distinguishes the files that different writes have put at one path.
struct FileVersion {
  ino_t inode = 0;
  std::chrono::nanoseconds modified{};
  friend bool operator==(const FileVersion& a, const FileVersion& b) {
    return a.inode == b.inode && a.modified == b.modified;
  }
};

enum class Durability {
  ProcessCrash,  // outlives this process, but not the system
  PowerLoss      // the file and its directory entry are on disk
};

// Returns std::nullopt if there is no file.
std::optional<FileVersion> versionOfFile(const std::string& path);
// Returns std::nullopt, with errno set, if the file could not be read. Stops reading soon after
// `maxBytes`.
std::optional<std::string> readSharedFile(const std::string& path, std::size_t maxBytes);
// Replaces the file atomically. Otherwise returns false with errno set, and the earlier file is
// intact unless only the sync of the directory failed.
bool replaceSharedFile(const std::string& path, const std::string& text, Durability);

}  // namespace sablespur
