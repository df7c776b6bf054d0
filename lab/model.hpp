// What a stand-in data server can do, and how far it has the log. Pure: times are given, nothing is sent.
//
// A machine has cores of a speed, each serving one request at a time, and a waiting room. Started anew it is
// cold: its speed rises evenly from a share to the whole. Sent more than `fallMultiple` times what it can do
// over any `fallFor` while it is cold, it falls over and stays down (PROTOCOL, rule 4 of the operators'
// pages).
//
// A log is shipped to the replicas of a group, each of which applies it with one thread: its position is the
// time up to which it has all commits.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace sablespur::lab {

using Time = std::chrono::microseconds;  // since the start of the run

struct MachineSettings {
  int cores = 3;
  double speed = 1;        // of a core, against the standard one
  std::size_t room = 200;  // requests that may wait
  double coldShare = 0.21;
  Time coldFor = std::chrono::seconds(18);
  double fallMultiple = 2.5;
  Time fallFor = std::chrono::milliseconds(1500);
};

class Machine {
 public:
  Machine(const MachineSettings&, Time startedAt, bool warm);

  // Cores' worth of work a second, in core-seconds.
  double capacity(Time now) const;
  bool cold(Time now) const { return !warm_ && now < started_ + s_.coldFor; }

  // Work of so many standard core-microseconds was sent to it; true: that felled it.
  bool sent(Time now, double work);
  double worst() const { return worst_; }  // the greatest multiple of its capacity over fallFor while cold

  // When a piece of work that arrives now will be done, or nothing: there is no room. The core is taken.
  std::optional<Time> take(Time now, double work);
  // Work that was to be done then is stopped now: what is left of it frees its core.
  void stop(Time now, Time wouldEnd);
  std::size_t held(Time now);  // requests at work or waiting

  void slow(double factor) { slow_ = factor; }  // 4: takes four times as long

 private:
  double pace(Time now) const;  // of one core
  const MachineSettings s_;
  const Time started_;
  const bool warm_;
  double slow_ = 1;
  std::deque<Time> cores_;  // when each is free
  std::deque<Time> ends_;   // of what is held, ascending
  std::deque<std::pair<Time, double>> window_;
  double inWindow_ = 0, worst_ = 0;
};

// One replica's way through the log.
class LogApply {
 public:
  LogApply(Time ship, Time work) : ship_(ship), work_(work) {}
  void commit(Time at);  // on the primary
  void slow(double factor) { slow_ = factor; }
  void cut(bool on, Time now);  // cut off from the primary: its position stands still
  // Everything committed before this has been applied.
  Time position(Time now);
  void restartFrom(Time position, Time now);  // goes on from where it stood

 private:
  struct Record {
    Time committed, applied;
  };
  const Time ship_, work_;
  double slow_ = 1;
  Time busyUntil_{}, standsAt_{};
  bool cut_ = false;
  std::deque<Record> pending_;
};

}  // namespace sablespur::lab
