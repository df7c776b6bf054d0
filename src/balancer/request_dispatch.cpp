#include "balancer/request_dispatch.hpp"

#include <algorithm>
#include <optional>
#include <vector>

#include "balancer/consistency.hpp"
#include "balancer/endpoint_state.hpp"
#include "balancer/health_checks.hpp"
#include "balancer/housekeeping.hpp"
#include "balancer/load_shedding.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/primary_discovery.hpp"
#include "balancer/replica_selection.hpp"
#include "balancer/request_completion.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/slow_start.hpp"
#include "balancer/timer_token.hpp"

namespace sablespur::balancer {
namespace {

// Makes the request wait until the state of its group changes. A timer ends the wait after `limit`,
// and at the latest when a new attempt could no longer produce a useful answer (giveUpAt) or at the
// deadline.
void waitForEndpoint(Context& context, PendingRequest& pending, std::optional<Time> limit = std::nullopt) {
  if (pending.waiting) return;
  pending.waiting = true;
  const Time end = std::min(giveUpAt(context, pending), pending.request.deadline);
  Time in = std::max(end - context.now, Time(1));
  if (limit) in = std::min(in, *limit);
  context.sink.scheduleTimer(in, timerToken(TimerKind::RequestWait, pending.request.id));
  scheduleHousekeeping(context);
  context.groups[pending.request.group].waiting.push_back(pending.request.id);
  context.work.waitingGroups.insert(pending.request.group);
}

// Starts health checks of the candidates where needed. Returns whether the request now waits for
// them.
bool waitForHealthChecksIfNeeded(Context& context, PendingRequest& pending,
                                 const std::vector<Endpoint*>& candidates) {
  if (!checkCandidatesIfNeeded(context, pending, candidates)) return false;
  pending.healthChecksAwaited = true;
  waitForEndpoint(context, pending, healthCheckWait(context, pending));
  return true;
}

void send(Context& context, PendingRequest& pending, Endpoint& endpoint) {
  const Request& request = pending.request;
  const Time now = context.now;
  const Time required = requiredPosition(context, pending);
  const bool isPrimary = endpoint.listed.id == context.groups[request.group].primary;
  const bool mayLag = required != kNever && !isPrimary && knownPosition(endpoint) < required;
  const auto attempt = static_cast<int>(pending.attempts.size());
  pending.attempts.push_back({endpoint.listed.id, now, required});
  pending.tried.push_back(endpoint.listed.id);
  ++pending.outstanding;
  pending.healthChecksAwaited = false;
  pending.awaitedChoice.reset();
  chargeSlowStart(context, endpoint, pending);
  endpoint.inFlight.push_back(
      {request.id, attempt, request.classIndex, outstandingLoad(context, endpoint), now, mayLag});
  endpoint.contact.lastUsed = now;
  context.work.busyEndpoints.insert(endpoint.listed.id);
  ++context.work.inFlight;
  scheduleHousekeeping(context);
  context.sink.send(request.id, endpoint.listed.id, std::max(usefulUntil(context, pending), now + Time(1)));
}

void removeNotWorthSending(const Context& context, const PendingRequest& pending,
                           std::vector<ReplicaChoice>& set) {
  const auto isNotWorthSending = [&](const ReplicaChoice& choice) {
    return !isWorthSending(context, pending, *choice.endpoint);
  };
  set.erase(std::remove_if(set.begin(), set.end(), isNotWorthSending), set.end());
}

// Selects among endpoints that answer but were ejected for errors, for a read that no healthy
// endpoint is likely to answer usefully. If none is left, a second round includes endpoints that
// were already tried: an attempt that may fail costs less than not serving the request.
std::vector<ReplicaChoice> selectLastResort(Context& context, PendingRequest& pending) {
  constexpr int kMaxRounds = 2;
  std::vector<ReplicaChoice> set;
  for (int round = 0; set.empty() && round < kMaxRounds; ++round) {
    if (round > 0) pending.tried.clear();
    set = selectReadSet(context, pending, EjectedEndpoints::IncludeAnswering);
    const auto isSilent = [](const ReplicaChoice& choice) {
      return !choice.endpoint->health.answersWithErrors;
    };
    set.erase(std::remove_if(set.begin(), set.end(), isSilent), set.end());
    removeNotWorthSending(context, pending, set);
  }
  return set;
}

// Sends the read to `choice`. If the choice relies on its role as primary and that evidence is old,
// waits for a health check of the endpoint first.
void sendOnceConfirmed(Context& context, PendingRequest& pending, Endpoint& choice) {
  if (!checkPrimaryIfNeeded(context, pending, choice)) return send(context, pending, choice);
  const Time limit = healthCheckWait(context, pending);
  pending.awaitedChoice = AwaitedChoice{choice.listed.id, context.now + limit};
  waitForEndpoint(context, pending, limit);
}

// Continues a read with the endpoint it chose before it waited for a health check. Returns false if
// the read has to choose again. The first choice is kept where possible because a new one would
// draw again from the slow-start budgets of endpoints that are warming up.
bool continueAwaitedChoice(Context& context, PendingRequest& pending) {
  if (!pending.awaitedChoice) return false;
  Endpoint* const choice = context.findEndpoint(pending.awaitedChoice->endpoint);
  const Time left = pending.awaitedChoice->until - context.now;
  if (choice && choice->health.checkInProgress && left > Time(0)) {
    waitForEndpoint(context, pending, left);
    return true;
  }
  pending.awaitedChoice.reset();
  if (!choice || !isUsable(context.settings, *choice) || !isHealthy(context, *choice)) return false;
  if (!mayAttempt(context, pending, *choice) || !slowStartAdmits(context, *choice, pending)) return false;
  const Group& group = context.groups[pending.request.group];
  if (!freshProbability(context, *choice, group, requiredPosition(context, pending))) return false;
  send(context, pending, *choice);
  return true;
}

void advanceRead(Context& context, PendingRequest& pending) {
  if (continueAwaitedChoice(context, pending)) return;
  const std::vector<Endpoint*> candidates = readCandidates(context, pending);
  if (waitForHealthChecksIfNeeded(context, pending, candidates)) return;
  std::vector<ReplicaChoice> set = selectReadSet(context, pending, candidates);
  if (set.empty() && !pending.tried.empty()) {  // all candidates were tried: start another round
    pending.tried.clear();
    set = selectReadSet(context, pending);
  }
  const bool noFreshCandidate = set.empty();
  removeNotWorthSending(context, pending, set);
  if (set.empty()) set = selectLastResort(context, pending);
  if (!set.empty()) return sendOnceConfirmed(context, pending, *set.front().endpoint);
  if (noFreshCandidate) {
    // There are candidates, but none is known to have the data and no health check is pending that
    // could show it. The primary has the data, so the search for it also serves this read.
    Group& group = context.groups[pending.request.group];
    if (!candidates.empty() && !awaitsHealthChecks(context, group))
      group.discovery.dataWantedAt = context.now;
    return waitForEndpoint(context, pending);
  }
  finishUnserved(context, pending);
}

void advanceWriteAtPrimary(Context& context, PendingRequest& pending, Endpoint& primary) {
  pending.tried.clear();
  // A primary that fails some requests quickly is still the only endpoint for writes. A silent
  // primary gets none.
  const bool answers = isHealthy(context, primary) || primary.health.answersWithErrors;
  if (!answers || !mayAttempt(context, pending, primary) || !slowStartAdmits(context, primary, pending))
    return waitForEndpoint(context, pending);
  if (waitForHealthChecksIfNeeded(context, pending, {&primary})) return;
  if (isWorthSending(context, pending, primary)) return send(context, pending, primary);
  finishUnserved(context, pending);
}

void advanceWrite(Context& context, PendingRequest& pending) {
  Group& group = context.groups[pending.request.group];
  group.discovery.wantedAt = context.now;
  if (Endpoint* const primary = primaryOf(context, group)) {
    advanceWriteAtPrimary(context, pending, *primary);
    return;
  }
  if (Endpoint* const candidate = nextPrimaryCandidate(context, group, pending)) {
    send(context, pending, *candidate);
    return;
  }
  pending.tried.clear();
  waitForEndpoint(context, pending);
}

}  // namespace

void advance(Context& context, PendingRequest& pending) {
  if (pending.outstanding > 0) return;
  const ClassSettings& settings = context.classOf(pending);
  const bool attemptsExhausted = static_cast<int>(pending.attempts.size()) >= context.settings.maxAttempts;
  const bool mayNotRepeat = pending.possibleExecution && settings.idempotency == Idempotency::NonIdempotent;
  if (attemptsExhausted || mayNotRepeat || context.now >= giveUpAt(context, pending))
    return finishUnserved(context, pending);
  if (context.isListTooOld()) return waitForEndpoint(context, pending);
  if (settings.requirement == Requirement::Write)
    advanceWrite(context, pending);
  else
    advanceRead(context, pending);
}

void resumeRequest(Context& context, RequestId id) {
  const auto found = context.requests.find(id);
  if (found == context.requests.end() || !found->second.waiting) return;
  PendingRequest& pending = found->second;
  pending.waiting = false;
  std::vector<RequestId>& waiting = context.groups[pending.request.group].waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
  advance(context, pending);
}

void resumeWaiting(Context& context, Group& group) {
  std::vector<RequestId> ids;
  ids.swap(group.waiting);
  for (const RequestId id : ids) {
    const auto found = context.requests.find(id);
    if (found == context.requests.end() || !found->second.waiting) continue;
    found->second.waiting = false;
    advance(context, found->second);
  }
}

void resumeAllWaiting(Context& context, PrimaryChecks primaryChecks) {
  std::set<GroupId>& waitingGroups = context.work.waitingGroups;
  for (const GroupId id : std::vector<GroupId>(waitingGroups.begin(), waitingGroups.end())) {
    const auto found = context.groups.find(id);
    if (found != context.groups.end() && !found->second.waiting.empty()) {
      resumeWaiting(context, found->second);
      if (primaryChecks == PrimaryChecks::Yes) checkForPrimary(context, found->second);
    }
    if (found == context.groups.end() || found->second.waiting.empty()) waitingGroups.erase(id);
  }
}

}  // namespace sablespur::balancer
