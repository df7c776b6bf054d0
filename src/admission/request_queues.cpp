#include "admission/request_queues.hpp"

#include <algorithm>

namespace sablespur::admission {
namespace {

// How long an empty queue may be unused before it is removed.
constexpr Time kUnusedQueueLifetime = std::chrono::seconds(60);

void add(RequestLimiter::Counters& sum, const RequestLimiter::Counters& counters) {
  sum.inFlight += counters.inFlight;
  sum.queued += counters.queued;
  sum.admitted += counters.admitted;
  sum.enqueued += counters.enqueued;
  for (std::size_t k = 0; k < kRequestRejectionCount; ++k) sum.rejected[k] += counters.rejected[k];
}

}  // namespace

RequestLimiterSettings RequestQueues::limiterSettings(RequestLimiterSettings settings) {
  for (ShareSettings& share : settings.groups) share.maxOpen = 0;
  return settings;
}

RequestQueues::RequestQueues(RequestLimiterSettings settings, std::size_t maxQueues)
    : settings_(std::move(settings)),
      maxQueues_(maxQueues),
      openByGroup_(settings_.groups.size()),
      removedCounters_(settings_.groups.size()) {}

RequestQueues::Queue& RequestQueues::queueFor(Time now, QueueKey key) {
  auto it = queues_.find(key);
  if (it == queues_.end() && queues_.size() >= maxQueues_) {
    key = kSharedQueue;
    it = queues_.find(key);
  }
  if (it == queues_.end()) {
    Queue queue{key, RequestLimiter(limiterSettings(settings_)), now};
    it = queues_.emplace(key, std::make_unique<Queue>(std::move(queue))).first;
  }
  it->second->lastUsed = now;
  return *it->second;
}

void RequestQueues::forget(RequestKey key) {
  const auto it = requests_.find(key);
  if (it == requests_.end()) return;
  --openByGroup_[it->second.group];
  requests_.erase(it);
}

void RequestQueues::forgetRejected(const std::vector<ResolvedRequest>& resolved) {
  for (const ResolvedRequest& request : resolved)
    if (request.decision == RequestDecision::Reject) forget(request.key);
}

RequestLimiter::SubmitResult RequestQueues::submit(Time now, RequestKey key, QueueKey queueKey,
                                                   std::size_t group, Time deadline) {
  group = std::min(group, openByGroup_.size() - 1);
  Queue& queue = queueFor(now, queueKey);
  const std::size_t maxOpen = settings_.groups[group].maxOpen;
  if (maxOpen > 0 && openByGroup_[group] >= maxOpen) {
    RequestLimiter::SubmitResult rejected;
    rejected.retryAfter = queue.limiter.reject(group, RequestRejection::GroupLimit);
    return rejected;
  }
  RequestLimiter::SubmitResult result = queue.limiter.submit(now, key, group, deadline);
  if (result.decision != RequestDecision::Reject) {
    requests_.emplace(key, OpenRequest{&queue, group});
    ++openByGroup_[group];
  }
  forgetRejected(result.resolved);
  return result;
}

std::vector<ResolvedRequest> RequestQueues::complete(Time now, RequestKey key, Time latency, bool dropped) {
  const auto it = requests_.find(key);
  if (it == requests_.end()) return {};
  Queue& queue = *it->second.queue;
  queue.lastUsed = now;
  forget(key);
  std::vector<ResolvedRequest> resolved = queue.limiter.complete(now, key, latency, dropped);
  forgetRejected(resolved);
  return resolved;
}

std::vector<ResolvedRequest> RequestQueues::cancel(Time now, RequestKey key) {
  const auto it = requests_.find(key);
  if (it == requests_.end()) return {};
  Queue& queue = *it->second.queue;
  forget(key);
  std::vector<ResolvedRequest> resolved = queue.limiter.cancel(now, key);
  forgetRejected(resolved);
  return resolved;
}

std::vector<ResolvedRequest> RequestQueues::rejectOverdue(Time now) {
  std::vector<ResolvedRequest> resolved;
  auto it = queues_.begin();
  while (it != queues_.end()) {
    Queue& queue = *it->second;
    const std::vector<ResolvedRequest> overdue = queue.limiter.rejectOverdue(now);
    resolved.insert(resolved.end(), overdue.begin(), overdue.end());
    const bool empty = queue.limiter.inFlight() + queue.limiter.queued() == 0;
    if (!empty || now - queue.lastUsed < kUnusedQueueLifetime) {
      ++it;
      continue;
    }
    for (std::size_t k = 0; k < removedCounters_.size(); ++k)
      add(removedCounters_[k], queue.limiter.counters(k));
    it = queues_.erase(it);
  }
  forgetRejected(resolved);
  return resolved;
}

void RequestQueues::reload(RequestLimiterSettings settings) {
  settings.limit = settings_.limit;
  settings_ = std::move(settings);
  const std::size_t last = settings_.groups.size() - 1;
  std::vector<RequestLimiter::Counters> removed(settings_.groups.size());
  for (std::size_t k = 0; k < removedCounters_.size(); ++k)
    add(removed[std::min(k, last)], removedCounters_[k]);
  removedCounters_ = std::move(removed);
  openByGroup_.assign(settings_.groups.size(), 0);
  for (auto& [key, request] : requests_) {
    request.group = std::min(request.group, last);
    ++openByGroup_[request.group];
  }
  for (const auto& [key, queue] : queues_) queue->limiter.reload(limiterSettings(settings_));
}

RequestLimiter::Counters RequestQueues::counters(std::size_t group) const {
  RequestLimiter::Counters sum = removedCounters_[group];
  for (const auto& [key, queue] : queues_) add(sum, queue->limiter.counters(group));
  return sum;
}

std::vector<RequestQueues::QueueView> RequestQueues::view() const {
  std::vector<QueueView> views;
  views.reserve(queues_.size());
  for (const auto& [key, queue] : queues_) {
    const RequestLimiter& limiter = queue->limiter;
    views.push_back({key, limiter.limit(), limiter.inFlight(), limiter.queued(), limiter.typicalLatency()});
  }
  std::sort(views.begin(), views.end(), [](const QueueView& a, const QueueView& b) { return a.key < b.key; });
  return views;
}

}  // namespace sablespur::admission
