#include "recovery/snapshot_validation.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace sablespur::recovery {
namespace {

// A geometric mean, because one endpoint that is a hundred times slower than the rest changes it
// little.
struct GeometricMean {
  double logSum = 0;
  double count = 0;
  void add(double v) {
    if (v <= 0) return;
    logSum += std::log(v);
    count += 1;
  }
  double value() const { return count > 0 ? std::exp(logSum / count) : 0; }
};
struct GroupMeans {
  GeometricMean latency;
  GeometricMean rate;
  void add(const EndpointRecord& endpoint) {
    latency.add(endpoint.latencyUs);
    rate.add(endpoint.responsesPerSecond);
  }
};

// Returns the weighted geometric mean of an endpoint's own figure and its group's mean. If one of
// them is not known (0), returns the other; an own figure of weight 0 counts as not known.
double shrinkToward(double own, double group, double ownWeight) {
  if (own <= 0 || group <= 0) return own > 0 && ownWeight > 0 ? own : group;
  return std::exp(ownWeight * std::log(own) + (1 - ownWeight) * std::log(group));
}

}  // namespace

RecoveredState validateSnapshot(const Snapshot& snapshot, std::int64_t nowMs,
                                const SnapshotValidationPolicy& policy) {
  RecoveredState state;
  state.epoch = snapshot.epoch;
  state.sequence = snapshot.sequence;
  const std::int64_t toleranceMs = policy.clockTolerance.count() / 1000;
  state.fromFuture = snapshot.wallMs > nowMs + toleranceMs;
  state.age = state.fromFuture
                  ? Time(0)
                  : std::chrono::milliseconds(std::max<std::int64_t>(0, nowMs - snapshot.wallMs));
  state.ownWeight = state.fromFuture
                        ? 0
                        : std::exp2(-static_cast<double>(state.age.count()) /
                                    static_cast<double>(std::max<Time::rep>(1, policy.halfLife.count())));
  std::map<std::uint32_t, GroupMeans> groups;
  GroupMeans all;
  for (const EndpointRecord& endpoint : snapshot.endpoints) {
    groups[endpoint.group].add(endpoint);
    all.add(endpoint);
  }
  for (EndpointRecord endpoint : snapshot.endpoints) {
    const GroupMeans& group = groups[endpoint.group];
    const GroupMeans& latencySource = group.latency.count > 1 ? group : all;
    const GroupMeans& rateSource = group.rate.count > 1 ? group : all;
    endpoint.latencyUs = shrinkToward(endpoint.latencyUs, latencySource.latency.value(), state.ownWeight);
    endpoint.responsesPerSecond =
        shrinkToward(endpoint.responsesPerSecond, rateSource.rate.value(), state.ownWeight);
    endpoint.positionMs = 0;
    // A start time in the future means that the wall clock was set back. The endpoint counts as
    // just started.
    if (endpoint.startedMs > nowMs + toleranceMs) endpoint.startedMs = nowMs;
    state.endpoints.push_back(std::move(endpoint));
  }
  state.primaryCandidates = snapshot.primaries;
  return state;
}

}  // namespace sablespur::recovery
