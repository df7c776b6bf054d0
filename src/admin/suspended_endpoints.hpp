// Which data servers staff have taken out of use, kept in a file beside the process: a second process of the
// same proxy, or the one after it, keeps to them. Written whole and renamed into place, checked when it is
// read.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace sablespur::admin {

constexpr std::size_t kMaxSuspendedEndpoints = 10000;

// Pure: the file's form, its end included; nothing where it is another or was cut.
std::string formatSuspendedEndpoints(const std::set<std::string>&);
std::optional<std::set<std::string>> parseSuspendedEndpoints(std::string_view);

class SuspendedEndpoints {
 public:
  // An empty path: nothing is kept. A file that cannot be used is logged and counts as none.
  explicit SuspendedEndpoints(std::string path);
  const std::set<std::string>& endpoints() const { return endpoints_; }
  // True once the file and its name are durable. False: the file could not be written (logged); the ban holds
  // in this process all the same, and poll() goes on trying. Blocks for as long as the disk takes.
  bool set(const std::string& id, bool banned);
  // What another process of the same proxy has written since; true: all() is another set now. Costs one stat,
  // and where a change could not be written yet, now and then another try.
  bool poll();
  bool allWritten() const { return unwritten_.empty(); }

 private:
  bool load();
  bool save();
  bool replaceFile(const std::string& text) const;

  const std::string path_;
  std::set<std::string> endpoints_;
  std::map<std::string, bool> unwritten_;  // by id: banned or not; stands whatever the file says
  std::optional<std::pair<unsigned long, long>> lastSeen_;  // inode and time of what was read or written last
  bool failing_ = false, unreadable_ = false;               // logged already
  int pollsToSkip_ = 0, skippedNext_ = 1;                   // between tries to write
};

}  // namespace sablespur::admin
