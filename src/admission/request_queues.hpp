// Request queues: one request limiter for each thing that requests compete for, so that what queues for one
// does not hold up the others. Pure: no I/O and no clock.
//
// A queue stands for a group of data servers and whether its primary is needed. With one limit for all,
// writes that waited for a crowded primary held its slots, and reads that idle replicas could have served
// were rejected (docs/measurements/admission).
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

  // Shared by all keys beyond the largest number of queues.
  static constexpr QueueKey kSharedQueue = ~QueueKey{0};

  // Clients name the groups of data servers, so the number of queues is bounded: the keys beyond `maxQueues`
  // share one more. Throws std::invalid_argument without a group.
  explicit RequestQueues(RequestLimiterSettings, std::size_t maxQueues = 256);

  // As in RequestLimiter; ShareSettings::maxOpen counts over all queues.
  RequestLimiter::SubmitResult submit(Time now, RequestKey, QueueKey, std::size_t group, Time deadline);
  std::vector<ResolvedRequest> complete(Time now, RequestKey, Time latency, bool dropped);
  std::vector<ResolvedRequest> cancel(Time now, RequestKey);
  // Also removes queues that have been unused for a while.
  std::vector<ResolvedRequest> rejectOverdue(Time now);
  void reload(RequestLimiterSettings);

  // Over all queues, removed ones included.
  RequestLimiter::Counters counters(std::size_t group) const;
  std::size_t groupCount() const { return openByGroup_.size(); }
  std::size_t queueCount() const { return queues_.size(); }
  std::vector<QueueView> view() const;  // by key

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
  // Of one queue, where the limits of groups do not apply: they are checked here, over all queues.
  static RequestLimiterSettings limiterSettings(RequestLimiterSettings);

  RequestLimiterSettings settings_;
  const std::size_t maxQueues_;
  std::unordered_map<QueueKey, std::unique_ptr<Queue>> queues_;
  std::unordered_map<RequestKey, OpenRequest> requests_;
  std::vector<std::size_t> openByGroup_;                   // in flight and queued
  std::vector<RequestLimiter::Counters> removedCounters_;  // by group, of removed queues
};

}  // namespace sablespur::admission
