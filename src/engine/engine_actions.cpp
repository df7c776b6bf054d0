// The engine as the balancer's ActionSink: records each decision, to be executed at the end of the
// turn.
#include "engine/engine.hpp"
#include "engine/engine_trace.hpp"

namespace sablespur {

void Engine::send(RequestId id, EndpointId endpoint, Time until) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;  // already answered
  PendingRequest& request = it->second;
  const int attempt = static_cast<int>(request.attempts.size());
  request.attempts.push_back({endpoint, now_});
  trace::attemptSent(id, attempt, endpoints_, endpoint);
  recordSend(id, endpoint, attempt == 0 ? "first_attempt" : "retry");
  actions_.emplace_back([this, id, attempt, endpoint, until, message = request.message] {
    if (collaborators_.attempts) collaborators_.attempts->attemptSent(id, attempt, endpointName(endpoint));
    collaborators_.backend->send(id, attempt, endpoint, until, message);
  });
}

void Engine::reject(RequestId id, Time retryAfter) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  trace::requestRejected(id, retryAfter);
  listLimit_.requestRejected(now_);
  if (ResponseHandler* const handler = it->second.handler)
    actions_.emplace_back([handler, retryAfter] { handler->rejected(retryAfter); });
  requests_.erase(it);
}

void Engine::fail(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  trace::requestFailed(id);
  if (ResponseHandler* const handler = it->second.handler)
    actions_.emplace_back([handler] { handler->failed(); });
  requests_.erase(it);
}

void Engine::cancel(RequestId id, int attempt) {
  actions_.emplace_back([this, id, attempt] { collaborators_.backend->cancel(id, attempt); });
}

void Engine::scheduleTimer(Time in, std::uint64_t token) { timers_.schedule(now_ + in, token); }

void Engine::startHealthCheck(EndpointId endpoint) {
  trace::healthCheckSent(endpoints_, endpoint);
  if (auto* const registered = endpoints_.find(endpoint)) registered->healthCheckSentAt = now_;
  actions_.emplace_back([this, endpoint] { collaborators_.backend->startHealthCheck(endpoint); });
}

void Engine::subscribe() {
  actions_.emplace_back([this] { collaborators_.discovery->watch(list_.generation); });
}

}  // namespace sablespur
