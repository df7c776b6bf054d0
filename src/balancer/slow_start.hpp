// Limits on what an endpoint that has just started is sent, by all proxies together though none knows what
// the others send: docs/design/cold-start.md.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

inline bool isWarmingUp(const Context& context, const Endpoint& endpoint) {
  const Time warmUp = context.settings.warmUpPeriod;
  return endpoint.listed.started != Time(0) && context.now < endpoint.listed.started + warmUp &&
         warmUp > Time(0);
}

// Whether the budget of a warming-up endpoint admits the request; a warm one admits all. A draw stands for
// the rest of the event, and once granted until the request is sent or another one draws.
bool slowStartAdmits(Context&, Endpoint&, const PendingRequest&);

// Charges the endpoint's budget for an attempt that is being sent.
void chargeSlowStart(const Context&, Endpoint&, const PendingRequest&);

}  // namespace sablespur::balancer
