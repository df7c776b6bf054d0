// Load shedding: decides until when attempts of a request are useful, and which attempts are likely
// to succeed.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Returns the instant after which an answer has no value: the deadline, or the latency objective
// for a class whose late answers have no value.
Time usefulUntil(const Context&, const PendingRequest&);

// Returns the instant after which a new attempt can no longer produce a useful answer.
Time giveUpAt(const Context&, const PendingRequest&);

// Returns whether an answer of the endpoint is likely to be useful; otherwise growing queues would
// make all answers late. An idle endpoint accepts any request, so that its estimate can recover.
bool isWorthSending(const Context&, const PendingRequest&, const Endpoint&);

// Returns when a rejected client should retry; 0 if the answer carries no such advice.
Time retryAfter(const Context&, const PendingRequest&);

}  // namespace sablespur::balancer
