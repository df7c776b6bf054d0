// The endpoint list: who may be used, who has started anew, and when what is gone is forgotten.
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Takes in a list or changes of it; what waits in any group goes on.
void updateEndpoints(Context&, ListKind, const std::vector<ListedEndpoint>&);

// Takes an endpoint out of use or back, by an administrator. Nothing for an endpoint that is not known.
void setSuspended(Context&, EndpointId, bool suspended);

// Forgets the endpoints that have been gone for long and of which no event is to come, so that memory does
// not grow where endpoints are replaced. Returns their ids.
std::vector<EndpointId> removeExpired(Context&);

}  // namespace sablespur::balancer
