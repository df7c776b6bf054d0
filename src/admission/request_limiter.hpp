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
  std::size_t mostOpen = 0;  // requests, waiting ones included; 0: no bound of its own
};

struct RequestLimiterSettings {
  ConcurrencyLimitSettings limit;
  std::size_t mostWaiting = 64;
  std::vector<ShareSettings> groups;
  Time comeBackLeast = std::chrono::milliseconds(50), comeBackMost = std::chrono::seconds(2);
};

enum class RequestDecision { Admit, Queue, Reject };
enum class RequestRejection {
  Share,
  Late,
  Queue
};  // why: its group's cap, no time left for it, no room to wait
constexpr std::size_t kTurned = 3;
const char* turnedName(RequestRejection);

struct Answered {
  RequestKey key = 0;
  RequestDecision turn = RequestDecision::Reject;  // Go or Refuse
  Time comeBack{};                                 // of Refuse
};

class RequestLimiter {
 public:
  explicit RequestLimiter(RequestLimiterSettings);

  // What becomes of a request. Others that have to give way to it are in `others`.
  struct Asked {
    RequestDecision turn = RequestDecision::Reject;
    Time comeBack{};
    std::vector<Answered> others;
  };
  Asked ask(Time now, RequestKey, std::size_t group, Time deadline);
  // One that is turned away for a reason of the caller's: counted, and when to come back.
  Time turnAway(std::size_t group, RequestRejection why) {
    ++groups_[group].count.refused[static_cast<std::size_t>(why)];
    return comeBack();
  }
  // One that went on has ended, or its client has left. Those that may go now, and those that can no longer
  // be on time.
  std::vector<Answered> ended(Time now, RequestKey, Time latency, bool dropped);
  std::vector<Answered> left(Time now, RequestKey);
  // Those waiting that can no longer be on time; to be asked now and then.
  std::vector<Answered> overdue(Time now);

  std::size_t out() const { return out_; }
  std::size_t waiting() const { return waiting_; }
  std::size_t limit() const { return limit_.value(); }
  Time usual() const { return limit_.usual(); }
  struct Count {
    std::size_t out = 0, waiting = 0;
    std::uint64_t went = 0, waited = 0;
    std::array<std::uint64_t, kTurned> refused{};  // by Turned
  };
  Count count(std::size_t group) const;
  std::size_t groups() const { return groups_.size(); }
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
    Count count;
  };
  struct Open {
    std::size_t group;
    bool out;
  };
  void go(RequestKey, std::size_t group);
  void take(std::vector<Answered>&);            // as many as there is room for
  void drop(Time now, std::vector<Answered>&);  // what can no longer be on time
  Answered refuse(RequestKey, RequestRejection);
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
