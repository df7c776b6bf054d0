// Parses gossip datagrams between proxies. No position may be further ahead of the clock than the
// clock error allowed, and parsed updates must round-trip through encoding.
#include <cstdlib>

#include "cluster/scheduler.hpp"
#include "fuzz/target.hpp"

using namespace sablespur;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr std::int64_t kNow = 1767225600123;
  const std::string_view datagram(reinterpret_cast<const char*>(data), size);
  const auto updates = cluster::decode(datagram, kNow);
  cluster::GossipScheduler gossip({100, 200, true, 1});
  for (const cluster::GossipUpdate& update : updates) {
    if (update.positionMs > kNow + 1000 || update.latencyUs < 0 || update.endpointTag >> 40 != 0)
      std::abort();
    gossip.receivedFromPeer(update, kNow);
    gossip.observedLocally(update, kNow + 1);
  }
  if (updates.size() > cluster::kGossipUpdatesPerDatagram) std::abort();
  if (updates.size() != cluster::gossipUpdateCount(datagram)) std::abort();
  std::vector<cluster::GossipUpdate> due;
  for (int k = 0; k < 1000 && gossip.takeDatagram(kNow + k, due); ++k)
    if (due.empty() || due.size() > cluster::kGossipUpdatesPerDatagram) std::abort();
  const auto reparsed = cluster::decode(cluster::encode(updates), kNow);
  if (reparsed.size() != updates.size()) std::abort();
  for (std::size_t k = 0; k < updates.size(); ++k)
    if (reparsed[k].endpointTag != updates[k].endpointTag ||
        reparsed[k].positionMs != updates[k].positionMs || reparsed[k].role != updates[k].role ||
        reparsed[k].classIndex != updates[k].classIndex)
      std::abort();
  return 0;
}
