#include "engine/reference_clock.hpp"

#include <algorithm>

namespace sablespur {
namespace {

using Time = ReferenceClock::Time;

// Differences between two readings below this are not a step of the wall clock.
constexpr Time kReadingJitter = std::chrono::milliseconds(5);
// While most primaries agree with the wall clock, or prove that it is ahead, a proof from before that
// expires after this long: a primary's clock may have been ahead. Longer than a wrong wall clock and
// a lagging primary are likely to agree by chance.
constexpr Time kProofLifetime = std::chrono::seconds(60);

}  // namespace

void ReferenceClock::updateWallOffset(Time wallOffset) {
  if (std::chrono::abs(wallOffset - wallOffset_) < kReadingJitter) return;
  wallOffset_ = wallOffset;
  agreedSince_.reset();
  evidence_.wallClockStepped(wallOffset_);
  updateOffset();
}

void ReferenceClock::primaryAnswered(ServerId server, Time position, Time sent, Time received) {
  observe(server, {position, sent, received, false});
}

void ReferenceClock::writeCommitted(ServerId server, Time commit, Time sent, Time received) {
  observe(server, {commit, sent, received, true});
}

void ReferenceClock::observe(ServerId server, const PrimaryClockEvidence::Answer& answer) {
  if (answer.received - answer.sent > PrimaryClockEvidence::kMaxRoundTrip) return;
  evidence_.observe(server, answer, wallOffset_);
  updateProvenOffset();
  expireProvenOffset(answer.received);
  updateOffset();
}

void ReferenceClock::forget(ServerId server) { evidence_.forget(server); }

bool ReferenceClock::isMajorityOfGroups(std::size_t primaries) const {
  return 2 * primaries > std::max(groupCount_, evidence_.primaries());
}

std::size_t ReferenceClock::countAhead() const {
  return evidence_.count(Status::AheadOfPositions) + evidence_.count(Status::AheadOfCommits);
}

bool ReferenceClock::wasInUseBefore(Time offset) const {
  return offset >= lowestOffset_ - PrimaryClockEvidence::kMaxIdlePositionAge;
}

void ReferenceClock::updateProvenOffset() {
  if (!evidence_.takeProofChanged()) return;
  const std::optional<Time> proven = evidence_.provenOffset();
  if (proven) provenOffset_ = std::max(provenOffset_.value_or(*proven), *proven);
}

void ReferenceClock::expireProvenOffset(Time now) {
  if (!isMajority(evidence_.count(Status::Confirmed) + evidence_.count(Status::AheadOfCommits))) {
    agreedSince_.reset();
    return;
  }
  if (!agreedSince_) {
    agreedSince_ = now;
    evidence_.startProofWindow();
  }
  if (now - *agreedSince_ < kProofLifetime) return;
  agreedSince_ = now;
  evidence_.limitProofToWindow();
  provenOffset_ = evidence_.provenOffset();
}

void ReferenceClock::updateOffset() {
  if (isMajority(evidence_.count(Status::Behind)))
    return adopt(evidence_.medianOffset(Status::Behind), Source::PrimariesAheadOfWallClock);
  if (isMajorityOfGroups(evidence_.count(Status::AheadOfCommits)))
    return adopt(evidence_.medianOffset(Status::AheadOfCommits), Source::CommitsBehindWallClock);
  if (isMajority(countAhead())) {
    const Time median = evidence_.medianAheadOffset();
    if (wasInUseBefore(median))
      return adopt(std::max(median, lowestOffset_), Source::PrimariesBehindWallClock);
  }
  // A step back is followed only if most primaries confirm it.
  if (wallOffset_ < offset_ && !isMajority(evidence_.count(Status::Confirmed))) return;
  adopt(wallOffset_, Source::WallClock);
}

void ReferenceClock::adopt(Time target, Source source) {
  const Time offset = std::max(target, provenOffset_.value_or(target));
  if (offset > target) source = Source::EarlierAnswers;
  // Offsets from answers vary with the round trip. Small differences are ignored, except forward
  // beyond the reading jitter, which only makes data look older.
  const bool isSame = source != Source::WallClock && source_ != Source::WallClock &&
                      offset <= offset_ + kReadingJitter &&
                      offset > offset_ - PrimaryClockEvidence::kMaxRoundTrip;
  if (!isSame) offset_ = offset;
  source_ = source;
  lowestOffset_ = std::min(lowestOffset_, offset_);
}

ReferenceClock::Summary ReferenceClock::summary() const {
  Summary summary;
  summary.source = source_;
  summary.wallOffset = wallOffset_;
  summary.provenOffset = provenOffset_;
  summary.primaries = evidence_.primaries();
  summary.wallClockBehind = evidence_.count(Status::Behind);
  summary.wallClockAhead = countAhead();
  summary.wallClockConfirmed = evidence_.count(Status::Confirmed);
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
    case ReferenceClock::Source::CommitsBehindWallClock:
      return "commits_behind_wall_clock";
    case ReferenceClock::Source::EarlierAnswers:
      return "earlier_answers";
  }
  return "wall_clock";
}

}  // namespace sablespur
