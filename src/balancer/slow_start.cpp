#include "balancer/slow_start.hpp"

#include <algorithm>

#include "balancer/housekeeping.hpp"

namespace sablespur::balancer {
namespace {

constexpr double kPlannedShare = 0.8;  // of what the endpoint bears: a margin for the errors of the estimate
constexpr double kMaxSaved = 1;        // windows of the planned rate that may be saved up
constexpr double kMinFleetBudget = 1.5;  // requests that all proxies may send in a window, whatever it bears
constexpr int kMinProxies = 3;           // that share kMinFleetBudget: more may run than the settings name
constexpr double kRampWeight = 2;        // of the ramp's estimate beside one of what the endpoint has served
// Divides the two estimates' sum: some more than a mean, as no less is assumed than either of them tells.
constexpr double kCapacityDivisor = 2.7;
constexpr double kMinRate = 1e-9;              // keeps a division finite
constexpr std::uint64_t kTimeHashFactor = 31;  // spreads draws at neighbouring instants

SlowStartBudget& budgetFor(const Context& context, Endpoint& endpoint, const PendingRequest& request) {
  const bool isWrite = context.classOf(request).requirement == Requirement::Write;
  return isWrite ? endpoint.writeBudget : endpoint.readBudget;
}

// Requests that the endpoint can serve in a window: by its place on the ramp from what warm ones do, and by
// what it has served itself.
double estimatedCapacity(const Context& context, const Endpoint& endpoint, double workPerWeightUnit) {
  const double start = context.settings.warmUpStartCapacity;
  const double ramp =
      start + (1 - start) * ratio(context.now - endpoint.listed.started, context.settings.warmUpPeriod);
  const double served = workPerWindow(context, endpoint.served, endpoint.listed.started);
  return (kRampWeight * ramp * endpoint.listed.weight * workPerWeightUnit + served) / kCapacityDivisor;
}

// Adds what the endpoint has earned since the last draw.
void refill(Context& context, const Endpoint& endpoint, SlowStartBudget& budget, bool isWrite) {
  const Time now = context.now;
  const FleetTraffic::Rates rates = context.traffic.rates(context);
  const double capacity = estimatedCapacity(context, endpoint, rates.workPerWeightUnit);
  const double floor = kMinFleetBudget / std::max(context.settings.proxyCount, kMinProxies);
  double planned = std::max(kPlannedShare * context.settings.overloadFactor * capacity, floor);
  // Writes have no other way: reads get what is left of a primary.
  const bool isPrimary = context.groups.at(endpoint.listed.group).primary == endpoint.listed.id;
  if (!isWrite && isPrimary) planned = std::max(planned - rates.writesPerGroup, 0.0);
  const double demand =
      std::max(isWrite ? rates.writesPerGroup : rates.workPerGroup - rates.writesPerGroup, kMinRate);
  const double limit = std::max({kMaxSaved * planned, floor, std::min(1.0, planned / demand)});
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
  // A part of a request is drawn for: whoever loses pays as well, so that the mean is right.
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
