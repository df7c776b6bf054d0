#include "discovery/call_schedule.hpp"

#include <algorithm>

namespace sablespur {
namespace {

constexpr std::uint64_t kBackoffSalt = 1;
constexpr std::uint64_t kSpacingSalt = 2;
constexpr std::uint64_t kPauseSalt = 3;
constexpr double kBackoffJitter = 0.5;  // a backoff is multiplied by 0.5 to 1.5
constexpr double kSpacingJitter = 0.1;
constexpr std::size_t kMaxCallsInTime = 3;  // outstanding calls while the list is not overdue
constexpr double kAnswerMargin = 1.1;       // multiplies the longest answer time observed

}  // namespace

const char* toString(CallReason reason) {
  switch (reason) {
    case CallReason::FirstCall:
      return "first call";
    case CallReason::Retry:
      return "retry";
    case CallReason::WatchSilent:
      return "watch silent";
    case CallReason::ListOverdue:
      return "list overdue";
    case CallReason::AddressChanged:
      return "registry moved";
  }
  return "";
}

const char* toString(CloseReason reason) {
  switch (reason) {
    case CloseReason::Superseded:
      return "superseded";
    case CloseReason::Silent:
      return "silent";
    case CloseReason::Unanswered:
      return "unanswered";
    case CloseReason::Evicted:
      return "makes room";
  }
  return "";
}

// ---- events ---------------------------------------------------------------------------------------------
void CallSchedule::start(Time now) {
  if (started_) return;
  started_ = true;
  unconfirmedSince_ = now;
  earliestOpening_ = now;
}

void CallSchedule::addressChanged(Time now) {
  hasCalled_ = false;
  addressChanged_ = true;
  unconfirmedSince_ = now;
  earliestOpening_ = now;
  backoff_ = kMinBackoff;
  for (Call& call : calls_) call.isAtFormerAddress = true;
}

void CallSchedule::opened(Time now, CallId id) {
  calls_.push_back({id, now, now});
  hasCalled_ = true;
  lastOpenedAt_ = now;
  ++openings_;
}

void CallSchedule::progressed(Time now, CallId id) {
  Call* const call = find(id);
  if (!call || call->phase == Phase::Following) return;
  if (call->phase == Phase::Waiting) recordAnswerTime(now, *call);
  call->progressAt = now;
  call->phase = Phase::Receiving;
}

void CallSchedule::confirmed(Time now, CallId id) {
  Call* const call = find(id);
  if (!call) return;
  const bool isFirst = call->phase != Phase::Following;
  if (call->phase == Phase::Waiting) recordAnswerTime(now, *call);
  call->phase = Phase::Following;
  call->progressAt = now;
  if (call->isAtFormerAddress) return;
  if (call->isOutdated) return;
  if (isFirst) newlyFollowed_ = id;
  unconfirmedSince_ = now;
  confirmedAt_ = now;
  answeredSinceConfirmation_ = false;
  backoff_ = kMinBackoff;
}

void CallSchedule::outdated(Time now, CallId id) {
  Call* const call = find(id);
  if (!call) return;
  call->phase = Phase::Following;
  call->progressAt = now;
  if (call->isAtFormerAddress || call->isOutdated) return;
  call->isOutdated = true;
  earliestOpening_ = now + nextBackoff();
}

// Honours Retry-After as far as the deadline of the list allows.
void CallSchedule::ended(Time now, CallId id, const Ending& ending) {
  const auto found =
      std::find_if(calls_.begin(), calls_.end(), [id](const Call& call) { return call.id == id; });
  if (found == calls_.end()) return;
  const Call call = *found;
  calls_.erase(found);
  if (call.isAtFormerAddress) return;
  if (ending.isAnswered && call.phase == Phase::Waiting) recordAnswerTime(now, call);
  answeredSinceConfirmation_ = answeredSinceConfirmation_ || ending.isAnswered;
  for (Call& other : calls_)
    other.isPresumedLost = other.isPresumedLost || (ending.isAnswered && other.openedAt < call.openedAt);
  // The time that the failed call was open counts towards the backoff: while it waited, it spared
  // the registry other calls.
  const Time shortest = jittered(kMinPause, kBackoffJitter, kPauseSalt, failures_);
  const Time sinceOpening = call.phase == Phase::Following ? Time(0) : now - call.openedAt;
  Time pause = std::max(shortest, nextBackoff() - sinceOpening);
  if (ending.retryAfter) {
    const Time untilSecondCall = unconfirmedSince_ + kSecondCallAge - now;
    const Time longest = untilSecondCall > Time(0) ? untilSecondCall : kLateCallSpacing;
    pause = std::max(pause, std::min(*ending.retryAfter, longest));
  }
  earliestOpening_ = now + pause;
}

void CallSchedule::closed(CallId id) {
  calls_.erase(std::remove_if(calls_.begin(), calls_.end(), [id](const Call& call) { return call.id == id; }),
               calls_.end());
}

// ---- decisions ------------------------------------------------------------------------------------------
CallSchedule::Decision CallSchedule::decide(Time now) {
  Decision decision;
  if (!started_) return decision;
  closeSuperseded(decision);
  closeTimedOut(now, decision);
  if (now < nextOpening()) return decision;
  decision.open = reasonToOpen();
  if (calls_.size() >= kMaxCalls) close(decision, leastUsefulIndex(), CloseReason::Evicted);
  return decision;
}

std::optional<CallSchedule::Time> CallSchedule::nextDeadline() const {
  if (!started_) return std::nullopt;
  Time next = nextOpening();
  for (const Call& call : calls_) {
    if (call.phase == Phase::Receiving) next = std::min(next, call.progressAt + kResponseSilence);
    if (call.phase == Phase::Waiting) next = std::min(next, call.openedAt + kAnswerTimeout);
  }
  return newlyFollowed_ ? Time(0) : next;
}

std::optional<CallSchedule::CallId> CallSchedule::leastUsefulCall() const {
  if (calls_.empty()) return std::nullopt;
  return calls_[leastUsefulIndex()].id;
}

CallSchedule::Call* CallSchedule::find(CallId id) {
  const auto found =
      std::find_if(calls_.begin(), calls_.end(), [id](const Call& call) { return call.id == id; });
  return found == calls_.end() ? nullptr : &*found;
}

void CallSchedule::close(Decision& decision, std::size_t index, CloseReason reason) {
  decision.close.push_back({calls_[index].id, reason});
  calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index));
}

