// Formats the status of a running proxy as JSON.
#pragma once

#include <string>

#include "app/discovery_source.hpp"
#include "durability/idempotency_handler.hpp"
#include "engine/resource_budget.hpp"
#include "frontend/admission_controller.hpp"
#include "recovery/coordinator.hpp"

namespace sablespur {

// The parts of a proxy that the status covers. They have to outlive each copy of this struct.
struct StatusSources {
  const Config& config;
  const ResourceBudget& budget;
  const Engine& engine;
  const ConfiguredDiscovery& discovery;
  const AdmissionController* admission;   // null: admission is off
  const IdempotencyHandler* idempotency;  // null: the proxy has no store
  const RecoveryCoordinator* recovery;    // null: recovery is off
};

// Returns one JSON document that ends with a newline. tests/data/command-line/status-keys.txt lists
// its keys.
std::string statusJson(const StatusSources&, Time uptime);

}  // namespace sablespur
