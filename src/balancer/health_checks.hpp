// Health checks: decides when to ask endpoints for a reply and a load report before a request is
// sent.
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Interval between checks, by all proxies together, of an endpoint about which no proxy receives
// anything.
constexpr Time kUnknownEndpointProbeInterval = std::chrono::milliseconds(40);

void startHealthCheck(Context&, Endpoint&);

// Starts a check unless one is in progress or began less than `interval` ago.
void checkIfDue(Context&, Endpoint&, Time interval);

// Called before a choice among `candidates`, which are sorted by last use. Checks those about which
// too little is known. Returns whether the request should wait for the replies, at most once per
// attempt.
bool checkCandidatesIfNeeded(Context&, const PendingRequest&, const std::vector<Endpoint*>& candidates);

// Called before a read is sent to `choice`. Checks the endpoint if only its role as primary makes
// its data fresh enough and the evidence of that role is so old that another endpoint may have
// taken over. Returns whether the read should wait for the reply.
bool checkPrimaryIfNeeded(Context&, const PendingRequest&, Endpoint& choice);

// Returns how long a request waits for the replies.
Time healthCheckWait(const Context&, const PendingRequest&);

// Returns whether a health check of some endpoint of the group is in progress and not timed out.
bool awaitsHealthChecks(const Context&, const Group&);

}  // namespace sablespur::balancer
