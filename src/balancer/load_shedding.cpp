#include "balancer/load_shedding.hpp"

#include <algorithm>

#include "balancer/endpoint_state.hpp"
#include "balancer/latency_estimate.hpp"

namespace sablespur::balancer {
namespace {

constexpr double kMinUsefulProbability = 0.85;  // that the answer to an attempt is useful
// Share of the time to its deadline that a request waits for a first endpoint to accept it.
constexpr double kMaxUnplacedShare = 0.45;
// Retry-after as a multiple of the usual latency, before the latency objective has passed.
constexpr double kRetryAfterFactor = 0.25;

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
  // If no endpoint has accepted the request after nearly half of its time, it is rejected while the
  // client can still retry usefully.
  if (!pending.reachedEndpoint && pending.outstanding == 0) {
    const Time unplaced = scaled(pending.request.deadline - arrived, kMaxUnplacedShare);
    end = std::min(end, arrived + unplaced + usualLatency);
  }
  // A request with any time left may make a first attempt during the event of its arrival.
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

// Advises an early retry before the latency objective has passed. After it a retry only adds load,
// so the longest delay is advised.
Time retryAfter(const Context& context, const PendingRequest& pending) {
  const Settings& settings = context.settings;
  if (!settings.retryAfterAllowed) return Time(0);
  const bool inObjective = context.now < pending.arrivedAt + context.classOf(pending).latencyObjective;
  if (!inObjective) return settings.maxRetryAfter;
  const Time usualLatency = context.latencies.meanTime(pending.request.classIndex);
  return std::min(settings.maxRetryAfter, scaled(usualLatency, kRetryAfterFactor));
}

}  // namespace sablespur::balancer
