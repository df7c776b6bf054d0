// Decides whether a request may be sent again and to which endpoints. A request that may have run
// must not run twice unless that is harmless.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Returns whether an attempt with this result may have taken effect.
bool mayHaveRun(AttemptResult);

// Returns whether the request may be sent again at all: nothing has run, or a repeat is harmless or
// will be recognised by its idempotency key.
bool repeatIsSafe(const Context&, const PendingRequest&);

// Returns whether an attempt of the request may go to this endpoint, given its idempotency and the
// endpoints already tried.
bool mayAttempt(Context&, const PendingRequest&, const Endpoint&);

// Returns whether a client may safely resend the request after a rejection.
bool rejectionIsSafe(const Context&, const PendingRequest&);

}  // namespace sablespur::balancer
