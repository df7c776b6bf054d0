// The endpoint list: tracks which endpoints are usable, which have restarted, and when endpoints
// that are gone are removed.
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Applies a list or changes to it, then resumes the waiting requests of all groups.
void updateEndpoints(Context&, ListKind, const std::vector<ListedEndpoint>&);

// Suspends or restores an endpoint (Balancer::suspend). Ignored for an unknown endpoint.
void setSuspended(Context&, EndpointId, bool suspended);

// Removes the endpoints that were gone for long enough and of which no event is outstanding. This
// bounds memory where endpoints are replaced. Returns their ids.
std::vector<EndpointId> removeExpired(Context&);

}  // namespace sablespur::balancer
