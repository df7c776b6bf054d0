#include "balancer/silence_detection.hpp"

#include <vector>

#include "balancer/endpoint_state.hpp"
#include "balancer/health_checks.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/replica_selection.hpp"

namespace sablespur::balancer {
namespace {

// Returns whether the attempt counts as lost. For a silent endpoint it also ejects the endpoint or
// starts a health check.
bool detectLostAttempt(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt) {
  const Time due = attempt.sentAt + silenceThreshold(context, attempt.classIndex);
  if (endpoint.contact.lastAnswer >= attempt.sentAt || context.now < due) return false;
  Health& health = endpoint.health;
  const bool canCheck = context.canHealthCheck();
  const bool sentBeforeEjectionEnded = health.ejectedUntil != kNever && attempt.sentAt < health.ejectedUntil;
  if (!sentBeforeEjectionEnded) {
    if (!canCheck) eject(context, endpoint, EjectionCause::NoAnswer);
    if (canCheck && endpoint.contact.lastReply < due && !health.checkInProgress)
      startHealthCheck(context, endpoint);
  }
  const bool isEjected = context.now < health.ejectedUntil || !isHealthy(context, endpoint);
  const bool answersChecks = canCheck && endpoint.contact.lastReply >= due;
  return isEjected || answersChecks;
}

// Cancels the attempt if the request may be repeated and another endpoint is available.
void cancelIfReplaceable(Context& context, const InFlightAttempt& attempt) {
  const auto found = context.requests.find(attempt.request);
  if (found == context.requests.end()) return;
  PendingRequest& pending = found->second;
  Attempt& record = pending.attempts[toIndex(attempt.attempt)];
  const Settings& settings = context.settings;
  if (context.classOf(pending).idempotency != Idempotency::Idempotent) return;
  if (record.cancelled || !settings.cancelAllowed || !context.retryBudget.canSpend()) return;
  if (static_cast<int>(pending.attempts.size()) >= settings.maxAttempts) return;
  if (selectReadSet(context, pending).empty()) return;
  context.retryBudget.trySpend();
  record.cancelled = true;
  context.sink.cancel(attempt.request, attempt.attempt);
}

}  // namespace

void detectSilence(Context& context, Endpoint& endpoint) {
  for (const InFlightAttempt& attempt : std::vector<InFlightAttempt>(endpoint.inFlight)) {
    if (detectLostAttempt(context, endpoint, attempt)) cancelIfReplaceable(context, attempt);
  }
}

}  // namespace sablespur::balancer
