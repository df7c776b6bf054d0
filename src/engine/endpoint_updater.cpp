#include "engine/endpoint_updater.hpp"

#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr std::chrono::microseconds kFailureLogInterval = std::chrono::seconds(30);

const char* stateName(balancer::Lifecycle s) {
  return s == balancer::Lifecycle::Ready ? "active" : s == balancer::Lifecycle::Draining ? "leaving" : "gone";
}

}  // namespace

EndpointUpdater::EndpointUpdater(event_base* base, const Clock& clock, EndpointListConsumer& to,
                                 const EndpointTablePolicy& policy)
    : clock_(clock),
      consumer_(to),
      table_(policy),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<EndpointUpdater*>(self)->deliverDueLists(); },
          this)) {}

void EndpointUpdater::found(std::vector<DiscoveredEndpoint> all, bool first) {
  table_.applySnapshot(clock_.now(), std::move(all), first);
  deliverDueLists();
}

void EndpointUpdater::endpointsListed(EndpointList list) {
  table_.applyUpdate(clock_.now(), std::move(list));
  deliverDueLists();
}

void EndpointUpdater::discoveryFailed(const std::string& why) {
  const auto now = clock_.now();
  table_.recordFailure(now, why);
  const auto view = table_.view(now);
  if (lastFailureLoggedAt_ == std::chrono::microseconds(0) ||
      now - lastFailureLoggedAt_ >= kFailureLogInterval) {
    lastFailureLoggedAt_ = now;
    if (view.lastUpdate)
      logEvent(LogLevel::Warning, "discovery_failed",
               {{"why", why}, {"list_age_s", static_cast<double>((now - *view.lastUpdate).count()) / 1e6}});
    else
      logEvent(LogLevel::Warning, "discovery_failed", {{"why", why}, {"list", "none yet"}});
  }
  consumer_.discoveryFailed(why);
  deliverDueLists();
}

void EndpointUpdater::deliverDueLists() {
  const auto now = clock_.now();
  while (auto list = table_.nextUpdate(now)) {
    for (const DiscoveredEndpoint& i : list->instances)
      logEvent(LogLevel::Info, "endpoint_changed",
               {{"name", i.name},
                {"state", stateName(i.state)},
                {"address", i.address.text()},
                {"group", i.group},
                {"weight", i.weight},
                {"started_ms", i.startedMs}});
    consumer_.endpointsListed(std::move(*list));
  }
  if (const auto at = table_.nextDeadline())
    startTimer(timer_.get(), *at - now);
  else
    event_del(timer_.get());
}

}  // namespace sablespur
