#include "balancer/attempt_outcome.hpp"

#include <algorithm>
#include <optional>

#include "balancer/consistency.hpp"
#include "balancer/endpoint_state.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/primary_discovery.hpp"
#include "balancer/request_completion.hpp"
#include "balancer/request_dispatch.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/slow_start.hpp"

namespace sablespur::balancer {
namespace {

// A failure within this fraction of the low latency of its class is assumed to have done no work.
constexpr double kFastFailureFraction = 0.5;
// The last commit of an idle primary may be this old. A position that is older shows that the primary
// lags.
constexpr Time kMaxIdlePositionAge = std::chrono::seconds(1);
// A commit's position may have been rounded up by as much as this.
constexpr Time kCommitRounding = std::chrono::milliseconds(1);

// Returns whether the result is a reply by the endpoint's own process.
bool isReply(AttemptResult result) {
  return result == AttemptResult::Ok || result == AttemptResult::StaleAnswer ||
         result == AttemptResult::TooStale || result == AttemptResult::Rejected ||
         result == AttemptResult::Error;
}

// Returns whether the endpoint answered the request, even if the answer is too stale to use.
bool isAnswered(AttemptResult result) {
  return result == AttemptResult::Ok || result == AttemptResult::StaleAnswer;
}

// Removes the attempt from the in-flight attempts of its endpoint and returns it; `std::nullopt` if
// it is not in flight.
std::optional<InFlightAttempt> removeInFlight(Context& context, Endpoint& endpoint,
                                              const AttemptOutcome& outcome) {
  std::vector<InFlightAttempt>& inFlight = endpoint.inFlight;
  const auto found = std::find_if(inFlight.begin(), inFlight.end(), [&](const InFlightAttempt& attempt) {
    return attempt.request == outcome.request && attempt.attempt == outcome.attempt;
  });
  if (found == inFlight.end()) return std::nullopt;
  const InFlightAttempt attempt = *found;
  inFlight.erase(found);
  if (inFlight.empty()) context.work.busyEndpoints.erase(outcome.endpoint);
  --context.work.inFlight;
  return attempt;
}

// Returns the role of the endpoint as far as the outcome shows it.
Role observedRole(const AttemptOutcome& outcome, bool isWrite) {
  if (!isReply(outcome.result)) return Role::Unknown;
  // The data of a primary are never too old, so this is a replica whatever role it reports.
  if (outcome.result == AttemptResult::StaleAnswer) return Role::Replica;
  const Role reported = roleOf(outcome.replicationStatus);
  const bool rejectedWrite = isWrite && outcome.result == AttemptResult::TooStale;
  return reported == Role::Unknown && rejectedWrite ? Role::Replica : reported;
}

// Records the role, replication position and load that the outcome carries.
void updateReplicationState(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt,
                            const AttemptOutcome& outcome, bool isWrite) {
  const Role role = observedRole(outcome, isWrite);
  if (role != Role::Unknown) recordRole(context, endpoint, role, context.now);
  const std::optional<Time> position = plausiblePositionOf(context, outcome.replicationStatus);
  const bool lags = position && *position < attempt.sentAt - kMaxIdlePositionAge;
  // The endpoint wrote the answer after the attempt was sent, so at the send it had all earlier
  // commits, whenever the answer arrived.
  if (role == Role::Primary && !lags)
    endpoint.replication.primaryAt = std::max(endpoint.replication.primaryAt, attempt.sentAt);
  if (position)
    recordPosition(context, endpoint,
                   std::min(context.now, isWrite ? *position - kCommitRounding : *position));
  recordReport(context, endpoint, outcome.report);
}

void updateContact(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt,
                   AttemptResult result) {
  if (!isReply(result) || result == AttemptResult::Error) return;
  Contact& contact = endpoint.contact;
  contact.lastAnswer = context.now;
  contact.lastUsed = context.now;
  contact.lastReply = context.now;
  if (isAnswered(result)) contact.newestAnsweredSend = std::max(contact.newestAnsweredSend, attempt.sentAt);
}

void recordSuccess(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt) {
  const Time now = context.now;
  const double work = context.latencies.relativeCost(attempt.classIndex);
  endpoint.served.add(now, work);
  if (isUsable(context.settings, endpoint) && !isWarmingUp(context, endpoint))
    context.traffic.answeredByWarmEndpoint(now, work);
  const auto latency = static_cast<double>((now - attempt.sentAt).count());
  context.latencies.recordAnswer(attempt.classIndex, latency);
  context.latencies.addSample(endpoint, attempt, latency, now);
  markHealthy(endpoint);
}

// Records a failed attempt. A failure must not improve the latency statistics, so it enters them as
// late:
// - A full queue counts as a wait past the deadline.
// - A time-out of an attempt that was not overtaken counts as a wait past the latency objective.
// - Any other failure counts as unanswered.
//
// The first two are attributed to the load at that time. Neither they nor a TooStale result are
// recorded as faults. Silence detection finds endpoints that do not answer at all.
void recordFailure(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt,
                   AttemptResult result) {
  const ClassSettings& settings = context.settings.classes[toIndex(attempt.classIndex)];
  const Time now = context.now;
  const bool isRejected = result == AttemptResult::Rejected;
  const bool causedByLoad =
      isRejected || (result == AttemptResult::Timeout && !isOvertaken(context, endpoint, attempt));
  const Time latency =
      isRejected ? settings.deadline : std::max(now - attempt.sentAt, settings.latencyObjective * 5 / 4);
  context.latencies.addSample(endpoint, attempt,
                              causedByLoad ? static_cast<double>(latency.count()) : kUnansweredLatency, now);
  if (result == AttemptResult::TooStale || result == AttemptResult::Timeout)
    context.groups[endpoint.listed.group].lastFailureAt = now;
  if (result != AttemptResult::TooStale && !causedByLoad) recordFault(context, endpoint, attempt, result);
}

// Updates the state of the endpoint, whether or not the request is still pending.
void updateEndpointState(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt,
                         const AttemptOutcome& outcome) {
  const AttemptResult result = outcome.result;
  const bool isWrite =
      context.settings.classes[toIndex(attempt.classIndex)].requirement == Requirement::Write;
  updateReplicationState(context, endpoint, attempt, outcome, isWrite);
  updateContact(context, endpoint, attempt, result);
  if (isAnswered(result)) {
    recordSuccess(context, endpoint, attempt);
    if (result == AttemptResult::StaleAnswer)
      context.groups[endpoint.listed.group].lastFailureAt = context.now;
    return;
  }
  // A cancelled attempt and one that was never sent say nothing about the endpoint. Nor does a
  // write rejected as too stale, which only shows that the endpoint is not the primary.
  const bool isUninformative = result == AttemptResult::NotSent || result == AttemptResult::Cancelled ||
                               (isWrite && result == AttemptResult::TooStale);
  if (!isUninformative) recordFailure(context, endpoint, attempt, result);
}

// Returns whether a retry after this outcome takes nothing from the retry budget: the attempt cost
// the endpoint no work, its answer was too stale, or this proxy cancelled it. A retry after any
// other outcome has to be covered by the budget.
bool isRetryFree(const Context& context, const PendingRequest& pending, const Attempt& attempt,
                 AttemptResult result) {
  const bool costsNothing = result == AttemptResult::TooStale || result == AttemptResult::StaleAnswer ||
                            result == AttemptResult::NotSent;
  if (costsNothing || attempt.cancelled) return true;
  const bool isFault = result == AttemptResult::Error || result == AttemptResult::Reset ||
                       result == AttemptResult::ConnectFailed;
  const double fastFailureLimit = context.latencies.low(pending.request.classIndex) * kFastFailureFraction;
  return isFault && static_cast<double>((context.now - attempt.sentAt).count()) < fastFailureLimit;
}

// Whether the waiting requests of the group are resumed right after an outcome or by the next
// housekeeping run.
enum class WaitingRequests { Resume, LeaveToHousekeeping };

// Takes the next step of the request after an outcome. May destroy the PendingRequest.
WaitingRequests continueRequest(Context& context, PendingRequest& pending, const AttemptOutcome& outcome) {
  const AttemptResult result = outcome.result;
  Attempt& attempt = pending.attempts[toIndex(outcome.attempt)];
  attempt.inFlight = false;
  --pending.outstanding;
  if (result != AttemptResult::ConnectFailed && result != AttemptResult::NotSent)
    pending.reachedEndpoint = true;
  const bool isEarliest = !pending.possibleExecution || attempt.sentAt < pending.possibleExecution->sentAt;
  if (mayHaveRun(result) && isEarliest)
    pending.possibleExecution = PossibleExecution{attempt.sentAt, attempt.endpoint};
  if (outcome.clientAnswered || result == AttemptResult::Ok) {
    closeRequest(context, pending);
    return WaitingRequests::Resume;
  }
  const bool needsRetryBudget = pending.outstanding == 0 && !isRetryFree(context, pending, attempt, result) &&
                                context.now < pending.request.deadline;
  if (needsRetryBudget && !context.retryBudget.trySpend()) {
    finishUnserved(context, pending);
    return WaitingRequests::LeaveToHousekeeping;
  }
  advance(context, pending);
  return WaitingRequests::Resume;
}

}  // namespace

void handleOutcome(Context& context, const AttemptOutcome& outcome) {
  Endpoint* const endpoint = context.findEndpoint(outcome.endpoint);
  if (!endpoint) return;
  const std::optional<InFlightAttempt> attempt = removeInFlight(context, *endpoint, outcome);
  if (!attempt) return;
  const GroupId group = endpoint->listed.group;
  updateEndpointState(context, *endpoint, *attempt, outcome);
  const auto found = context.requests.find(outcome.request);
  WaitingRequests waiting = WaitingRequests::Resume;
  if (found != context.requests.end()) waiting = continueRequest(context, found->second, outcome);
  if (waiting == WaitingRequests::Resume) resumeWaiting(context, context.groups[group]);
}

}  // namespace sablespur::balancer
