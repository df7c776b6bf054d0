#include "discovery/registry/watch.hpp"

#include <algorithm>
#include <utility>

namespace sablespur {

namespace {

// A call that has been open for this time without a response waits in the registry's queue. One that
// ends earlier without a response has met a registry that is down.
constexpr Clock::Time kMinQueueWait = std::chrono::seconds(1);

}  // namespace

RegistryWatch::RegistryWatch(event_base* base, const Clock& clock, EndpointListConsumer& consumer,
                             const Config& config)
    : base_(base),
      clock_(clock),
      consumer_(consumer),
      address_(config.discovery),
      schedule_(config.seed),
      validity_(config.settings.drainGrace),
      listsArePushed_(config.listsArePushed),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<RegistryWatch*>(self)->runSchedule(); },
          this)),
      queueTimer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<RegistryWatch*>(self)->judgeQueuedCalls(); },
          this)) {}

RegistryWatch::~RegistryWatch() = default;

void RegistryWatch::watch(std::uint64_t after) {
  if (!hasList_) initialGeneration_ = after;
  if (!std::exchange(isStarted_, true)) {
    validity_.started(clock_.now(), startKind());
    publishLimit();
  }
  schedule_.start(clock_.now());
  runSchedule();
}

ListValidity::StartKind RegistryWatch::startKind() const {
  if (isBesideAnotherProcess_) return ListValidity::StartKind::BesideAnotherProcess;
  return listsArePushed_ ? ListValidity::StartKind::WithPushedLists : ListValidity::StartKind::Alone;
}

void RegistryWatch::updateSettings(const Config& config) {
  validity_.setDrainGrace(config.settings.drainGrace);
  validity_.reloaded(clock_.now());
  publishLimit();
  changeAddress(config.discovery);
}

void RegistryWatch::changeAddress(const Address& address) {
  if (address == address_) return;
  address_ = address;
  schedule_.addressChanged(clock_.now());
  runSchedule();
}

bool RegistryWatch::isListCurrent() const { return schedule_.isFollowing(clock_.now()); }

void RegistryWatch::listConfirmedByOtherProcess() {
  validity_.confirmed(clock_.now());
  publishLimit();
}

RegistryWatch::View RegistryWatch::view() const {
  View view;
  view.generation = generationToRequestAfter();
  if (const auto confirmedAt = schedule_.confirmedAt()) view.confirmedAgo = clock_.now() - *confirmedAt;
  view.openCalls = calls_.size();
  view.calls = lastCallId_;
  view.failures = failures_;
  view.lastEnding = lastEnding_;
  return view;
}

std::uint64_t RegistryWatch::generationToRequestAfter() const {
  return hasList_ ? consumer_.generation() : initialGeneration_;
}

// Executes the decisions that are due and sets the timer for the next ones.
void RegistryWatch::runSchedule() {
  for (;;) {
    const CallSchedule::Decision decision = schedule_.decide(clock_.now());
    for (const CallSchedule::Closing& closing : decision.close) close(closing.call, toString(closing.reason));
    if (!decision.open) break;
    open(*decision.open);
  }
  if (const auto next = schedule_.nextDeadline()) startTimer(timer_.get(), *next - clock_.now());
}

void RegistryWatch::open(CallReason reason) {
  const CallId id = ++lastCallId_;
  const std::uint64_t after = generationToRequestAfter();
  const bool isFurther = reason == CallReason::WatchSilent || reason == CallReason::ListOverdue;
  logEvent(isFurther ? LogLevel::Warning : LogLevel::Debug, "discovery_call_opened",
           {{"call", id}, {"why", toString(reason)}, {"after", after}, {"open_calls", calls_.size() + 1}});
  if (tracing()) logEvent(LogLevel::Trace, "discovery_watch_opened", {{"after", after}});
  if (reason == CallReason::WatchSilent) consumer_.discoveryFailed("silent");
  RegistryCall::Owner& owner = *this;
  auto call = std::make_unique<RegistryCall>(base_, owner, id, openSocket(), address_, after);
  RegistryCall& started = *call;
  const Clock::Time now = clock_.now();
  calls_[id] = OpenCall{std::move(call), now};
  schedule_.opened(now, id);
  started.start();  // may end and destroy the call
}

// If no descriptor is left, closes the least useful call to free one. While no call is open, a
// descriptor is reserved instead.
int RegistryWatch::openSocket() {
  const int family = address_.v6() ? AF_INET6 : AF_INET;
  reserve_.release();
  const int socket = systemCalls().socket(family);
  const auto leastUseful = schedule_.leastUsefulCall();
  if (socket >= 0 || !leastUseful) return socket;
  schedule_.closed(*leastUseful);
  close(*leastUseful, toString(CloseReason::Evicted));
  reserve_.release();
  return systemCalls().socket(family);
}

