// Until when a request is worth an attempt, and which attempts are likely to pay.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// From when on an answer earns nothing: a class with no worth for late answers ends at its latency objective.
Time usefulUntil(const Context&, const PendingRequest&);

// From when on a new attempt can no longer bring a useful answer.
Time giveUpAt(const Context&, const PendingRequest&);

// Whether an answer of the endpoint is likely to be useful. Without this, queues make everything late. An
// idle endpoint takes any request, so that there is a way back.
bool isWorthSending(const Context&, const PendingRequest&, const Endpoint&);

// When a client that is turned away should come back; 0: nothing is told.
Time retryAfter(const Context&, const PendingRequest&);

}  // namespace sablespur::balancer
