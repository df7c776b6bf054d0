// Estimates the probability that the answer of an endpoint misses a time budget, from recent
// latencies (based on the empirical distribution of the paper).
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

struct LatencyEstimate {
  double missProbability;
  double expectedLatency;  // microseconds; each sample counts as at most four budgets
};

// Which misses to count: all, or only those that a lower load would have avoided.
enum class CountedMisses { All, CausedByLoad };

// Estimates the latency of a request of this class. Samples are converted to the class and to the
// current load of the endpoint. The recent samples of all endpoints together count as one more
// sample, for windows with few samples. An attempt in flight for longer than the budget counts as a
// miss, because a hung endpoint produces no samples.
LatencyEstimate estimateLatency(const Context&, const Endpoint&, const std::vector<LatencySample>& window,
                                int classIndex, Time budget, CountedMisses);

}  // namespace sablespur::balancer
