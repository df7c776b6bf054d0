// Tracks which endpoint of a replication group is its primary, and searches for it while unknown.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Records that the endpoint had this role at the instant `at`. The newest evidence wins, whatever
// its source.
void recordRole(Context&, Endpoint&, Role, Time at);

// Records that the endpoint list names the endpoint as primary. This is the weakest evidence, used
// only while there is no other.
void recordListedPrimary(Context&, Endpoint&);

// Returns the group's primary, or nullptr if none is known or it is not usable.
Endpoint* primaryOf(Context&, const Group&);

// While no primary is known, one write at a time tries the endpoints in order of their ids and the
// others wait. Returns the endpoint that this write should try next, or nullptr if it has to wait.
//
// A new round may begin after a change of the list or of a role. Where no health check can identify
// the primary, it may also begin after a pause that doubles up to one second.
Endpoint* nextPrimaryCandidate(Context&, Group&, const PendingRequest& write);

// While a request waits for a primary, queries every usable endpoint of the group for its role
// with health checks.
void checkForPrimary(Context&, const Group&);

}  // namespace sablespur::balancer
