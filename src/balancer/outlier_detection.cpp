#include "balancer/outlier_detection.hpp"

#include <algorithm>

#include "balancer/health_checks.hpp"
#include "balancer/primary_discovery.hpp"

namespace sablespur::balancer {
namespace {

constexpr int kConsecutiveFailuresToEject = 3;
constexpr Time kMinEjection = std::chrono::milliseconds(500);
constexpr Time kMaxEjection = std::chrono::seconds(8);

// Returns whether an ejection may start. An endpoint that was ejected for errors may be ejected
// again at once, any other only after its current ejection has ended.
bool mayEjectAgain(const Context& context, const Health& health) {
  return health.answersWithErrors || context.now >= health.ejectedUntil;
}

}  // namespace

bool isHealthy(const Context& context, const Endpoint& endpoint) {
  const Health& health = endpoint.health;
  if (health.checkInProgress && context.now - health.checkedAt > kHealthCheckTimeout) return false;
  if (health.ejectedUntil == kNever) return true;
  if (context.now < health.ejectedUntil) return false;
  // After the ejection, one attempt at a time is sent as a trial.
  return std::none_of(endpoint.inFlight.begin(), endpoint.inFlight.end(),
                      [&](const InFlightAttempt& attempt) { return attempt.sentAt >= health.ejectedUntil; });
}

void eject(Context& context, Endpoint& endpoint, EjectionCause cause) {
  Health& health = endpoint.health;
  health.answersWithErrors = cause == EjectionCause::Errors;
  const Time period = std::max(health.ejectionBackoff, kMinEjection);
  health.ejectedUntil = context.now + period;
  health.ejectionBackoff = std::min(2 * period, kMaxEjection);
  context.groups[endpoint.listed.group].lastFailureAt = context.now;
}

void markHealthy(Endpoint& endpoint) {
  Health& health = endpoint.health;
  health.consecutiveFailures = 0;
  health.ejectionBackoff = Time(0);
  health.ejectedUntil = kNever;
  health.answersWithErrors = false;
}

void recordFault(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt, AttemptResult result) {
  // A failed connection with no answer since the attempt was sent means that the process is down. A
  // reset alone does not.
  const bool isDown = result == AttemptResult::ConnectFailed && endpoint.contact.lastAnswer < attempt.sentAt;
  ++endpoint.health.consecutiveFailures;
  if (endpoint.health.consecutiveFailures < kConsecutiveFailuresToEject && !isDown) return;
  const bool isConnectionFailure = result == AttemptResult::ConnectFailed || result == AttemptResult::Reset;
  if (isConnectionFailure && context.canHealthCheck()) {
    if (!endpoint.health.checkInProgress && mayEjectAgain(context, endpoint.health))
      startHealthCheck(context, endpoint);
    return;
  }
  if (context.now >= endpoint.health.ejectedUntil) {
    const bool isError = result == AttemptResult::Error;
    eject(context, endpoint, isError ? EjectionCause::Errors : EjectionCause::NoAnswer);
  }
  // The endpoint may no longer be primary; its role has to be confirmed again.
  if (isDown) recordRole(context, endpoint, Role::Unknown, context.now);
}

void recordFailedHealthCheck(Context& context, Endpoint& endpoint) {
  if (endpoint.contact.lastReply >= endpoint.health.checkedAt) return;
  if (!mayEjectAgain(context, endpoint.health)) return;
  eject(context, endpoint, EjectionCause::NoAnswer);
  // Failures before the check mean that the process is down. The endpoint may no longer be primary;
  // its role has to be confirmed again.
  if (endpoint.health.consecutiveFailures > 0) recordRole(context, endpoint, Role::Unknown, context.now);
}

}  // namespace sablespur::balancer
