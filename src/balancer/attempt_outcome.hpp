// Handles attempt outcomes: updates the state of the endpoint and takes the next step of the
// request.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Handles the outcome of an attempt. Ignored if the attempt is not in flight.
void handleOutcome(Context&, const AttemptOutcome&);

}  // namespace sablespur::balancer
