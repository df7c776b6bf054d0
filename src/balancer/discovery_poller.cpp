#include "balancer/discovery_poller.hpp"

#include <algorithm>

#include "balancer/timer_token.hpp"

namespace sablespur::balancer {
namespace {

constexpr std::uint64_t kJitterSalt = 1;
constexpr int kPollsPerDeadline = 3;  // an unanswered call is repeated well before the deadline

}  // namespace

void DiscoveryPoller::schedule(const Environment& environment, Time in) {
  const double jitter =
      0.5 + environment.random.fraction(kJitterSalt, static_cast<std::uint64_t>(environment.now.count()));
  ++generation_;
  environment.sink.scheduleTimer(scaled(in, jitter), timerToken(TimerKind::DiscoveryPoll, generation_));
}

void DiscoveryPoller::poll(const Environment& environment) {
  polling_ = true;
  environment.sink.subscribe();
  const Time deadline = environment.settings.discoveryPollDeadline;
  if (deadline > Time(0)) schedule(environment, deadline / kPollsPerDeadline);
}

void DiscoveryPoller::responseReceived(const Environment& environment, ListKind kind) {
  polling_ = kind == ListKind::Failed && environment.settings.discoveryMode == DiscoveryMode::Subscribe;
  if (polling_) {
    schedule(environment, backoff_);
    backoff_ = std::min(2 * backoff_, kMaxPollBackoff);
  }
  if (kind != ListKind::Failed) backoff_ = kMinPollBackoff;
}

}  // namespace sablespur::balancer
