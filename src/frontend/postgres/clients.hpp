// The PostgreSQL client connections: listener, eviction, cancel keys, idle sweep and graceful
// shutdown.
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
#include "frontend/postgres/input_scheduler.hpp"
#include "frontend/postgres/open_request_ids.hpp"
#include "frontend/postgres/session_owner.hpp"

namespace sablespur {

// Owns the sessions. All references have to outlive it.
class Clients final : private SessionOwner {
 public:
  // Starts listening. `admission` may be null. Throws std::runtime_error if it cannot listen.
  Clients(event_base*, Engine&, RequestHandler&, WorkerPool&, ResourceBudget&, ReservedDescriptor&,
          AdmissionController* admission, const Config&);
  ~Clients() override;

  // Starts the graceful shutdown: keeps serving while new connections may still arrive, then closes
  // idle connections and finishes the requests that were read, before the earliest possible SIGKILL
  // (see shutdown.hpp). `done` is called once no connection is left, at the latest at
  // ShutdownTimes::exit.
  void drain(std::function<void()> done);
  bool draining() const { return phase_ != ShutdownPhase::Serving; }
  int port() const;
  // Called when the process is out of file descriptors; evicts idle clients.
  void onExhaustion();
  // Replaces the users that may log in; ignored if there were none before.
  void setUsers(std::shared_ptr<const auth::Users>);

 private:
  const SessionServices& services() const override { return services_; }
  std::shared_ptr<const auth::Users> users() const override { return users_; }
  ShutdownPhase shutdownPhase() const override { return phase_; }
  Time latestDeadline() const override { return answerBy_; }
  void onSessionClosed(Session&) override;
  void onSessionDestroyed(Session&) override;
  void onFirstRequest(const Session&) override;
  void setUnadmitted(Session&, bool) override;
  void scheduleInput(Session&) override;
  void processOrScheduleInput(Session&) override;
  void watchForDisconnect(Session&, bool on) override;
  void logRejection(const char* code, std::string_view why, const Address& from) override;
  postgres::Key newKey(Session&, std::size_t secretLength) override;
  void cancel(const postgres::Key&) override;
  OpenRequestIds& openRequestIds() override { return openRequestIds_; }
  RequestId request(ResponseHandler&, const balancer::Request&, RequestMessage,
                    std::optional<PermitId>) override;
  void cancelRequest(RequestId) override;

  void onAccepted(evutil_socket_t, const sockaddr*);
  // Sends an error without waiting for the startup message. The caller keeps ownership of the
  // descriptor.
  void rejectConnection(evutil_socket_t, Time retryAfter);
  void cancelFromStartup(evutil_socket_t);

  bool hasRoom();
  bool evictOne();
  // Closes one of the sessions without a permit; returns false if none may be closed.
  bool evictUnadmitted();
  Session* findEvictable();  // null if no session may be evicted
  void sweepIdle();
  void detectDisconnects();

  std::vector<Session*> allSessions() const;
  void stopListening();
  void failOutstanding();

  const SessionServices services_;
  RequestHandler& requestHandler_;
  std::shared_ptr<const auth::Users> users_;

  std::size_t activeSessions_ = 0;      // number of sessions that have sent a request
  std::unique_ptr<Acceptor> acceptor_;  // null once listening has stopped
  Event stopListeningTimer_;
  Event answerDeadlineTimer_;
  Event exitTimer_;
  Event sweepTimer_;
  Event disconnectTimer_;

  std::uint64_t rejectionsSinceLog_ = 0;
  std::optional<Time> rejectionLoggedAt_;

  ShutdownPhase phase_ = ShutdownPhase::Serving;
  Time answerBy_ = Time::max();  // set by drain()
  std::function<void()> done_;

  InputScheduler inputs_;
  std::optional<SharedRequestIds> sharedRequestIds_;  // only if another process of this proxy may run
  OpenRequestIds openRequestIds_;
  std::unordered_map<std::uint32_t, Session*> keys_;  // by process number of the cancel key
  std::unordered_set<Session*> pausedReads_;          // sessions with reading disabled
  std::unordered_set<Session*> unadmitted_;           // sessions without a permit
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace sablespur
