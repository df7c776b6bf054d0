// The parts of a running proxy, put together.
#pragma once

#include <functional>
#include <memory>

#include "app/admin_handler.hpp"
#include "app/discovery_source.hpp"
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

// Reads and checks the settings anew. Throws BadInput.
using SettingsSource = std::function<Config()>;

// Requests pass from the clients through admission, the store and recovery, as far as there are, to the
// engine; the endpoint list passes from discovery through recovery to the engine.
class Proxy {
 public:
  // Opens the store and listens; throws std::runtime_error where one fails. Nothing is served before start().
  Proxy(event_base*, Config);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  void start();
  // One pass of the loop, then one turn of the engine.
  void runOnce();
  // Reads the settings and applies what may change while the proxy serves; between two turns only. Settings
  // with a fault are logged and change nothing.
  void reload(const SettingsSource&);
  // `done` is called once the answers to what was read are written.
  void drain(std::function<void()> done);

 private:
  std::unique_ptr<RecoveryCoordinator> connectRecovery();
  std::unique_ptr<StatusServer> openStatus();
  Config readSettings(const SettingsSource&);
  void apply(const Config&);

  event_base* const base_;
  Config config_;  // read by all parts; only reload() changes it
  Engine engine_;
  WorkerPool workers_;
  ResourceBudget budget_;
  ReservedDescriptor reservedDescriptor_;
  BackendPool backends_;
  const std::unique_ptr<PeerLink> peers_;                // null: this proxy does not gossip
  const std::unique_ptr<RecoveryCoordinator> recovery_;  // null: none
  EndpointUpdater endpointUpdater_;
  const std::unique_ptr<ConfiguredDiscovery> discovery_;
  RequestHandler& recoveryOrEngine_;
  const std::unique_ptr<IdempotencyHandler> idempotency_;  // null: no store
  RequestHandler& requestHandler_;                         // of requests that are admitted
  const std::unique_ptr<AdmissionController> admission_;   // null: none
  Clients clients_;
  std::unique_ptr<StatusServer> status_;              // null: none
  const std::unique_ptr<AdminHandler> adminHandler_;  // null: none
};

}  // namespace sablespur
