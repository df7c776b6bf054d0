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
  votes_ = {};
  for (auto& [server, sample] : samples_) {
    sample.verdict = judgeWallClock(sample);
    addVote(sample);
  }
  updateOffset();
}

void ReferenceClock::primaryAnswered(ServerId server, Time position, Time sent, Time received) {
  if (received - sent > kLongestRoundTrip) return;
  const auto [it, added] = samples_.try_emplace(server);
  Sample& sample = it->second;
  if (!added) removeVote(sample);
  sample.minOffset = position - received;
  sample.maxOffset = position - sent;
  if (added || std::chrono::abs(sample.minOffset - sample.steadyOffset) > kLongestRoundTrip) {
    sample.steadyOffset = sample.minOffset;
    sample.steadySince = received;
  }
  sample.steady = received - sample.steadySince >= kSteadyFor;
  sample.verdict = judgeWallClock(sample);
  addVote(sample);
  updateOffset();
}

void ReferenceClock::forget(ServerId server) {
  const auto it = samples_.find(server);
  if (it == samples_.end()) return;
  removeVote(it->second);
  samples_.erase(it);
}

ReferenceClock::WallVerdict ReferenceClock::judgeWallClock(const Sample& sample) const {
  if (sample.minOffset > wallOffset_ + kSkew) return WallVerdict::Behind;
  if (sample.maxOffset >= wallOffset_ - kOldestPresent) return WallVerdict::Confirmed;
  return sample.steady ? WallVerdict::Ahead : WallVerdict::Undecided;
}

std::size_t* ReferenceClock::votesFor(WallVerdict verdict) {
  switch (verdict) {
    case WallVerdict::Behind:
      return &votes_.behind;
    case WallVerdict::Ahead:
      return &votes_.ahead;
    case WallVerdict::Confirmed:
      return &votes_.confirmed;
    case WallVerdict::Undecided:
      break;
  }
  return nullptr;
}

void ReferenceClock::addVote(const Sample& sample) {
  if (std::size_t* const votes = votesFor(sample.verdict)) ++*votes;
}

void ReferenceClock::removeVote(const Sample& sample) {
  if (std::size_t* const votes = votesFor(sample.verdict)) --*votes;
}

void ReferenceClock::updateOffset() {
  if (isMajority(votes_.behind)) return followPrimaries(WallVerdict::Behind);
  if (isMajority(votes_.ahead)) return followPrimaries(WallVerdict::Ahead);
  // A step back needs the consent of most primaries.
  if (wallOffset_ < offset_ && !isMajority(votes_.confirmed)) return;
  offset_ = wallOffset_;
  byPrimaries_ = false;
}

void ReferenceClock::followPrimaries(WallVerdict majority) {
  const Time median = medianOffset(majority);
  // Their answers differ by their round trips: no move for that, but forward, where data only look older.
  const bool same = byPrimaries_ && median <= offset_ + kJitter && median > offset_ - kLongestRoundTrip;
  if (!same) offset_ = median;
  byPrimaries_ = true;
}

ReferenceClock::Time ReferenceClock::medianOffset(WallVerdict verdict) const {
  std::vector<Time> offsets;
  for (const auto& [server, sample] : samples_)
    if (sample.verdict == verdict) offsets.push_back(sample.maxOffset);
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

}  // namespace sablespur
