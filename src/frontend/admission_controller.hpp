// Admission control between the frontends of all protocols and the engine. It decides which
// connections are admitted, which idle connections are evicted, and when requests are forwarded.
// The policies are those of src/admission; the controller feeds them the time, the addresses and
// the outcomes, and carries out their decisions.
//
// A frontend without a controller admits every connection that the resource budget allows and
// forwards every request at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "engine/engine.hpp"
#include "frontend/admission_view.hpp"

namespace sablespur {

// A client connection that is subject to admission control. It has to call
// AdmissionController::connectionClosed before it is destroyed.
class AdmittedConnection {
 public:
  virtual ~AdmittedConnection() = default;
  // Called on an idle connection whose permit has been withdrawn. The connection has to close once
  // its output has been sent. Never called from within a call that this connection makes to the
  // controller.
  virtual void evict() = 0;
};

// Identifies an admitted connection, from its admission until it closes or is evicted.
using PermitId = std::uint64_t;

struct AdmissionDecision {
  std::optional<PermitId> permit;  // std::nullopt if the connection is rejected
  const char* reason = "none";     // the limit that was reached, if rejected
  // If rejected; spread, so that clients that are rejected together do not return together.
  Time retryAfter{};
};

class AdmissionController {
 public:
  virtual ~AdmissionController() = default;

  // Returns whether connections from this address start with a PROXY header.
  virtual bool expectsProxyHeader(const Address&) const = 0;
  virtual AdmissionDecision connectionArrived(AdmittedConnection&, const Address& from) = 0;
  // Called when the client has authenticated. A client that was rejected by its address may be
  // admitted by its user name; a client with a permit may be moved to the group of its user.
  virtual AdmissionDecision userAuthenticated(AdmittedConnection&, std::optional<PermitId>,
                                              const Address& from, const std::string& user) = 0;
  // Returns whether any user is assigned to a group, so that the user name can change the decision.
  virtual bool admitsByUser() const = 0;
  // Returns how many connections without a permit a frontend may keep open.
  virtual std::size_t maxUnadmittedConnections() const = 0;

  // Events of a connection; ignored if it has no permit.
  virtual void connectionClosed(std::optional<PermitId>) = 0;
  virtual void connectionBusy(std::optional<PermitId>) = 0;    // has sent a request
  virtual void connectionIdle(std::optional<PermitId>) = 0;    // is ready for the next request
  virtual void connectionServed(std::optional<PermitId>) = 0;  // answered by a data server

  // Called when the process is out of file descriptors; evicts idle connections.
  virtual void onExhaustion() = 0;

  // Same contract as RequestHandler::request and RequestHandler::clientDisconnected, but the ids
  // are assigned by the controller. A rejection is delivered through ResponseHandler::rejected
  // after this call returns.
  virtual RequestId request(ResponseHandler&, balancer::Request, RequestMessage, std::optional<PermitId>) = 0;
  virtual void requestCancelled(RequestId) = 0;

  virtual void reload(const Config&) = 0;
  virtual AdmissionView view() const = 0;
};

// Creates a controller that forwards admitted requests to the RequestHandler. Returns null if
// admission control is switched off in the settings.
std::unique_ptr<AdmissionController> createAdmissionController(event_base*, Engine&, RequestHandler&,
                                                               const Config&);

}  // namespace sablespur
