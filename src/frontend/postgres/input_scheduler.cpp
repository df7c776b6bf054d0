#include "frontend/postgres/input_scheduler.hpp"

#include <algorithm>

#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr Clock::Time kDelayLogInterval = std::chrono::seconds(1);

}  // namespace

InputScheduler::InputScheduler(event_base* base, const Engine& engine)
    : engine_(engine),
      run_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<InputScheduler*>(self)->processWaiting(); },
          this)) {}

void InputScheduler::schedule(InputSource& source) {
  if (source.scheduled_) return;
  source.scheduled_ = true;
  waiting_.push_back(&source);
  if (!runPending_) scheduleRun();
}

// Once it has run, the rest is left to a timer: libevent would run an active event again before it
// returns to the turn. A pass of EVLOOP_ONCE ends only when no event is active.
void InputScheduler::scheduleRun() {
  runPending_ = true;
  if (engine_.turn() == lastRunTurn_)
    startTimer(run_.get(), Clock::Time(0));
  else
    event_active(run_.get(), EV_TIMEOUT, 0);  // runs behind the callbacks that are already due
}

void InputScheduler::processOrSchedule(InputSource& source) {
  if (waiting_.empty() && hasTimeLeft()) return processSlice(source);
  schedule(source);
  source.onInputDelayed();
}

void InputScheduler::processSlice(InputSource& source) {
  restartCountInNewTurn();
  const Clock::Time began = engine_.now();
  source.processInput();
  timeUsed_ += engine_.now() - began;
}

bool InputScheduler::hasTimeLeft() {
  restartCountInNewTurn();
  return timeUsed_ < kTimePerPass;
}

void InputScheduler::restartCountInNewTurn() {
  if (engine_.turn() == usedTurn_) return;
  usedTurn_ = engine_.turn();
  timeUsed_ = {};
}

void InputScheduler::remove(InputSource& source) {
  if (!source.scheduled_) return;
  source.scheduled_ = false;
  waiting_.erase(std::find(waiting_.begin(), waiting_.end(), &source));
}

void InputScheduler::processWaiting() {
  runPending_ = true;
  lastRunTurn_ = engine_.turn();
  bool outOfTime = false;
  for (std::size_t slices = waiting_.size(); slices > 0 && !waiting_.empty() && !outOfTime; --slices) {
    InputSource& source = *waiting_.front();
    waiting_.pop_front();
    source.scheduled_ = false;
    processSlice(source);
    outOfTime = !hasTimeLeft();
  }
  runPending_ = false;
  if (waiting_.empty()) return;
  scheduleRun();
  if (outOfTime) logDelay();
}

void InputScheduler::logDelay() {
  ++delaysSinceLog_;
  const Clock::Time now = engine_.now();
  if (delayLoggedAt_ && now - *delayLoggedAt_ < kDelayLogInterval) return;
  logEvent(LogLevel::Warning, "client_input_delayed",
           {{"waiting", waiting_.size()}, {"passes", delaysSinceLog_}});
  delayLoggedAt_ = now;
  delaysSinceLog_ = 0;
}

}  // namespace sablespur
