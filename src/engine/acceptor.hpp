// A listening socket that accepts a bounded number of connections in a pass of the loop and handles each
// error of accept(2).
//
// A connection that is gone already (ECONNABORTED and the network errors of accept(2)): the next one is
// accepted; after a whole burst of such errors there is a pause. No descriptor (EMFILE, ENFILE): the handler
// is asked to close idle connections; meanwhile new ones are accepted on the reserved descriptor, rejected
// and closed. No memory (ENOBUFS, ENOMEM): exponential backoff up to a second.
#pragma once

#include <chrono>
#include <functional>

#include "engine/clock.hpp"
#include "engine/event.hpp"
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
  // std::runtime_error if it cannot listen.
  Acceptor(event_base*, const Clock&, const Address&, ResourceBudget&, ReservedDescriptor&, ConnectionHandler,
           bool share = false);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;

  void resume();  // ends a pause early
  // Before shutdown: closing a listener resets the connections in its backlog. handOverListener() makes the
  // system give new connections to the process that started later, if there is one; drainBacklog() accepts
  // those that are here already.
  void handOverListener();
  void drainBacklog();
  int port() const;
  std::chrono::microseconds backoff() const { return backoff_; }  // after the last failure; 0: none since

 private:
  void acceptBurst();
  bool handleAcceptError(int error);  // true: the next one may be tried at once
  void pause(std::chrono::microseconds);
  void rejectConnections();

  const Clock& clock_;
  ResourceBudget& budget_;
  ReservedDescriptor& reservedDescriptor_;
  const ConnectionHandler handler_;
  int fd_ = -1;
  bool exhausted_ = false;
  Clock::Time lastFailureAt_{};
  std::chrono::microseconds backoff_{};
  Event readable_;
  Event resumeTimer_;
};

}  // namespace sablespur
