#include "recovery/recovery_admission.hpp"

#include <algorithm>
#include <cmath>

namespace sablespur::recovery {
namespace {

constexpr Time kScoutLeast = std::chrono::milliseconds(100), kScoutMost = std::chrono::seconds(2);
constexpr Time kCutPause = std::chrono::milliseconds(200);  // one trouble shrinks the window once
constexpr double kCut = 0.7, kHeadroom = 2, kSmooth = 0.2, kFirstShare = 0.25;
constexpr std::size_t kMostGroups = 4096;  // clients may name groups that do not exist

std::uint64_t mix(std::uint64_t x) {
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ x >> 27) * 0x94d049bb133111ebull;
  return x ^ x >> 31;
}
std::uint64_t hashOf(const std::string& text) {
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
    : policy_(policy), began_(now), state_(seed) {}

double RecoveryAdmission::chance() {
  state_ += 0x9e3779b97f4a7c15ull;
  return static_cast<double>(mix(state_) >> 11) * 0x1p-53;
}
RecoveryAdmission::Group& RecoveryAdmission::of(std::uint32_t group) {
  Group& g = groups_[group];
  g.window = std::max(g.window, policy_.window);
  return g;
}

// A quarter of what was usual at once: half of the servers may be gone, and those that are back are cold.
void RecoveryAdmission::usual(std::uint32_t group, double out) {
  Group& g = of(group);
  g.usual = std::max(0.0, out);
  g.window = std::clamp(kFirstShare * g.usual, policy_.window, policy_.wide / 2);
}

void RecoveryAdmission::go(Time now, std::uint32_t id, Group& g, RecoveryPhase s) {
  if (s <= g.step) return;
  g.step = s;
  changes_.push_back({id, s, now - began_});
}
void RecoveryAdmission::answered(Time now, std::uint32_t group) {
  go(now, group, of(group), RecoveryPhase::Reading);
}
void RecoveryAdmission::primary(Time now, std::uint32_t group) {
  go(now, group, of(group), RecoveryPhase::Writing);
}

RecoveryAdmission::Decision RecoveryAdmission::ask(Time now, std::uint32_t group, bool write) {
  if (now - began_ >= policy_.longest || groups_.size() >= kMostGroups) return {true, {}};
  Group& g = of(group);
  if (g.step == RecoveryPhase::Returned) return {true, {}};
  const auto later = [&](Time about) {
    // Guards against all that were turned away coming back together: each has a moment of its own, and the
    // more there are for the room, the longer they are spread.
    ++g.turned;
    const double crowd = std::min(16.0, 1 + static_cast<double>(g.turned) / std::max(1.0, g.window));
    const double most = std::clamp(static_cast<double>(about.count()) * crowd,
                                   2.0 * static_cast<double>(policy_.backLeast.count()),
                                   static_cast<double>(policy_.backMost.count()));
    const double least = static_cast<double>(policy_.backLeast.count());
    return Decision{false, Time(static_cast<std::int64_t>(least + chance() * (most - least)))};
  };
  if (write && g.step < RecoveryPhase::Writing) {
    // The primary is not known: one in a while goes on, and by it the module asks who is.
    if (now < g.scoutAt) return later(g.scoutAt - now);
    const Time pause = std::clamp(policy_.scouts * std::max(1, policy_.proxies), kScoutLeast, kScoutMost);
    g.scoutAt = now + Time(static_cast<std::int64_t>(static_cast<double>(pause.count()) * (0.5 + chance())));
    ++g.out;
    return {true, {}};
  }
  if (g.out >= static_cast<int>(g.window)) return later(g.latency);
  ++g.out;
  return {true, {}};
}

void RecoveryAdmission::ended(Time now, std::uint32_t group, bool, End end) {
  const auto it = groups_.find(group);
  if (it == groups_.end()) return;
  Group& g = it->second;
  g.out -= g.out > 0;
  if (g.step == RecoveryPhase::Returned) return;
  if (end == End::Served) {
    g.turned = 0;
    g.window += 1;  // for each answer: twice as much in the time of one
    // What was usual goes through, with room to spare; or as much as any start can need.
    const bool room =
        g.window >= policy_.wide || (g.usual > 0 && g.window >= kHeadroom * g.usual + policy_.window);
    if (room && g.step == RecoveryPhase::Writing) go(now, group, g, RecoveryPhase::Returned);
  } else if (end != End::Left && now >= g.cutAt) {
    g.window = std::max(policy_.window, kCut * g.window);
    g.cutAt = now + kCutPause;
  }
}

RecoveryPhase RecoveryAdmission::step(std::uint32_t group) const {
  const auto it = groups_.find(group);
  return it == groups_.end() ? RecoveryPhase::Waking : it->second.step;
}
double RecoveryAdmission::window(std::uint32_t group) const {
  const auto it = groups_.find(group);
  return it == groups_.end() ? policy_.window : it->second.window;
}
bool RecoveryAdmission::over(Time now) const {
  if (now - began_ >= policy_.longest) return true;
  return !groups_.empty() && std::all_of(groups_.begin(), groups_.end(), [](const auto& g) {
    return g.second.step == RecoveryPhase::Returned;
  });
}
std::vector<RecoveryAdmission::Change> RecoveryAdmission::changes() {
  std::vector<Change> all;
  all.swap(changes_);
  return all;
}

Time dialTurn(const std::string& member, const std::string& self, const std::vector<std::string>& proxies,
              double dialsPerSecond) {
  const std::uint64_t m = hashOf(member), own = mix(m ^ hashOf(self));
  std::size_t before = 0;
  for (const std::string& p : proxies) {
    if (p == self) continue;
    const std::uint64_t other = mix(m ^ hashOf(p));
    before += other < own || (other == own && p < self);
  }
  return Time(static_cast<std::int64_t>(static_cast<double>(before) / dialsPerSecond * 1e6));
}

}  // namespace sablespur::recovery
