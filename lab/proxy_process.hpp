// Runs a real sablespur process: starts it, appends its output to a log file, sends it signals, and
// measures its CPU time and memory.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "lab/context.hpp"
#include "lab/wall_clock.hpp"

namespace sablespur::lab {

class ProxyProcess {
 public:
  ProxyProcess(Context&, std::string program, std::string settingsPath, std::string logPath);
  ~ProxyProcess();  // kills it
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  // Applies to each start: `inherited` is the number of extra descriptors that the process inherits,
  // `descriptors` its RLIMIT_NOFILE; 0 leaves the limit unchanged.
  void limits(int inherited, int descriptors) {
    inherited_ = inherited;
    descriptors_ = descriptors;
  }
  // Applies to each later start: the process reads a wall clock of its own, whose offset is stored in
  // the file `path`.
  void useOwnWallClock(const std::string& path) { wallClock_ = std::make_unique<SteppableWallClock>(path); }
  // Sets how far the process's own wall clock is ahead, also while it runs.
  void setWallClockOffset(std::chrono::milliseconds);
  // Does nothing if the process runs. Calls `ready` with the port once the process is listening.
  void start(std::function<void(int port)> ready);
  void signal(int) const;
  void kill();  // sends SIGKILL and waits for the process to end
  bool running();
  int exitStatus() const { return exitStatus_; }  // of the last process not ended by kill(); -1: none
  double cpuSeconds() const;
  double residentMb() const;

 private:
  void read();

  Context& c_;
  const std::string program_, settingsPath_, logPath_;
  std::unique_ptr<SteppableWallClock> wallClock_;  // null: the system's
  std::function<void(int)> ready_;
  int inherited_ = 0, descriptors_ = 0;
  int pid_ = -1, output_ = -1, exitStatus_ = -1;
  std::string startupOutput_;
  bool portReported_ = false;
  EventPtr readable_;
};

}  // namespace sablespur::lab
