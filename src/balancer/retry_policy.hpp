// Whether a request may be sent once more, and to whom: what may have run must not run twice.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Whether an attempt with this result may have taken effect.
bool mayHaveRun(AttemptResult);

// Whether one more attempt may go out at all: nothing has run, or a repeat is harmless or will be recognised.
bool repeatIsSafe(const Context&, const PendingRequest&);

// Whether one more attempt of the request may go to this endpoint, by its idempotency and what was tried.
bool mayTake(Context&, const PendingRequest&, const Endpoint&);

// Whether a client that is turned away may safely send the request again.
bool rejectionIsSafe(const Context&, const PendingRequest&);

}  // namespace sablespur::balancer
