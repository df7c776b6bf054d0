#include "backend/postgres/dial_schedule.hpp"

namespace sablespur {
namespace {

// Idle connections save health checks and first requests the time of a dial. The Balancer counts a
// health check that is not answered within a few ms as unanswered.
constexpr std::size_t kWarmConnections = 2;
// Up to this number of proxies may dial at the same time. In the experiment herd+mass, the dials of
// all proxies came on top of the requests that a newly started data server received.
constexpr int kMaxSmallFleet = 16;
// Mean interval between the dials of two proxies to the same data server.
constexpr Time kStaggerStep = std::chrono::milliseconds(20);
constexpr std::uint64_t kStaggerSlots = 1000;

}  // namespace

bool DialSchedule::largeFleet() const { return config_.settings.proxyCount > kMaxSmallFleet; }

// Returns a different number for each endpoint and each start of a proxy (splitmix64).
std::uint64_t DialSchedule::hash(EndpointId id) const {
  std::uint64_t x = config_.seed + 0x9e3779b97f4a7c15ULL * (id + 1);
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ x >> 27) * 0x94d049bb133111ebULL;
  return x ^ x >> 31;
}

Time DialSchedule::delay(EndpointId id) const {
  if (customDelay_) return customDelay_(id);
  if (!largeFleet()) return Time(0);
  return config_.settings.proxyCount * kStaggerStep * (hash(id) % kStaggerSlots) / kStaggerSlots;
}

std::size_t DialSchedule::warmConnections(Time now, Time warmAt) const {
  if (!largeFleet()) return kWarmConnections;
  // Every dial adds load to a data server that has just started.
  return now < warmAt && !customDelay_ ? 0 : 1;
}

}  // namespace sablespur
