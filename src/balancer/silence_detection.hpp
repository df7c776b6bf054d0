// Silence detection: finds endpoints that accept requests but do not answer (hung, partitioned,
// very slow), and answers that are lost on the way.
#pragma once

#include "balancer/context.hpp"

namespace sablespur::balancer {

// Checks the attempts in flight at the endpoint for silence. If the endpoint has answered nothing
// since an attempt was sent, for several usual latencies, a health check is started. If that stays
// unanswered too, the endpoint is ejected; otherwise only the attempt counts as lost. Where no
// health check is possible, the endpoint is ejected at once. Lost attempts of requests that may be
// repeated are cancelled; the outcome of the cancelled attempt triggers the next one.
void detectSilence(Context&, Endpoint&);

}  // namespace sablespur::balancer
