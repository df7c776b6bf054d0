#include "engine/engine_trace.hpp"

#include "logging/log.hpp"

namespace sablespur::trace {

void requestReceived(const balancer::Request& request) {
  if (!tracing()) return;
  logEvent(LogLevel::Trace, "request_received",
           {{"r", request.id}, {"class", request.classIndex}, {"group", request.group}});
}

void requestRejected(RequestId id, Time retryAfter) {
  if (!tracing()) return;
  logEvent(LogLevel::Trace, "request_rejected", {{"r", id}, {"after_ms", retryAfter.count() / 1000}});
}

void requestFailed(RequestId id) {
  if (!tracing()) return;
  logEvent(LogLevel::Trace, "request_failed", {{"r", id}});
}

void attemptSent(RequestId id, int attempt, const EndpointRegistry& endpoints, EndpointId endpoint) {
  if (!tracing()) return;
  logEvent(LogLevel::Trace, "attempt_sent", {{"r", id}, {"a", attempt}, {"m", endpoints.name(endpoint)}});
}

void attemptEnded(RequestId id, int attempt, const EndpointRegistry& endpoints, EndpointId endpoint,
                  const AttemptEnd& end) {
  if (!tracing()) return;
  logEvent(LogLevel::Trace, "attempt_ended",
           {{"r", id},
            {"a", attempt},
            {"m", endpoints.name(endpoint)},
            {"result", static_cast<int>(end.result)},
            {"role", static_cast<int>(end.role)},
            {"position_ms", end.positionMs}});
}

void healthCheckSent(const EndpointRegistry& endpoints, EndpointId endpoint) {
  if (!tracing()) return;
  logEvent(LogLevel::Trace, "health_check_sent", {{"m", endpoints.name(endpoint)}});
}

void healthCheckEnded(const EndpointRegistry& endpoints, EndpointId endpoint, bool ok,
                      const cluster::GossipUpdate& status) {
  if (!tracing()) return;
  logEvent(LogLevel::Trace, "health_check_ended",
           {{"m", endpoints.name(endpoint)},
            {"ok", ok},
            {"role", static_cast<int>(status.role)},
            {"position_ms", status.positionMs}});
}

}  // namespace sablespur::trace
