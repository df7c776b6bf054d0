// Decides when to ask discovery for the endpoint list: repeatedly, with a growing pause after
// failures.
#pragma once

#include "balancer/balancer.hpp"
#include "balancer/local_hash.hpp"
#include "balancer/time_math.hpp"

namespace sablespur::balancer {

class DiscoveryPoller {
 public:
  // Dependencies of a call; the references are only used during the call.
  struct Environment {
    const Settings& settings;
    ActionSink& sink;
    const LocalHash& random;
    Time now;
  };

  // Requests the list now. If the settings give a deadline, requests it again unless a list arrives
  // well before that deadline.
  void poll(const Environment&);

  // Handles the response to a call; after a failure it schedules the next call.
  void responseReceived(const Environment&, ListKind);

  // Returns whether this timer is current, not replaced by that of a later call.
  bool isDue(std::uint64_t timerId) const { return polling_ && timerId == generation_; }

 private:
  static constexpr Time kMinPollBackoff = std::chrono::milliseconds(200);
  static constexpr Time kMaxPollBackoff = std::chrono::milliseconds(600);

  void schedule(const Environment&, Time in);

  bool polling_ = false;
  Time backoff_ = kMinPollBackoff;
  std::uint64_t generation_ = 0;
};

}  // namespace sablespur::balancer
