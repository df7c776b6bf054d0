// The known list: the endpoint list from the settings, which a process uses until discovery
// responds.
//
// Endpoints on it may have begun to drain long ago, and discovery may count this process as
// informed of that from its start. Therefore the known list is used for less than the drain grace.
// After that, requests wait for the first response of discovery. The wait is bounded, so that a
// silent discovery does not block requests for good, and ends at once if discovery fails.
#pragma once

#include "balancer/balancer.hpp"
#include "balancer/time_math.hpp"

namespace sablespur::balancer {

class KnownList {
 public:
  void listReceived(Time now, ListKind kind) {
    const bool isKnownOnly = kind == ListKind::Cached && usedSince_ == kNever && !discoveryResponded_;
    if (isKnownOnly) usedSince_ = now;
    if (kind != ListKind::Cached) discoveryResponded_ = true;
  }

  // Returns whether sends have to wait for discovery.
  bool isTooOld(const Settings& settings, Time now) const {
    if (!settings.knownListMayBeOld || discoveryResponded_ || usedSince_ == kNever) return false;
    const Time used = now - usedSince_;
    return used >= settings.drainGrace * kUsableShareOfGrace / 100 && used < kWaitEnd;
  }

 private:
  // The remainder covers the start of the process and the time that an attempt takes to arrive.
  static constexpr int kUsableShareOfGrace = 70;             // percent
  static constexpr Time kWaitEnd = std::chrono::seconds(6);  // since the known list was first used

  Time usedSince_ = kNever;
  bool discoveryResponded_ = false;  // it has returned a list or failed
};

}  // namespace sablespur::balancer
