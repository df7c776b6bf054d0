// What the system may run out of, and the calls that say so. They stand at one place so that tests can make
// them fail as a full table would.
#pragma once

#include <sys/socket.h>

#include <functional>

namespace sablespur {

// Errors of accept(2), socket(2) and open(2) that tell of the machine and not of the other side.
enum class Shortage {
  None,
  Descriptors,  // EMFILE, ENFILE: of this process, of the machine
  Memory        // ENOBUFS, ENOMEM
};
Shortage shortageOf(int error);
const char* shortageName(Shortage);

struct SystemCalls {
  int (*accept)(int listener, sockaddr*, socklen_t*);  // non-blocking, closed on exec; -1 and errno
  int (*socket)(int family);                           // the same, for TCP
};
SystemCalls& systemCalls();

// A descriptor kept for the moment in which there is none left: with it one more connection can be taken,
// told so and closed, or a file be read. One thread only.
class Spare {
 public:
  Spare();
  ~Spare();
  Spare(const Spare&) = delete;
  // Calls `use` while the descriptor is free for it; what `use` opened has to be closed when it returns.
  // False: there was none to lend.
  bool lend(const std::function<void()>& use);
  bool held() const { return fd_ >= 0; }
  void hold();  // once more, where others took its place
  void give();  // for something that is to stay open; hold() once that is closed

 private:
  int fd_ = -1;
};

// Raises the process's own bound on descriptors to `wanted` where the system allows it; what it is then.
std::size_t descriptorsAllowed(std::size_t wanted);

}  // namespace sablespur
