// The parts that a proxy may lack. Each is null where the settings have it off, or where the build lacks it:
// settings that want it are then rejected before (src/config).
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

// References have to outlive the results. `next` handles the requests that a part lets on.
std::unique_ptr<PeerLink> openPeerLink(event_base*, Engine&, const Config&);
std::unique_ptr<IdempotencyHandler> openStore(event_base*, Engine&, RequestHandler& next, const Config&);
// Exchanges snapshots over `peers` if that is not null, and delays the connections of the pool.
std::unique_ptr<RecoveryCoordinator> openRecovery(event_base*, Engine&, WorkerPool&, BackendPool&, Config&,
                                                  PeerLink* peers);
std::unique_ptr<AdmissionController> openAdmission(event_base*, Engine&, RequestHandler& next, const Config&);

}  // namespace sablespur
