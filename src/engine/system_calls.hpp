// System calls on sockets, replaceable by tests, and the classification of their errors. See also FileCalls
// and DatagramCalls.
#pragma once

#include <sys/socket.h>

#include <cstddef>
#include <functional>

#include "engine/file_descriptor.hpp"
#include "support/address.hpp"

namespace sablespur {

// The local resource whose lack made a call fail.
enum class ResourceExhaustion {
  None,
  Descriptors,  // EMFILE, ENFILE: of this process, of the machine
  Memory,       // ENOBUFS, ENOMEM
  Ports,        // EADDRNOTAVAIL: no local port is left for this destination
  Route  // ENETUNREACH, ENETDOWN, EACCES, EPERM: the routing table or the firewall here lets nothing out
};
constexpr std::size_t kResourceExhaustionCount = 5;
ResourceExhaustion resourceExhaustionOf(int error);
// The name that log events and the status give it.
const char* resourceExhaustionName(ResourceExhaustion);

enum class SocketCall {
  Accept,      // accept(2)
  Open,        // socket(2)
  Connect,     // connect(2), as it returns
  Connecting,  // SO_ERROR of a connect(2) that was under way
  Transfer     // read, write and their like on an open connection
};

// Which side a failed call is attributed to.
enum class SocketFault {
  None,          // no failure: there is nothing now, or the call goes on by itself (EAGAIN, EINPROGRESS)
  Transient,     // the call may be repeated at once (EINTR), or failed for one connection alone (accept(2))
  OwnResource,   // this machine had no descriptor, memory, port or route: worth a later try, and never held
                 // against the other side
  Peer,          // the other side, or the way to it
  BadDescriptor  // a defect here: the descriptor is none, or not one for this call
};

// Classifies errno by accept(2), socket(2), connect(2), send(2), tcp(7) and ip(7).
//
// ENETUNREACH as connect(2) returns it is our own routing table, which has no way to any network: all
// endpoints would fail alike. The same error of a connect that was under way, or on an open connection, came
// by ICMP from a router on the way, and speaks of that endpoint. EHOSTUNREACH speaks of one host always: it
// is ICMP's, or that of an ARP request that nobody answered.
SocketFault classify(SocketCall, int error);

// Both give a non-blocking descriptor that is closed on exec; -1 with errno set on failure.
int acceptNonBlocking(int listener, sockaddr*, socklen_t*);
int openNonBlockingTcpSocket(int family);

struct SystemCalls {
  int (*accept)(int listener, sockaddr*, socklen_t*) = acceptNonBlocking;
  int (*socket)(int family) = openNonBlockingTcpSocket;
  int (*connect)(int fd, const sockaddr*, socklen_t) = ::connect;
};
// Replaced by tests alone.
inline SystemCalls& systemCalls() {
  static SystemCalls calls;
  return calls;
}

// A non-blocking TCP socket that is connecting. It becomes writable when that has ended; SO_ERROR tells how.
struct StartedConnect {
  int fd = -1;  // owned by the caller; -1: it failed at once
  int error = 0;
  SocketFault fault = SocketFault::None;
};
StartedConnect startConnect(const Address& to);

// A descriptor held in reserve for when the process has run out: releasing it allows one more connection to
// be accepted and rejected, or one file to be read. Not thread-safe.
class ReservedDescriptor {
 public:
  ReservedDescriptor();
  ReservedDescriptor(const ReservedDescriptor&) = delete;
  ReservedDescriptor& operator=(const ReservedDescriptor&) = delete;
  // Calls `use` while the descriptor is released; `use` has to close what it opens. False: it was not held,
  // and `use` has not been called.
  bool callWhileReleased(const std::function<void()>& use);
  bool held() const { return static_cast<bool>(descriptor_); }
  // No effect if it is held; may fail, see held().
  void reacquire();
  // For a descriptor that stays open; reacquire() once that is closed.
  void release() { descriptor_.reset(); }

 private:
  FileDescriptor descriptor_;
};

// Raises the soft limit of descriptors to `wanted` as far as the hard limit allows; returns the smaller of
// the resulting limit and `wanted`.
std::size_t descriptorsAllowed(std::size_t wanted);

}  // namespace sablespur
