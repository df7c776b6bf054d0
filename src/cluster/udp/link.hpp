// Gossip between proxies over UDP. Lost, late and repeated datagrams are harmless.
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

// Sends what the GossipScheduler decides, and passes the updates of known peers on to the engine. If its
// address cannot be bound, that is logged and the proxy works without gossip, which is never needed for
// correctness.
class PeerLink final : public ReplicationObserver {
 public:
  PeerLink(event_base*, Engine&, const Config&);
  ~PeerLink() override = default;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  void statusObserved(const cluster::GossipUpdate&) override;
  void flush() override;

  // Receives the datagrams that are not gossip; `peer` is the sender's index among the other proxies.
  using SnapshotHeaderHandler = std::function<void(std::size_t peer, std::string_view datagram)>;
  void onHead(SnapshotHeaderHandler handler) { snapshotHeaderHandler_ = std::move(handler); }
  void send(std::size_t peer, const std::string& datagram);  // best effort
  std::size_t others() const { return others_.size(); }

 private:
  void receive(std::size_t peer, std::string_view datagram);
  void transmit();
  std::string encodeDue();
  void armTimer();
  void followReference();
  std::int64_t nowMs() const { return engine_.now().count() / 1000; }

  Engine& engine_;
  const Config& config_;
  DatagramSocket socket_;
  std::vector<Address> others_;
  std::optional<cluster::GossipScheduler> scheduler_;  // never empty; replaced when the reference clock moves
  std::int64_t offsetMs_ = 0;               // of the reference clock; scheduler_ counts positions without it
  std::vector<cluster::GossipUpdate> due_;  // the datagram that is being sent
  Event sendTimer_;                         // neither a change of role nor the relay waits for the next turn
  SnapshotHeaderHandler snapshotHeaderHandler_;
};

}  // namespace sablespur
