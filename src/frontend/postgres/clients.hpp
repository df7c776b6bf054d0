// The PostgreSQL client connections: listener, eviction, cancel keys, idle sweep and graceful shutdown.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "engine/acceptor.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "engine/workers.hpp"
#include "frontend/admission_controller.hpp"
#include "protocol/postgres/startup.hpp"

namespace sablespur {

class Session;

// Owns the sessions. All references have to outlive it.
class Clients {
 public:
  // Listens at once. `admission` may be null. Throws std::runtime_error where it cannot listen.
  Clients(event_base*, Engine&, RequestHandler&, WorkerPool&, ResourceBudget&, ReservedDescriptor&,
          AdmissionController* admission, const Config&);
  ~Clients();

  // Graceful shutdown: serves on while new connections may still come, then closes connections between
  // requests and finishes the requests that were read, in time for the earliest SIGKILL (shutdown.hpp).
  // `done` is called once no connection is left, or at the latest when the exit is due.
  void drain(std::function<void()> done);
  bool draining() const { return draining_; }
  int port() const;
  // The process is out of descriptors: an idle client is evicted.
  void onExhaustion();
  // The users of logins from now on; ignored unless there were users before.
  void setUsers(std::shared_ptr<const auth::Users>);

 private:
  friend class Session;

  void onAccepted(evutil_socket_t, const sockaddr*);
  // Writes an error without reading the startup; the descriptor stays the caller's.
  void rejectConnection(evutil_socket_t, Time retryAfter);
  void cancelFromStartup(evutil_socket_t);
  void onSessionClosed(Session&);  // destroys it

  bool hasRoom();
  bool evictOne();
  // Closes one of the sessions without a permit that needs its connection no longer.
  bool evictUnadmitted();
  Session* findEvictable();                // null: none
  void onFirstRequest(const Session& by);  // may close another session
  void sweepIdle();
  // Starts or stops the polling for the end of a session that is not read.
  void watchForDisconnect(Session&, bool on);
  void detectDisconnects();
  // At most one line per interval; the others are counted.
  void logRejection(const char* code, std::string_view why, const Address& from);

  // An unguessable cancel key, which the session removes from keys_ at its end.
  postgres::Key newKey(Session&, std::size_t secretLength);
  // Executes a CancelRequest; a wrong key changes nothing.
  void cancel(const postgres::Key&);

  std::vector<Session*> allSessions() const;
  void stopListening();
  void failOutstanding();
  // The shutdown's time for answers is over: nothing more is read.
  bool pastAnswerDeadline() const { return pastAnswerDeadline_; }

  // By the AdmissionController where there is one, else directly to the RequestHandler.
  RequestId request(ResponseHandler&, const balancer::Request&, RequestMessage, std::optional<PermitId>);
  void cancelRequest(RequestId);

  event_base* const base_;
  Engine& engine_;
  RequestHandler& requestHandler_;
  WorkerPool& workers_;
  ResourceBudget& budget_;
  AdmissionController* const admission_;
  const Config& config_;
  std::shared_ptr<const auth::Users> users_;

  std::size_t activeSessions_ = 0;      // that have sent a request
  std::unique_ptr<Acceptor> acceptor_;  // null once it no longer listens
  Event stopListeningTimer_;
  Event answerDeadlineTimer_;
  Event exitTimer_;
  Event sweepTimer_;
  Event disconnectTimer_;

  std::uint64_t rejectionsSinceLog_ = 0;
  std::optional<Time> rejectionLoggedAt_;

  bool draining_ = false;
  bool pastAnswerDeadline_ = false;
  Time answerBy_ = Time::max();  // in a shutdown: no request gets a later deadline
  std::function<void()> done_;

  std::unordered_set<std::string> openRequestIds_;    // the clients' names of the requests in flight
  std::unordered_map<std::uint32_t, Session*> keys_;  // by the process number of the cancel key
  std::unordered_set<Session*> pausedReads_;          // sessions that are not read for now
  std::unordered_set<Session*> unadmitted_;           // without a permit of the AdmissionController
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace sablespur