void CallSchedule::closeSuperseded(Decision& decision) {
  if (!newlyFollowed_) return;
  for (std::size_t index = calls_.size(); index-- > 0;)
    if (calls_[index].id != *newlyFollowed_) close(decision, index, CloseReason::Superseded);
  newlyFollowed_.reset();
}

void CallSchedule::closeTimedOut(Time now, Decision& decision) {
  for (std::size_t index = calls_.size(); index-- > 0;) {
    const Call& call = calls_[index];
    if (call.phase == Phase::Receiving && now >= call.progressAt + kResponseSilence)
      close(decision, index, CloseReason::Silent);
    else if (call.phase == Phase::Waiting && now >= call.openedAt + kAnswerTimeout)
      close(decision, index, CloseReason::Unanswered);
  }
}

bool CallSchedule::mayAnswer(const Call& call) const {
  return !call.isAtFormerAddress && !call.isPresumedLost && call.phase != Phase::Following;
}

std::size_t CallSchedule::callsThatMayAnswer() const {
  return static_cast<std::size_t>(
      std::count_if(calls_.begin(), calls_.end(), [this](const Call& call) { return mayAnswer(call); }));
}

// Returns the watch that the list comes from, even if it is silent; null if there is none.
const CallSchedule::Call* CallSchedule::followedCall() const {
  for (const Call& call : calls_)
    if (call.phase == Phase::Following && !call.isAtFormerAddress && !call.isOutdated) return &call;
  return nullptr;
}

