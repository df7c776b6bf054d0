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
  if (std::chrono::abs(wallOffset - wall_) < kJitter) return;
  wall_ = wallOffset;
  behind_ = ahead_ = vouching_ = 0;
  for (auto& [server, sample] : samples_) {
    judge(sample);
    count(sample, 1);
  }
  decide();
}

void ReferenceClock::primaryAnswered(ServerId server, Time position, Time sent, Time received) {
  if (received - sent > kLongestRoundTrip) return;
  const auto [it, added] = samples_.try_emplace(server);
  Sample& sample = it->second;
  if (!added) count(sample, -1);
  sample.least = position - received;
  sample.most = position - sent;
  if (added || std::chrono::abs(sample.least - sample.steadyOffset) > kLongestRoundTrip) {
    sample.steadyOffset = sample.least;
    sample.steadySince = received;
  }
  sample.steady = received - sample.steadySince >= kSteadyFor;
  judge(sample);
  count(sample, 1);
  decide();
}

void ReferenceClock::forget(ServerId server) {
  const auto it = samples_.find(server);
  if (it == samples_.end()) return;
  count(it->second, -1);
  samples_.erase(it);
}

void ReferenceClock::judge(Sample& sample) {
  sample.wallBehind = sample.least > wall_ + kSkew;
  sample.wallAhead = sample.steady && sample.most < wall_ - kOldestPresent;
  sample.vouches = !sample.wallBehind && sample.most >= wall_ - kOldestPresent;
}

void ReferenceClock::count(const Sample& sample, int by) {
  const auto add = [by](std::size_t& counter, bool says) {
    if (says) counter = by > 0 ? counter + 1 : counter - 1;
  };
  add(behind_, sample.wallBehind);
  add(ahead_, sample.wallAhead);
  add(vouching_, sample.vouches);
}

void ReferenceClock::decide() {
  const auto most = [this](std::size_t votes) { return 2 * votes > samples_.size(); };
  const bool behind = most(behind_);
  if (behind || most(ahead_)) {
    const Time told = contradicted(behind);
    // Their answers differ by their round trips: no move for that, but forward, where data only look older.
    const bool same = byPrimaries_ && told <= offset_ + kJitter && told > offset_ - kLongestRoundTrip;
    if (!same) offset_ = told;
    byPrimaries_ = true;
    return;
  }
  if (wall_ < offset_ && !most(vouching_)) return;
  offset_ = wall_;
  byPrimaries_ = false;
}

Time ReferenceClock::contradicted(bool behind) const {
  std::vector<Time> all;
  for (const auto& [server, sample] : samples_)
    if (behind ? sample.wallBehind : sample.wallAhead) all.push_back(sample.most);
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
  std::nth_element(all.begin(), middle, all.end());
  return *middle;
}

}  // namespace sablespur
