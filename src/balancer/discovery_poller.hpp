// When discovery is to be asked for the endpoint list: repeatedly, with a growing pause after failures.
#pragma once

#include "balancer/balancer.hpp"
#include "balancer/local_hash.hpp"
#include "balancer/time_math.hpp"

namespace sablespur::balancer {

class DiscoveryPoller {
 public:
  // What a call may use of its surroundings.
  struct Environment {
    const Settings& settings;
    ActionSink& sink;
    const LocalHash& random;
    Time now;
  };

  // Asks for the list now and, where the settings give a deadline, again unless a list has come by then.
  void poll(const Environment&);

  // A call was answered or failed; after a failure the next call is scheduled.
  void responseReceived(const Environment&, ListKind);

  // Whether this timer is still the current one; otherwise a later call has replaced it.
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
