// What a pending request does next: an attempt at an endpoint, a wait for one, or its end.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Takes the next step of a request with no attempt in flight. The record may be gone after the call.
void advance(Context&, PendingRequest&);

// A request's wait is over by its timer, whatever has come of it.
void resumeRequest(Context&, RequestId);

// Takes the next step of every request that waits for an endpoint of the group.
void resumeWaiting(Context&, Group&);

// The same for every group, in the order of their ids. With PrimaryChecks::Yes endpoints are asked for their
// role where writes still wait for a primary.
enum class PrimaryChecks { No, Yes };
void resumeAllWaiting(Context&, PrimaryChecks);

}  // namespace sablespur::balancer
