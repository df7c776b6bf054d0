// Request limiter: which requests are forwarded, which wait in a short queue, and which are rejected. One
// concurrency limit, shared among groups by weight. Pure: no I/O and no clock.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "admission/concurrency_limit.hpp"
#include "admission/time.hpp"

namespace sablespur::admission {

using RequestKey = std::uint64_t;  // given by the caller, unique among the requests that are tracked

struct ShareSettings {
  double weight = 1;
  std::size_t maxOpen = 0;  // requests of the group, in flight and queued; 0: no limit of its own
};

struct RequestLimiterSettings {
  ConcurrencyLimitSettings limit;
  std::size_t maxQueued = 64;
  std::vector<ShareSettings> groups;  // at least one
  Time minRetryAfter = std::chrono::milliseconds(50);
  Time maxRetryAfter = std::chrono::seconds(2);
};

enum class RequestDecision { Admit, Queue, Reject };

enum class RequestRejection {
  GroupLimit,  // the group has as many requests open as it may
  TooLate,     // the deadline is nearer than what nearly all requests take
  QueueFull
};
constexpr std::size_t kRequestRejectionCount = 3;
// As in the status report and the log: "share", "late" or "queue".
const char* requestRejectionName(RequestRejection);

// The decision on a request that had been queued: Admit or Reject.
struct ResolvedRequest {
  RequestKey key = 0;
  RequestDecision decision = RequestDecision::Reject;
  Time retryAfter{};  // of a rejection
};

class RequestLimiter {
 public:
  struct SubmitResult {
    RequestDecision decision = RequestDecision::Reject;
    Time retryAfter{};                      // of a rejection
    std::vector<ResolvedRequest> resolved;  // other requests, queued until now
  };
  struct Counters {
    std::size_t inFlight = 0;
    std::size_t queued = 0;
    std::uint64_t admitted = 0;
    std::uint64_t enqueued = 0;
    std::array<std::uint64_t, kRequestRejectionCount> rejected{};  // by RequestRejection
  };

  // Throws std::invalid_argument without a group.
  explicit RequestLimiter(RequestLimiterSettings);

  // Decides on a new request. A group beyond the last one counts as the last one.
  SubmitResult submit(Time now, RequestKey, std::size_t group, Time deadline);
  // Counts a request that the caller rejects for a reason of its own; returns its Retry-After.
  Time reject(std::size_t group, RequestRejection reason);
  // A request that was admitted has ended (see ConcurrencyLimit::recordCompletion), or one was cancelled by
  // its client. Unknown keys are ignored. Returns the queued requests that this decides.
  std::vector<ResolvedRequest> complete(Time now, RequestKey, Time latency, bool dropped);
  std::vector<ResolvedRequest> cancel(Time now, RequestKey);
  // Rejects what is queued and can no longer be on time; to be called at intervals.
  std::vector<ResolvedRequest> rejectOverdue(Time now);
  // New shares and bounds. Requests stay with their group by index, and the concurrency limit keeps its
  // settings and what it has learned. Throws std::invalid_argument without a group.
  void reload(RequestLimiterSettings);

  std::size_t inFlight() const { return inFlight_; }
  std::size_t queued() const { return queued_; }
  std::size_t limit() const { return limit_.value(); }
  Time typicalLatency() const { return limit_.typicalLatency(); }
  std::size_t groupCount() const { return groups_.size(); }
  Counters counters(std::size_t group) const;

 private:
  struct QueuedRequest {
    RequestKey key;
    Time deadline;
  };
  struct Group {
    ShareSettings settings;
    std::size_t inFlight = 0;
    std::deque<QueuedRequest> queue;
    Counters counters;  // without the two gauges, which are the members above
  };
  struct TrackedRequest {
    std::size_t group;
    bool inFlight;
  };

  void admit(RequestKey, std::size_t group);
  void enqueue(RequestKey, std::size_t group, Time deadline);
  void admitQueued(std::vector<ResolvedRequest>&);  // as many as the limit allows
  void rejectLate(Time now, std::vector<ResolvedRequest>&);
  bool makeRoomInQueue(Time now, const Group& newcomer, std::vector<ResolvedRequest>&);
  Group* nextToServe();
  Group& longestQueue(const Group& newcomer);
  void removeFromQueue(Group&, RequestKey);
  ResolvedRequest rejectQueued(RequestKey, RequestRejection);
  Time nextRetryAfter();

  RequestLimiterSettings settings_;
  ConcurrencyLimit limit_;
  std::vector<Group> groups_;
  std::unordered_map<RequestKey, TrackedRequest> requests_;  // in flight and queued
  std::size_t inFlight_ = 0;
  std::size_t queued_ = 0;
  std::size_t lastAdmittedGroup_ = 0;  // among equal shares the next group in order is served first
  std::uint64_t rejectedInARow_ = 0;   // since the queue was last empty
};

}  // namespace sablespur::admission
