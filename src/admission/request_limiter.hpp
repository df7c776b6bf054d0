// Which requests go on, which wait for a moment, and which are told to come back: one limit for all, shared
// by weight among groups, before a short queue. Free of I/O and clocks.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/concurrency_limit.hpp"

namespace sablespur::admission {

using RequestKey = std::uint64_t;  // never 0

struct ShareSettings {
  double weight = 1;
  std::size_t maxOpen = 0;  // requests, waiting ones included; 0: no bound of its own
};

struct RequestLimiterSettings {
  ConcurrencyLimitSettings limit;
  std::size_t maxQueued = 64;
  std::vector<ShareSettings> groups;
  Time minRetryAfter = std::chrono::milliseconds(50), maxRetryAfter = std::chrono::seconds(2);
};

enum class RequestDecision { Admit, Queue, Reject };
enum class RequestRejection {
  Share,
  Late,
  Queue
};  // why: its group's cap, no time left for it, no room to wait
constexpr std::size_t kRequestRejectionCount = 3;
const char* requestRejectionName(RequestRejection);

struct ResolvedRequest {
  RequestKey key = 0;
  RequestDecision decision = RequestDecision::Reject;  // Go or Refuse
  Time retryAfter{};                                   // of Refuse
};

class RequestLimiter {
 public:
  explicit RequestLimiter(RequestLimiterSettings);

  // What becomes of a request. Others that have to give way to it are in `others`.
  struct SubmitResult {
    RequestDecision decision = RequestDecision::Reject;
    Time retryAfter{};
    std::vector<ResolvedRequest> resolved;
  };
  SubmitResult submit(Time now, RequestKey, std::size_t group, Time deadline);
  // One that is turned away for a reason of the caller's: counted, and when to come back.
  Time reject(std::size_t group, RequestRejection why) {
    ++groups_[group].count.rejected[static_cast<std::size_t>(why)];
    return comeBack();
  }
  // One that went on has ended, or its client has left. Those that may go now, and those that can no longer
  // be on time.
  std::vector<ResolvedRequest> complete(Time now, RequestKey, Time latency, bool dropped);
  std::vector<ResolvedRequest> cancel(Time now, RequestKey);
  // Those waiting that can no longer be on time; to be asked now and then.
  std::vector<ResolvedRequest> rejectOverdue(Time now);

  std::size_t inFlight() const { return out_; }
  std::size_t queued() const { return waiting_; }
  std::size_t limit() const { return limit_.value(); }
  Time typicalLatency() const { return limit_.typicalLatency(); }
  struct Counters {
    std::size_t inFlight = 0, queued = 0;
    std::uint64_t admitted = 0, enqueued = 0;
    std::array<std::uint64_t, kRequestRejectionCount> rejected{};  // by Turned
  };
  Counters counters(std::size_t group) const;
  std::size_t groupCount() const { return groups_.size(); }
  // New shares and bounds while it runs; what is out or waits stays with its group by number, and what the
  // limit has learned stays.
  void reload(RequestLimiterSettings);

 private:
  struct Waiting {
    RequestKey key;
    Time deadline;
  };
  struct Group {
    ShareSettings settings;
    std::size_t out = 0;
    std::deque<Waiting> waiting;
    Counters count;
  };
  struct Open {
    std::size_t group;
    bool out;
  };
  void go(RequestKey, std::size_t group);
  void take(std::vector<ResolvedRequest>&);            // as many as there is room for
  void drop(Time now, std::vector<ResolvedRequest>&);  // what can no longer be on time
  ResolvedRequest refuse(RequestKey, RequestRejection);
  Time comeBack();
  double share(const Group& g, std::size_t extra) const;

  RequestLimiterSettings s_;
  ConcurrencyLimit limit_;
  std::vector<Group> groups_;
  std::unordered_map<RequestKey, Open> open_;
  std::size_t out_ = 0, waiting_ = 0;
  std::size_t last_ = 0;       // the group that went last: the next one goes first among equals
  std::uint64_t refused_ = 0;  // in a row, for when to come back
};

}  // namespace sablespur::admission
