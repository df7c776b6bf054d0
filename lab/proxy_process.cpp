#include "lab/proxy_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace sablespur::lab {

ProxyProcess::ProxyProcess(Context& c, std::string program, std::string settingsPath, std::string logPath)
    : c_(c),
      program_(std::move(program)),
      settingsPath_(std::move(settingsPath)),
      logPath_(std::move(logPath)) {}

ProxyProcess::~ProxyProcess() {
  kill();
  readable_.reset();
  if (output_ >= 0) close(output_);
}

void ProxyProcess::start(std::function<void(int)> ready) {
  if (running()) return;
  ready_ = std::move(ready);
  portReported_ = false;
  startupOutput_.clear();
  readable_.reset();
  if (output_ >= 0) close(output_);
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create a pipe for the output of the proxy");
  pid_ = fork();
  if (pid_ == 0) {
    dup2(ends[1], 1);
    dup2(ends[1], 2);
    for (int k = 0; k < inherited_; ++k)
      if (dup(2) < 0) _exit(126);
    if (descriptors_ > 0) {
      const rlimit limit{static_cast<rlim_t>(descriptors_), static_cast<rlim_t>(descriptors_)};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    if (wallClock_) wallClock_->preload();
    execl(program_.c_str(), "sablespur", "serve", "--config", settingsPath_.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  close(ends[1]);
  output_ = ends[0];
  fcntl(output_, F_SETFL, O_NONBLOCK);
  readable_.reset(event_new(
      c_.loop.get(), output_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<ProxyProcess*>(self)->read(); }, this));
  event_add(readable_.get(), nullptr);
}

void ProxyProcess::read() {
  char bytes[4096];
  const ssize_t n = ::read(output_, bytes, sizeof bytes);
  if (n <= 0) {
    event_del(readable_.get());
    return;
  }
  std::ofstream(logPath_, std::ios::app).write(bytes, n);
  if (portReported_) return;
  startupOutput_.append(bytes, static_cast<std::size_t>(n));
  const std::size_t at = startupOutput_.find("event=listening");
  if (at == std::string::npos || startupOutput_.find('\n', at) == std::string::npos) return;
  portReported_ = true;
  const int port = std::atoi(startupOutput_.c_str() + startupOutput_.find(" port=", at) + 6);
  if (ready_) ready_(port);
}

void ProxyProcess::setWallClockOffset(std::chrono::milliseconds offset) {
  if (wallClock_) wallClock_->setOffset(offset);
}

void ProxyProcess::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}
bool ProxyProcess::running() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  pid_ = -1;
  return false;
}
void ProxyProcess::kill() {
  if (!running()) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

double ProxyProcess::cpuSeconds() const {
  if (pid_ <= 0) return 0;
  // schedstat counts in nanoseconds; /proc/PID/stat counts only in hundredths of a second.
  std::ifstream stat("/proc/" + std::to_string(pid_) + "/schedstat");
  double ns = 0;
  stat >> ns;
  return ns / 1e9;
}
double ProxyProcess::residentMb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string word; status >> word;)
    if (word == "VmRSS:") {
      double kb = 0;
      status >> kb;
      return kb / 1024;
    }
  return 0;
}

}  // namespace sablespur::lab