bool CallSchedule::isFollowing(Time now) const {
  const Call* const followed = followedCall();
  return followed && now < followed->progressAt + kWatchSilence;
}

CallSchedule::Time CallSchedule::nextOpening() const {
  const Call* const followed = followedCall();
  const Time silentAt = followed ? followed->progressAt + kWatchSilence : Time(0);
  const std::size_t outstanding = callsThatMayAnswer();
  return std::max({earliestOpening_, silentAt, outstanding > 0 ? nextFurtherOpening(outstanding) : Time(0)});
}

// Returns when another call may be opened in parallel with the outstanding ones, which stay open.
CallSchedule::Time CallSchedule::nextFurtherOpening(std::size_t outstanding) const {
  const bool isSecond = outstanding == 1;
  const Time byAge = isSecond ? std::max(unconfirmedSince_ + kSecondCallAge, lastOpenedAt_ + answerWait())
                              : std::max(unconfirmedSince_ + kThirdCallAge, lastOpenedAt_ + kCallSpacing);
  const bool isProbablyLost = isSecond || (outstanding < kMaxCallsInTime && !answeredSinceConfirmation_);
  if (isProbablyLost && byAge < unconfirmedSince_ + kLastCallAge) return byAge;
  return lastOpenedAt_ + jittered(kLateCallSpacing, kSpacingJitter, kSpacingSalt, openings_);
}

// Prefers, in this order:
// - a silent watch or a call that is presumed lost,
// - a call to a former address,
// - the second oldest outstanding call, since the oldest is the next in the registry's queue.
std::size_t CallSchedule::leastUsefulIndex() const {
  std::optional<std::size_t> atFormerAddress;
  std::optional<std::size_t> silent;
  std::vector<std::size_t> outstanding;
  for (std::size_t index = 0; index < calls_.size(); ++index) {
    if (mayAnswer(calls_[index]))
      outstanding.push_back(index);
    else if (calls_[index].isAtFormerAddress)
      atFormerAddress = atFormerAddress.value_or(index);
    else
      silent = silent.value_or(index);
  }
  if (silent) return *silent;
  if (atFormerAddress) return *atFormerAddress;
  return outstanding.size() > 1 ? outstanding[1] : outstanding.front();
}

CallReason CallSchedule::reasonToOpen() const {
  if (!hasCalled_) return addressChanged_ ? CallReason::AddressChanged : CallReason::FirstCall;
  if (callsThatMayAnswer() > 0) return CallReason::ListOverdue;
  const Call* const followed = followedCall();
  return followed && followed->progressAt >= lastOpenedAt_ ? CallReason::WatchSilent : CallReason::Retry;
}

void CallSchedule::recordAnswerTime(Time now, const Call& call) {
  longestAnswer_ = std::max(longestAnswer_, std::min(now - call.openedAt, kLateCallSpacing));
}

CallSchedule::Time CallSchedule::answerWait() const {
  const Time seen(static_cast<std::int64_t>(kAnswerMargin * static_cast<double>(longestAnswer_.count())));
  return std::max(kMinAnswerWait, seen);
}

CallSchedule::Time CallSchedule::nextBackoff() {
  const Time backoff = jittered(backoff_, kBackoffJitter, kBackoffSalt, ++failures_);
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
  return backoff;
}

// Multiplies the span by a factor between (1 - share) and (1 + share).
CallSchedule::Time CallSchedule::jittered(Time span, double share, std::uint64_t salt,
                                          std::uint64_t count) const {
  const double factor = 1 - share + 2 * share * random_.fraction(salt, count);
  return Time(static_cast<std::int64_t>(factor * static_cast<double>(span.count())));
}

}  // namespace sablespur
