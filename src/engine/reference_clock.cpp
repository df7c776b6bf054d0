#include "engine/reference_clock.hpp"

#include <algorithm>
#include <vector>

namespace sablespur {
namespace {

using Time = ReferenceClock::Time;

constexpr Time kJitter = std::chrono::milliseconds(5);    // between two readings; less is no step
constexpr Time kSkew = std::chrono::milliseconds(50);     // clocks that are kept in step differ by less
constexpr Time kOldestPresent = std::chrono::seconds(1);  // a quiet primary's last commit may be so old
constexpr Time kLongestRoundTrip = std::chrono::milliseconds(250);  // a longer one bounds nothing closely
// A wall clock is ahead only if the primary's position has kept step with time for so long: one that stands
// still, as of a primary that was cut off, is an old one.
constexpr Time kSteadyFor = std::chrono::seconds(1);

}  // namespace

void ReferenceClock::readWall(Time wallOffset) {
  if (std::chrono::abs(wallOffset - wallOffset_) < kJitter) return;
  wallOffset_ = wallOffset;
  behind_ = ahead_ = confirming_ = 0;
  for (auto& [server, sample] : samples_) {
    judgeWallClock(sample);
    countVotes(sample, 1);
  }
  updateOffset();
}

void ReferenceClock::primaryAnswered(ServerId server, Time position, Time sent, Time received) {
  if (received - sent > kLongestRoundTrip) return;
  const auto [it, added] = samples_.try_emplace(server);
  Sample& sample = it->second;
  if (!added) countVotes(sample, -1);
  sample.minOffset = position - received;
  sample.maxOffset = position - sent;
  if (added || std::chrono::abs(sample.minOffset - sample.steadyOffset) > kLongestRoundTrip) {
    sample.steadyOffset = sample.minOffset;
    sample.steadySince = received;
  }
  sample.steady = received - sample.steadySince >= kSteadyFor;
  judgeWallClock(sample);
  countVotes(sample, 1);
  updateOffset();
}

void ReferenceClock::forget(ServerId server) {
  const auto it = samples_.find(server);
  if (it == samples_.end()) return;
  countVotes(it->second, -1);
  samples_.erase(it);
}

void ReferenceClock::judgeWallClock(Sample& sample) {
  sample.wallBehind = sample.minOffset > wallOffset_ + kSkew;
  sample.wallAhead = sample.steady && sample.maxOffset < wallOffset_ - kOldestPresent;
  sample.confirmsWall = !sample.wallBehind && sample.maxOffset >= wallOffset_ - kOldestPresent;
}

void ReferenceClock::countVotes(const Sample& sample, int by) {
  const auto add = [by](std::size_t& counter, bool says) {
    if (says) counter = by > 0 ? counter + 1 : counter - 1;
  };
  add(behind_, sample.wallBehind);
  add(ahead_, sample.wallAhead);
  add(confirming_, sample.confirmsWall);
}

void ReferenceClock::updateOffset() {
  const auto most = [this](std::size_t votes) { return 2 * votes > samples_.size(); };
  const bool behind = most(behind_);
  if (behind || most(ahead_)) {
    const Time told = medianOffset(behind);
    // Their answers differ by their round trips: no move for that, but forward, where data only look older.
    const bool same = byPrimaries_ && told <= offset_ + kJitter && told > offset_ - kLongestRoundTrip;
    if (!same) offset_ = told;
    byPrimaries_ = true;
    return;
  }
  if (wallOffset_ < offset_ && !most(confirming_)) return;
  offset_ = wallOffset_;
  byPrimaries_ = false;
}

Time ReferenceClock::medianOffset(bool behind) const {
  std::vector<Time> all;
  for (const auto& [server, sample] : samples_)
    if (behind ? sample.wallBehind : sample.wallAhead) all.push_back(sample.maxOffset);
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
  std::nth_element(all.begin(), middle, all.end());
  return *middle;
}

}  // namespace sablespur
