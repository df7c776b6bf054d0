// Models of a stand-in data server's capacity and of its replication position. They perform no I/O
// and read no clock: times are passed in.
//
// Machine: has `cores` cores of equal speed, each serving one request at a time, and a queue of
// `room` requests. After a start it is cold for `coldFor`: its speed rises linearly from
// `coldShare` to 1. If it is sent more than `fallMultiple` times its capacity within any `fallFor`
// while cold, it fails and stays down (PROTOCOL, rule 4 of the operators' pages).
//
// LogApply: the log is shipped to the replicas of a group, and each replica applies it with one
// thread. The replica's position is the time up to which it has all commits.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace sablespur::lab {

using Time = std::chrono::microseconds;  // since the start of the run

struct MachineSettings {
  int cores = 3;
  double speed = 1;        // of one core, relative to the standard core
  std::size_t room = 200;  // limit of the queue, in requests
  double coldShare = 0.21;
  Time coldFor = std::chrono::seconds(18);
  double fallMultiple = 2.5;
  Time fallFor = std::chrono::milliseconds(1500);
};

class Machine {
 public:
  Machine(const MachineSettings&, Time startedAt, bool warm);

  // Returns the work done per second, in core-seconds of the standard core.
  double capacity(Time now) const;
  bool cold(Time now) const { return !warm_ && now < started_ + s_.coldFor; }

  // Records work of `work` standard core-microseconds as sent. Returns true if it overloads the
  // cold machine so that the machine fails.
  bool sent(Time now, double work);
  // Returns the largest multiple of the capacity that was sent within fallFor while cold.
  double worst() const { return worst_; }

  // Assigns work that arrives now to the core that is free first and returns the time of its
  // completion, or std::nullopt if the queue is full.
  std::optional<Time> take(Time now, double work);
  // Cancels the work that would end at `wouldEnd`; its core becomes free if no later work is
  // assigned to it.
  void stop(Time now, Time wouldEnd);
  std::size_t held(Time now);  // requests being served or queued

  void slow(double factor) { slow_ = factor; }  // 4: work takes four times as long

 private:
  double pace(Time now) const;  // speed of one core
  const MachineSettings s_;
  const Time started_;
  const bool warm_;
  double slow_ = 1;
  std::deque<Time> cores_;  // the time at which each core is free
  std::deque<Time> ends_;   // completion times of unfinished work, ascending
  std::deque<std::pair<Time, double>> window_;
  double inWindow_ = 0, worst_ = 0;
};

// Models how one replica applies the log.
class LogApply {
 public:
  LogApply(Time ship, Time work) : ship_(ship), work_(work) {}
  void commit(Time at);  // a commit on the primary
  void slow(double factor) { slow_ = factor; }
  void cut(bool on, Time now);  // disconnects from the primary: the position stops
  // Returns the position: everything committed up to it has been applied.
  Time position(Time now);
  void restartFrom(Time position, Time now);  // resumes from a stored position

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

// The position of a server that is behind by a fixed time. A position never goes back: once the
// delay has grown, it stands still until time has caught up with it.
class DelayedPosition {
 public:
  void setDelay(Time delay) { delay_ = delay; }
  // `position` is the position without the delay.
  Time at(Time position);

 private:
  Time delay_{}, reached_{};
};

}  // namespace sablespur::lab
