// System calls on sockets, replaceable by tests, and the classification of their errors. See also
// FileCalls and DatagramCalls.
#pragma once

#include <sys/socket.h>

#include <cstddef>
#include <functional>

#include "engine/file_descriptor.hpp"
#include "support/address.hpp"

namespace sablespur {

// The local resource whose exhaustion made a call fail.
enum class ResourceExhaustion {
  None,
  Descriptors,  // EMFILE (this process), ENFILE (the whole system)
  Memory,       // ENOBUFS, ENOMEM
  Ports,        // EADDRNOTAVAIL: no local port is left for this destination
  Route         // ENETUNREACH, ENETDOWN, EACCES, EPERM: local routing table or firewall
};
constexpr std::size_t kResourceExhaustionCount = 5;
ResourceExhaustion resourceExhaustionOf(int error);
// Returns the name used in log events and in the status.
const char* resourceExhaustionName(ResourceExhaustion);

enum class SocketCall {
  Accept,      // accept(2)
  Open,        // socket(2)
  Connect,     // the return of connect(2)
  Connecting,  // SO_ERROR after an asynchronous connect(2)
  Transfer     // read, write and similar calls on an open connection
};

// Which side a failed call is attributed to.
enum class SocketFault {
  None,       // no failure: would block, or continues asynchronously (EAGAIN, EINPROGRESS)
  Transient,  // the call may be repeated at once (EINTR), or one connection failed (accept(2))
  // This machine lacked a descriptor, memory, port or route. The call is retried later, and the
  // failure is not counted against the peer.
  OwnResource,
  Peer,          // the peer, or the network path to it
  BadDescriptor  // a bug here: an invalid descriptor, or the wrong kind for the call
};

// Classifies errno by accept(2), socket(2), connect(2), send(2), tcp(7) and ip(7).
//
// - ENETUNREACH returned by connect(2): the local routing table has no route, and all endpoints
//   would fail in the same way.
// - ENETUNREACH from an asynchronous connect or on an open connection: an ICMP message of a router
//   on the path, which concerns that endpoint only.
// - EHOSTUNREACH always concerns one host: an ICMP message, or an ARP request without a reply.
SocketFault classify(SocketCall, int error);

// Return a non-blocking, close-on-exec descriptor, or -1 with errno set.
int acceptNonBlocking(int listener, sockaddr*, socklen_t*);
int openNonBlockingTcpSocket(int family);

struct SystemCalls {
  int (*accept)(int listener, sockaddr*, socklen_t*) = acceptNonBlocking;
  int (*socket)(int family) = openNonBlockingTcpSocket;
  int (*connect)(int fd, const sockaddr*, socklen_t) = ::connect;
};
// Replaced only by tests.
inline SystemCalls& systemCalls() {
  static SystemCalls calls;
  return calls;
}

// A non-blocking TCP socket with a connect(2) in progress. It becomes writable when the connect has
// ended; SO_ERROR then gives the result.
struct StartedConnect {
  int fd = -1;  // owned by the caller; -1: the connect failed at once
  int error = 0;
  SocketFault fault = SocketFault::None;
};
StartedConnect startConnect(const Address& to);

// A reserved descriptor for when the process has no descriptors left: releasing it allows one more
// connection to be accepted and rejected, or one file to be read. Not thread-safe.
class ReservedDescriptor {
 public:
  ReservedDescriptor();
  ReservedDescriptor(const ReservedDescriptor&) = delete;
  ReservedDescriptor& operator=(const ReservedDescriptor&) = delete;
  // Calls `use` while the descriptor is released; `use` must close every descriptor that it opens.
  // Returns false without calling `use` if the descriptor was not held.
  bool callWhileReleased(const std::function<void()>& use);
  bool held() const { return static_cast<bool>(descriptor_); }
  // Opens the descriptor again; no effect if it is held. May fail, see held().
  void reacquire();
  // Makes room for a descriptor that stays open. Call reacquire() after closing that descriptor.
  void release() { descriptor_.reset(); }

 private:
  FileDescriptor descriptor_;
};

// Raises the soft limit of descriptors to `wanted`, or to the hard limit if that is lower. Returns
// the smaller of the resulting limit and `wanted`.
std::size_t descriptorsAllowed(std::size_t wanted);

}  // namespace sablespur
