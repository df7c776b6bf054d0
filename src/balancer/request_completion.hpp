// The end of a request: its final answer, and what is then forgotten.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Answers finally that the request is not served: as rejected where a repeat is harmless, else as failed. The
// record is gone after the call.
void finishUnserved(Context&, PendingRequest&);

// Forgets the request and cancels what is in flight for it; nothing is owed to its client any more. The
// record is gone after the call.
void closeRequest(Context&, PendingRequest&);

}  // namespace sablespur::balancer
