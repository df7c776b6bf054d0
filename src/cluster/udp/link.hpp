// Exchanges gossip between proxies over UDP. Lost, late and repeated datagrams are harmless.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/scheduler.hpp"
#include "cluster/udp/datagrams.hpp"
#include "config/config.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"

namespace sablespur {

// Sends the datagrams that the GossipScheduler decides on and forwards updates from known peers to
// the engine. If the listen address cannot be bound, the error is logged and the proxy runs without
// gossip, which is not needed for correctness.
class PeerLink final : public ReplicationObserver {
 public:
  PeerLink(event_base*, Engine&, const Config&);
  ~PeerLink() override = default;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  void statusObserved(const cluster::GossipUpdate&) override;
  void flush() override;

  // Called for each datagram that is not gossip; `peer` is the sender's index among the other
  // proxies.
  using SnapshotHeaderHandler = std::function<void(std::size_t peer, std::string_view datagram)>;
  void onSnapshotHeader(SnapshotHeaderHandler handler) { snapshotHeaderHandler_ = std::move(handler); }
  void send(std::size_t peer, const std::string& datagram);  // best effort
  std::size_t peerCount() const { return peers_.size(); }

 private:
  void receive(std::size_t peer, std::string_view datagram);
  void transmit();
  std::string encodeDue();
  void armTimer();
  void updateClockOffset();
  std::int64_t nowMs() const { return engine_.now().count() / 1000; }

  Engine& engine_;
  const Config& config_;
  DatagramSocket socket_;
  std::vector<Address> peers_;                         // the other proxies
  std::optional<cluster::GossipScheduler> scheduler_;  // never empty; replaced when the offset changes
  // Offset of the reference clock. Positions in scheduler_ are on the local clock, without this
  // offset.
  std::int64_t offsetMs_ = 0;
  std::vector<cluster::GossipUpdate> due_;  // the datagram that is being sent
  Event sendTimer_;  // for changes of role and relay datagrams that are due before the next turn
  SnapshotHeaderHandler snapshotHeaderHandler_;
};

}  // namespace sablespur
