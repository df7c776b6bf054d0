// Which endpoint of a replication group is its primary, and how to find it while none is known.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Takes in that the endpoint had this role at the instant `at`. The newest evidence wins, however it came.
void recordRole(Context&, Endpoint&, Role, Time at);

// The list names the endpoint as primary: the weakest evidence, taken only while there is no other.
void recordListedPrimary(Context&, Endpoint&);

// The group's primary, or nullptr while none is known or it may not be used.
Endpoint* primaryOf(Context&, const Group&);

// With no primary known, one write tries the endpoints by id while the others wait. Returns the one that this
// write should try next, or nullptr where it has to wait. The next round follows after a change of the list
// or of a role; where no health check can tell the primary, also after a pause that doubles up to one
// second.
Endpoint* nextPrimaryCandidate(Context&, Group&, const PendingRequest& write);

// While a request waits for a primary, asks every endpoint of the group for its role by health checks.
void checkForPrimary(Context&, const Group&);

}  // namespace sablespur::balancer
