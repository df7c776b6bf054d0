// Collects what the answers of each primary show about this machine's wall clock. Pure: no I/O and
// no system clock.
//
// An offset is Unix time minus the process's monotonic time. An answer received at R to a request
// sent at S proves only this of the true offset:
//
// - A position P is at least P - R, as no server has commits of the future. It is no upper bound: a
//   primary whose position lags looks the same as a wall clock that is ahead.
// - The commit C of a write is at most C - S, as the write began after the send.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace sablespur {

// Tells whether offsets seen one after another have kept step with time.
class SteadyOffset {
 public:
  using Time = std::chrono::microseconds;

  void observe(Time offset, Time at);
  bool isSteady() const { return steady_; }

 private:
  std::optional<Time> first_;
  Time firstAt_{};
  bool steady_ = false;
};

// Round trips of at most kMaxRoundTrip are expected; the caller drops slower answers, whose bounds
// are too wide.
class PrimaryClockEvidence {
 public:
  using Time = std::chrono::microseconds;
  using ServerId = std::uint64_t;

  static constexpr Time kMaxRoundTrip = std::chrono::milliseconds(250);
  // The last commit of an idle primary may be this old.
  static constexpr Time kMaxIdlePositionAge = std::chrono::seconds(1);

  // State of the wall clock according to one primary.
  enum class WallClockStatus {
    Undecided,
    Behind,
    AheadOfPositions,  // or the positions lag
    AheadOfCommits,    // proven
    Confirmed,
  };

  struct Answer {
    Time position;  // Unix time
    Time sent;      // monotonic, as `received`
    Time received;
    bool isNewCommit;  // `position` is the commit of a write that was sent once and had not run before
  };
  void observe(ServerId, const Answer&, Time wallOffset);
  void wallClockStepped(Time wallOffset);
  void forget(ServerId);

  std::size_t primaries() const { return samples_.size(); }
  std::size_t count(WallClockStatus status) const { return counts_[static_cast<std::size_t>(status)]; }
  // Return the median estimate of the true offset by primaries with this status, or with one of the
  // two statuses that show the wall clock ahead. Require such a primary.
  Time medianOffset(WallClockStatus) const;
  Time medianAheadOffset() const;
  // Greatest offset that the answers of more than half of the primaries prove as a lower bound;
  // std::nullopt if there is none.
  std::optional<Time> provenOffset() const;
  // Whether provenOffset() may have changed since the last call.
  bool takeProofChanged();
  // Limit the proof of each primary to its answers since startProofWindow(), or since the last
  // limitProofToWindow(). A primary that has not answered since then keeps its proof.
  void startProofWindow();
  void limitProofToWindow();

 private:
  static constexpr std::size_t kStatuses = 5;

  struct Sample {
    // Of the latest position.
    Time minOffset{};
    Time maxOffset{};
    SteadyOffset positions;
    // Of commits.
    Time commitOffset{};  // upper bound, from the latest one
    SteadyOffset commits;
    std::optional<Time> provenOffset;
    std::optional<Time> windowOffset;  // the same, of the current window
    WallClockStatus status = WallClockStatus::Undecided;
  };

  static WallClockStatus assess(const Sample&, Time wallOffset);
  template <typename Predicate>
  Time medianEstimate(Predicate hasStatus) const;
  void setStatus(Sample&, WallClockStatus);
  void recordProof(Sample&, Time wallOffset);
  std::size_t& counter(WallClockStatus status) { return counts_[static_cast<std::size_t>(status)]; }

  std::unordered_map<ServerId, Sample> samples_;
  std::size_t counts_[kStatuses] = {};
  bool proofChanged_ = false;
};

}  // namespace sablespur
