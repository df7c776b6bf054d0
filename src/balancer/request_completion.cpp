#include "balancer/request_completion.hpp"

#include "balancer/load_shedding.hpp"
#include "balancer/retry_policy.hpp"

namespace sablespur::balancer {

void finishUnserved(Context& context, PendingRequest& pending) {
  const RequestId id = pending.request.id;
  if (rejectionIsSafe(context, pending))
    context.sink.reject(id, retryAfter(context, pending));
  else
    context.sink.fail(id);
  closeRequest(context, pending);
}

void closeRequest(Context& context, PendingRequest& pending) {
  const RequestId id = pending.request.id;
  PrimaryDiscovery& discovery = context.groups[pending.request.group].discovery;
  if (discovery.write == id) discovery.write = 0;
  if (context.settings.cancelAllowed) {
    for (std::size_t k = 0; k < pending.attempts.size(); ++k) {
      const Attempt& attempt = pending.attempts[k];
      if (attempt.inFlight && !attempt.cancelled) context.sink.cancel(id, static_cast<int>(k));
    }
  }
  context.requests.erase(id);
}

}  // namespace sablespur::balancer
