// Shares the time of the event loop among the clients whose input is waiting to be processed.
//
// Sources take turns in the order in which their input arrived. Between two turns of the engine each
// gets one slice at most, and all together get kTimePerPass; the others go first after the turn. So
// neither one client nor many of them keep the engine's turn waiting.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "engine/clock.hpp"
#include "engine/engine.hpp"
#include "engine/event.hpp"

namespace sablespur {

// A client connection with input to process.
class InputSource {
 public:
  // Processes a bounded part of the input and schedules this source again if more is left. May
  // destroy the source.
  virtual void processInput() = 0;
  // Called when input that has just arrived has to wait for its turn.
  virtual void onInputDelayed() {}
  // Returns whether processInput() is still to be called.
  bool isScheduled() const { return scheduled_; }

 protected:
  ~InputSource() = default;

 private:
  friend class InputScheduler;
  bool scheduled_ = false;
};

class InputScheduler {
 public:
  // Time for input between two turns of the engine. One slice may exceed it.
  static constexpr Clock::Time kTimePerPass = std::chrono::milliseconds(5);

  // The engine has to outlive the scheduler.
  InputScheduler(event_base*, const Engine&);
  InputScheduler(const InputScheduler&) = delete;
  InputScheduler& operator=(const InputScheduler&) = delete;

  // Schedules a call of processInput(): before the next turn of the engine if there is time,
  // otherwise after it. No effect if the source is scheduled already.
  void schedule(InputSource&);
  // Processes the input at once while nobody waits and there is time, so that what it changes is known
  // to the callbacks that follow; otherwise schedules it. May destroy the source.
  void processOrSchedule(InputSource&);
  // Must be called before a source is destroyed.
  void remove(InputSource&);

 private:
  void scheduleRun();
  void processWaiting();
  void processSlice(InputSource&);
  bool hasTimeLeft();
  void restartCountInNewTurn();
  void logDelay();

  const Engine& engine_;
  std::deque<InputSource*> waiting_;  // in the order of scheduling
  bool runPending_ = false;           // processWaiting() runs or will be called
  std::uint64_t lastRunTurn_ = 0;     // Engine::turn() at the last call of processWaiting()
  std::uint64_t usedTurn_ = 0;        // Engine::turn() that timeUsed_ counts for
  Clock::Time timeUsed_{};            // by slices
  std::size_t delaysSinceLog_ = 0;    // passes that ended with sources left over
  std::optional<Clock::Time> delayLoggedAt_;
  Event run_;
};

}  // namespace sablespur
