#include "recovery/recovery_admission.hpp"

#include <algorithm>
#include <cmath>

namespace sablespur::recovery {
namespace {

constexpr Time kMinPrimaryDiscoveryInterval = std::chrono::milliseconds(100);
constexpr Time kMaxPrimaryDiscoveryInterval = std::chrono::seconds(2);
// Minimum time between two decreases, so that the failures of one fault decrease the window only
// once.
constexpr Time kDecreaseInterval = std::chrono::milliseconds(200);
constexpr double kWindowDecreaseFactor = 0.7;
constexpr double kHeadroomFactor = 2;            // of the window over the usual concurrency
constexpr double kInitialWindowFraction = 0.25;  // of the usual concurrency
// Base of the retry delay when the window is full: by then some of the requests in flight have
// ended.
constexpr Time kTypicalRequestTime = std::chrono::milliseconds(50);
constexpr std::size_t kMaxGroups = 4096;  // bounds memory: clients may name groups that do not exist

std::uint64_t mix(std::uint64_t x) {
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ x >> 27) * 0x94d049bb133111ebull;
  return x ^ x >> 31;
}
std::uint64_t hashText(const std::string& text) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return mix(h);
}

}  // namespace

const char* recoveryPhaseName(RecoveryPhase s) {
  constexpr const char* kNames[] = {"waking", "reading", "writing", "returned"};
  return kNames[static_cast<int>(s)];
}

RecoveryAdmission::RecoveryAdmission(const RecoveryAdmissionPolicy& policy, std::uint64_t seed, Time now)
    : policy_(policy), startedAt_(now), randomState_(seed) {}

double RecoveryAdmission::randomFraction() {
  randomState_ += 0x9e3779b97f4a7c15ull;
  return static_cast<double>(mix(randomState_) >> 11) * 0x1p-53;
}
RecoveryAdmission::GroupState& RecoveryAdmission::groupState(std::uint32_t group) {
  GroupState& g = groups_[group];
  g.window = std::max(g.window, policy_.initialWindow);
  return g;
}

// The window starts at a quarter of the usual concurrency, because half of the endpoints may be
// gone and the others may have cold caches.
void RecoveryAdmission::setUsualConcurrency(std::uint32_t group, double inFlight) {
  GroupState& g = groupState(group);
  g.usualConcurrency = std::max(0.0, inFlight);
  g.window =
      std::clamp(kInitialWindowFraction * g.usualConcurrency, policy_.initialWindow, policy_.maxWindow / 2);
}

void RecoveryAdmission::advanceTo(Time now, std::uint32_t id, GroupState& g, RecoveryPhase s) {
  if (s <= g.phase) return;
  g.phase = s;
  changes_.push_back({id, s, now - startedAt_});
}
void RecoveryAdmission::endpointResponded(Time now, std::uint32_t group) {
  advanceTo(now, group, groupState(group), RecoveryPhase::Reading);
}
void RecoveryAdmission::primaryResponded(Time now, std::uint32_t group) {
  advanceTo(now, group, groupState(group), RecoveryPhase::Writing);
}

