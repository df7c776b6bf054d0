// The list that a process knows at its start, from its settings, until discovery has told one.
//
// Servers that it names may have begun to drain long ago, and discovery may count that as told from the first
// moment of the process on. So it is used for less than the grace, and then requests wait for the first
// answer of discovery: for a time that leaves out a discovery which is silent, and not at all once discovery
// has failed.
#pragma once

#include "balancer/balancer.hpp"
#include "balancer/time_math.hpp"

namespace sablespur::balancer {

class KnownList {
 public:
  void listReceived(Time now, ListKind kind) {
    const bool isKnownOnly = kind == ListKind::Cached && usedSince_ == kNever && !heardFromDiscovery_;
    if (isKnownOnly) usedSince_ = now;
    if (kind != ListKind::Cached) heardFromDiscovery_ = true;
  }

  // Whether sends have to wait for discovery.
  bool isTooOld(const Settings& settings, Time now) const {
    if (!settings.knownListMayBeOld || heardFromDiscovery_ || usedSince_ == kNever) return false;
    const Time used = now - usedSince_;
    return used >= settings.drainGrace * kUsableShareOfGrace / 100 && used < kLongestWait;
  }

 private:
  // The rest is for the start of the process and for a send on its way.
  static constexpr int kUsableShareOfGrace = 70;  // percent
  static constexpr Time kLongestWait = std::chrono::seconds(6);

  Time usedSince_ = kNever;
  bool heardFromDiscovery_ = false;  // a list of it, or its failure
};

}  // namespace sablespur::balancer
