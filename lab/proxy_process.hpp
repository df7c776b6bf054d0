// A real sablespur process: its settings, its log, its signals, what it uses.
#pragma once

#include <functional>
#include <string>

#include "lab/context.hpp"

namespace sablespur::lab {

class ProxyProcess {
 public:
  ProxyProcess(Context&, std::string program, std::string settingsPath, std::string logPath);
  ~ProxyProcess();  // kills it
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  // Of each start: descriptors that are open in it already, and the system's limit; 0: as it is.
  void limits(int inherited, int descriptors) {
    inherited_ = inherited;
    descriptors_ = descriptors;
  }
  void start(std::function<void(int port)> ready);
  void signal(int) const;
  void kill();  // at once, and waits for it
  bool running();
  int exitStatus() const { return status_; }  // of the last that ended by itself; -1: none
  double cpuSeconds() const;
  double residentMb() const;

 private:
  void read();

  Context& c_;
  const std::string program_, settings_, log_;
  std::function<void(int)> ready_;
  int inherited_ = 0, descriptors_ = 0;
  int pid_ = -1, err_ = -1, status_ = -1;
  std::string text_;
  bool told_ = false;
  EventPtr readable_;
};

}  // namespace sablespur::lab
