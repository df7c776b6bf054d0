#include "balancer/replica_selection.hpp"

#include <algorithm>

#include "balancer/consistency.hpp"
#include "balancer/endpoint_state.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/slow_start.hpp"

namespace sablespur::balancer {
namespace {

// Target probability that at least one endpoint of the read set answers in time.
constexpr double kTargetOnTimeProbability = 0.95;
constexpr double kMinMissProbability = 1e-9;  // keeps products of probabilities above 0
// How long after Group::lastFailureAt a read set has to do without its best member
// (ReadSet::isLikelyEnough).
constexpr Time kRecentFailurePeriod = std::chrono::seconds(1);

// Returns how long an answer may take from now: until the latency objective, or until the deadline
// once the objective has passed.
Time remainingBudget(const Context& context, const PendingRequest& pending) {
  const Time objective = pending.arrivedAt + context.classOf(pending).latencyObjective - context.now;
  if (objective > Time(0)) return objective;
  return std::max(pending.request.deadline - context.now, Time(1));
}

ReplicaChoice evaluateChoice(const Context& context, int classIndex, Time budget, Endpoint& endpoint,
                             double freshProbability) {
  const LatencyWindows& windows = endpoint.latencies;
  const auto estimate = [&](const std::vector<LatencySample>& window) {
    return estimateLatency(context, endpoint, window, classIndex, budget, CountedMisses::All);
  };
  const LatencyEstimate immediate = estimate(windows.immediate);
  double missProbability = immediate.missProbability * freshProbability;
  if (freshProbability < 1) {
    const double missIfDelayed = windows.delayed.empty() ? 0.0 : estimate(windows.delayed).missProbability;
    missProbability += missIfDelayed * (1 - freshProbability);
  }
  return {&endpoint, missProbability, immediate.expectedLatency};
}

// Collects choices until it is likely enough that one of them answers in time.
class ReadSet {
 public:
  explicit ReadSet(bool leaveBestOut) : leaveBestOut_(leaveBestOut) {}

  bool empty() const { return choices_.empty(); }

  void add(const ReplicaChoice& choice) {
    choices_.push_back(choice);
    const double missProbability = std::max(choice.missProbability, kMinMissProbability);
    allMiss_ *= missProbability;
    bestMiss_ = std::min(bestMiss_, missProbability);
  }

  // After a recent failure in the group the set must be sufficient without its best member, because
  // that endpoint may be the next to fail.
  bool isLikelyEnough() const {
    const double miss = leaveBestOut_ ? allMiss_ / std::max(bestMiss_, kMinMissProbability) : allMiss_;
    return 1 - miss >= kTargetOnTimeProbability;
  }

  std::vector<ReplicaChoice> bestFirst() && {
    std::stable_sort(choices_.begin(), choices_.end(), [](const ReplicaChoice& a, const ReplicaChoice& b) {
      if (a.missProbability != b.missProbability) return a.missProbability < b.missProbability;
      return a.expectedLatency < b.expectedLatency;
    });
    return std::move(choices_);
  }

 private:
  bool leaveBestOut_;
  std::vector<ReplicaChoice> choices_;
  double allMiss_ = 1;
  double bestMiss_ = 1;
};

// Sorts endpoints least recently used first; equal ones by an order that differs between proxies. A
// send counts as use, so that a burst is not sent to a single endpoint. A read that accepts data of
// any age prefers replicas whose last known lag exceeded the tightest staleness bound. This leaves
// the fresh endpoints to the reads that need them, so that a lagging replica does not overload the
// others.
void sortByLastUse(const Context& context, const PendingRequest& pending, std::vector<Endpoint*>& endpoints) {
  const Time bound = tightestStalenessBound(context.settings);
  const bool acceptsAnyData = requiredPosition(context, pending) == kNever;
  const auto lags = [&](const Endpoint* endpoint) {
    const std::vector<LagSample>& samples = endpoint->replication.lags;
    return !samples.empty() && samples.back().lag > bound;
  };
  std::sort(endpoints.begin(), endpoints.end(), [&](const Endpoint* a, const Endpoint* b) {
    if (acceptsAnyData && lags(a) != lags(b)) return lags(a);
    if (a->contact.lastUsed != b->contact.lastUsed) return a->contact.lastUsed < b->contact.lastUsed;
    return a->tieBreaker < b->tieBreaker;
  });
}

}  // namespace

std::vector<Endpoint*> readCandidates(Context& context, const PendingRequest& pending,
                                      EjectedEndpoints ejected) {
  std::vector<Endpoint*> candidates;
  for (const EndpointId id : context.groups[pending.request.group].endpoints) {
    Endpoint& endpoint = context.endpoints.at(id);
    if (!isUsable(context.settings, endpoint)) continue;
    const bool isLastResort =
        ejected == EjectedEndpoints::IncludeAnswering && endpoint.health.answersWithErrors;
    if (!isHealthy(context, endpoint) && !isLastResort) continue;
    if (mayAttempt(context, pending, endpoint) && slowStartAdmits(context, endpoint, pending))
      candidates.push_back(&endpoint);
  }
  sortByLastUse(context, pending, candidates);
  return candidates;
}

// Computes estimates lazily, only for as many candidates as the set needs.
std::vector<ReplicaChoice> selectReadSet(const Context& context, const PendingRequest& pending,
                                         const std::vector<Endpoint*>& candidates) {
  if (candidates.empty()) return {};
  const Group& group = context.groups.at(pending.request.group);
  const int classIndex = pending.request.classIndex;
  const Time required = requiredPosition(context, pending);
  const Time budget = remainingBudget(context, pending);
  ReadSet set(group.lastFailureAt != kNever && context.now - group.lastFailureAt < kRecentFailurePeriod);
  Endpoint* primary = nullptr;
  for (Endpoint* const endpoint : candidates) {
    if (endpoint->listed.id == group.primary) {
      primary = endpoint;
      continue;
    }
    const std::optional<double> fresh = freshProbability(context, *endpoint, group, required);
    if (!fresh) continue;
    set.add(evaluateChoice(context, classIndex, budget, *endpoint, *fresh));
    if (set.isLikelyEnough()) break;
  }
  // The primary always has fresh data. It is added only if the replicas are not sufficient, to
  // leave its capacity to writes.
  if (primary && (set.empty() || !set.isLikelyEnough()))
    set.add(evaluateChoice(context, classIndex, budget, *primary, 1));
  return std::move(set).bestFirst();
}

std::vector<ReplicaChoice> selectReadSet(Context& context, const PendingRequest& pending,
                                         EjectedEndpoints ejected) {
  return selectReadSet(context, pending, readCandidates(context, pending, ejected));
}

}  // namespace sablespur::balancer
