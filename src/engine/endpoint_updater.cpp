#include "engine/endpoint_updater.hpp"

#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr std::chrono::microseconds kLogAgain = std::chrono::seconds(30);

const char* stateName(balancer::Lifecycle s) {
  return s == balancer::Lifecycle::Ready ? "active" : s == balancer::Lifecycle::Draining ? "leaving" : "gone";
}

}  // namespace

EndpointUpdater::EndpointUpdater(event_base* base, const Clock& clock, EndpointListConsumer& to,
                                 const EndpointTablePolicy& policy)
    : clock_(clock),
      to_(to),
      members_(policy),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<EndpointUpdater*>(self)->pass(); }, this)) {}

void EndpointUpdater::found(std::vector<DiscoveredEndpoint> all, bool first) {
  members_.applySnapshot(clock_.now(), std::move(all), first);
  pass();
}

void EndpointUpdater::endpointsListed(EndpointList list) {
  members_.applyUpdate(clock_.now(), std::move(list));
  pass();
}

void EndpointUpdater::discoveryFailed(const std::string& why) {
  const auto now = clock_.now();
  members_.recordFailure(now, why);
  const auto view = members_.view(now);
  if (logged_ == std::chrono::microseconds(0) || now - logged_ >= kLogAgain) {
    logged_ = now;
    if (view.lastUpdate)
      logEvent(LogLevel::Warning, "discovery_failed",
               {{"why", why}, {"list_age_s", static_cast<double>((now - *view.lastUpdate).count()) / 1e6}});
    else
      logEvent(LogLevel::Warning, "discovery_failed", {{"why", why}, {"list", "none yet"}});
  }
  to_.discoveryFailed(why);
  pass();
}

void EndpointUpdater::pass() {
  const auto now = clock_.now();
  while (auto list = members_.nextUpdate(now)) {
    for (const DiscoveredEndpoint& i : list->instances)
      logEvent(LogLevel::Info, "endpoint_changed",
               {{"name", i.name},
                {"state", stateName(i.state)},
                {"address", i.address.text()},
                {"group", i.group},
                {"weight", i.weight},
                {"started_ms", i.startedMs}});
    to_.endpointsListed(std::move(*list));
  }
  if (const auto at = members_.nextDeadline())
    startTimer(timer_.get(), *at - now);
  else
    event_del(timer_.get());
}

}  // namespace sablespur
