// The state of an endpoint as learned from lists and reports: whether it is usable, its replication
// position and its load.
#pragma once

#include <vector>

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Returns false from the event on that shows the endpoint as draining, gone or suspended. An
// endpoint that is only gone stays usable with Settings::removedEndpointsStayUsable.
inline bool isUsable(const Settings& settings, const Endpoint& endpoint) {
  if (endpoint.suspended) return false;
  if (endpoint.listed.state == Lifecycle::Ready) return true;
  return settings.removedEndpointsStayUsable && endpoint.listed.state == Lifecycle::Gone &&
         !endpoint.seenDraining;
}

// Records that the endpoint has applied all commits up to `position`.
void recordPosition(const Context&, Endpoint&, Time position);

// Records a load report, whose values are in the order of Settings::reportFields.
void recordReport(Context&, Endpoint&, const std::vector<float>& report);

// Returns the age from which an unanswered attempt is a symptom of a silent endpoint.
Time silenceThreshold(const Context&, int classIndex);

// Returns whether the attempt is probably lost rather than queued: attempts that were sent during
// the more recent half of its age have already been answered. Only applies past the silence
// threshold, because endpoints may answer out of order.
bool isOvertaken(const Context&, const Endpoint&, const InFlightAttempt&);

// Returns the number of requests outstanding at the endpoint: those of this proxy, or those of all
// proxies by the latest load report if that is recent and higher.
int outstandingLoad(const Context&, const Endpoint&);

}  // namespace sablespur::balancer
