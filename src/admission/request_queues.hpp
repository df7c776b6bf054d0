// Request queues: a request limiter for each resource that requests compete for, so that requests
// queued for one resource do not delay requests for another. Performs no I/O and reads no clock.
//
// There is one queue per group of data servers and per kind of request: those that need the primary
// and those that do not. With a single limit, writes waiting for an overloaded primary used up the
// limit, and reads that idle replicas could have served were rejected
// (docs/measurements/admission).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "admission/request_limiter.hpp"

namespace sablespur::admission {

using QueueKey = std::uint64_t;

class RequestQueues {
 public:
  struct QueueView {
    QueueKey key;
    std::size_t limit;
    std::size_t inFlight;
    std::size_t queued;
    Time typicalLatency;
  };

  // The queue shared by all keys beyond `maxQueues`.
  static constexpr QueueKey kSharedQueue = ~QueueKey{0};

  // The number of queues is bounded because clients choose the names of the groups of data servers:
  // keys beyond `maxQueues` share one additional queue. The settings must have at least one group.
  explicit RequestQueues(RequestLimiterSettings, std::size_t maxQueues = 256);

  // See RequestLimiter. ShareSettings::maxOpen applies to all queues together.
  RequestLimiter::SubmitResult submit(Time now, RequestKey, QueueKey, std::size_t group, Time deadline);
  std::vector<ResolvedRequest> complete(Time now, RequestKey, Time latency, bool dropped);
  std::vector<ResolvedRequest> cancel(Time now, RequestKey);
  // Also removes queues that have been empty and unused for 60 s.
  std::vector<ResolvedRequest> rejectOverdue(Time now);
  void reload(RequestLimiterSettings);

  // Returns the sum over all queues, including removed ones.
  RequestLimiter::Counters counters(std::size_t group) const;
  std::size_t groupCount() const { return openByGroup_.size(); }
  std::size_t queueCount() const { return queues_.size(); }
  std::vector<QueueView> view() const;  // sorted by key

 private:
  struct Queue {
    QueueKey key;
    RequestLimiter limiter;
    Time lastUsed{};
  };
  struct OpenRequest {
    Queue* queue;
    std::size_t group;
  };

  Queue& queueFor(Time now, QueueKey);
  void forget(RequestKey);
  void forgetRejected(const std::vector<ResolvedRequest>&);
  // Returns the settings of a single queue, without maxOpen, which is checked here for all queues.
  static RequestLimiterSettings limiterSettings(RequestLimiterSettings);

  RequestLimiterSettings settings_;
  const std::size_t maxQueues_;
  std::unordered_map<QueueKey, std::unique_ptr<Queue>> queues_;
  std::unordered_map<RequestKey, OpenRequest> requests_;
  std::vector<std::size_t> openByGroup_;                   // in flight and queued
  std::vector<RequestLimiter::Counters> removedCounters_;  // sums over removed queues, by group
};

}  // namespace sablespur::admission
