// Carries out a proxy's recovery after a start: loads the snapshot of the previous run, exchanges state with
// other proxies, admits requests as endpoints prove ready, and writes further snapshots.
//
// It sits in three places. In front of the engine it rejects requests that no endpoint is ready for. Between
// discovery and the engine it marks endpoints as just started where discovery reports no start times, since
// after a power loss they may be. Beside the engine it observes responses and health checks: its evidence and
// the figures of the next snapshot. After recovery only the last is left.
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

// Datagrams to other proxies, which are numbered from 0 without this one.
struct PeerTransport {
  std::size_t peers = 0;
  std::function<void(std::size_t, const std::string&)> send;
};

// For `sablespur status`.
struct RecoveryView {
  std::string snapshot;  // of the previous run: read, none, refused
  std::string state;     // asking, returning, returned
  std::uint64_t epoch = 0, sequence = 0, peerStatesAccepted = 0, peerStatesRejected = 0, requestsRejected = 0,
                snapshotsWritten = 0, snapshotsFailed = 0;
  bool joinedEpoch = false;
  Time duration{};  // of the recovery; 0 until it has ended
};

class RecoveryCoordinator : public RequestHandler, public EndpointListConsumer, public ReplicationObserver {
 public:
  // A snapshot header from a proxy; other datagrams are ignored.
  virtual void peerDatagramReceived(std::size_t peer, std::string_view datagram) = 0;
  // How long after the start a connection to this endpoint may be opened in advance. The connect rate of the
  // settings is shared by all proxies.
  virtual Time connectDelay(const std::string& endpoint) const = 0;
  virtual RecoveryView view() const = 0;
};

// Loads the snapshot (blocking) and puts its endpoints into Config::known, so call it before Engine::start.
// Returns null where the settings have no store or switch recovery off. `next` gets each observation, too; it
// may be null. All references have to outlive the result.
std::unique_ptr<RecoveryCoordinator> createRecoveryCoordinator(event_base*, Engine&, WorkerPool&, Config&,
                                                               const PeerTransport&,
                                                               ReplicationObserver* next);

}  // namespace sablespur
