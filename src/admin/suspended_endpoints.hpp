// The set of endpoints that operators have suspended, shared through a file with other processes of the same
// proxy: one that runs beside it during an upgrade, or its successor. The file is replaced atomically and
// validated when it is read.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace sablespur::admin {

constexpr std::size_t kMaxSuspendedEndpoints = 10000;

// The file's text. Parsing gives nothing if the text has another format or is truncated.
std::string formatSuspendedEndpoints(const std::set<std::string>&);
std::optional<std::set<std::string>> parseSuspendedEndpoints(std::string_view);

class SuspendedEndpoints {
 public:
  // An empty path: the set lives in memory only. A file that cannot be used is logged and counts as empty.
  explicit SuspendedEndpoints(std::string path);
  // By name.
  const std::set<std::string>& endpoints() const { return endpoints_; }
  // True once the change is durable. False: the set is full, or the file could not be written (logged); in
  // the second case the change holds in this process and poll() retries the write. Blocks on the disk.
  bool set(const std::string& name, bool suspended);
  // Takes over what another process has written since; true: endpoints() has changed. Costs one stat(2), and
  // now and then another attempt to write a change that failed.
  bool poll();
  // Whether every change of this process is in the file.
  bool allWritten() const { return unwritten_.empty(); }

 private:
  // Tells apart what different writers have put at the path.
  struct FileVersion {
    ino_t inode = 0;
    std::chrono::nanoseconds modified{};
    friend bool operator==(const FileVersion& a, const FileVersion& b) {
      return a.inode == b.inode && a.modified == b.modified;
    }
  };
  static std::optional<FileVersion> versionOf(const std::string& path);  // nothing: there is no file
  bool load();
  void logUnreadable();
  bool replaceBy(std::set<std::string> read);
  bool save();
  bool replaceFile(const std::string& text) const;

  const std::string path_;
  std::set<std::string> endpoints_;
  std::map<std::string, bool> unwritten_;  // suspended or not, by name; overrides what the file says
  std::optional<FileVersion> lastSeen_;    // of the file last read or written
  bool writeFailing_ = false;              // logged already
  bool unreadable_ = false;                // logged already
  int pollsToSkip_ = 0;                    // before the next attempt to write
  int nextBackoff_ = 1;                    // in polls
};

}  // namespace sablespur::admin
