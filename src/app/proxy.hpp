// Constructs and connects the parts of a running proxy.
#pragma once

#include <functional>
#include <memory>

#include "app/admin_handler.hpp"
#include "app/discovery_source.hpp"
#include "app/process_handover.hpp"
#include "app/status_server.hpp"
#include "backend/postgres/backend_pool.hpp"
#include "cluster/udp/link.hpp"
#include "config/config.hpp"
#include "durability/idempotency_handler.hpp"
#include "engine/endpoint_updater.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"
#include "engine/resource_budget.hpp"
#include "engine/system_calls.hpp"
#include "engine/workers.hpp"
#include "frontend/admission_controller.hpp"
#include "frontend/postgres/clients.hpp"
#include "recovery/coordinator.hpp"

namespace sablespur {

// Reads and validates the settings. Throws BadInput.
using SettingsSource = std::function<Config()>;

// Requests pass from the clients through admission, the store and recovery, each of which is
// optional, to the engine. The endpoint list passes from discovery through recovery to the engine.
class Proxy {
 public:
  // Opens the store and listens; throws std::runtime_error if either fails. Serves no requests
  // before start().
  Proxy(event_base*, Config);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  void start();
  // Runs one pass of the event loop, then one turn of the engine.
  void runOnce();
  // Reads the settings and applies those that may change at run time. Must be called between two
  // turns. Faulty settings are logged and not applied.
  void reload(const SettingsSource&);
  // Calls `done` once the responses to all requests that were read are written.
  void drain(std::function<void()> done);

 private:
  std::unique_ptr<RecoveryCoordinator> connectRecovery();
  std::unique_ptr<StatusServer> openStatus();
  Config readSettings(const SettingsSource&);
  void apply(const Config&);

  event_base* const base_;
  Config config_;  // referenced by all parts; changed by reload() alone
  Engine engine_;
  WorkerPool workers_;
  ResourceBudget budget_;
  ReservedDescriptor reservedDescriptor_;
  BackendPool backends_;
  const std::unique_ptr<PeerLink> peers_;                // null: gossip is off
  const std::unique_ptr<RecoveryCoordinator> recovery_;  // null: recovery is off
  EndpointUpdater endpointUpdater_;
  const std::unique_ptr<ConfiguredDiscovery> discovery_;
  ProcessHandover handover_;  // constructed before clients_, which listens
  RequestHandler& recoveryOrEngine_;
  const std::unique_ptr<IdempotencyHandler> idempotency_;  // null: no store
  RequestHandler& requestHandler_;                         // handles admitted requests
  const std::unique_ptr<AdmissionController> admission_;   // null: admission is off
  Clients clients_;
  std::unique_ptr<StatusServer> status_;              // null: no status socket is set
  const std::unique_ptr<AdminHandler> adminHandler_;  // null: no admin address is set
};

}  // namespace sablespur
