// Creates the optional parts of a proxy. Each is null if the settings disable it or the build lacks
// it; src/config rejects settings that require a part which the build lacks.
#pragma once

#include <memory>

#include "cluster/udp/link.hpp"
#include "durability/idempotency_handler.hpp"
#include "engine/engine.hpp"
#include "engine/workers.hpp"
#include "frontend/admission_controller.hpp"
#include "recovery/coordinator.hpp"

namespace sablespur {

class BackendPool;

// The references have to outlive the results. Each part passes the requests that it accepts on to
// `next`.
std::unique_ptr<PeerLink> openPeerLink(event_base*, Engine&, const Config&);
std::unique_ptr<IdempotencyHandler> openStore(event_base*, Engine&, RequestHandler& next, const Config&);
// The coordinator exchanges snapshots over `peers` unless that is null, and delays the pool's new
// connections.
std::unique_ptr<RecoveryCoordinator> openRecovery(event_base*, Engine&, WorkerPool&, BackendPool&, Config&,
                                                  PeerLink* peers);
std::unique_ptr<AdmissionController> openAdmission(event_base*, Engine&, RequestHandler& next, const Config&);

}  // namespace sablespur
