#include "app/optional_parts.hpp"

#include <csignal>
#include <string>
#include <string_view>

#include "backend/postgres/backend_pool.hpp"
#include "protocol/postgres/codec.hpp"

namespace sablespur {

std::unique_ptr<PeerLink> openPeerLink(event_base* base, Engine& engine, const Config& config) {
  if (config.peerListen.none()) return nullptr;
  return std::make_unique<PeerLink>(base, engine, config);
}

#ifdef SABLESPUR_STORE
namespace {

PeerTransport peerTransport(PeerLink* peers) {
  PeerTransport transport;
  if (!peers) return transport;
  transport.peers = peers->peerCount();
  transport.send = [peers](std::size_t to, const std::string& datagram) { peers->send(to, datagram); };
  return transport;
}

}  // namespace

std::unique_ptr<IdempotencyHandler> openStore(event_base* base, Engine& engine, RequestHandler& next,
                                              const Config& config) {
  // With the signal ignored, a write beyond the file size limit fails like a write to a full disk;
  // by default SIGXFSZ ends the process.
  std::signal(SIGXFSZ, SIG_IGN);
  return createIdempotencyHandler(base, engine, next, config, postgres::reader());
}

std::unique_ptr<RecoveryCoordinator> openRecovery(event_base* base, Engine& engine, WorkerPool& workers,
                                                  BackendPool& backends, Config& config, PeerLink* peers) {
  auto recovery = createRecoveryCoordinator(base, engine, workers, config, peerTransport(peers), peers);
  if (!recovery) return nullptr;
  RecoveryCoordinator* const coordinator = recovery.get();
  if (peers)
    peers->onSnapshotHeader([coordinator](std::size_t from, std::string_view datagram) {
      coordinator->peerDatagramReceived(from, datagram);
    });
  backends.setDialDelay([&engine, coordinator](EndpointId endpoint) {
    return coordinator->connectDelay(engine.endpointName(endpoint));
  });
  return recovery;
}
#else
std::unique_ptr<IdempotencyHandler> openStore(event_base*, Engine&, RequestHandler&, const Config&) {
  return nullptr;
}

std::unique_ptr<RecoveryCoordinator> openRecovery(event_base*, Engine&, WorkerPool&, BackendPool&, Config&,
                                                  PeerLink*) {
  return nullptr;
}
#endif

#ifdef SABLESPUR_ADMISSION
std::unique_ptr<AdmissionController> openAdmission(event_base* base, Engine& engine, RequestHandler& next,
                                                   const Config& config) {
  return createAdmissionController(base, engine, next, config);
}
#else
std::unique_ptr<AdmissionController> openAdmission(event_base*, Engine&, RequestHandler&, const Config&) {
  return nullptr;
}
#endif

}  // namespace sablespur
