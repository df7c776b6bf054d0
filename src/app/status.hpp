// What a running proxy tells of itself on a local socket, and `sablespur status`, which asks.
#pragma once

#include <memory>
#include <string>

#include "durability/idempotency_handler.hpp"
#include "engine/engine.hpp"
#include "engine/resource_budget.hpp"
#include "frontend/admission_controller.hpp"
#include "recovery/coordinator.hpp"

namespace sablespur {

// Listens at [status] socket; each that connects is sent one JSON document and an end. Only the proxy's own
// user may connect.
class StatusServer {
 public:
  virtual ~StatusServer() = default;  // takes its socket's path away
};
// Null where there is no such key. Throws std::runtime_error where it cannot listen.
std::unique_ptr<StatusServer> openStatus(event_base*, const Config&, const Engine&, const ResourceBudget&,
                                         const AdmissionController*, const IdempotencyHandler*,
                                         const RecoveryCoordinator*);

// The document, and what a person reads of it.
std::string statusJson(const Config&, const ResourceBudget&, const AdmissionController*,
                       const IdempotencyHandler*, const RecoveryCoordinator*, Time up);
std::string statusTable(const std::string& json);  // throws std::runtime_error where it is no status

struct StatusOptions {
  bool json = false;
};
int showStatus(const Config&, const StatusOptions&);

}  // namespace sablespur
