#include "balancer/retry_policy.hpp"

#include <algorithm>

namespace sablespur::balancer {

bool mayHaveRun(AttemptResult result) {
  switch (result) {
    case AttemptResult::Rejected:
    case AttemptResult::ConnectFailed:
    case AttemptResult::NotSent:
    case AttemptResult::TooStale:
      return false;
    default:
      return true;
  }
}

bool repeatIsSafe(const Context& context, const PendingRequest& pending) {
  if (!pending.possibleExecution) return true;
  const ClassSettings& settings = context.classOf(pending);
  if (settings.idempotency == Idempotency::Idempotent) return true;
  return settings.idempotency == Idempotency::WithKey &&
         context.now < pending.possibleExecution->sentAt + settings.deduplicationWindow;
}

bool mayAttempt(Context& context, const PendingRequest& pending, const Endpoint& endpoint) {
  const std::vector<EndpointId>& tried = pending.tried;
  if (std::find(tried.begin(), tried.end(), endpoint.listed.id) != tried.end()) return false;
  if (!repeatIsSafe(context, pending)) return false;
  const ClassSettings& settings = context.classOf(pending);
  if (!pending.possibleExecution || settings.idempotency == Idempotency::Idempotent) return true;
  const EndpointId firstId = pending.possibleExecution->endpoint;
  const Endpoint* const first = context.findEndpoint(firstId);
  // The endpoint of the possible execution is unknown. If it belongs to an earlier request with the
  // same key (id 0), it certainly ran in this group, though perhaps in another zone.
  if (!first) return firstId == 0 && settings.idempotencyScope != IdempotencyScope::Zone;
  switch (settings.idempotencyScope) {
    case IdempotencyScope::All:
      return true;
    case IdempotencyScope::Zone:
      return first->listed.zone == endpoint.listed.zone;
    case IdempotencyScope::Group:
      return first->listed.group == endpoint.listed.group;
  }
  return false;
}

bool rejectionIsSafe(const Context& context, const PendingRequest& pending) {
  if (!pending.possibleExecution && pending.outstanding == 0) return true;
  const ClassSettings& settings = context.classOf(pending);
  return settings.idempotency == Idempotency::Idempotent ||
         (settings.idempotency == Idempotency::WithKey && settings.idempotencyScope == IdempotencyScope::All);
}

}  // namespace sablespur::balancer
