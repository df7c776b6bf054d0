// How system calls on sockets fail, and the calls themselves. The calls stand at one place so that tests can
// make them fail as Linux documents.
#pragma once

#include <sys/socket.h>

#include <functional>

#include "support/address.hpp"

namespace sablespur {

// What this machine lacked, where a failed call tells of it and not of the other side.
enum class ResourceExhaustion {
  None,
  Descriptors,  // EMFILE, ENFILE: of this process, of the machine
  Memory,       // ENOBUFS, ENOMEM
  Ports,        // EADDRNOTAVAIL: no local port is left for this destination
  Route  // ENETUNREACH, ENETDOWN, EACCES, EPERM: the routing table or the firewall here lets nothing out
};
constexpr std::size_t kResourceExhaustionCount = 5;
ResourceExhaustion resourceExhaustionOf(int error);
const char* resourceExhaustionName(ResourceExhaustion);

enum class SocketCall {
  Accept,      // accept(2)
  Open,        // socket(2)
  Connect,     // connect(2), as it returns
  Connecting,  // SO_ERROR of a connect(2) that was under way
  Transfer     // read, write and their like on an open connection
};

// Whose fault a failed call is, and so what may follow from it.
enum class SocketFault {
  None,          // no failure: there is nothing now, or the call goes on by itself (EAGAIN, EINPROGRESS)
  Transient,     // the call may be repeated at once (EINTR), or failed for one connection alone (accept(2))
  OwnResource,   // this machine had no descriptor, memory, port or route: worth a later try, and never held
                 // against the other side
  Peer,          // the other side, or the way to it
  BadDescriptor  // a defect here: the descriptor is none, or not one for this call
};

// The one classification of errno, by accept(2), socket(2), connect(2), send(2), tcp(7) and ip(7).
//
// ENETUNREACH as connect(2) returns it is our own routing table, which has no way to any network: all
// endpoints would fail alike. The same error of a connect that was under way, or on an open connection, came
// by ICMP from a router on the way, and speaks of that endpoint. EHOSTUNREACH speaks of one host always: it
// is ICMP's, or that of an ARP request that nobody answered.
SocketFault classify(SocketCall, int error);

struct SystemCalls {
  int (*accept)(int listener, sockaddr*, socklen_t*);  // non-blocking, closed on exec; -1 and errno
  int (*socket)(int family);                           // the same, for TCP
  int (*connect)(int fd, const sockaddr*, socklen_t);
};
SystemCalls& systemCalls();

// A non-blocking TCP socket with a connect under way. Its end shows as writability, with SO_ERROR.
struct StartedConnect {
  int fd = -1;  // the caller's; -1: it failed at once
  int error = 0;
  SocketFault fault = SocketFault::None;
};
StartedConnect startConnect(const Address& to);

// A descriptor kept for the moment in which there is none left: with it one more connection can be taken,
// told so and closed, or a file be read. One thread only.
class ReservedDescriptor {
 public:
  ReservedDescriptor();
  ~ReservedDescriptor();
  ReservedDescriptor(const ReservedDescriptor&) = delete;
  // Calls `use` while the descriptor is free for it; what `use` opened has to be closed when it returns.
  // False: there was none to lend.
  bool lend(const std::function<void()>& use);
  bool held() const { return fd_ >= 0; }
  void reacquire();  // once more, where others took its place
  void release();    // for something that is to stay open; hold() once that is closed

 private:
  int fd_ = -1;
};

// Raises the process's own bound on descriptors to `wanted` where the system allows it; what it is then.
std::size_t descriptorsAllowed(std::size_t wanted);

}  // namespace sablespur
