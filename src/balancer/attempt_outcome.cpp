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

constexpr double kFastFailureFraction = 0.5;  // of a class's low latency: no work was done by then
constexpr Time kCommitRounding = std::chrono::milliseconds(1);  // a commit's position was rounded up by it

// Whether the endpoint's process itself replied.
bool isReply(AttemptResult result) {
  return result == AttemptResult::Ok || result == AttemptResult::StaleAnswer ||
         result == AttemptResult::TooStale || result == AttemptResult::Rejected ||
         result == AttemptResult::Error;
}

// Whether the request was answered, whatever the answer is worth.
bool isAnswered(AttemptResult result) {
  return result == AttemptResult::Ok || result == AttemptResult::StaleAnswer;
}

std::optional<InFlightAttempt> takeInFlight(Context& context, Endpoint& endpoint,
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

// What the outcome shows of the endpoint's role.
Role shownRole(const AttemptOutcome& outcome, bool isWrite) {
  if (!isReply(outcome.result)) return Role::Unknown;
  // Whatever it calls itself, a primary's data are never too old.
  if (outcome.result == AttemptResult::StaleAnswer) return Role::Replica;
  const Role told = roleOf(outcome.replicationStatus);
  const bool turnedWriteAway = isWrite && outcome.result == AttemptResult::TooStale;
  return told == Role::Unknown && turnedWriteAway ? Role::Replica : told;
}

// Role, position and load that came with the outcome.
void learnReplicationState(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt,
                           const AttemptOutcome& outcome, bool isWrite) {
  const Role role = shownRole(outcome, isWrite);
  if (role != Role::Unknown) recordRole(context, endpoint, role, context.now);
  // The answer was written after the send, so that much is certain whenever it came.
  if (role == Role::Primary)
    endpoint.replication.primaryAt = std::max(endpoint.replication.primaryAt, attempt.sentAt);
  const std::optional<Time> position = plausiblePositionOf(context, outcome.replicationStatus);
  if (position)
    recordPosition(context, endpoint,
                   std::min(context.now, isWrite ? *position - kCommitRounding : *position));
  recordReport(context, endpoint, outcome.report);
}

void learnContact(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt,
                  AttemptResult result) {
  if (!isReply(result) || result == AttemptResult::Error) return;
  Contact& contact = endpoint.contact;
  contact.lastAnswer = context.now;
  contact.lastUsed = context.now;
  contact.lastReply = context.now;
  if (isAnswered(result)) contact.newestAnsweredSend = std::max(contact.newestAnsweredSend, attempt.sentAt);
}

void learnFromSuccess(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt) {
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

// A fast failure must not look fast: it enters the statistics as late. A full queue counts as a wait past the
// deadline, a time-out as one past the latency objective, both at that load and no symptom of a fault;
// whether the endpoint is silent, silence detection finds.
void learnFromFailure(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt,
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
    context.groups[endpoint.listed.group].troubleAt = now;
  if (result != AttemptResult::TooStale && !causedByLoad) recordFault(context, endpoint, attempt, result);
}

// What the outcome says of the endpoint, whether or not the request is still pending.
void learn(Context& context, Endpoint& endpoint, const InFlightAttempt& attempt,
           const AttemptOutcome& outcome) {
  const AttemptResult result = outcome.result;
  const bool isWrite =
      context.settings.classes[toIndex(attempt.classIndex)].requirement == Requirement::Write;
  learnReplicationState(context, endpoint, attempt, outcome, isWrite);
  learnContact(context, endpoint, attempt, result);
  if (isAnswered(result)) {
    learnFromSuccess(context, endpoint, attempt);
    if (result == AttemptResult::StaleAnswer) context.groups[endpoint.listed.group].troubleAt = context.now;
    return;
  }
  // A cancelled attempt, or one that never left, tells nothing; nor is a write too old for any data.
  const bool tellsNothing = result == AttemptResult::NotSent || result == AttemptResult::Cancelled ||
                            (isWrite && result == AttemptResult::TooStale);
  if (!tellsNothing) learnFromFailure(context, endpoint, attempt, result);
}

// Whether a retry after this outcome is free: what cost the endpoint nothing is, what was really tried must
// be earned.
bool isRetryFree(const Context& context, const PendingRequest& pending, const Attempt& attempt,
                 AttemptResult result) {
  const bool costsNothing = result == AttemptResult::TooStale || result == AttemptResult::StaleAnswer ||
                            result == AttemptResult::NotSent;
  if (costsNothing || attempt.cancelled) return true;
  const bool isFault = result == AttemptResult::Error || result == AttemptResult::Reset ||
                       result == AttemptResult::ConnectFailed;
  const double noWorkBefore = context.latencies.low(pending.request.classIndex) * kFastFailureFraction;
  return isFault && static_cast<double>((context.now - attempt.sentAt).count()) < noWorkBefore;
}

// Whether requests that wait in the group go on after an outcome, or only with the next housekeeping.
enum class WaitingRequests { Resume, LeaveToHousekeeping };

// Takes the request on after an outcome. The record may be gone after the call.
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
  const bool mustBeEarned = pending.outstanding == 0 && !isRetryFree(context, pending, attempt, result) &&
                            context.now < pending.request.deadline;
  if (mustBeEarned && !context.retryBudget.trySpend()) {
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
  const std::optional<InFlightAttempt> attempt = takeInFlight(context, *endpoint, outcome);
  if (!attempt) return;
  const GroupId group = endpoint->listed.group;
  learn(context, *endpoint, *attempt, outcome);
  const auto found = context.requests.find(outcome.request);
  WaitingRequests waiting = WaitingRequests::Resume;
  if (found != context.requests.end()) waiting = continueRequest(context, found->second, outcome);
  if (waiting == WaitingRequests::Resume) resumeWaiting(context, context.groups[group]);
}

}  // namespace sablespur::balancer
