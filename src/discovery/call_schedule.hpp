// When the registry is called, and which calls stay open, so that the list of servers is confirmed in time
// whatever one call does. Pure: no I/O, no clock.
//
// The deadline belongs to the list, not to a call: what the registry has to tell counts as told 6 s after a
// watch has fallen silent, so the list's age decides when a further call is made. A call that is only slow
// stays open, since the registry works through its calls one at a time, and whoever gives up its place and
// asks again waits longer and makes all others wait. kMaxCalls bounds what one proxy has open.
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
  Retry,        // the last one has ended
  WatchSilent,  // the watch brings nothing any more
  ListOverdue,  // a call is out, and the list grows too old to wait for it alone
  Moved         // the registry is at another address now
};
const char* toString(CallReason);

// Why the schedule wants a call closed.
enum class CloseReason {
  Superseded,  // another call has brought the list
  Silent,      // its response has begun and does not go on
  Unanswered,  // nothing has come for very long
  MakesRoom    // for a further call
};
const char* toString(CloseReason);

class CallSchedule {
 public:
  using Time = std::chrono::microseconds;
  using CallId = std::uint64_t;

  // An idle watch brings an empty line every 2 s. One that has brought nothing for so long counts as silent.
  static constexpr Time kWatchSilence = std::chrono::milliseconds(2400);
  // Ages of the list at which a second and a third call are made beside one that is out. The second is early
  // enough to be repeated before the 6 s are over.
  static constexpr Time kSecondCallAge = std::chrono::milliseconds(4000);
  static constexpr Time kThirdCallAge = std::chrono::milliseconds(5200);
  // How long one call is waited for before a second one is made: a crowded registry turns calls away after 2
  // s, and further calls would only add to its crowd. Longer where it has been seen to take longer.
  static constexpr Time kMinAnswerWait = std::chrono::milliseconds(2100);
  // Between the second and the third, where the registry has answered nothing: two calls seem to be lost.
  static constexpr Time kCallSpacing = std::chrono::milliseconds(1200);
  // The same once that is over: the registry cannot be reached, or is crowded. Below 6 s, so that it is
  // asked within 6 s of its return.
  static constexpr Time kLateCallSpacing = std::chrono::milliseconds(3500);
  // A call that is made at this age of the list may still be in time, as the grace is added to the 6 s.
  static constexpr Time kLastCallAge = std::chrono::milliseconds(6400);
  // A response that has begun to bring a list, and then brings nothing for so long, will not end.
  static constexpr Time kResponseSilence = std::chrono::milliseconds(3000);
  // A call that has brought nothing keeps its place in the registry's queue for so long.
  static constexpr Time kPatience = std::chrono::seconds(60);
  // From the opening of a call that has failed to that of the next one.
  static constexpr Time kMinBackoff = std::chrono::milliseconds(200);
  static constexpr Time kMaxBackoff = std::chrono::milliseconds(600);
  // At least so long after the end of the one that has failed.
  static constexpr Time kMinPause = std::chrono::milliseconds(100);
  // Open at once, a silent watch and one at a former address included.
  static constexpr std::size_t kMaxCalls = 4;

  struct Closing {
    CallId call;
    CloseReason reason;
  };
  struct Decision {
    std::vector<Closing> close;  // first
    std::optional<CallReason> open;
  };

  explicit CallSchedule(std::uint64_t seed) : random_(seed) {}

  // The list is to be followed from now on. Without effect after the first time.
  void start(Time now);
  // The registry is at another address. A watch that works goes on until a call there has brought a list.
  void moved(Time now);

  // What happened to calls; ids that are not open are ignored.
  void opened(Time now, CallId);
  void progressed(Time now, CallId);  // bytes came that are part of a response with a list
  void confirmed(Time now, CallId);   // a list came whole, or the line that says that nothing has changed
  void outdated(Time now, CallId);    // its list was older than what is known
  // What a call that has ended had brought.
  struct Ending {
    bool isAnswered = false;  // a response, with whatever status
    std::optional<Time> retryAfter;
  };
  void ended(Time now, CallId, const Ending&);
  void closed(CallId);  // by the caller, for want of a descriptor

  // What is to be done now; to be asked until nothing is opened. What it closes, it has forgotten.
  Decision decide(Time now);
  // When decide() will have something to do if nothing happens before; empty before start().
  std::optional<Time> nextDeadline() const;

  // When the list was last known to be up to date; empty before the first time.
  std::optional<Time> confirmedAt() const { return confirmedAt_; }
  std::size_t openCalls() const { return calls_.size(); }
  // A call to make room for another: of use where there is no descriptor left.
  std::optional<CallId> leastUsefulCall() const;

 private:
  enum class Phase {
    Waiting,    // nothing has come
    Receiving,  // a response has begun, its first list has not ended
    Following   // a list has come
  };
  struct Call {
    CallId id = 0;
    Time openedAt{};
    Time progressAt{};  // when it last brought something that counts
    Phase phase = Phase::Waiting;
    bool isOutdated = false;
    bool isElsewhere = false;  // at a former address
    bool isOvertaken = false;  // a later call has been answered before it: it seems to be lost
  };

  Call* find(CallId);
  void close(Decision&, std::size_t index, CloseReason);
  void closeHopeless(Time now, Decision&);
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
  std::vector<Call> calls_;  // in the order of their opening
  bool started_ = false;
  bool hasCalled_ = false;  // at this address
  bool hasMoved_ = false;
  std::optional<CallId> winner_;  // has just brought its first list
  Time unconfirmedSince_{};       // the list's last confirmation, or the start, or the move
  std::optional<Time> confirmedAt_;
  Time notBefore_{};  // after a failure
  Time lastOpenedAt_{};
  Time backoff_ = kMinBackoff;
  Time longestAnswer_{};        // that a call has waited for; at most kLateCallSpacing
  bool answeredSince_ = false;  // the registry has turned a call away since the list was last confirmed
  std::uint64_t openings_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace sablespur
