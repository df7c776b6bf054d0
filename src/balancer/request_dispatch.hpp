// Decides the next step of a pending request: send an attempt, wait for an endpoint, or finish.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Takes the next step of a request that has no attempt in flight. May destroy the PendingRequest.
void advance(Context&, PendingRequest&);

// Handles the expiry of a request's wait timer. Ignored if the request has ended or no longer
// waits.
void resumeRequest(Context&, RequestId);

// Calls advance() for every request that waits for an endpoint of the group.
void resumeWaiting(Context&, Group&);

// Calls resumeWaiting() for every group, in ascending order of group id. With PrimaryChecks::Yes it
// also starts health checks that ask endpoints for their role in groups where requests still wait
// for a primary.
enum class PrimaryChecks { No, Yes };
void resumeAllWaiting(Context&, PrimaryChecks);

}  // namespace sablespur::balancer
