#include "engine/system_calls.hpp"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace sablespur {

ResourceExhaustion resourceExhaustionOf(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
      return ResourceExhaustion::Descriptors;
    case ENOBUFS:
    case ENOMEM:
      return ResourceExhaustion::Memory;
    case EADDRNOTAVAIL:
      return ResourceExhaustion::Ports;
    case ENETUNREACH:
    case ENETDOWN:
    case EACCES:
    case EPERM:
      return ResourceExhaustion::Route;
    default:
      return ResourceExhaustion::None;
  }
}

const char* resourceExhaustionName(ResourceExhaustion exhaustion) {
  switch (exhaustion) {
    case ResourceExhaustion::Descriptors:
      return "descriptors";
    case ResourceExhaustion::Memory:
      return "memory";
    case ResourceExhaustion::Ports:
      return "ports";
    case ResourceExhaustion::Route:
      return "route";
    case ResourceExhaustion::None:
      break;
  }
  return "none";
}

namespace {

bool isOutOfMemoryOrDescriptors(int error) {
  const ResourceExhaustion resource = resourceExhaustionOf(error);
  return resource == ResourceExhaustion::Descriptors || resource == ResourceExhaustion::Memory;
}

SocketFault classifyAccept(int error) {
  if (isOutOfMemoryOrDescriptors(error)) return SocketFault::OwnResource;
  // All other errors, including network errors, concern only the connection to be accepted
  // (accept(2), "Error handling").
  return SocketFault::Transient;
}

SocketFault classifyConnect(int error) {
  switch (error) {
    case EINPROGRESS:
    case EALREADY:
    case EINTR:  // continues asynchronously, as after EINPROGRESS (connect(2))
      return SocketFault::None;
    case EAGAIN:  // no free entries in the routing cache, or no local port (connect(2))
      return SocketFault::OwnResource;
    default:
      return resourceExhaustionOf(error) != ResourceExhaustion::None ? SocketFault::OwnResource
                                                                     : SocketFault::Peer;
  }
}

}  // namespace

SocketFault classify(SocketCall call, int error) {
  if (error == EBADF || error == ENOTSOCK || error == EFAULT || error == EINVAL)
    return SocketFault::BadDescriptor;
  if (call == SocketCall::Connect) return classifyConnect(error);
  if (error == 0 || error == EAGAIN || error == EWOULDBLOCK) return SocketFault::None;
  if (error == EINTR) return SocketFault::Transient;
  switch (call) {
    case SocketCall::Accept:
      return classifyAccept(error);
    case SocketCall::Open:
      return SocketFault::OwnResource;  // no peer is involved yet
    case SocketCall::Connecting:
      return isOutOfMemoryOrDescriptors(error) || error == EADDRNOTAVAIL ? SocketFault::OwnResource
                                                                         : SocketFault::Peer;
    default:
      return isOutOfMemoryOrDescriptors(error) ? SocketFault::OwnResource : SocketFault::Peer;
  }
}

int acceptNonBlocking(int listener, sockaddr* from, socklen_t* length) {
  return accept4(listener, from, length, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

int openNonBlockingTcpSocket(int family) {
  return socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

StartedConnect startConnect(const Address& to) {
  StartedConnect started;
  FileDescriptor socket(systemCalls().socket(to.v6() ? AF_INET6 : AF_INET));
  if (!socket) {
    started.error = errno;
    started.fault = classify(SocketCall::Open, started.error);
    return started;
  }
  if (systemCalls().connect(socket.get(), to.data(), to.size()) != 0) {
    started.error = errno;
    started.fault = classify(SocketCall::Connect, started.error);
    if (started.fault != SocketFault::None) return started;
  }
  started.fd = socket.release();
  return started;
}

ReservedDescriptor::ReservedDescriptor() { reacquire(); }

void ReservedDescriptor::reacquire() {
  if (!held()) descriptor_.reset(open("/dev/null", O_RDONLY | O_CLOEXEC));
}

bool ReservedDescriptor::callWhileReleased(const std::function<void()>& use) {
  if (!held()) return false;
  release();
  struct Reacquire {
    ReservedDescriptor& descriptor;
    ~Reacquire() { descriptor.reacquire(); }  // `use` may throw
  } const guard{*this};
  use();
  return true;
}

std::size_t descriptorsAllowed(std::size_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  if (limit.rlim_cur < wanted && limit.rlim_cur < limit.rlim_max) {
    limit.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
    getrlimit(RLIMIT_NOFILE, &limit);
  }
  return static_cast<std::size_t>(std::min<rlim_t>(wanted, limit.rlim_cur));
}

}  // namespace sablespur
