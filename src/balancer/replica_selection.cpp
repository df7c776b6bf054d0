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

constexpr double kTargetOnTimeProbability = 0.95;  // wanted that one of the read set answers in time
constexpr double kMinMissProbability = 1e-9;       // keeps a product of probabilities above 0
constexpr Time kTroublePeriod =
    std::chrono::seconds(1);  // after a miss or a time-out, see ReadSet::isLikelyEnough

// The time that an answer may take from now: up to the latency objective, after that up to the deadline.
Time remainingBudget(const Context& context, const PendingRequest& pending) {
  const Time objective = pending.arrivedAt + context.classOf(pending).latencyObjective - context.now;
  if (objective > Time(0)) return objective;
  return std::max(pending.request.deadline - context.now, Time(1));
}

ReplicaChoice rate(const Context& context, int classIndex, Time budget, Endpoint& endpoint,
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

// A read set that grows until one of its answers is likely enough to come in time.
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

  // Where there was trouble in the group lately the set has to do without its best member, which may be the
  // next to fail.
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

// Least recently used first (a send counts as use, lest a burst go to one endpoint), and alike endpoints in
// an order of this proxy's own. A read for which any data will do leaves the fresh endpoints to those that
// need them where a replica was too old for a bounded read: a lag must not spread.
void sortByTurn(const Context& context, const PendingRequest& pending, std::vector<Endpoint*>& endpoints) {
  const Time bound = tightestStalenessBound(context.settings);
  const bool anyDataWillDo = requiredPosition(context, pending) == kNever;
  const auto lags = [&](const Endpoint* endpoint) {
    const std::vector<LagSample>& samples = endpoint->replication.lags;
    return !samples.empty() && samples.back().lag > bound;
  };
  std::sort(endpoints.begin(), endpoints.end(), [&](const Endpoint* a, const Endpoint* b) {
    if (anyDataWillDo && lags(a) != lags(b)) return lags(a);
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
    if (mayTake(context, pending, endpoint) && slowStartAdmits(context, endpoint, pending))
      candidates.push_back(&endpoint);
  }
  sortByTurn(context, pending, candidates);
  return candidates;
}

// Estimates are made one after another, only as far as they are needed.
std::vector<ReplicaChoice> selectReadSet(const Context& context, const PendingRequest& pending,
                                         const std::vector<Endpoint*>& candidates) {
  if (candidates.empty()) return {};
  const Group& group = context.groups.at(pending.request.group);
  const int classIndex = pending.request.classIndex;
  const Time required = requiredPosition(context, pending);
  const Time budget = remainingBudget(context, pending);
  ReadSet set(group.troubleAt != kNever && context.now - group.troubleAt < kTroublePeriod);
  Endpoint* primary = nullptr;
  for (Endpoint* const endpoint : candidates) {
    if (endpoint->listed.id == group.primary) {
      primary = endpoint;
      continue;
    }
    const std::optional<double> fresh = freshProbability(context, *endpoint, group, required);
    if (!fresh) continue;
    set.add(rate(context, classIndex, budget, *endpoint, *fresh));
    if (set.isLikelyEnough()) break;
  }
  // The primary's data is always new enough; it is spared for writes where the replicas will do.
  if (primary && (set.empty() || !set.isLikelyEnough()))
    set.add(rate(context, classIndex, budget, *primary, 1));
  return std::move(set).bestFirst();
}

std::vector<ReplicaChoice> selectReadSet(Context& context, const PendingRequest& pending,
                                         EjectedEndpoints ejected) {
  return selectReadSet(context, pending, readCandidates(context, pending, ejected));
}

}  // namespace sablespur::balancer
