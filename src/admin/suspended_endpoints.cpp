#include "admin/suspended_endpoints.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "logging/log.hpp"

namespace sablespur::admin {
namespace {

constexpr std::string_view kHeader = "sablespur bans 1\n";
constexpr std::size_t kMaxFileBytes = std::size_t{2} << 20;
constexpr int kMaxBackoffPolls = 25;  // 5 s with a poll every 200 ms

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

// Reads the file if it has changed. Returns whether endpoints() has changed.
bool SuspendedEndpoints::load() {
  const auto version = versionOfFile(path_);
  if (path_.empty() || version == lastSeen_) return false;
  if (!version) {
    lastSeen_ = version;
    return false;  // deleted: the known set is kept
  }
  const auto text = readSharedFile(path_, kMaxFileBytes);
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
  if (!replaceSharedFile(path_, formatSuspendedEndpoints(endpoints_), Durability::PowerLoss)) {
    if (!std::exchange(writeFailing_, true))
      logEvent(LogLevel::Error, "suspensions_write_failed", {{"file", path_}, {"why", std::strerror(errno)}});
    lastSeen_ = versionOfFile(path_);
    return false;
  }
  if (std::exchange(writeFailing_, false))
    logEvent(LogLevel::Info, "suspensions_write_recovered", {{"file", path_}});
  unwritten_.clear();
  pollsToSkip_ = 0;
  nextBackoff_ = 1;
  lastSeen_ = versionOfFile(path_);
  return true;
}

}  // namespace sablespur::admin
