// Replica selection: the endpoints that a read may go to, and the read set among them that is likely to
// answer in time (docs: PAPER, probabilistic replica selection).
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

// A member of a read set.
struct ReplicaChoice {
  Endpoint* endpoint;
  double missProbability;  // that its answer comes too late
  double expectedLatency;  // microseconds, for data that is new enough
};

// Whether endpoints that were ejected, but do answer, are taken into account.
enum class EjectedEndpoints { LeaveOut, IncludeAnswering };

// The endpoints that a read may go to, least recently used first. May draw from slow-start budgets.
std::vector<Endpoint*> readCandidates(Context&, const PendingRequest&,
                                      EjectedEndpoints = EjectedEndpoints::LeaveOut);

// The read set among the candidates, in their order, until it is likely enough that one answers in time; best
// choice first. Empty: no candidate has data that is new enough.
std::vector<ReplicaChoice> selectReadSet(const Context&, const PendingRequest&,
                                         const std::vector<Endpoint*>& candidates);

// The read set among all candidates.
std::vector<ReplicaChoice> selectReadSet(Context&, const PendingRequest&,
                                         EjectedEndpoints = EjectedEndpoints::LeaveOut);

}  // namespace sablespur::balancer
