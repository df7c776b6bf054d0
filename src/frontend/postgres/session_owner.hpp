// What a session needs of its owner: the parts of the process that it uses, and what sessions share.
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
#include "protocol/postgres/startup.hpp"

namespace sablespur {

class Session;

// The parts of the process that sessions use; all outlive them.
struct SessionServices {
  event_base* base;
  Engine& engine;
  WorkerPool& workers;
  ResourceBudget& budget;
  AdmissionController* admission;  // null: every connection and request is admitted
  const Config& config;
};

// The steps of a graceful shutdown, in their order.
enum class ShutdownPhase {
  Serving,            // no shutdown
  StillAccepting,     // new connections may still come
  ClosingIdle,        // connections between two requests are closed
  AnswerDeadlinePast  // nothing more is read
};

// Implemented by Clients. None of the calls but onSessionClosed destroys the caller.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;

  virtual const SessionServices& services() const = 0;
  // The users that may log in; null: no login is wanted.
  virtual std::shared_ptr<const auth::Users> users() const = 0;
  virtual ShutdownPhase shutdownPhase() const = 0;
  virtual Time latestDeadline() const = 0;  // in a shutdown no request gets a later one

  // The session has closed, and is destroyed by this call.
  virtual void onSessionClosed(Session&) = 0;
  // Called by the destructor: the owner forgets all that it holds of the session.
  virtual void onSessionDestroyed(Session&) = 0;
  // Before the session's first request; may close another session.
  virtual void onFirstRequest(const Session&) = 0;
  // Whether the session lacks a permit of the AdmissionController.
  virtual void setUnadmitted(Session&, bool) = 0;
  // Starts or stops the polling for the end of a session that is not read.
  virtual void watchForDisconnect(Session&, bool on) = 0;
  // Logs an error of a client; at most one line per interval, the others are counted.
  virtual void logRejection(const char* code, std::string_view why, const Address& from) = 0;

  // An unguessable cancel key, valid until the session is destroyed.
  virtual postgres::Key newKey(Session&, std::size_t secretLength) = 0;
  // Executes a CancelRequest; a wrong key changes nothing.
  virtual void cancel(const postgres::Key&) = 0;

  // Data servers tell requests apart by the id that the client gave, so only one open request may bear it.
  // False: another one does.
  virtual bool reserveRequestName(const std::string&) = 0;
  virtual void releaseRequestName(const std::string&) = 0;
  // To the AdmissionController where there is one, else directly to the engine.
  virtual RequestId request(ResponseHandler&, const balancer::Request&, RequestMessage,
                            std::optional<PermitId>) = 0;
  virtual void cancelRequest(RequestId) = 0;
};

}  // namespace sablespur