void RegistryWatch::close(CallId id, const char* why) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const bool isSuperseded = why == std::string_view(toString(CloseReason::Superseded));
  recordEnding(*found->second.call, why, isSuperseded ? LogLevel::Debug : LogLevel::Warning);
  calls_.erase(found);
  if (calls_.empty()) reserve_.reacquire();
}

void RegistryWatch::recordEnding(const RegistryCall& call, const std::string& why, LogLevel level) {
  lastEnding_ = why;
  logEvent(level, "discovery_watch_closed",
           {{"why", why},
            {"call", call.id()},
            {"after", call.after()},
            {"out_ms", (clock_.now() - calls_.at(call.id()).openedAt).count() / 1000},
            {"bytes", call.bytes()},
            {"lists", call.lists()}});
}

void RegistryWatch::reported(RegistryCall& call, RegistryCall::Report& report) {
  const CallId id = call.id();
  const Clock::Time now = clock_.now();
  const auto confirmedBefore = schedule_.confirmedAt();
  judgeReachability(call, report);
  if (report.listGrew) schedule_.progressed(now, id);
  for (EndpointList& list : report.lists) applyList(id, std::move(list));
  if (report.lists.empty() && report.hasEmptyLine) schedule_.confirmed(now, id);
  if (schedule_.confirmedAt() != confirmedBefore) validity_.confirmed(now);
  publishLimit();
  if (report.ending) {
    const std::string why = std::move(*report.ending);
    recordEnding(call, why, LogLevel::Warning);
    calls_.erase(id);
    if (calls_.empty()) reserve_.reacquire();
    ++failures_;
    schedule_.ended(now, id, {report.isAnswered, report.retryAfter});
    consumer_.discoveryFailed(why);
  }
  runSchedule();
}

void RegistryWatch::judgeReachability(const RegistryCall& call, const RegistryCall::Report& report) {
  if (report.isConnected) callConnected(call.id());
  // The end of a watch tells nothing: it ends when discovery goes down, and when it is cut off alone.
  const bool isEndOfWatch = report.ending && call.lists() > 0;
  if (call.address() != address_ || isEndOfWatch) return;
  const Clock::Time now = clock_.now();
  if (report.isAnswered || (report.ending && isQueued(calls_.at(call.id()))))
    validity_.reached(now);
  else if (report.ending)
    validity_.unreachable(now);
}

void RegistryWatch::callConnected(CallId id) {
  OpenCall& call = calls_.at(id);
  call.isConnected = true;
  const Clock::Time now = clock_.now();
  const bool wasUnreachable = now - call.openedAt >= kMinQueueWait;
  if (wasUnreachable && call.call->address() == address_) validity_.unreachable(now);
  judgeQueuedCalls();
}

// Returns whether discovery has accepted the call and lets it wait. Where lists are pushed, an agent
// that accepts a call and says nothing has no connection to discovery.
bool RegistryWatch::isQueued(const OpenCall& call) const {
  return isAccepted(call) && clock_.now() - call.openedAt >= kMinQueueWait;
}

bool RegistryWatch::isAccepted(const OpenCall& call) const {
  return call.isConnected && !listsArePushed_ && call.call->address() == address_;
}

void RegistryWatch::judgeQueuedCalls() {
  const Clock::Time now = clock_.now();
  std::optional<Clock::Time> next;  // when a call will have waited long enough
  for (const auto& [id, call] : calls_) {
    const bool hasResponse = call.call->bytes() > 0;
    if (hasResponse || !isAccepted(call)) continue;
    const Clock::Time queuedAt = call.openedAt + kMinQueueWait;
    if (now >= queuedAt)
      validity_.reached(now);
    else
      next = std::min(next.value_or(queuedAt), queuedAt);
  }
  if (next) startTimer(queueTimer_.get(), *next - now);
  publishLimit();
}

// Limits that are the same are not published again.
void RegistryWatch::publishLimit() {
  const std::optional<Clock::Time> limit = validity_.usableUntil();
  if (limit == publishedLimit_) return;
  publishedLimit_ = limit;
  consumer_.listLimited(limit, validity_.limit());
}

void RegistryWatch::applyList(CallId id, EndpointList list) {
  const bool isOlder = list.generation < generationToRequestAfter();
  hasList_ = true;
  consumer_.endpointsListed(std::move(list));
  if (isOlder)
    schedule_.outdated(clock_.now(), id);
  else
    schedule_.confirmed(clock_.now(), id);
}

}  // namespace sablespur
