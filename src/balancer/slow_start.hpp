// Slow start: limits what all proxies together send to an endpoint that has just started. No proxy
// knows what the others send (docs/design/cold-start.md).
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

inline bool isWarmingUp(const Context& context, const Endpoint& endpoint) {
  const Time warmUp = context.settings.warmUpPeriod;
  return endpoint.listed.started != Time(0) && context.now < endpoint.listed.started + warmUp &&
         warmUp > Time(0);
}

// Returns whether the budget of a warming-up endpoint admits the request; a warm endpoint admits
// all. The result of a draw is reused for the same request during the event, and a granted draw
// until the request is sent or another request draws.
bool slowStartAdmits(Context&, Endpoint&, const PendingRequest&);

// Charges the endpoint's budget for an attempt that is being sent. Does nothing for a warm
// endpoint.
void chargeSlowStart(const Context&, Endpoint&, const PendingRequest&);

}  // namespace sablespur::balancer
