// The engine as the balancer's ActionSink: decisions are recorded here and carried out at the end of the
// turn.
#include "engine/engine.hpp"
#include "engine/engine_trace.hpp"

namespace sablespur {

void Engine::send(RequestId id, EndpointId endpoint, Time until) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;  // answered already
  PendingRequest& request = it->second;
  const int attempt = static_cast<int>(request.attempts.size());
  request.attempts.push_back({endpoint, now_});
  trace::attemptSent(id, attempt, endpoints_, endpoint);
  actions_.emplace_back([this, id, attempt, endpoint, until, message = request.message] {
    if (attemptObserver_) attemptObserver_->attemptSent(id, attempt, endpointName(endpoint));
    backend_->send(id, attempt, endpoint, until, message);
  });
}

void Engine::reject(RequestId id, Time retryAfter) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  trace::requestRejected(id, retryAfter);
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
  actions_.emplace_back([this, id, attempt] { backend_->cancel(id, attempt); });
}

void Engine::scheduleTimer(Time in, std::uint64_t token) { timers_.push({now_ + in, ++lastTimer_, token}); }

void Engine::startHealthCheck(EndpointId endpoint) {
  trace::healthCheckSent(endpoints_, endpoint);
  healthCheckSentAt_[endpoint] = now_;
  actions_.emplace_back([this, endpoint] { backend_->startHealthCheck(endpoint); });
}

void Engine::subscribe() {
  trace::discoveryWatchOpened(generation_);
  actions_.emplace_back([this] { discovery_->watch(generation_); });
}

}  // namespace sablespur
