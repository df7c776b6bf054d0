#include "balancer/fleet_traffic.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balancer/context.hpp"
#include "balancer/endpoint_state.hpp"
#include "balancer/housekeeping.hpp"
#include "balancer/slow_start.hpp"

namespace sablespur::balancer {
namespace {

// Upper bound on the assumed demand on a group, as a multiple of its capacity.
constexpr double kGroupOverloadFactor = 1.5;
constexpr double kMinWeight = 1e-9;  // avoids a division by zero

}  // namespace

void FleetTraffic::requestArrived(Time now, double work, bool isWrite) {
  requested_.add(now, work);
  ++requestsSeen_;
  writeShare_ += ((isWrite ? 1.0 : 0.0) - writeShare_) / requestsSeen_;
}

// Each of many proxies sees few requests of a single group, so the mean over all groups is a better
// estimate than the count of that group.
FleetTraffic::Rates FleetTraffic::rates(const Context& context) {
  updateWorkPerWeightUnit(context);
  const double workPerGroup = workPerWindow(context, requested_, startedAt_) / totals_.groupsInUse;
  return {workPerGroup, workPerGroup * writeShare_, workPerWeightUnit_};
}

void FleetTraffic::updateWorkPerWeightUnit(const Context& context) {
  if (std::exchange(updatedAt_, context.now) == context.now) return;
  const bool expired = totals_.validUntil != kNever && context.now >= totals_.validUntil;
  if (totals_.stale || expired) recount(context);
  // If no endpoint is warm, the requested work is assumed to be the greatest demand that is
  // assumed for the groups.
  workPerWeightUnit_ = totals_.warmWeight > 0
                           ? workPerWindow(context, totals_.warmServed, startedAt_) / totals_.warmWeight
                           : workPerWindow(context, requested_, startedAt_) /
                                 std::max(totals_.warmingWeight, kMinWeight) / kGroupOverloadFactor;
}

void FleetTraffic::recount(const Context& context) {
  totals_ = Totals();
  totals_.stale = false;
  for (const auto& [id, endpoint] : context.endpoints) {
    if (!isUsable(context.settings, endpoint)) continue;
    if (isWarmingUp(context, endpoint)) {
      const Time warmAt = endpoint.listed.started + context.settings.warmUpPeriod;
      totals_.validUntil = totals_.validUntil == kNever ? warmAt : std::min(totals_.validUntil, warmAt);
      totals_.warmingWeight += endpoint.listed.weight;
    } else {
      totals_.warmWeight += endpoint.listed.weight;
      totals_.warmServed.add(context.now, endpoint.served.valueAt(context.now));
    }
  }
  for (const auto& [id, group] : context.groups) {
    if (!group.endpoints.empty()) ++totals_.groupsInUse;
  }
}

double workPerWindow(const Context& context, const DecayingCounter& counter, Time since) {
  const Time counted = std::max(context.now - since, kHousekeepingInterval);
  const Time window = std::max(context.settings.overloadWindow, kHousekeepingInterval);
  const double seenShare = 1 - std::exp(-ratio(counted, kRecentPeriod));
  return counter.valueAt(context.now) * ratio(window, kRecentPeriod) / seenShare;
}

}  // namespace sablespur::balancer
