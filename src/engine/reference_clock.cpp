#include "engine/reference_clock.hpp"

#include <algorithm>
#include <vector>

namespace sablespur {
namespace {

using Time = ReferenceClock::Time;

// Differences between two readings below this are not a step of the wall clock.
constexpr Time kReadingJitter = std::chrono::milliseconds(5);
// Synchronized clocks differ by less than this.
constexpr Time kMaxClockSkew = std::chrono::milliseconds(50);
// The last commit of an idle primary may be this old.
constexpr Time kMaxIdlePositionAge = std::chrono::seconds(1);
// Answers with a longer round trip are ignored: their bounds are too wide.
constexpr Time kMaxRoundTrip = std::chrono::milliseconds(250);
// The wall clock counts as ahead only if the primary's position has advanced with time for at least
// this long. A position that does not advance, as of a primary cut off from the network, is merely
// old.
constexpr Time kMinStablePeriod = std::chrono::seconds(1);

}  // namespace

void ReferenceClock::updateWallOffset(Time wallOffset) {
  if (std::chrono::abs(wallOffset - wallOffset_) < kReadingJitter) return;
  wallOffset_ = wallOffset;
  statusCounts_ = {};
  for (auto& [server, sample] : samples_) {
    sample.status = assessWallClock(sample);
    countSample(sample);
  }
  updateOffset();
}

void ReferenceClock::primaryAnswered(ServerId server, Time position, Time sent, Time received) {
  if (received - sent > kMaxRoundTrip) return;
  const auto [it, added] = samples_.try_emplace(server);
  Sample& sample = it->second;
  if (!added) uncountSample(sample);
  sample.minOffset = position - received;
  sample.maxOffset = position - sent;
  if (added || std::chrono::abs(sample.minOffset - sample.stableOffset) > kMaxRoundTrip) {
    sample.stableOffset = sample.minOffset;
    sample.stableSince = received;
  }
  sample.stable = received - sample.stableSince >= kMinStablePeriod;
  sample.status = assessWallClock(sample);
  countSample(sample);
  updateOffset();
}

void ReferenceClock::forget(ServerId server) {
  const auto it = samples_.find(server);
  if (it == samples_.end()) return;
  uncountSample(it->second);
  samples_.erase(it);
}

ReferenceClock::WallClockStatus ReferenceClock::assessWallClock(const Sample& sample) const {
  if (sample.minOffset > wallOffset_ + kMaxClockSkew) return WallClockStatus::Behind;
  if (sample.maxOffset >= wallOffset_ - kMaxIdlePositionAge) return WallClockStatus::Confirmed;
  return sample.stable ? WallClockStatus::Ahead : WallClockStatus::Undecided;
}

std::size_t* ReferenceClock::counterOf(WallClockStatus status) {
  switch (status) {
    case WallClockStatus::Behind:
      return &statusCounts_.behind;
    case WallClockStatus::Ahead:
      return &statusCounts_.ahead;
    case WallClockStatus::Confirmed:
      return &statusCounts_.confirmed;
    case WallClockStatus::Undecided:
      break;
  }
  return nullptr;
}

void ReferenceClock::countSample(const Sample& sample) {
  if (std::size_t* const counter = counterOf(sample.status)) ++*counter;
}

void ReferenceClock::uncountSample(const Sample& sample) {
  if (std::size_t* const counter = counterOf(sample.status)) --*counter;
}

void ReferenceClock::updateOffset() {
  if (isMajority(statusCounts_.behind))
    return followPrimaries(WallClockStatus::Behind, Source::PrimariesAheadOfWallClock);
  if (isMajority(statusCounts_.ahead))
    return followPrimaries(WallClockStatus::Ahead, Source::PrimariesBehindWallClock);
  // A step back is followed only if most primaries confirm it.
  if (wallOffset_ < offset_ && !isMajority(statusCounts_.confirmed)) return;
  offset_ = wallOffset_;
  source_ = Source::WallClock;
}

void ReferenceClock::followPrimaries(WallClockStatus majority, Source source) {
  const Time median = medianOffset(majority);
  // Offsets vary with the round trip. Small differences are ignored, except forward beyond the
  // reading jitter, which only makes data look older.
  const bool same =
      source_ != Source::WallClock && median <= offset_ + kReadingJitter && median > offset_ - kMaxRoundTrip;
  if (!same) offset_ = median;
  source_ = source;
}

ReferenceClock::Time ReferenceClock::medianOffset(WallClockStatus status) const {
  std::vector<Time> offsets;
  for (const auto& [server, sample] : samples_)
    if (sample.status == status) offsets.push_back(sample.maxOffset);
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

ReferenceClock::Summary ReferenceClock::summary() const {
  Summary summary;
  summary.source = source_;
  summary.wallOffset = wallOffset_;
  summary.primaries = samples_.size();
  summary.wallClockBehind = statusCounts_.behind;
  summary.wallClockAhead = statusCounts_.ahead;
  summary.wallClockConfirmed = statusCounts_.confirmed;
  return summary;
}

const char* nameOf(ReferenceClock::Source source) {
  switch (source) {
    case ReferenceClock::Source::WallClock:
      break;
    case ReferenceClock::Source::PrimariesAheadOfWallClock:
      return "primaries_ahead_of_wall_clock";
    case ReferenceClock::Source::PrimariesBehindWallClock:
      return "primaries_behind_wall_clock";
  }
  return "wall_clock";
}

}  // namespace sablespur
