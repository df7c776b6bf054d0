#include "balancer/housekeeping.hpp"

#include <algorithm>

#include "balancer/request_dispatch.hpp"
#include "balancer/silence_detection.hpp"
#include "balancer/timer_token.hpp"

namespace sablespur::balancer {

void scheduleHousekeeping(Context& context) {
  if (context.work.housekeepingScheduled) return;
  context.work.housekeepingScheduled = true;
  context.sink.scheduleTimer(std::max(context.settings.timerResolution, kHousekeepingInterval),
                             timerToken(TimerKind::Housekeeping));
}

void runHousekeeping(Context& context) {
  WorkIndex& work = context.work;
  work.housekeepingScheduled = false;
  // The set of busy endpoints does not change during the loop, because detectSilence() sends no
  // attempts.
  for (const EndpointId id : work.busyEndpoints) detectSilence(context, context.endpoints.at(id));
  resumeAllWaiting(context, PrimaryChecks::Yes);
  if (work.inFlight > 0 || !work.waitingGroups.empty()) scheduleHousekeeping(context);
}

}  // namespace sablespur::balancer
