// Request limiter: decides which requests are forwarded, which wait in a short queue, and which are
// rejected. Groups share one concurrency limit by weight. Performs no I/O and reads no clock.
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

using RequestKey = std::uint64_t;  // chosen by the caller, unique among the tracked requests

struct ShareSettings {
  double weight = 1;
  std::size_t maxOpen = 0;  // limit on the group's requests, in flight and queued; 0: unlimited
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
  GroupLimit,  // the group has reached ShareSettings::maxOpen
  TooLate,     // the time left until the deadline is within ConcurrencyLimit::latencyUpperBound
  QueueFull
};
constexpr std::size_t kRequestRejectionCount = 3;
// Returns the name written in the status report and the log: "share", "late" or "queue".
const char* requestRejectionName(RequestRejection);

// The decision on a request that had been queued: Admit or Reject.
struct ResolvedRequest {
  RequestKey key = 0;
  RequestDecision decision = RequestDecision::Reject;
  Time retryAfter{};  // if rejected
};

class RequestLimiter {
 public:
  struct SubmitResult {
    RequestDecision decision = RequestDecision::Reject;
    Time retryAfter{};                      // if rejected
    std::vector<ResolvedRequest> resolved;  // other requests, which had been queued
  };
  struct Counters {
    std::size_t inFlight = 0;
    std::size_t queued = 0;
    std::uint64_t admitted = 0;
    std::uint64_t enqueued = 0;
    std::array<std::uint64_t, kRequestRejectionCount> rejected{};  // by RequestRejection
  };

  // Throws std::invalid_argument if there is no group.
  explicit RequestLimiter(RequestLimiterSettings);

  // Decides on a new request. A group index beyond the last group means the last group.
  SubmitResult submit(Time now, RequestKey, std::size_t group, Time deadline);
  // Counts a request that the caller rejects itself, and returns its retry delay.
  Time reject(std::size_t group, RequestRejection reason);
  // Called when an admitted request ends (see ConcurrencyLimit::recordCompletion), or when a client
  // has cancelled an admitted or queued one. Unknown keys are ignored. Returns the queued requests
  // that are admitted or rejected as a result.
  std::vector<ResolvedRequest> complete(Time now, RequestKey, Time latency, bool dropped);
  std::vector<ResolvedRequest> cancel(Time now, RequestKey);
  // Rejects the queued requests that can no longer meet their deadline. Must be called at regular
  // intervals.
  std::vector<ResolvedRequest> rejectOverdue(Time now);
  // Applies new weights and limits. Requests stay with their group by index; the concurrency limit
  // keeps its settings and its state. Throws std::invalid_argument if there is no group.
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
    Counters counters;  // inFlight and queued are unused here: see the members above
  };
  struct TrackedRequest {
    std::size_t group;
    bool inFlight;
  };

  void admit(RequestKey, std::size_t group);
  void enqueue(RequestKey, std::size_t group, Time deadline);
  void admitQueued(std::vector<ResolvedRequest>&);  // as many as the concurrency limit allows
  void rejectLate(Time now, std::vector<ResolvedRequest>&);
  bool makeRoomInQueue(Time now, const Group& submitter, std::vector<ResolvedRequest>&);
  Group* nextGroupToAdmit();
  Group& groupWithLongestQueue(const Group& submitter);
  void removeFromQueue(Group&, RequestKey);
  ResolvedRequest rejectQueued(RequestKey, RequestRejection);
  Time nextRetryAfter();

  RequestLimiterSettings settings_;
  ConcurrencyLimit limit_;
  std::vector<Group> groups_;
  std::unordered_map<RequestKey, TrackedRequest> requests_;  // in flight and queued
  std::size_t inFlight_ = 0;
  std::size_t queued_ = 0;
  std::size_t lastAdmittedGroup_ = 0;  // groups with equal shares take turns, starting after this one
  std::uint64_t rejectedInARow_ = 0;   // since the queue was last empty
};

}  // namespace sablespur::admission
