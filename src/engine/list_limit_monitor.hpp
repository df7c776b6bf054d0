// Logs when the endpoint list has become too old to be used, and when it may be used again, with the
// number of requests that were rejected meanwhile. Pure: no clock.
#pragma once

#include <cstdint>
#include <optional>

#include "discovery/list_validity.hpp"
#include "engine/clock.hpp"

namespace sablespur {

class ListLimitMonitor {
 public:
  using Time = Clock::Time;

  // The list may be used until `until`; std::nullopt: without limit.
  void limited(Time now, std::optional<Time> until, ListLimit);
  // Called once a turn.
  void advance(Time now);
  void requestRejected(Time now);

  // Requests rejected while the list was too old, since the start.
  std::uint64_t rejections() const { return rejections_; }

 private:
  bool isTooOld(Time now) const { return until_ && now >= *until_; }

  std::optional<Time> until_;
  ListLimit limit_ = ListLimit::None;
  std::optional<Time> expiredAt_;  // logged and not over
  std::uint64_t rejections_ = 0;
  std::uint64_t rejectionsBefore_ = 0;  // when the list became too old
};

}  // namespace sablespur
