#include "recovery/snapshot_validation.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace sablespur::recovery {
namespace {

// A geometric mean: one member a hundred times slower than its kin must not speak for them.
struct GeometricMean {
  double sum = 0, n = 0;
  void add(double v) {
    if (v > 0) sum += std::log(v), n += 1;
  }
  double value() const { return n > 0 ? std::exp(sum / n) : 0; }
};
struct GroupMeans {
  GeometricMean latency, rate;
};

double shrinkToward(double own, double kin, double weight) {
  if (own <= 0 || kin <= 0) return own > 0 && weight > 0 ? own : kin;
  return std::exp(weight * std::log(own) + (1 - weight) * std::log(kin));
}

}  // namespace

RecoveredState validateSnapshot(const Snapshot& s, std::int64_t nowMs,
                                const SnapshotValidationPolicy& policy) {
  RecoveredState b;
  b.epoch = s.epoch;
  b.sequence = s.sequence;
  const std::int64_t aheadMs = policy.clockTolerance.count() / 1000;
  b.fromFuture = s.wallMs > nowMs + aheadMs;
  b.age = b.fromFuture ? Time(0) : std::chrono::milliseconds(std::max<std::int64_t>(0, nowMs - s.wallMs));
  b.ownWeight = b.fromFuture
                    ? 0
                    : std::exp2(-static_cast<double>(b.age.count()) /
                                static_cast<double>(std::max<Time::rep>(1, policy.halfLife.count())));
  std::map<std::uint32_t, GroupMeans> groups;
  GroupMeans all;
  for (const EndpointRecord& m : s.endpoints)
    for (GroupMeans* const k : {&groups[m.group], &all})
      k->latency.add(m.latencyUs), k->rate.add(m.responsesPerSecond);
  for (EndpointRecord m : s.endpoints) {
    const GroupMeans& own = groups[m.group];
    const GroupMeans& latency = own.latency.n > 1 ? own : all;
    const GroupMeans& rate = own.rate.n > 1 ? own : all;
    m.latencyUs = shrinkToward(m.latencyUs, latency.latency.value(), b.ownWeight);
    m.responsesPerSecond = shrinkToward(m.responsesPerSecond, rate.rate.value(), b.ownWeight);
    m.positionMs = 0;
    // A start that is yet to come is the machine's clock set back: then it counts as just started.
    if (m.startedMs > nowMs + aheadMs) m.startedMs = nowMs;
    b.endpoints.push_back(std::move(m));
  }
  b.primaryCandidates = s.primaries;
  return b;
}

}  // namespace sablespur::recovery
