// Replica selection: finds the endpoints that may serve a read, and the smallest read set among
// them that is likely to answer in time (docs: PAPER, probabilistic replica selection).
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

// A member of a read set.
struct ReplicaChoice {
  Endpoint* endpoint;
  double missProbability;  // probability that its answer comes too late
  double expectedLatency;  // microseconds, assuming that its data is fresh enough
};

// Whether to include endpoints that were ejected for errors but still answer.
enum class EjectedEndpoints { LeaveOut, IncludeAnswering };

// Returns the endpoints that may serve the read, least recently used first. May draw from
// slow-start budgets.
std::vector<Endpoint*> readCandidates(Context&, const PendingRequest&,
                                      EjectedEndpoints = EjectedEndpoints::LeaveOut);

// Returns the read set: candidates are added in their order until one of them is likely enough to
// answer in time. Sorted best choice first. Empty if no candidate has data that is fresh enough.
std::vector<ReplicaChoice> selectReadSet(const Context&, const PendingRequest&,
                                         const std::vector<Endpoint*>& candidates);

// Returns the read set among all candidates of the read (readCandidates).
std::vector<ReplicaChoice> selectReadSet(Context&, const PendingRequest&,
                                         EjectedEndpoints = EjectedEndpoints::LeaveOut);

}  // namespace sablespur::balancer
