#include "engine/primary_clock_evidence.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace sablespur {
namespace {

using Time = PrimaryClockEvidence::Time;

// Synchronized clocks differ by less than this.
constexpr Time kMaxClockSkew = std::chrono::milliseconds(50);
// Offsets count as steady once they have kept step with time for this long.
constexpr Time kMinSteadyPeriod = std::chrono::seconds(1);

}  // namespace

void SteadyOffset::observe(Time offset, Time at) {
  if (!first_ || std::chrono::abs(offset - *first_) > PrimaryClockEvidence::kMaxRoundTrip) {
    first_ = offset;
    firstAt_ = at;
  }
  steady_ = at - firstAt_ >= kMinSteadyPeriod;
}

void PrimaryClockEvidence::observe(ServerId server, const Answer& answer, Time wallOffset) {
  const auto [it, added] = samples_.try_emplace(server);
  Sample& sample = it->second;
  if (added) ++counter(sample.status);
  proofChanged_ = proofChanged_ || added;
  sample.minOffset = answer.position - answer.received;
  sample.maxOffset = answer.position - answer.sent;
  sample.positions.observe(sample.minOffset, answer.received);
  if (answer.isNewCommit) {
    sample.commitOffset = sample.maxOffset;
    sample.commits.observe(sample.commitOffset, answer.received);
  }
  setStatus(sample, assess(sample, wallOffset));
  recordProof(sample, wallOffset);
}

void PrimaryClockEvidence::wallClockStepped(Time wallOffset) {
  for (auto& [server, sample] : samples_) setStatus(sample, assess(sample, wallOffset));
}

void PrimaryClockEvidence::forget(ServerId server) {
  const auto it = samples_.find(server);
  if (it == samples_.end()) return;
  --counter(it->second.status);
  samples_.erase(it);
  proofChanged_ = true;
}

PrimaryClockEvidence::WallClockStatus PrimaryClockEvidence::assess(const Sample& sample, Time wallOffset) {
  if (sample.minOffset > wallOffset + kMaxClockSkew) return WallClockStatus::Behind;
  if (sample.maxOffset >= wallOffset - kMaxIdlePositionAge) return WallClockStatus::Confirmed;
  if (sample.commits.isSteady() && sample.commitOffset < wallOffset - kMaxIdlePositionAge)
    return WallClockStatus::AheadOfCommits;
  return sample.positions.isSteady() ? WallClockStatus::AheadOfPositions : WallClockStatus::Undecided;
}

void PrimaryClockEvidence::setStatus(Sample& sample, WallClockStatus status) {
  --counter(sample.status);
  sample.status = status;
  ++counter(status);
}

// A single answer ahead of the wall clock may be spoilt and proves nothing; one that the wall clock
// confirms proves no more than the wall clock's own time.
void PrimaryClockEvidence::recordProof(Sample& sample, Time wallOffset) {
  if (sample.status == WallClockStatus::Behind && !sample.positions.isSteady()) return;
  const Time offset =
      sample.status == WallClockStatus::Confirmed ? std::min(sample.minOffset, wallOffset) : sample.minOffset;
  sample.windowOffset = std::max(sample.windowOffset.value_or(offset), offset);
  if (sample.provenOffset && *sample.provenOffset >= offset) return;
  sample.provenOffset = offset;
  proofChanged_ = true;
}

void PrimaryClockEvidence::startProofWindow() {
  for (auto& [server, sample] : samples_) sample.windowOffset.reset();
}

void PrimaryClockEvidence::limitProofToWindow() {
  for (auto& [server, sample] : samples_)
    if (sample.windowOffset) sample.provenOffset = sample.windowOffset;
  startProofWindow();
}

bool PrimaryClockEvidence::takeProofChanged() {
  const bool changed = proofChanged_;
  proofChanged_ = false;
  return changed;
}

template <typename Predicate>
Time PrimaryClockEvidence::medianEstimate(Predicate hasStatus) const {
  std::vector<Time> offsets;
  for (const auto& [server, sample] : samples_) {
    if (!hasStatus(sample.status)) continue;
    const bool isProven = sample.status == WallClockStatus::AheadOfCommits;
    offsets.push_back(isProven ? sample.commitOffset : sample.maxOffset);
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

Time PrimaryClockEvidence::medianOffset(WallClockStatus status) const {
  return medianEstimate([status](WallClockStatus other) { return other == status; });
}

Time PrimaryClockEvidence::medianAheadOffset() const {
  return medianEstimate([](WallClockStatus status) {
    return status == WallClockStatus::AheadOfPositions || status == WallClockStatus::AheadOfCommits;
  });
}

std::optional<Time> PrimaryClockEvidence::provenOffset() const {
  std::vector<Time> proven;
  for (const auto& [server, sample] : samples_)
    if (sample.provenOffset) proven.push_back(*sample.provenOffset);
  const std::size_t half = samples_.size() / 2;
  if (proven.size() <= half) return std::nullopt;
  const auto middle = proven.begin() + static_cast<std::ptrdiff_t>(half);
  std::nth_element(proven.begin(), middle, proven.end(), std::greater<>());
  return *middle;
}

}  // namespace sablespur
