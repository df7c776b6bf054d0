// Outlier detection: ejects endpoints that fail or stay silent. After the ejection an endpoint gets
// one trial attempt at a time until it answers.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

enum class EjectionCause { NoAnswer, Errors };

// Returns whether the endpoint may be sent requests: it is not ejected, has no trial attempt in
// flight, and is not overdue with the reply to a health check.
bool isHealthy(const Context&, const Endpoint&);

// Ejects the endpoint for a period that doubles with each consecutive ejection.
void eject(Context&, Endpoint&, EjectionCause);

// Resets failures and ejection after the endpoint answered a request.
void markHealthy(Endpoint&);

// Records a failed attempt whose cause was neither load nor stale data. After several consecutive
// failures, or one failed connection, it ejects the endpoint or starts a health check that decides.
void recordFault(Context&, Endpoint&, const InFlightAttempt&, AttemptResult);

// Records a failed health check.
void recordFailedHealthCheck(Context&, Endpoint&);

// Time after which an unanswered health check counts as silence. Endpoints answer health checks
// outside their request queue.
constexpr Time kHealthCheckTimeout = std::chrono::milliseconds(25);

}  // namespace sablespur::balancer
