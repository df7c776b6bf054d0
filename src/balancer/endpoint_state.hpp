// What is learned of an endpoint's state from lists and reports: whether it may be used, how far it has
// replicated, how loaded it is.
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

// False from the very event that tells that the endpoint is draining, gone or suspended.
inline bool isUsable(const Settings& settings, const Endpoint& endpoint) {
  if (endpoint.suspended) return false;
  if (endpoint.listed.state == Lifecycle::Ready) return true;
  return settings.removedEndpointsStayUsable && endpoint.listed.state == Lifecycle::Gone &&
         !endpoint.seenDraining;
}

// Takes in that the endpoint has applied all commits up to `position`.
void recordPosition(const Context&, Endpoint&, Time position);

// Takes in a load report, whose values stand in the order of Settings::reportFields.
void recordReport(Context&, Endpoint&, const std::vector<float>& report);

// The age of an attempt from which on silence is a symptom.
Time silenceThreshold(const Context&, int classIndex);

// Whether the attempt is lost rather than queued: what was sent in the younger half of its age has been
// answered. Only far beyond the usual latency, as endpoints may serve out of turn.
bool isOvertaken(const Context&, const Endpoint&, const InFlightAttempt&);

// Requests outstanding there: this proxy's own, or those of all proxies by the latest report while it is new.
int outstandingLoad(const Context&, const Endpoint&);

}  // namespace sablespur::balancer
