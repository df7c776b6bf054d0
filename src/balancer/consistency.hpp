// Consistency: how fresh the data must be that a request reads, and whether an endpoint has such
// data.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Returns the replication position that an endpoint must have reached to serve the request if it is
// sent now; kNever if data of any age will do.
inline Time requiredPosition(const Context& context, const PendingRequest& pending) {
  const ClassSettings& settings = context.classOf(pending);
  return settings.requirement == Requirement::BoundedStaleness ? context.now - settings.maxStaleness
                                                               : pending.requiredPosition;
}

// Returns the required position of a session or strong read that arrives now; kNever for other
// requests.
Time initialRequiredPosition(Context&, const PendingRequest&);

// Returns the probability that the endpoint has applied all commits up to `required` (the staleness
// factor of the paper): 1 if its known position proves it or it is the primary, otherwise the share
// of recent lag samples that were fresh enough. `std::nullopt` if the position is unproven and the
// endpoint would serve the read from stale data.
std::optional<double> freshProbability(const Context&, const Endpoint&, const Group&, Time required);

// Returns the newest instant up to which the endpoint is known to have all commits.
inline Time knownPosition(const Endpoint& endpoint) {
  return std::max(endpoint.replication.position, endpoint.replication.primaryAt);
}

// Returns whether the answer to a read came from an endpoint other than the primary whose data are
// not proven to have reached what the read required when it was sent. Must be called before the
// state of the endpoint is updated from the answer.
bool showsStaleData(const Context&, const Endpoint&, const Attempt&, std::uint32_t replicationStatus);

// Remembers the commit of a write for later reads of its session.
void recordSessionCommit(Context&, const PendingRequest& write, const AttemptOutcome&);

// Returns whether any class has session reads. Without one, callers need not tell the sessions of
// writes.
bool hasSessionReads(const Settings&);

// To be called when the first class with session reads appears: the sessions of the writes until
// now, answered or pending, are unknown.
void startSessionReads(Context&);

// Returns the position in a replication status; `std::nullopt` if there is none or it lies in the
// future, which proves nothing.
std::optional<Time> plausiblePositionOf(const Context&, std::uint32_t replicationStatus);

// Returns the smallest staleness bound of any class; 1 s if no class has one.
Time tightestStalenessBound(const Settings&);

// Decode a replication status: its position, `std::nullopt` if it carries none, and the role.
std::optional<Time> positionOf(const Settings&, std::uint32_t replicationStatus);
Role roleOf(std::uint32_t replicationStatus);
bool carriesRole(std::uint32_t replicationStatus);

}  // namespace sablespur::balancer
