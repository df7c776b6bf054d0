#include "config/config.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sablespur {
namespace {

// The process itself: code, the loop, the listener, discovery, standard streams, connections about to be
// closed.
constexpr std::size_t kOwnDescriptors = 24;
constexpr std::size_t kOwnMemory = std::size_t{12} << 20;
constexpr std::size_t kStoreMemory = std::size_t{6} << 20;  // twice the measured figure
// A client without large statements: what is read ahead, and an answer that it has not read yet.
constexpr std::size_t kClientMemory = 96 << 10;
constexpr std::size_t kClientShareOfDescriptors = 45;  // percent

std::string summary(const std::vector<Fault>& faults) {
  if (faults.empty()) return "no fault";
  const std::size_t more = faults.size() - 1;
  return faults.front().text() + (more > 0 ? " (and " + std::to_string(more) + " more)" : "");
}

}  // namespace

// A client has one request in flight at most, so with fewer clients than server connections every attempt
// finds a connection. Of the memory beyond the process itself a quarter is for large statements of all
// clients, a half for what each client may hold at any time, the rest for answers on their way.
void deriveBounds(Config& c, std::size_t descriptors, std::uint64_t memory) {
  c.descriptors = descriptors;
  c.memory = memory;
  const std::size_t free = static_cast<std::size_t>(memory) - kOwnMemory - (c.store ? kStoreMemory : 0);
  const std::size_t connections = descriptors - kOwnDescriptors - (c.store ? kStoreDescriptors : 0);
  c.clientConnections = std::min(connections * kClientShareOfDescriptors / 100, free / 2 / kClientMemory);
  // Clients together hold a third of the descriptors at most. Idle ones are evicted below that, while a new
  // client can still be accepted.
  c.askingClients = std::min(c.clientConnections, descriptors / 4);
  c.largeStatements = free / 4;
  c.serverConnections = connections - connections * kClientShareOfDescriptors / 100;
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
