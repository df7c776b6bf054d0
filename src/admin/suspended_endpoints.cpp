#include "admin/suspended_endpoints.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "engine/file_calls.hpp"
#include "engine/file_descriptor.hpp"
#include "logging/log.hpp"

namespace sablespur::admin {
namespace {

constexpr std::string_view kHeader = "sablespur bans 1\n";
constexpr std::size_t kMaxFileBytes = std::size_t{2} << 20;
constexpr int kMaxBackoffPolls = 25;  // 5 s with a poll every 200 ms

// Returns std::nullopt, with errno set, if the file could not be read. Stops reading one buffer
// after kMaxFileBytes, the size of the longest valid file.
std::optional<std::string> readFile(const std::string& path) {
  const FileDescriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (!file) return std::nullopt;
  std::string text;
  std::array<char, 4096> bytes{};
  while (text.size() <= kMaxFileBytes) {
    const ssize_t got = fileCalls().read(file.get(), bytes.data(), bytes.size());
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return std::nullopt;
    if (got == 0) break;
    text.append(bytes.data(), static_cast<std::size_t>(got));
  }
  return text;
}

bool syncDirectoryOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash + 1);
  const FileDescriptor file(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return file && syncFully(file.get());
}

}  // namespace

std::string formatSuspendedEndpoints(const std::set<std::string>& names) {
  std::string text(kHeader);
  for (const std::string& name : names) text += name + "\n";
  return text + "end " + std::to_string(names.size()) + "\n";
}

std::optional<std::set<std::string>> parseSuspendedEndpoints(std::string_view text) {
  if (text.substr(0, kHeader.size()) != kHeader) return std::nullopt;
  text.remove_prefix(kHeader.size());
  std::set<std::string> names;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    const std::string line(text.substr(0, end));
    text.remove_prefix(end + 1);
    if (line == "end " + std::to_string(names.size()) && text.empty()) return names;
    if (line.empty() || line.find(' ') != std::string::npos || names.size() >= kMaxSuspendedEndpoints)
      return std::nullopt;
    names.insert(line);
  }
  return std::nullopt;  // truncated
}

SuspendedEndpoints::SuspendedEndpoints(std::string path) : path_(std::move(path)) { load(); }

std::optional<SuspendedEndpoints::FileVersion> SuspendedEndpoints::versionOf(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) return std::nullopt;
  using std::chrono::nanoseconds;
  using std::chrono::seconds;
  return FileVersion{status.st_ino, seconds(status.st_mtim.tv_sec) + nanoseconds(status.st_mtim.tv_nsec)};
}

// Reads the file if it has changed. Returns whether endpoints() has changed.
bool SuspendedEndpoints::load() {
  const auto version = versionOf(path_);
  if (path_.empty() || version == lastSeen_) return false;
  if (!version) {
    lastSeen_ = version;
    return false;  // deleted: the known set is kept
  }
  const auto text = readFile(path_);
  if (!text) {  // lastSeen_ is left unchanged so that the next poll retries
    logUnreadable();
    return false;
  }
  lastSeen_ = version;
  unreadable_ = false;
  auto read = parseSuspendedEndpoints(*text);
  if (!read) {
    logEvent(LogLevel::Error, "suspensions_unreadable", {{"file", path_}});
    return false;
  }
  return replaceBy(std::move(*read));
}

void SuspendedEndpoints::logUnreadable() {
  const char* const why = std::strerror(errno);
  if (std::exchange(unreadable_, true)) return;
  logEvent(LogLevel::Error, "suspensions_unreadable", {{"file", path_}, {"why", why}});
}

// Replaces the set by the content of the file, with the unwritten changes of this process applied
// to it. Returns whether endpoints() has changed.
bool SuspendedEndpoints::replaceBy(std::set<std::string> read) {
  for (const auto& [name, suspended] : unwritten_) {
    if (suspended)
      read.insert(name);
    else
      read.erase(name);
  }
  const bool changed = read != endpoints_;
  endpoints_ = std::move(read);
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
  load();  // keeps changes that another process has written in the meantime
  const bool full = endpoints_.size() >= kMaxSuspendedEndpoints && endpoints_.count(name) == 0;
  if (suspended && full) return false;
  const bool changed = suspended ? endpoints_.insert(name).second : endpoints_.erase(name) > 0;
  if (path_.empty() || (!changed && unwritten_.empty())) return true;
  if (changed) unwritten_[name] = suspended;
  return save();
}

// Writes the whole set, including earlier changes that could not be written. Returns whether it is
// durable.
bool SuspendedEndpoints::save() {
  if (!replaceFile(formatSuspendedEndpoints(endpoints_))) {
    if (!std::exchange(writeFailing_, true))
      logEvent(LogLevel::Error, "suspensions_write_failed", {{"file", path_}, {"why", std::strerror(errno)}});
    lastSeen_ = versionOf(path_);
    return false;
  }
  if (std::exchange(writeFailing_, false))
    logEvent(LogLevel::Info, "suspensions_write_recovered", {{"file", path_}});
  unwritten_.clear();
  pollsToSkip_ = 0;
  nextBackoff_ = 1;
  lastSeen_ = versionOf(path_);
  return true;
}

// Replaces the file atomically. Returns true once the new file and its directory entry are durable;
// otherwise returns false with errno set, and the earlier file is intact unless only the sync of
// the directory failed.
bool SuspendedEndpoints::replaceFile(const std::string& text) const {
  const std::string temporaryPath = path_ + "." + std::to_string(getpid());
  FileDescriptor file(open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!file) return false;
  const bool written = writeFully(file.get(), text) && syncFully(file.get());
  file.reset();
  if (written && std::rename(temporaryPath.c_str(), path_.c_str()) == 0) return syncDirectoryOf(path_);
  const int error = errno;
  unlink(temporaryPath.c_str());
  errno = error;
  return false;
}

}  // namespace sablespur::admin
