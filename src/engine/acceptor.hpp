// A listening socket that stays level: so many connections a pass of the loop and no more, whatever waits;
// and an answer for each way in which accept(2) fails.
//
// A connection that is gone already (ECONNABORTED and the network's errors, accept(2)): the next one is
// taken, and after a whole burst with nothing but such errors there is a pause. No descriptor (EMFILE,
// ENFILE): somebody idle is asked to make room; until then each one that comes is taken on the spare
// descriptor, told so and closed, rather than left waiting for nothing. No memory (ENOBUFS, ENOMEM): a pause
// that doubles up to a second; the rest waits in the backlog.
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
    std::function<void(evutil_socket_t, const sockaddr*)> accepted;  // owns the descriptor from here on
    std::function<bool()> hasRoom;       // asked before each; false: no more are taken until resume
    std::function<void()> onExhaustion;  // there is no descriptor: what can be spared is to be closed
    std::function<void(evutil_socket_t)> reject;  // writes a last word; the caller closes
  };
  // `share`: another process of the same proxy may listen at the same address (SO_REUSEPORT). Throws
  // std::runtime_error where it cannot listen.
  Acceptor(event_base*, const Clock&, const Address&, ResourceBudget&, ReservedDescriptor&, ConnectionHandler,
           bool share = false);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;

  void resume();  // there is room again
  // Before the end. Guards against connections that the closing of a listener with others in its backlog
  // would reset: the system gives new ones to the process that came later, and what has come here is taken.
  void handOverListener();
  void drainBacklog();
  int port() const;
  std::chrono::microseconds backoff() const { return backoff_; }  // of the last failure; 0: none since

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
  Event readable_, resumeTimer_;
};

}  // namespace sablespur
