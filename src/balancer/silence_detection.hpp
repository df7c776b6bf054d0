// Endpoints that take work and answer nothing (hung, cut off, crawling), and answers that are lost on the
// way.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// An endpoint that has answered nothing since an attempt was sent, for several usual latencies, is asked by a
// health check. If that stays unanswered too the endpoint is ejected, else that attempt alone is lost.
// Attempts that may be repeated are cancelled; their outcome brings the next attempt.
void detectSilence(Context&, Endpoint&);

}  // namespace sablespur::balancer
