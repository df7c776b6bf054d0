// What a proxy does with its recovery's decisions (src/recovery): it reads the snapshot of the run before,
// asks other proxies, lets requests on in the order of return, and writes the next snapshots.
//
// Stands in three places. Before the engine: requests that no data server is ready for are turned away at
// once. Between the source of the list and the engine: where it tells no starts, members count as
// just started, since after a loss of power they may be. Beside the engine: what answers and probes tell is
// its evidence, and the next snapshot's figures. Once service has returned only the last is left.
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

// The way to other proxies: by index among them, this one left out.
struct PeerTransport {
  std::size_t peers = 0;
  std::function<void(std::size_t, const std::string&)> send;
};

// For `sablespur status`.
struct RecoveryView {
  std::string snapshot;  // read, none, refused
  std::string state;     // asking, returning, returned
  std::uint64_t epoch = 0, sequence = 0, peerStatesAccepted = 0, peerStatesRejected = 0, requestsRejected = 0,
                snapshotsWritten = 0, snapshotsFailed = 0;
  bool joinedEpoch = false;
  Time duration{};  // until service had returned
};

class RecoveryCoordinator : public RequestHandler, public EndpointListConsumer, public ReplicationObserver {
 public:
  // A head from a proxy; datagrams that are none are dropped.
  virtual void peerDatagramReceived(std::size_t peer, std::string_view datagram) = 0;
  // When a connection to this member may be opened in advance after a start: the fleet's dials, shared.
  virtual Time connectDelay(const std::string& member) const = 0;
  virtual RecoveryView view() const = 0;
};

// Reads the snapshot and puts its members into `known`, so it is called before Engine::start. Null where the
// settings have no store, or switch it off. `next`: who else is told what answers show; may be null.
std::unique_ptr<RecoveryCoordinator> createRecoveryCoordinator(event_base*, Engine&, WorkerPool&, Config&,
                                                               const PeerTransport&,
                                                               ReplicationObserver* next);

}  // namespace sablespur
