#include "engine/endpoint_updater.hpp"

#include <chrono>
#include <utility>

#include "logging/log.hpp"

namespace sablespur {
namespace {

constexpr Clock::Time kFailureLogInterval = std::chrono::seconds(30);

const char* stateName(balancer::Lifecycle state) {
  switch (state) {
    case balancer::Lifecycle::Ready:
      return "active";
    case balancer::Lifecycle::Draining:
      return "leaving";
    default:
      return "gone";
  }
}

void logChange(const DiscoveredEndpoint& endpoint, std::uint64_t generation) {
  logEvent(LogLevel::Info, "endpoint_changed",
           {{"name", endpoint.name},
            {"state", stateName(endpoint.state)},
            {"address", endpoint.address.text()},
            {"group", endpoint.group},
            {"weight", endpoint.weight},
            {"started_ms", endpoint.startedMs},
            {"generation", generation}});
}

}  // namespace

EndpointUpdater::EndpointUpdater(event_base* base, const Clock& clock, EndpointListConsumer& consumer,
                                 const EndpointTablePolicy& policy)
    : clock_(clock),
      consumer_(consumer),
      table_(policy),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<EndpointUpdater*>(self)->deliverDueLists(); },
          this)) {}

void EndpointUpdater::snapshotReceived(std::vector<DiscoveredEndpoint> all, bool first) {
  table_.applySnapshot(clock_.now(), std::move(all), first);
  deliverDueLists();
}

void EndpointUpdater::endpointsListed(EndpointList list) {
  logReceived(list);
  ++listCount_;
  table_.applyUpdate(clock_.now(), std::move(list));
  deliverDueLists();
}

void EndpointUpdater::discoveryFailed(const std::string& why) {
  const auto now = clock_.now();
  table_.recordFailure(now, why);
  logFailure(now, why);
  consumer_.discoveryFailed(why);
  deliverDueLists();
}

// The age of the previous list shows whether a change arrived late; the two generations show
// whether the source went back to an older list.
void EndpointUpdater::logReceived(const EndpointList& list) const {
  const auto now = clock_.now();
  const auto lastUpdate = table_.view(now).lastUpdate;
  logEvent(LogLevel::Info, "endpoint_list_received",
           {{"generation", list.generation},
            {"known_generation", table_.lastGeneration()},
            {"whole", list.reset},
            {"entries", list.instances.size()},
            {"list_age_ms", lastUpdate ? (now - *lastUpdate).count() / 1000 : -1}});
}

void EndpointUpdater::logFailure(Clock::Time now, const std::string& why) {
  if (failureLoggedAt_ && now - *failureLoggedAt_ < kFailureLogInterval) return;
  failureLoggedAt_ = now;
  const auto lastUpdate = table_.view(now).lastUpdate;
  if (!lastUpdate)
    return logEvent(LogLevel::Warning, "discovery_failed", {{"why", why}, {"list", "none yet"}});
  const std::chrono::duration<double> age = now - *lastUpdate;
  logEvent(LogLevel::Warning, "discovery_failed", {{"why", why}, {"list_age_s", age.count()}});
}

void EndpointUpdater::deliverDueLists() {
  const auto now = clock_.now();
  while (auto list = table_.nextUpdate(now)) {
    for (const DiscoveredEndpoint& endpoint : list->instances) logChange(endpoint, list->generation);
    consumer_.endpointsListed(std::move(*list));
  }
  if (const auto at = table_.nextDeadline())
    startTimer(timer_.get(), *at - now);
  else
    event_del(timer_.get());
}

}  // namespace sablespur
