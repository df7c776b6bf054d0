// The trace lines of requests, attempts and health checks. Each call writes nothing, and looks up no name,
// unless tracing is on.
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
// `status`: the role and position in its report.
void healthCheckEnded(const EndpointRegistry&, EndpointId, bool ok, const cluster::GossipUpdate& status);

}  // namespace sablespur::trace
