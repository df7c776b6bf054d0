// Which endpoints are failing or silent: they are ejected for a while and return by one trial at a time.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

enum class EjectionCause { NoAnswer, Errors };

// Whether the endpoint may be sent requests: not ejected, and not silent under a health check.
bool isHealthy(const Context&, const Endpoint&);

// Ejects the endpoint for a backoff that doubles with each ejection in a row.
void eject(Context&, Endpoint&, EjectionCause);

// The endpoint answered a request: whatever it was ejected for is over.
void markHealthy(Endpoint&);

// Takes in an attempt that failed other than by load or by stale data. Ejects the endpoint, or starts a
// health check that decides, once failures in a row or a failed connection call for it.
void recordFault(Context&, Endpoint&, const InFlightAttempt&, AttemptResult);

// Takes in a health check that failed.
void recordFailedHealthCheck(Context&, Endpoint&);

// How long a health check may stay unanswered: it is answered beside the queue, later is silence.
constexpr Time kHealthCheckTimeout = std::chrono::milliseconds(25);

}  // namespace sablespur::balancer
