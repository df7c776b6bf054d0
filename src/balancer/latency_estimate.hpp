// The probability that an endpoint's answer misses a time budget, from recent latencies (after the paper's
// empirical distribution).
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

struct LatencyEstimate {
  double missProbability;
  double expectedLatency;  // microseconds, each sample counted as four budgets at most
};

// Which misses count: all, or only those that less load would have avoided.
enum class CountedMisses { All, CausedByLoad };

// Samples are brought to this class and the endpoint's present load. What all endpoints showed lately counts
// as one more sample, which stands in for a thin window. An attempt that has been in flight for longer than
// the budget is a miss: a hung endpoint gives no samples.
LatencyEstimate estimateLatency(const Context&, const Endpoint&, const std::vector<LatencySample>& window,
                                int classIndex, Time budget, CountedMisses);

}  // namespace sablespur::balancer
