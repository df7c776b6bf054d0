#include "recovery/snapshot_validation.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace sablespur::recovery {
namespace {

// A geometric mean: one member a hundred times slower than its kin must not speak for them.
struct Mean {
  double sum = 0, n = 0;
  void add(double v) {
    if (v > 0) sum += std::log(v), n += 1;
  }
  double value() const { return n > 0 ? std::exp(sum / n) : 0; }
};
struct Kin {
  Mean latency, rate;
};

double drawn(double own, double kin, double weight) {
  if (own <= 0 || kin <= 0) return own > 0 && weight > 0 ? own : kin;
  return std::exp(weight * std::log(own) + (1 - weight) * std::log(kin));
}

}  // namespace

RecoveredState validateSnapshot(const Snapshot& s, std::int64_t nowMs,
                                const SnapshotValidationPolicy& policy) {
  RecoveredState b;
  b.epoch = s.epoch;
  b.sequence = s.sequence;
  const std::int64_t aheadMs = policy.ahead.count() / 1000;
  b.future = s.wallMs > nowMs + aheadMs;
  b.age = b.future ? Time(0) : std::chrono::milliseconds(std::max<std::int64_t>(0, nowMs - s.wallMs));
  b.weight = b.future ? 0
                      : std::exp2(-static_cast<double>(b.age.count()) /
                                  static_cast<double>(std::max<Time::rep>(1, policy.halfLife.count())));
  std::map<std::uint32_t, Kin> groups;
  Kin all;
  for (const EndpointRecord& m : s.members)
    for (Kin* const k : {&groups[m.group], &all}) k->latency.add(m.latencyUs), k->rate.add(m.perSecond);
  for (EndpointRecord m : s.members) {
    const Kin& own = groups[m.group];
    const Kin& latency = own.latency.n > 1 ? own : all;
    const Kin& rate = own.rate.n > 1 ? own : all;
    m.latencyUs = drawn(m.latencyUs, latency.latency.value(), b.weight);
    m.perSecond = drawn(m.perSecond, rate.rate.value(), b.weight);
    m.positionMs = 0;
    // A start that is yet to come is the machine's clock set back: then it counts as just started.
    if (m.startedMs > nowMs + aheadMs) m.startedMs = nowMs;
    b.members.push_back(std::move(m));
  }
  b.candidates = s.primaries;
  return b;
}

}  // namespace sablespur::recovery
