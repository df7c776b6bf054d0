#include "balancer/slow_start.hpp"

#include <algorithm>

#include "balancer/housekeeping.hpp"

namespace sablespur::balancer {
namespace {

// Planned share of the estimated capacity; the rest is a margin for errors of the estimate.
constexpr double kPlannedShare = 0.8;
constexpr double kMaxSavedWindows = 1;  // limit of the saved budget, in windows of the planned rate
// Requests that all proxies together may send in a window, whatever the estimated capacity.
constexpr double kMinFleetBudget = 1.5;
// Least number of proxies assumed to share kMinFleetBudget; more may run than the settings name.
constexpr int kMinProxies = 3;
// Weight of the estimate by the warm-up ramp, relative to the estimate by the requests served.
constexpr double kRampWeight = 2;
// Divides the weighted sum of the two estimates. It is below the sum of their weights, 3, which
// gives more than a mean, because each estimate alone is a lower bound.
constexpr double kCapacityDivisor = 2.7;
constexpr double kMinRate = 1e-9;              // avoids a division by zero
constexpr std::uint64_t kTimeHashFactor = 31;  // decorrelates draws at neighbouring instants

SlowStartBudget& budgetFor(const Context& context, Endpoint& endpoint, const PendingRequest& request) {
  const bool isWrite = context.classOf(request).requirement == Requirement::Write;
  return isWrite ? endpoint.writeBudget : endpoint.readBudget;
}

// Estimates how many requests the endpoint can serve in a window. Combines its position on the
// warm-up ramp, scaled by what warm endpoints serve, with what it has served itself.
double estimatedCapacity(const Context& context, const Endpoint& endpoint, double workPerWeightUnit) {
  const double start = context.settings.warmUpStartCapacity;
  const double ramp =
      start + (1 - start) * ratio(context.now - endpoint.listed.started, context.settings.warmUpPeriod);
  const double served = workPerWindow(context, endpoint.served, endpoint.listed.started);
  return (kRampWeight * ramp * endpoint.listed.weight * workPerWeightUnit + served) / kCapacityDivisor;
}

// Adds the budget earned since the last draw.
void refill(Context& context, const Endpoint& endpoint, SlowStartBudget& budget, bool isWrite) {
  const Time now = context.now;
  const FleetTraffic::Rates rates = context.traffic.rates(context);
  const double capacity = estimatedCapacity(context, endpoint, rates.workPerWeightUnit);
  const double floor = kMinFleetBudget / std::max(context.settings.proxyCount, kMinProxies);
  double planned = std::max(kPlannedShare * context.settings.overloadFactor * capacity, floor);
  // Writes can only go to the primary, so reads get what writes leave of its budget.
  const bool isPrimary = context.groups.at(endpoint.listed.group).primary == endpoint.listed.id;
  if (!isWrite && isPrimary) planned = std::max(planned - rates.writesPerGroup, 0.0);
  const double demand =
      std::max(isWrite ? rates.writesPerGroup : rates.workPerGroup - rates.writesPerGroup, kMinRate);
  const double limit = std::max({kMaxSavedWindows * planned, floor, std::min(1.0, planned / demand)});
  if (budget.updatedAt == kNever) {
    budget.balance = std::min(1.0, std::max(limit, 2 * floor));
  } else {
    const Time window = std::max(context.settings.overloadWindow, kHousekeepingInterval);
    const double earned = planned * ratio(now - budget.updatedAt, window);
    budget.balance = std::min(limit, budget.balance + earned);
  }
  budget.updatedAt = now;
}

}  // namespace

bool slowStartAdmits(Context& context, Endpoint& endpoint, const PendingRequest& pending) {
  if (!isWarmingUp(context, endpoint)) return true;
  const Time now = context.now;
  const RequestId id = pending.request.id;
  SlowStartBudget& budget = budgetFor(context, endpoint, pending);
  if (budget.drawnFor == id && (budget.granted || budget.drawnAt == now)) return budget.granted;
  refill(context, endpoint, budget, context.classOf(pending).requirement == Requirement::Write);
  // A balance below the cost of a request admits it with the probability balance / cost. A draw
  // that is lost is charged the same price as one that wins, which keeps the mean rate right.
  const double cost = context.latencies.relativeCost(pending.request.classIndex);
  const double odds = std::min(1.0, budget.balance / cost);
  const std::uint64_t instant = static_cast<std::uint64_t>(now.count()) * kTimeHashFactor;
  budget.drawnAt = now;
  budget.drawnFor = id;
  budget.price = odds * cost;
  budget.granted = context.random.fraction(id, endpoint.listed.id + instant) < odds;
  if (!budget.granted) budget.balance -= budget.price;
  return budget.granted;
}

void chargeSlowStart(const Context& context, Endpoint& endpoint, const PendingRequest& pending) {
  if (!isWarmingUp(context, endpoint)) return;
  SlowStartBudget& budget = budgetFor(context, endpoint, pending);
  budget.balance -= budget.price;
  budget.drawnFor = 0;
}

}  // namespace sablespur::balancer