RecoveryAdmission::Decision RecoveryAdmission::admit(Time now, std::uint32_t group, bool write) {
  if (now - startedAt_ >= policy_.timeout || groups_.size() >= kMaxGroups) return {true, {}};
  GroupState& g = groupState(group);
  if (g.phase == RecoveryPhase::Complete) return {true, {}};
  const auto rejectWithDelay = [&](Time baseDelay) {
    // Random delays keep rejected clients from retrying all at once. Their range grows with the
    // number of rejections per slot of the window.
    ++g.rejectedSinceServed;
    const double pressure =
        std::min(16.0, 1 + static_cast<double>(g.rejectedSinceServed) / std::max(1.0, g.window));
    const double maxDelayUs = std::clamp(static_cast<double>(baseDelay.count()) * pressure,
                                         2.0 * static_cast<double>(policy_.minRetryAfter.count()),
                                         static_cast<double>(policy_.maxRetryAfter.count()));
    const double minDelayUs = static_cast<double>(policy_.minRetryAfter.count());
    return Decision{
        false, Time(static_cast<std::int64_t>(minDelayUs + randomFraction() * (maxDelayUs - minDelayUs)))};
  };
  if (write && g.phase < RecoveryPhase::Writing) {
    // The primary is not known yet. Occasional writes are admitted, so that the balancer can find
    // it.
    if (now < g.nextPrimaryDiscovery) return rejectWithDelay(g.nextPrimaryDiscovery - now);
    const Time interval = std::clamp(policy_.primaryDiscoveryInterval * std::max(1, policy_.proxies),
                                     kMinPrimaryDiscoveryInterval, kMaxPrimaryDiscoveryInterval);
    g.nextPrimaryDiscovery =
        now +
        Time(static_cast<std::int64_t>(static_cast<double>(interval.count()) * (0.5 + randomFraction())));
    ++g.inFlight;
    return {true, {}};
  }
  if (g.inFlight >= static_cast<int>(g.window)) return rejectWithDelay(kTypicalRequestTime);
  ++g.inFlight;
  return {true, {}};
}

void RecoveryAdmission::requestEnded(Time now, std::uint32_t group, bool, RequestEnd end) {
  const auto it = groups_.find(group);
  if (it == groups_.end()) return;
  GroupState& g = it->second;
  g.inFlight -= g.inFlight > 0;
  if (g.phase == RecoveryPhase::Complete) return;
  if (end == RequestEnd::Served) {
    g.rejectedSinceServed = 0;
    g.window += 1;  // per response, so the window doubles in a round trip (slow start)
    // Sufficient: the usual concurrency with headroom, or maxWindow.
    const bool sufficient =
        g.window >= policy_.maxWindow ||
        (g.usualConcurrency > 0 && g.window >= kHeadroomFactor * g.usualConcurrency + policy_.initialWindow);
    if (sufficient && g.phase == RecoveryPhase::Writing) advanceTo(now, group, g, RecoveryPhase::Complete);
  } else if (end != RequestEnd::ClientDisconnected && now >= g.nextDecrease) {
    g.window = std::max(policy_.initialWindow, kWindowDecreaseFactor * g.window);
    g.nextDecrease = now + kDecreaseInterval;
  }
}

RecoveryPhase RecoveryAdmission::phase(std::uint32_t group) const {
  const auto it = groups_.find(group);
  return it == groups_.end() ? RecoveryPhase::AwaitingEndpoints : it->second.phase;
}
double RecoveryAdmission::window(std::uint32_t group) const {
  const auto it = groups_.find(group);
  return it == groups_.end() ? policy_.initialWindow : it->second.window;
}
bool RecoveryAdmission::finished(Time now) const {
  if (now - startedAt_ >= policy_.timeout) return true;
  return !groups_.empty() && std::all_of(groups_.begin(), groups_.end(), [](const auto& g) {
    return g.second.phase == RecoveryPhase::Complete;
  });
}
std::vector<RecoveryAdmission::PhaseChange> RecoveryAdmission::takePhaseChanges() {
  std::vector<PhaseChange> all;
  all.swap(changes_);
  return all;
}

Time connectDelay(const std::string& endpoint, const std::string& self,
                  const std::vector<std::string>& proxies, double connectsPerSecond) {
  const std::uint64_t endpointHash = hashText(endpoint);
  const std::uint64_t ownRank = mix(endpointHash ^ hashText(self));
  std::size_t before = 0;
  for (const std::string& p : proxies) {
    if (p == self) continue;
    const std::uint64_t other = mix(endpointHash ^ hashText(p));
    before += other < ownRank || (other == ownRank && p < self);
  }
  return Time(static_cast<std::int64_t>(static_cast<double>(before) / connectsPerSecond * 1e6));
}

}  // namespace sablespur::recovery
