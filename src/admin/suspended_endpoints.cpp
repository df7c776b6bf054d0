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

constexpr std::string_view kHead = "sablespur bans 1\n";
constexpr std::size_t kLongestFile = std::size_t{2} << 20;
constexpr int kMostPollsSkipped = 25;  // 5 s where the file is looked at each 200 ms

std::optional<std::pair<unsigned long, long>> mark(const std::string& path) {
  struct stat s {};
  if (stat(path.c_str(), &s) != 0) return std::nullopt;
  return std::make_pair(static_cast<unsigned long>(s.st_ino),
                        s.st_mtim.tv_sec * 1000000000l + s.st_mtim.tv_nsec);
}

// False, with errno set: it could not be read.
bool readFile(const std::string& path, std::string& text) {
  const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (file < 0) return false;
  char bytes[4096];
  ssize_t got = 0;
  while (text.size() <= kLongestFile) {
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
  std::string text(kHead);
  for (const std::string& id : all) text += id + "\n";
  return text + "end " + std::to_string(all.size()) + "\n";
}

std::optional<std::set<std::string>> parseSuspendedEndpoints(std::string_view text) {
  if (text.substr(0, kHead.size()) != kHead) return std::nullopt;
  text.remove_prefix(kHead.size());
  std::set<std::string> all;
  for (std::size_t end; (end = text.find('\n')) != std::string_view::npos; text.remove_prefix(end + 1)) {
    const std::string line(text.substr(0, end));
    if (line == "end " + std::to_string(all.size()) && end + 1 == text.size()) return all;
    if (line.empty() || line.find(' ') != std::string::npos || all.size() >= kMaxSuspendedEndpoints)
      return std::nullopt;
    all.insert(line);
  }
  return std::nullopt;  // it was cut
}

SuspendedEndpoints::SuspendedEndpoints(std::string path) : path_(std::move(path)) { load(); }

bool SuspendedEndpoints::load() {
  const auto now = mark(path_);
  if (path_.empty() || now == lastSeen_) return false;
  if (!now) {
    lastSeen_ = now;
    return false;  // gone: what is known stands
  }
  std::string text;
  if (!readFile(path_, text)) {  // looked at again: the file may be good
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
  for (const auto& [id, banned] : unwritten_) {
    if (banned)
      read->insert(id);
    else
      read->erase(id);
  }
  const bool other = *read != endpoints_;
  endpoints_ = std::move(*read);
  return other;
}

bool SuspendedEndpoints::poll() {
  const bool other = load();
  if (!unwritten_.empty() && --pollsToSkip_ <= 0 && !save()) {
    skippedNext_ = std::min(2 * skippedNext_, kMostPollsSkipped);
    pollsToSkip_ = skippedNext_;
  }
  return other;
}

bool SuspendedEndpoints::set(const std::string& id, bool banned) {
  load();  // what another process has said in the meantime stands
  const bool full = banned && endpoints_.size() >= kMaxSuspendedEndpoints && endpoints_.count(id) == 0;
  if (full) return false;
  const bool other = banned ? endpoints_.insert(id).second : endpoints_.erase(id) > 0;
  if (path_.empty() || (!other && unwritten_.empty())) return true;
  if (other) unwritten_[id] = banned;
  return save();
}

// Writes all(), those included that could not be written before.
bool SuspendedEndpoints::save() {
  if (!replaceFile(formatSuspendedEndpoints(endpoints_))) {
    if (!std::exchange(failing_, true))
      logEvent(LogLevel::Error, "suspensions_write_failed", {{"file", path_}, {"why", std::strerror(errno)}});
    lastSeen_ = mark(path_);
    return false;
  }
  if (std::exchange(failing_, false))
    logEvent(LogLevel::Info, "suspensions_write_recovered", {{"file", path_}});
  unwritten_.clear();
  pollsToSkip_ = 0;
  skippedNext_ = 1;
  lastSeen_ = mark(path_);
  return true;
}

// Durable under its name once this has returned true; else the earlier file stands whole, and errno tells
// why.
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
