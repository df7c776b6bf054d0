#include "control/bans.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "log/log.hpp"

namespace sablespur::control {
namespace {

constexpr std::string_view kHead = "sablespur bans 1\n";
constexpr std::size_t kLongestFile = std::size_t{2} << 20;

std::optional<std::pair<unsigned long, long>> mark(const std::string& path) {
  struct stat s {};
  if (stat(path.c_str(), &s) != 0) return std::nullopt;
  return std::make_pair(static_cast<unsigned long>(s.st_ino),
                        s.st_mtim.tv_sec * 1000000000l + s.st_mtim.tv_nsec);
}

}  // namespace

std::string writeBans(const std::set<std::string>& all) {
  std::string text(kHead);
  for (const std::string& id : all) text += id + "\n";
  return text + "end " + std::to_string(all.size()) + "\n";
}

std::optional<std::set<std::string>> readBans(std::string_view text) {
  if (text.substr(0, kHead.size()) != kHead) return std::nullopt;
  text.remove_prefix(kHead.size());
  std::set<std::string> all;
  for (std::size_t end; (end = text.find('\n')) != std::string_view::npos; text.remove_prefix(end + 1)) {
    const std::string line(text.substr(0, end));
    if (line == "end " + std::to_string(all.size()) && end + 1 == text.size()) return all;
    if (line.empty() || line.find(' ') != std::string::npos || all.size() >= kMostBans) return std::nullopt;
    all.insert(line);
  }
  return std::nullopt;  // it was cut
}

Bans::Bans(std::string path) : path_(std::move(path)) { load(); }

bool Bans::load() {
  const auto now = mark(path_);
  if (path_.empty() || now == seen_) return false;
  seen_ = now;
  if (!now) return false;  // gone: what is known stands
  std::string text;
  const int fd = open(path_.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  char bytes[4096];
  for (ssize_t n; fd >= 0 && text.size() <= kLongestFile && (n = read(fd, bytes, sizeof bytes)) > 0;)
    text.append(bytes, static_cast<std::size_t>(n));
  if (fd >= 0) close(fd);
  auto read = readBans(text);
  if (!read) {
    logEvent(LogLevel::Error, "bans_unreadable", {{"file", path_}});
    return false;
  }
  const bool other = *read != all_;
  all_ = std::move(*read);
  return other;
}

bool Bans::poll() { return load(); }

bool Bans::set(const std::string& id, bool banned) {
  load();  // what another process has said in the meantime stands
  const bool other = banned ? all_.size() < kMostBans && all_.insert(id).second : all_.erase(id) > 0;
  if (!other || path_.empty()) return !banned || all_.count(id) > 0;
  const std::string text = writeBans(all_), part = path_ + "." + std::to_string(getpid());
  const int fd = open(part.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  bool good = fd >= 0 && write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  good = (fd < 0 || close(fd) == 0) && good && std::rename(part.c_str(), path_.c_str()) == 0;
  if (!good) {
    logEvent(LogLevel::Error, "bans_unwritten", {{"file", path_}, {"why", std::strerror(errno)}});
    unlink(part.c_str());
  }
  seen_ = mark(path_);
  return good;
}

}  // namespace sablespur::control
