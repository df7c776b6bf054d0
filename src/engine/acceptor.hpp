// A listening socket that accepts a bounded number of connections per event loop iteration.
//
// Errors of accept(2):
// - ECONNABORTED and network errors (the connection was closed before it was accepted): the next
//   connection is accepted. If every call of an iteration fails like this, the listener pauses.
// - EMFILE, ENFILE (no descriptor): the handler is asked to close idle connections. Until
//   descriptors are free, new connections are accepted on the reserved descriptor, rejected and
//   closed.
// - ENOBUFS, ENOMEM (no memory): exponential backoff up to one second.
#pragma once

#include <sys/socket.h>

#include <chrono>
#include <functional>
#include <optional>

#include "engine/clock.hpp"
#include "engine/event.hpp"
#include "engine/file_descriptor.hpp"
#include "engine/resource_budget.hpp"
#include "engine/system_calls.hpp"
#include "support/address.hpp"

namespace sablespur {

class Acceptor {
 public:
  struct ConnectionHandler {
    std::function<void(evutil_socket_t, const sockaddr*)> accepted;  // owns the descriptor
    std::function<bool()> hasRoom;                // called before each accept; false: pause
    std::function<void()> onExhaustion;           // no descriptors left: close idle connections
    std::function<void(evutil_socket_t)> reject;  // writes an error; the caller closes
  };
  // `share`: another process of the same proxy may listen at the same address (SO_REUSEPORT).
  // Throws std::runtime_error if the socket cannot listen. All arguments passed by reference must
  // outlive the Acceptor.
  Acceptor(event_base*, const Clock&, const Address&, ResourceBudget&, ReservedDescriptor&, ConnectionHandler,
           bool share = false);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // Ends a pause early.
  void resume();
  // Both are called before shutdown, because closing a listener resets the connections in its
  // backlog. handOverListener() makes the kernel pass new connections to the process that started
  // later, if there is one; drainBacklog() accepts the connections that are already in the backlog.
  void handOverListener() const;
  void drainBacklog();
  // Returns the listening port, also if the address has port 0 and the system chose one.
  int port() const;
  // Returns the length of the pause after the last failure; 0 after a successful accept.
  std::chrono::microseconds backoff() const { return backoff_; }

 private:
  struct AcceptedConnection {
    evutil_socket_t fd = -1;
    sockaddr_storage peer{};
    const sockaddr* peerAddress() const { return reinterpret_cast<const sockaddr*>(&peer); }
  };

  void acceptBurst();
  // Returns std::nullopt, with errno set, if accept(2) fails.
  std::optional<AcceptedConnection> acceptOne();
  void recordSuccess();
  // Returns true if the next accept may follow at once.
  bool handleAcceptError(int error);
  void recordExhaustion(ResourceExhaustion, int error);
  void pause(std::chrono::microseconds);
  void rejectConnections();

  const Clock& clock_;
  ResourceBudget& budget_;
  ReservedDescriptor& reservedDescriptor_;
  const ConnectionHandler handler_;
  FileDescriptor socket_;
  bool exhausted_ = false;  // descriptors or memory have run out; reset when accept(2) recovers
  Clock::Time lastFailureAt_{};
  std::chrono::microseconds backoff_{};
  Event readable_;
  Event resumeTimer_;
};

}  // namespace sablespur
