// The set of endpoints that operators have suspended. A file shares it with other processes of the
// same proxy: one that runs concurrently during an upgrade, or the process after a restart. The
// file is replaced atomically and validated when it is read.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "engine/shared_file.hpp"

namespace sablespur::admin {

constexpr std::size_t kMaxSuspendedEndpoints = 10000;

// Convert the set to and from the file's text. Parsing returns std::nullopt if the text has another
// format or is truncated.
std::string formatSuspendedEndpoints(const std::set<std::string>&);
std::optional<std::set<std::string>> parseSuspendedEndpoints(std::string_view);

class SuspendedEndpoints {
 public:
  // With an empty path, the set is kept in memory only. An unusable file is logged and treated as
  // empty.
  explicit SuspendedEndpoints(std::string path);
  // Returns the names of the suspended endpoints.
  const std::set<std::string>& endpoints() const { return endpoints_; }
  // Suspends or restores an endpoint, takes over what another process has written, and blocks until the
  // change is on disk. Returns true if the change is durable. Returns false if the set is full, or if the
  // file could not be written (logged); in the second case the change takes effect in this process and poll()
  // retries the write.
  bool set(const std::string& name, bool suspended);
  // Applies changes that another process has written and returns whether endpoints() has changed.
  // Costs one stat(2); retries a failed write with exponential backoff.
  bool poll();
  // Returns whether every change of this process is in the file.
  bool allWritten() const { return unwritten_.empty(); }

 private:
  bool load();
  void logUnreadable();
  bool replaceBy(std::set<std::string> read);
  bool save();

  const std::string path_;
  std::set<std::string> endpoints_;
  std::map<std::string, bool> unwritten_;  // true: suspended; by name; overrides the file's content
  std::optional<FileVersion> lastSeen_;    // version of the file last read or written
  bool writeFailing_ = false;              // the write failure is already logged
  bool unreadable_ = false;                // the read failure is already logged
  int pollsToSkip_ = 0;                    // before the next write attempt
  int nextBackoff_ = 1;                    // in polls
};

}  // namespace sablespur::admin
