// Recovers a proxy's state after a start: loads the snapshot of the previous run, exchanges state
// with other proxies, admits requests as endpoints respond, and writes new snapshots periodically.
//
// The coordinator has three interfaces:
//   RequestHandler, in front of the engine: rejects requests that no endpoint is known to be ready
//     for.
//   EndpointListConsumer, between discovery and the engine: marks endpoints as just started if
//     discovery reports no start times, because a power loss may have restarted them together with
//     this proxy.
//   ReplicationObserver, beside the engine: receives the status from responses and health checks,
//     on which admission and the next snapshot are based.
// After recovery every request is forwarded, and figures for snapshots are still collected.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "engine/workers.hpp"

namespace sablespur::durability {
class Files;
}
namespace sablespur {

// Sends datagrams to the other proxies. Peers are numbered from 0; this proxy is not among them.
struct PeerTransport {
  std::size_t peers = 0;
  std::function<void(std::size_t, const std::string&)> send;
};

// The state of the recovery, as reported by `sablespur status`.
struct RecoveryView {
  std::string snapshot;  // of the previous run: read, none or refused
  std::string state;     // asking, returning or returned
  std::uint64_t epoch = 0, sequence = 0, peerStatesAccepted = 0, peerStatesRejected = 0, requestsRejected = 0,
                snapshotsWritten = 0, snapshotsFailed = 0;
  bool joinedEpoch = false;
  Time duration{};  // from the start until recovery ended; 0 before that
};

class RecoveryCoordinator : public RequestHandler, public EndpointListConsumer, public ReplicationObserver {
 public:
  // Handles a snapshot header from a peer; ignores datagrams that are not snapshot headers.
  virtual void peerDatagramReceived(std::size_t peer, std::string_view datagram) = 0;
  // Returns how long after the start this proxy has to wait before it opens connections to the
  // endpoint in advance of requests. All proxies together stay within the configured connect rate.
  virtual Time connectDelay(const std::string& endpoint) const = 0;
  virtual RecoveryView view() const = 0;
};

// Creates the coordinator. Loads the snapshot (blocking) and puts its endpoints into Config::known,
// so it has to be called before Engine::start. Returns null if the settings have no store or switch
// recovery off. Observations are also forwarded to `next`, which may be null. All references have
// to outlive the result.
std::unique_ptr<RecoveryCoordinator> createRecoveryCoordinator(event_base*, Engine&, WorkerPool&, Config&,
                                                               const PeerTransport&,
                                                               ReplicationObserver* next);

}  // namespace sablespur
