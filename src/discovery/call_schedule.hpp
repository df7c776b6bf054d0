// Decides when the registry is called and which calls stay open, so that the endpoint list is
// confirmed in time even if a single call is slow, fails or is lost. Pure: no I/O, no clock.
//
// The deadline applies to the list, not to a call: a proxy is expected to know any change that the
// registry holds 6 s after its watch stopped delivering, so the age of the list decides when
// another call is made. A slow call stays open: the registry serves its calls one at a time, so
// closing a call and calling again loses the place in its queue and lengthens the queue for all
// proxies. kMaxCalls limits the open calls of one proxy.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/local_hash.hpp"

namespace sablespur {

// Why a call is made.
enum class CallReason {
  FirstCall,
  Retry,          // the previous call has ended
  WatchSilent,    // the watch has stopped delivering lists and empty lines
  ListOverdue,    // a call is outstanding, but the list is too old to wait for it alone
  AddressChanged  // the address of the registry has changed
};
const char* toString(CallReason);

// Why the schedule closes a call.
enum class CloseReason {
  Superseded,  // another call has delivered a list
  Silent,      // its response began, then stalled for kResponseSilence
  Unanswered,  // no response within kAnswerTimeout
  Evicted      // closed to stay within kMaxCalls or to free a descriptor
};
const char* toString(CloseReason);

class CallSchedule {
 public:
  using Time = std::chrono::microseconds;
  using CallId = std::uint64_t;

  // A watch that has delivered nothing for this time counts as silent. An idle watch delivers an
  // empty line every 2 s.
  static constexpr Time kWatchSilence = std::chrono::milliseconds(2400);
  // Ages of the list at which a second and a third call are made in parallel with an outstanding
  // one. The second call is early enough to be repeated within the 6 s.
  static constexpr Time kSecondCallAge = std::chrono::milliseconds(4000);
  static constexpr Time kThirdCallAge = std::chrono::milliseconds(5200);
  // Minimum wait for one call before a second one is made: an overloaded registry rejects calls
  // after 2 s, and further calls would only add to its load. The wait grows with the answer times
  // observed.
  static constexpr Time kMinAnswerWait = std::chrono::milliseconds(2100);
  // Time between the second and the third call if the registry has not answered at all: both calls
  // are then probably lost.
  static constexpr Time kCallSpacing = std::chrono::milliseconds(1200);
  // Time between further calls once the list is overdue: the registry is unreachable or overloaded.
  // Below 6 s, so that it is called within 6 s of its recovery.
  static constexpr Time kLateCallSpacing = std::chrono::milliseconds(3500);
  // Latest age of the list at which another call may still confirm it in time: the grace period is
  // added to the 6 s.
  static constexpr Time kLastCallAge = std::chrono::milliseconds(6400);
  // A response that has begun but then delivers nothing for this time is treated as stalled.
  static constexpr Time kResponseSilence = std::chrono::milliseconds(3000);
  // A call without any response stays open for this time, which preserves its place in the
  // registry's queue.
  static constexpr Time kAnswerTimeout = std::chrono::seconds(60);
  // Backoff, measured from the opening of a failed call to the opening of the next one.
  static constexpr Time kMinBackoff = std::chrono::milliseconds(200);
  static constexpr Time kMaxBackoff = std::chrono::milliseconds(600);
  // Minimum time between the end of a failed call and the opening of the next one.
  static constexpr Time kMinPause = std::chrono::milliseconds(100);
  // Maximum number of open calls, including silent watches and calls to a former address.
  static constexpr std::size_t kMaxCalls = 4;

  struct Closing {
    CallId call;
    CloseReason reason;
  };
  struct Decision {
    std::vector<Closing> close;      // to be closed before a call is opened
    std::optional<CallReason> open;  // `std::nullopt` when no call is to be opened
  };

  explicit CallSchedule(std::uint64_t seed) : random_(seed) {}

  // Starts following the list. Further calls have no effect.
  void start(Time now);
  // The address of the registry has changed. Calls to the former address stay open until a call to
  // the new one has delivered a list.
  void addressChanged(Time now);

  // Events of calls. Ids of calls that are not open are ignored.
  void opened(Time now, CallId);
  void progressed(Time now, CallId);  // received bytes of a response that contains a list
  void confirmed(Time now, CallId);   // received a complete list, or the empty line for "unchanged"
  void outdated(Time now, CallId);    // received a list older than the known one
  // What a call received before it ended.
  struct Ending {
    bool isAnswered = false;  // a response, with any status
    std::optional<Time> retryAfter;
  };
  void ended(Time now, CallId, const Ending&);
  void closed(CallId);  // closed by the user of the schedule, to free a descriptor

  // Returns what to do now. To be repeated until it opens no call. The calls to be closed are no
  // longer tracked by the schedule.
  Decision decide(Time now);
  // Returns when decide() is next due if no event happens before; `std::nullopt` before start().
  std::optional<Time> nextDeadline() const;

  // Returns when the list was last known to be up to date; `std::nullopt` if never.
  std::optional<Time> confirmedAt() const { return confirmedAt_; }
  // Whether a watch is open that would have delivered any change until now.
  bool isFollowing(Time now) const;
  std::size_t openCalls() const { return calls_.size(); }
  // Returns the call to close if a new call needs its descriptor; `std::nullopt` if none is open.
  std::optional<CallId> leastUsefulCall() const;

 private:
  enum class Phase {
    Waiting,    // no response yet
    Receiving,  // the response has begun, its first list is incomplete
    Following   // a complete list has been received
  };
  struct Call {
    CallId id = 0;
    Time openedAt{};
    Time progressAt{};  // when it last received part of a list, or an empty line
    Phase phase = Phase::Waiting;
    bool isOutdated = false;
    bool isAtFormerAddress = false;
    bool isPresumedLost = false;  // a call opened later was answered first
  };

  Call* find(CallId);
  void close(Decision&, std::size_t index, CloseReason);
  void closeTimedOut(Time now, Decision&);
  void closeSuperseded(Decision&);
  bool mayAnswer(const Call&) const;
  std::size_t callsThatMayAnswer() const;
  const Call* followedCall() const;
  Time nextOpening() const;
  Time nextFurtherOpening(std::size_t outstanding) const;
  std::size_t leastUsefulIndex() const;
  CallReason reasonToOpen() const;
  void recordAnswerTime(Time now, const Call&);
  Time answerWait() const;
  Time nextBackoff();
  Time jittered(Time, double share, std::uint64_t salt, std::uint64_t count) const;

  const balancer::LocalHash random_;
  std::vector<Call> calls_;  // ordered by opening time
  bool started_ = false;
  bool hasCalled_ = false;  // at the present address
  bool addressChanged_ = false;
  std::optional<CallId> newlyFollowed_;  // received its first list; supersedes the others
  Time unconfirmedSince_{};              // last confirmation, start() or addressChanged()
  std::optional<Time> confirmedAt_;
  Time earliestOpening_{};  // backoff after a failure
  Time lastOpenedAt_{};
  Time backoff_ = kMinBackoff;
  Time longestAnswer_{};                    // longest observed; at most kLateCallSpacing
  bool answeredSinceConfirmation_ = false;  // a call ended with a response since then
  std::uint64_t openings_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace sablespur
