// A listening socket that accepts a bounded number of connections in a pass of the loop and handles each
// error of accept(2).
//
// A connection that is gone already (ECONNABORTED and the network errors of accept(2)): the next one is
// accepted; after a whole burst of such errors there is a pause. No descriptor (EMFILE, ENFILE): the handler
// is asked to close idle connections; meanwhile new ones are accepted on the reserved descriptor, rejected
// and closed. No memory (ENOBUFS, ENOMEM): exponential backoff up to a second.
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
    std::function<void(evutil_socket_t, const sockaddr*)> accepted;  // takes over the descriptor
    std::function<bool()> hasRoom;                // asked before each accept; false: a pause
    std::function<void()> onExhaustion;           // out of descriptors: close what is idle
    std::function<void(evutil_socket_t)> reject;  // writes an error; the caller closes
  };
  // `share`: another process of the same proxy may listen at the same address (SO_REUSEPORT). Throws
  // std::runtime_error if it cannot listen. What is passed by reference has to outlive the Acceptor.
  Acceptor(event_base*, const Clock&, const Address&, ResourceBudget&, ReservedDescriptor&, ConnectionHandler,
           bool share = false);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // Ends a pause early.
  void resume();
  // Before shutdown: closing a listener resets the connections in its backlog. handOverListener() makes the
  // system give new connections to the process that started later, if there is one; drainBacklog() accepts
  // those that are here already.
  void handOverListener() const;
  void drainBacklog();
  // The port that it listens at, also where the address left the choice to the system.
  int port() const;
  // The length of the pause after the last failure; 0: none since.
  std::chrono::microseconds backoff() const { return backoff_; }

 private:
  struct AcceptedConnection {
    evutil_socket_t fd = -1;
    sockaddr_storage peer{};
    const sockaddr* peerAddress() const { return reinterpret_cast<const sockaddr*>(&peer); }
  };

  void acceptBurst();
  // Nothing, with errno set, if accept(2) failed.
  std::optional<AcceptedConnection> acceptOne();
  void recordSuccess();
  // True: the next connection may be tried at once.
  bool handleAcceptError(int error);
  void recordExhaustion(ResourceExhaustion, int error);
  void pause(std::chrono::microseconds);
  void rejectConnections();

  const Clock& clock_;
  ResourceBudget& budget_;
  ReservedDescriptor& reservedDescriptor_;
  const ConnectionHandler handler_;
  FileDescriptor socket_;
  bool exhausted_ = false;  // the last failure was for want of descriptors or memory
  Clock::Time lastFailureAt_{};
  std::chrono::microseconds backoff_{};
  Event readable_;
  Event resumeTimer_;
};

}  // namespace sablespur
