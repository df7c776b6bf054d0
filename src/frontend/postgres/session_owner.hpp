// The interface of a session to its owner: services of the process, state shared by all sessions,
// and notifications.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "engine/workers.hpp"
#include "frontend/admission_controller.hpp"
#include "frontend/postgres/open_request_ids.hpp"
#include "protocol/postgres/startup.hpp"

namespace sablespur {

class Session;

// The parts of the process that sessions use. All of them outlive the sessions.
struct SessionServices {
  event_base* base;
  Engine& engine;
  WorkerPool& workers;
  ResourceBudget& budget;
  AdmissionController* admission;  // null if every connection and request is admitted
  const Config& config;
};

// The phases of a graceful shutdown, in order.
enum class ShutdownPhase {
  Serving,            // no shutdown in progress
  StillAccepting,     // new connections may still arrive
  ClosingIdle,        // the listener is closed, and connections are closed between two requests
  AnswerDeadlinePast  // outstanding requests have failed, and nothing more is read
};

// Implemented by Clients. Only onSessionClosed destroys the calling session.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;

  virtual const SessionServices& services() const = 0;
  // Returns the users that may log in; null if no login is required.
  virtual std::shared_ptr<const auth::Users> users() const = 0;
  virtual ShutdownPhase shutdownPhase() const = 0;
  // Returns the upper limit of request deadlines; only a shutdown sets one.
  virtual Time latestDeadline() const = 0;

  // Called when the connection is closed; destroys the session.
  virtual void onSessionClosed(Session&) = 0;
  // Called by the session's destructor; removes everything that the owner has recorded for the
  // session.
  virtual void onSessionDestroyed(Session&) = 0;
  // Called before the session's first request; may close another session.
  virtual void onFirstRequest(const Session&) = 0;
  // Records whether the session is without a permit of the AdmissionController.
  virtual void setUnadmitted(Session&, bool) = 0;
  // Schedules Session::processInput(), so that all sessions get their share of the event loop's time.
  virtual void scheduleInput(Session&) = 0;
  // Calls Session::processInput() at once if no other session waits, otherwise as scheduleInput().
  virtual void processOrScheduleInput(Session&) = 0;
  // Starts or stops polling for the client's disconnect, for a session with reading disabled.
  virtual void watchForDisconnect(Session&, bool on) = 0;
  // Logs an error of a client. At most one line is logged per interval; it contains the number of
  // errors since the previous line.
  virtual void logRejection(const char* code, std::string_view why, const Address& from) = 0;

  // Returns an unguessable cancel key, which is valid until the session is destroyed.
  virtual postgres::Key newKey(Session&, std::size_t secretLength) = 0;
  // Executes a CancelRequest; has no effect if the key is wrong.
  virtual void cancel(const postgres::Key&) = 0;

  // The ids of all clients' open requests. Outlives the sessions.
  virtual OpenRequestIds& openRequestIds() = 0;
  // Passes the request to the AdmissionController if there is one, otherwise directly to the
  // RequestHandler.
  virtual RequestId request(ResponseHandler&, const balancer::Request&, RequestMessage,
                            std::optional<PermitId>) = 0;
  virtual void cancelRequest(RequestId) = 0;
};

}  // namespace sablespur
