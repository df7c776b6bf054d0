#include "balancer/load_shedding.hpp"

#include <algorithm>

#include "balancer/endpoint_state.hpp"
#include "balancer/latency_estimate.hpp"

namespace sablespur::balancer {
namespace {

constexpr double kMinUsefulProbability = 0.85;  // that an attempt's answer is useful
constexpr double kMaxUnplacedShare = 0.45;  // of its time: so long a request waits for an endpoint to take it
constexpr double kRetryAfterFactor = 0.25;  // of a usual latency, while the latency objective still runs

}  // namespace

Time usefulUntil(const Context& context, const PendingRequest& pending) {
  const ClassSettings& settings = context.classOf(pending);
  const Time deadline = pending.request.deadline;
  if (settings.lateWeight > 0) return deadline;
  return std::min(deadline, pending.arrivedAt + settings.latencyObjective);
}

Time giveUpAt(const Context& context, const PendingRequest& pending) {
  const Time arrived = pending.arrivedAt;
  const Time usualLatency = context.latencies.meanTime(pending.request.classIndex);
  Time end = usefulUntil(context, pending);
  // Where no endpoint has taken it by nearly half of its time, the client is told to come back while that is
  // still of use to it.
  if (!pending.reachedEndpoint && pending.outstanding == 0) {
    const Time unplaced = scaled(pending.request.deadline - arrived, kMaxUnplacedShare);
    end = std::min(end, arrived + unplaced + usualLatency);
  }
  // A request with any time left gets the event of its arrival for a first attempt.
  const bool isUntried = pending.attempts.empty() && end > arrived;
  return std::max(end - usualLatency, arrived + Time(isUntried ? 1 : 0));
}

bool isWorthSending(const Context& context, const PendingRequest& pending, const Endpoint& endpoint) {
  if (outstandingLoad(context, endpoint) == 0) return true;
  const Time left = std::max(usefulUntil(context, pending) - context.now, Time(1));
  const LatencyEstimate estimate =
      estimateLatency(context, endpoint, endpoint.latencies.immediate, pending.request.classIndex, left,
                      CountedMisses::CausedByLoad);
  return 1 - estimate.missProbability >= kMinUsefulProbability;
}

// Soon, while the latency objective runs; what comes back after that is only load.
Time retryAfter(const Context& context, const PendingRequest& pending) {
  const Settings& settings = context.settings;
  if (!settings.retryAfterAllowed) return Time(0);
  const bool inObjective = context.now < pending.arrivedAt + context.classOf(pending).latencyObjective;
  if (!inObjective) return settings.maxRetryAfter;
  const Time usualLatency = context.latencies.meanTime(pending.request.classIndex);
  return std::min(settings.maxRetryAfter, scaled(usualLatency, kRetryAfterFactor));
}

}  // namespace sablespur::balancer
