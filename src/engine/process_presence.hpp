// Tells whether another process of the same proxy is running, as during an upgrade.
//
// Each process holds a shared lock on one file for as long as it lives, and appends a byte to the
// file when it starts. The system releases the lock however the process ends. The file's size shows
// processes that started and ended between two checks.
#pragma once

#include <sys/types.h>

#include <string>

#include "engine/file_descriptor.hpp"

namespace sablespur {

class ProcessPresence {
 public:
  // Registers this process at the file, which is created if it is missing. Has to be constructed
  // before the process accepts its first client, so that the others know of it in time.
  //
  // With an empty path no other process can be seen. If the file cannot be used, that is logged, and
  // another process is assumed to run.
  explicit ProcessPresence(const std::string& path);

  // Returns whether another process runs now. Costs one system call.
  bool othersRun() const;
  // Returns whether another process may have run at any time since the last call, or since this
  // process started. Costs two system calls.
  bool othersRanSinceLastCheck();

 private:
  bool registerProcess();
  off_t registrations() const;

  const bool enabled_;
  FileDescriptor file_;  // empty: not enabled, or unusable
  off_t registrationsSeen_ = 0;
  bool ranAtLastCheck_ = false;
};

}  // namespace sablespur
