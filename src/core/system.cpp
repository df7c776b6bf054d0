#include "core/system.hpp"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace sablespur {

Shortage shortageOf(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
      return Shortage::Descriptors;
    case ENOBUFS:
    case ENOMEM:
      return Shortage::Memory;
    default:
      return Shortage::None;
  }
}
const char* shortageName(Shortage s) {
  return s == Shortage::Descriptors ? "descriptors" : s == Shortage::Memory ? "memory" : "none";
}

SystemCalls& systemCalls() {
  static SystemCalls calls{
      [](int listener, sockaddr* a, socklen_t* n) {
        return accept4(listener, a, n, SOCK_NONBLOCK | SOCK_CLOEXEC);
      },
      [](int family) { return socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }};
  return calls;
}

Spare::Spare() { hold(); }
Spare::~Spare() { give(); }
void Spare::give() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}
void Spare::hold() {
  if (fd_ < 0) fd_ = open("/dev/null", O_RDONLY | O_CLOEXEC);
}
bool Spare::lend(const std::function<void()>& use) {
  if (fd_ < 0) return false;
  give();
  struct Hold {
    Spare& spare;
    ~Hold() { spare.hold(); }  // `use` may throw
  } after{*this};
  use();
  return true;
}

std::size_t descriptorsAllowed(std::size_t wanted) {
  rlimit r{};
  if (getrlimit(RLIMIT_NOFILE, &r) != 0) return wanted;
  if (r.rlim_cur < wanted && r.rlim_cur < r.rlim_max) {
    r.rlim_cur = std::min<rlim_t>(wanted, r.rlim_max);
    setrlimit(RLIMIT_NOFILE, &r);
    getrlimit(RLIMIT_NOFILE, &r);
  }
  return static_cast<std::size_t>(std::min<rlim_t>(wanted, r.rlim_cur));
}

}  // namespace sablespur
