// The datagrams between proxies: one socket, nothing waited for. Lost, late or repeated ones harm nothing.
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

// Carries out what the GossipScheduler decides on what the engine learns, and hands the engine what others
// tell. Where its address cannot be had the log says so and the proxy does without: hints are never needed to
// keep a rule.
class PeerLink final : public ReplicationObserver {
 public:
  PeerLink(event_base*, Engine&, const Config&);
  ~PeerLink() override = default;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  void statusObserved(const cluster::GossipUpdate&) override;
  void flush() override;

  // Datagrams of another kind than hints, by whoever sent them: an index among the other proxies.
  using Heads = std::function<void(std::size_t peer, std::string_view datagram)>;
  void onHead(Heads h) { snapshotHeaderHandler_ = std::move(h); }
  void send(std::size_t peer, const std::string& datagram);  // lost is lost
  std::size_t others() const { return others_.size(); }

 private:
  void receive(std::size_t peer, std::string_view datagram);
  void transmit();
  void armTimer();
  void followReference();
  std::int64_t nowMs() const { return engine_.now().count() / 1000; }

  Engine& engine_;
  const Config& config_;
  DatagramSocket socket_;
  std::vector<Address> others_;
  std::optional<cluster::GossipScheduler>
      scheduler_;                           // never empty; made anew when the reference clock moves
  std::int64_t offsetMs_ = 0;               // the reference clock's, which scheduler_ counts without
  std::vector<cluster::GossipUpdate> due_;  // the datagram that is being sent
  Event urgent_;                            // a change of role does not wait for the next turn
  Heads snapshotHeaderHandler_;
};

}  // namespace sablespur
