#include "lab/model.hpp"

#include <algorithm>

namespace sablespur::lab {
namespace {

double seconds(Time t) { return static_cast<double>(t.count()) / 1e6; }

}  // namespace

Machine::Machine(const MachineSettings& s, Time startedAt, bool warm)
    : s_(s), started_(startedAt), warm_(warm), cores_(static_cast<std::size_t>(s.cores), startedAt) {}

double Machine::pace(Time now) const {
  double share = 1;
  if (cold(now)) share = s_.coldShare + (1 - s_.coldShare) * seconds(now - started_) / seconds(s_.coldFor);
  return s_.speed * share / slow_;
}
double Machine::capacity(Time now) const { return pace(now) * s_.cores; }

bool Machine::sent(Time now, double work) {
  if (!cold(now)) return false;
  window_.emplace_back(now, work);
  inWindow_ += work;
  while (!window_.empty() && window_.front().first <= now - s_.fallFor) {
    inWindow_ -= window_.front().second;
    window_.pop_front();
  }
  const double could = capacity(now) * slow_ * static_cast<double>(s_.fallFor.count());
  const double multiple = inWindow_ / could;
  worst_ = std::max(worst_, multiple);
  return multiple > s_.fallMultiple;
}

std::optional<Time> Machine::take(Time now, double work) {
  if (held(now) >= s_.room + cores_.size()) return std::nullopt;
  const auto core = std::min_element(cores_.begin(), cores_.end());
  const Time begin = std::max(now, *core);
  const Time end = begin + Time(static_cast<std::int64_t>(work / std::max(pace(begin), 1e-6)));
  *core = end;
  ends_.insert(std::upper_bound(ends_.begin(), ends_.end(), end), end);
  return end;
}

void Machine::stop(Time now, Time wouldEnd) {
  const auto held = std::find(ends_.begin(), ends_.end(), wouldEnd);
  if (held != ends_.end()) ends_.erase(held);
  // Work queued behind the canceled work on that core keeps its completion time: the core is freed
  // only if the canceled work was its last.
  const auto core = std::find(cores_.begin(), cores_.end(), wouldEnd);
  if (core != cores_.end()) *core = now;
}

std::size_t Machine::held(Time now) {
  while (!ends_.empty() && ends_.front() <= now) ends_.pop_front();
  return ends_.size();
}

void LogApply::commit(Time at) {
  if (cut_) return;
  const Time arrives = at + ship_;
  busyUntil_ = std::max(arrives, busyUntil_) +
               Time(static_cast<std::int64_t>(static_cast<double>(work_.count()) * slow_));
  pending_.push_back({at, busyUntil_});
}

void LogApply::cut(bool on, Time now) {
  if (on) standsAt_ = position(now);
  cut_ = on;
}

Time LogApply::position(Time now) {
  while (!pending_.empty() && pending_.front().applied <= now) {
    standsAt_ = std::max(standsAt_, pending_.front().committed);
    pending_.pop_front();
  }
  if (cut_) return standsAt_;
  // With nothing pending, all that was shipped is applied; else all before the first pending
  // commit.
  const Time upTo =
      pending_.empty() ? now - ship_ : std::min(pending_.front().committed - Time(1), now - ship_);
  standsAt_ = std::max(standsAt_, upTo);
  return standsAt_;
}

Time DelayedPosition::at(Time position) {
  reached_ = std::max(reached_, position - delay_);
  return reached_;
}

void LogApply::restartFrom(Time position, Time now) {
  pending_.clear();
  busyUntil_ = now;
  standsAt_ = position;
}

}  // namespace sablespur::lab
