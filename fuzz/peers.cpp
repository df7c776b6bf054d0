// Datagrams between proxies: no position may lie ahead of what a clock may be off by, and what is read is
// written again to the same datagram.
#include <cstdlib>

#include "cluster/scheduler.hpp"
#include "fuzz/target.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr std::int64_t kNow = 1767225600123;
  const std::string_view datagram(reinterpret_cast<const char*>(data), size);
  const auto hints = cluster::decode(datagram, kNow);
  cluster::GossipScheduler gossip({100, 200, true, 1});
  for (const cluster::GossipUpdate& h : hints) {
    if (h.positionMs > kNow + 1000 || h.latencyUs < 0 || h.endpointTag >> 40 != 0) std::abort();
    gossip.receivedFromPeer(h, kNow);
    gossip.observedLocally(h, kNow + 1);
  }
  if (hints.size() > cluster::kGossipUpdatesPerDatagram) std::abort();
  if (hints.size() != cluster::gossipUpdateCount(datagram)) std::abort();
  std::vector<cluster::GossipUpdate> due;
  for (int k = 0; k < 1000 && gossip.takeDatagram(kNow + k, due); ++k)
    if (due.empty() || due.size() > cluster::kGossipUpdatesPerDatagram) std::abort();
  const auto again = cluster::decode(cluster::encode(hints), kNow);
  if (again.size() != hints.size()) std::abort();
  for (std::size_t k = 0; k < hints.size(); ++k)
    if (again[k].endpointTag != hints[k].endpointTag || again[k].positionMs != hints[k].positionMs ||
        again[k].role != hints[k].role || again[k].classIndex != hints[k].classIndex)
      std::abort();
  return 0;
}
