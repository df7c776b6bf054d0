// What the outcome of an attempt teaches of its endpoint, and what it means to its request.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Takes in an outcome. Outcomes of attempts that are not in flight are ignored.
void handleOutcome(Context&, const AttemptOutcome&);

}  // namespace sablespur::balancer
