#include "config/config.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sablespur {
namespace {

// Reserved for the process itself: code, event loop, listener, discovery, standard streams and
// connections that are about to be closed.
constexpr std::size_t kProcessDescriptors = 24;
constexpr std::size_t kProcessMemory = std::size_t{12} << 20;
constexpr std::size_t kStoreMemory = std::size_t{6} << 20;  // twice the measured use
// A client without large statements needs its read-ahead buffer and an answer that it has not read
// yet.
constexpr std::size_t kClientMemory = 96 << 10;
constexpr std::size_t kClientDescriptorPercent = 45;

std::string summary(const std::vector<Fault>& faults) {
  if (faults.empty()) return "no fault";
  const std::size_t more = faults.size() - 1;
  return faults.front().text() + (more > 0 ? " (and " + std::to_string(more) + " more)" : "");
}

}  // namespace

// A client has at most one request in flight, so with fewer clients than server connections every
// attempt gets a connection. Of the memory that the process itself does not need, a quarter is for
// the large statements of all clients, a half for the buffers of clients, and the rest for answers
// in transit.
void deriveBounds(Config& c, std::size_t descriptors, std::uint64_t memory) {
  c.descriptors = descriptors;
  c.memory = memory;
  const std::size_t free = static_cast<std::size_t>(memory) - kProcessMemory - (c.store ? kStoreMemory : 0);
  const std::size_t connections = descriptors - kProcessDescriptors - (c.store ? kStoreDescriptors : 0);
  c.clientConnections = std::min(connections * kClientDescriptorPercent / 100, free / 2 / kClientMemory);
  // Clients hold at most a third of the descriptors. Eviction of idle clients starts below that, so
  // that a new client can still be accepted.
  c.maxActiveClients = std::min(c.clientConnections, descriptors / 4);
  c.largeStatements = free / 4;
  c.serverConnections = connections - connections * kClientDescriptorPercent / 100;
}

bool operator==(const DnsSdSettings& a, const DnsSdSettings& b) {
  const auto all = [](const DnsSdSettings& s) {
    return std::tie(s.domain, s.service, s.servers, s.minRefresh, s.maxRefresh, s.jitter, s.attemptTimeout,
                    s.queriesPerSecond, s.udpPayload, s.defaultGroup, s.maxListAge, s.flapDamping.halfLife,
                    s.flapDamping.maxSuppression, s.flapDamping.suppressThreshold,
                    s.flapDamping.reuseThreshold);
  };
  return all(a) == all(b);
}

BadSettings::BadSettings(std::vector<Fault> found) : BadInput(summary(found)), faults(std::move(found)) {}

}  // namespace sablespur
