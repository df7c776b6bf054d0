#include "backend/postgres/dial_schedule.hpp"

namespace sablespur {
namespace {

// With connections kept idle, health checks and first requests don't pay for a dial: the Balancer takes a
// health check that is not answered within some ms for silence.
constexpr std::size_t kWarmConnections = 2;
// Up to so many proxies may act at once (herd+mass: the dials of all proxies came on top of what a data
// server that had just started was sent).
constexpr int kFewProxies = 16;
// The mean distance in time of two proxies' dials to one data server is that of this step.
constexpr Time kStaggerStep = std::chrono::milliseconds(20);
constexpr std::uint64_t kStaggerSlots = 1000;

}  // namespace

bool DialSchedule::largeFleet() const { return config_.settings.proxyCount > kFewProxies; }

// Another number for each endpoint and each start of a proxy (splitmix64).
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
  // Each proxy's dial is work for a data server that has just started.
  return now < warmAt && !customDelay_ ? 0 : 1;
}

}  // namespace sablespur
