// Health checks: when endpoints are asked for a reply and a load report before a request is sent to one.
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Between checks, by all proxies together, of an endpoint that none of them hears of.
constexpr Time kUnknownEndpointProbeInterval = std::chrono::milliseconds(40);

void startHealthCheck(Context&, Endpoint&);

// Starts a check unless one is in progress or began less than `interval` ago.
void checkIfDue(Context&, Endpoint&, Time interval);

// Before a choice among `candidates`, which are in the order of their turn: asks those of which too little is
// known. Returns whether the request should wait for the replies; at most once for each attempt.
bool checksNeededBeforeChoice(Context&, const PendingRequest&, const std::vector<Endpoint*>& candidates);

// Before a read is sent to `choice`: asks it for its role where that alone makes its data new enough and was
// last heard of so long ago that another endpoint may have taken over. Returns whether the read should wait
// for the reply.
bool primaryCheckNeeded(Context&, const PendingRequest&, Endpoint& choice);

// How long a request waits for the replies.
Time healthCheckWait(const Context&, const PendingRequest&);

// Whether some endpoint of the group owes the reply to a check that has not timed out.
bool awaitsHealthChecks(const Context&, const Group&);

}  // namespace sablespur::balancer
