// Writes trace log lines for requests, attempts and health checks. If tracing is off, the functions
// return before they look up any name.
#pragma once

#include <cstdint>

#include "engine/endpoint_registry.hpp"
#include "engine/interfaces.hpp"

namespace sablespur::trace {

void requestReceived(const balancer::Request&);
void requestRejected(RequestId, Time retryAfter);
void requestFailed(RequestId);
void attemptSent(RequestId, int attempt, const EndpointRegistry&, EndpointId);
void attemptEnded(RequestId, int attempt, const EndpointRegistry&, EndpointId, const AttemptEnd&);
void healthCheckSent(const EndpointRegistry&, EndpointId);
// `status`: the role and position from the health check's report.
void healthCheckEnded(const EndpointRegistry&, EndpointId, bool ok, const cluster::GossipUpdate& status);

}  // namespace sablespur::trace
