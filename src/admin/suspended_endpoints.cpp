#include "admin/suspended_endpoints.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "engine/file_calls.hpp"
#include "logging/log.hpp"

namespace sablespur::admin {
namespace {

constexpr std::string_view kHeader = "sablespur bans 1\n";
constexpr std::size_t kMaxFileBytes = std::size_t{2} << 20;
constexpr int kMaxBackoffPolls = 25;  // 5 s at one poll each 200 ms

// Inode and modification time in ns; nothing if there is no file.
std::optional<std::pair<unsigned long, long>> fileVersion(const std::string& path) {
  struct stat s {};
  if (stat(path.c_str(), &s) != 0) return std::nullopt;
  return std::make_pair(static_cast<unsigned long>(s.st_ino),
                        s.st_mtim.tv_sec * 1000000000l + s.st_mtim.tv_nsec);
}

// False, with errno set, if it could not be read. Stops one piece beyond the longest valid file.
bool readFile(const std::string& path, std::string& text) {
  const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (file < 0) return false;
  char bytes[4096];
  ssize_t got = 0;
  while (text.size() <= kMaxFileBytes) {
    got = fileCalls().read(file, bytes, sizeof bytes);
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) break;
    text.append(bytes, static_cast<std::size_t>(got));
  }
  const int error = errno;
  close(file);
  errno = error;
  return got >= 0;
}

bool syncDirectoryOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash + 1);
  const int file = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) return false;
  const bool good = syncFully(file);
  const int error = errno;
  close(file);
  errno = error;
  return good;
}

}  // namespace

std::string formatSuspendedEndpoints(const std::set<std::string>& all) {
  std::string text(kHeader);
  for (const std::string& id : all) text += id + "\n";
  return text + "end " + std::to_string(all.size()) + "\n";
}

std::optional<std::set<std::string>> parseSuspendedEndpoints(std::string_view text) {
  if (text.substr(0, kHeader.size()) != kHeader) return std::nullopt;
  text.remove_prefix(kHeader.size());
  std::set<std::string> all;
  for (std::size_t end; (end = text.find('\n')) != std::string_view::npos; text.remove_prefix(end + 1)) {
    const std::string line(text.substr(0, end));
    if (line == "end " + std::to_string(all.size()) && end + 1 == text.size()) return all;
    if (line.empty() || line.find(' ') != std::string::npos || all.size() >= kMaxSuspendedEndpoints)
      return std::nullopt;
    all.insert(line);
  }
  return std::nullopt;  // truncated
}

SuspendedEndpoints::SuspendedEndpoints(std::string path) : path_(std::move(path)) { load(); }

bool SuspendedEndpoints::load() {
  const auto now = fileVersion(path_);
  if (path_.empty() || now == lastSeen_) return false;
  if (!now) {
    lastSeen_ = now;
    return false;  // deleted: the known set stays
  }
  std::string text;
  if (!readFile(path_, text)) {  // lastSeen_ stays, so that the next poll tries again
    if (!std::exchange(unreadable_, true))
      logEvent(LogLevel::Error, "suspensions_unreadable", {{"file", path_}, {"why", std::strerror(errno)}});
    return false;
  }
  lastSeen_ = now;
  unreadable_ = false;
  auto read = parseSuspendedEndpoints(text);
  if (!read) {
    logEvent(LogLevel::Error, "suspensions_unreadable", {{"file", path_}});
    return false;
  }
  for (const auto& [name, suspended] : unwritten_) {
    if (suspended)
      read->insert(name);
    else
      read->erase(name);
  }
  const bool changed = *read != endpoints_;
  endpoints_ = std::move(*read);
  return changed;
}

bool SuspendedEndpoints::poll() {
  const bool changed = load();
  if (!unwritten_.empty() && --pollsToSkip_ <= 0 && !save()) {
    nextBackoff_ = std::min(2 * nextBackoff_, kMaxBackoffPolls);
    pollsToSkip_ = nextBackoff_;
  }
  return changed;
}

bool SuspendedEndpoints::set(const std::string& name, bool suspended) {
  load();  // changes that another process has written in the meantime stay
  const bool full = endpoints_.size() >= kMaxSuspendedEndpoints && endpoints_.count(name) == 0;
  if (suspended && full) return false;
  const bool changed = suspended ? endpoints_.insert(name).second : endpoints_.erase(name) > 0;
  if (path_.empty() || (!changed && unwritten_.empty())) return true;
  if (changed) unwritten_[name] = suspended;
  return save();
}

// Writes the whole set, earlier changes that could not be written included.
bool SuspendedEndpoints::save() {
  if (!replaceFile(formatSuspendedEndpoints(endpoints_))) {
    if (!std::exchange(writeFailing_, true))
      logEvent(LogLevel::Error, "suspensions_write_failed", {{"file", path_}, {"why", std::strerror(errno)}});
    lastSeen_ = fileVersion(path_);
    return false;
  }
  if (std::exchange(writeFailing_, false))
    logEvent(LogLevel::Info, "suspensions_write_recovered", {{"file", path_}});
  unwritten_.clear();
  pollsToSkip_ = 0;
  nextBackoff_ = 1;
  lastSeen_ = fileVersion(path_);
  return true;
}

// Durable under its name when it returns true; else the earlier file is intact, and errno is set.
bool SuspendedEndpoints::replaceFile(const std::string& text) const {
  const std::string fresh = path_ + "." + std::to_string(getpid());
  const int file = open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return false;
  bool good = writeFully(file, text) && syncFully(file);
  int error = errno;
  close(file);
  if (good && std::rename(fresh.c_str(), path_.c_str()) != 0) {
    good = false;
    error = errno;
  }
  if (good) return syncDirectoryOf(path_);
  unlink(fresh.c_str());
  errno = error;
  return false;
}

}  // namespace sablespur::admin
