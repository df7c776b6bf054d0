// Completion of a request: sends its final answer and removes its record.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Sends a final answer for a request that cannot be served: rejected if a repeat is harmless,
// otherwise failed. Destroys the PendingRequest.
void finishUnserved(Context&, PendingRequest&);

// Removes the request and cancels its attempts in flight; the client is owed no answer any more.
// Destroys the PendingRequest.
void closeRequest(Context&, PendingRequest&);

}  // namespace sablespur::balancer
