#include "engine/process_presence.hpp"

#include <fcntl.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstring>

#include "engine/file_calls.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr mode_t kOwnerOnly = 0600;

// A lock of the open file description (fcntl(2)): unlike a lock of the process, it outlives the
// closing of other descriptors of the file, and F_OFD_GETLK reports the locks of all others.
struct flock lockOf(short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_len = 1;
  return lock;
}

}  // namespace

ProcessPresence::ProcessPresence(const std::string& path) : enabled_(!path.empty()) {
  if (!enabled_) return;
  file_.reset(open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, kOwnerOnly));
  if (!file_ || !registerProcess()) {
    logEvent(LogLevel::Error, "process_presence_unknown", {{"file", path}, {"why", std::strerror(errno)}});
    file_.reset();
  }
  registrationsSeen_ = registrations();
  ranAtLastCheck_ = othersRun();
}

// Locks first: a process that sees this registration must also see the lock.
bool ProcessPresence::registerProcess() {
  struct flock lock = lockOf(F_RDLCK);
  return fcntl(file_.get(), F_OFD_SETLK, &lock) == 0 && writeFully(file_.get(), "\n");
}

bool ProcessPresence::othersRun() const {
  if (!file_) return enabled_;
  struct flock lock = lockOf(F_WRLCK);
  return fcntl(file_.get(), F_OFD_GETLK, &lock) != 0 || lock.l_type != F_UNLCK;
}

bool ProcessPresence::othersRanSinceLastCheck() {
  if (!enabled_) return false;
  const bool ranBefore = ranAtLastCheck_;
  ranAtLastCheck_ = othersRun();
  const off_t before = registrationsSeen_;
  registrationsSeen_ = registrations();
  return ranBefore || ranAtLastCheck_ || registrationsSeen_ != before;
}

off_t ProcessPresence::registrations() const {
  struct stat status {};
  return file_ && fstat(file_.get(), &status) == 0 ? status.st_size : 0;
}

}  // namespace sablespur
