// Admission control between the frontends of all protocols and the engine: which connections are admitted,
// which idle one is evicted, and which requests are forwarded when. The decisions are those of src/admission;
// the controller supplies the time, addresses and outcomes, and carries them out.
//
// A frontend without a controller admits every connection that the resource budget allows and forwards every
// request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "engine/engine.hpp"
#include "frontend/admission_view.hpp"

namespace sablespur {

// A client's connection, as the controller sees it. It has to report its end (connectionClosed) before it is
// destroyed.
class AdmittedConnection {
 public:
  virtual ~AdmittedConnection() = default;
  // The connection is idle and has lost its permit: it has to close once its output has been sent. Never
  // called from within a call of its own.
  virtual void evict() = 0;
};

// Held by a connection that is admitted, from its admission until it closes or is evicted.
using PermitId = std::uint64_t;

struct AdmissionDecision {
  std::optional<PermitId> permit;  // none: rejected
  const char* reason = "none";     // rejected: the limit that was reached
  Time retryAfter{};               // rejected: spread over the clients that are rejected together
};

class AdmissionController {
 public:
  virtual ~AdmissionController() = default;

  // Whether connections from this address begin with a PROXY header.
  virtual bool expectsProxyHeader(const Address&) const = 0;
  virtual AdmissionDecision connectionArrived(AdmittedConnection&, const Address& from) = 0;
  // The client has authenticated. One that was rejected by its address may be admitted by its name; one that
  // holds a permit may move to another group.
  virtual AdmissionDecision userAuthenticated(AdmittedConnection&, std::optional<PermitId>,
                                              const Address& from, const std::string& user) = 0;
  // Whether a user name can make a difference.
  virtual bool admitsByUser() const = 0;
  // Connections that a frontend may hold without a permit.
  virtual std::size_t maxUnadmittedConnections() const = 0;

  // Events of a connection; ignored without a permit.
  virtual void connectionClosed(std::optional<PermitId>) = 0;
  virtual void connectionBusy(std::optional<PermitId>) = 0;    // it has sent a request
  virtual void connectionIdle(std::optional<PermitId>) = 0;    // it has its answer, or its greeting
  virtual void connectionServed(std::optional<PermitId>) = 0;  // by an answer of a data server

  // The process is out of descriptors: idle connections are evicted.
  virtual void onExhaustion() = 0;

  // As RequestHandler::request and clientDisconnected, with ids of the controller's own. A rejection is
  // delivered through ResponseHandler::rejected after this call has returned.
  virtual RequestId request(ResponseHandler&, balancer::Request, RequestMessage, std::optional<PermitId>) = 0;
  virtual void requestCancelled(RequestId) = 0;

  virtual void reload(const Config&) = 0;
  virtual AdmissionView view() const = 0;
};

// Forwards admitted requests to the RequestHandler. Null where the settings have admission control off.
std::unique_ptr<AdmissionController> createAdmissionController(event_base*, Engine&, RequestHandler&,
                                                               const Config&);

}  // namespace sablespur
