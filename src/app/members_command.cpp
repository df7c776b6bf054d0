#include "app/members_command.hpp"

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>

#include "app/discovery_source.hpp"
#include "app/members_report.hpp"
#include "engine/endpoint_updater.hpp"
#include "engine/event.hpp"

namespace sablespur {
namespace {

// Breaks the event loop when the first endpoint list arrives or discovery fails.
class FirstList final : public EndpointListConsumer {
 public:
  explicit FirstList(event_base* base) : base_(base) {}

  void endpointsListed(EndpointList) override {
    arrived_ = true;
    event_base_loopbreak(base_);
  }
  void discoveryFailed(const std::string& reason) override {
    failure_ = reason;
    event_base_loopbreak(base_);
  }
  std::uint64_t generation() const override { return 0; }

  bool arrived() const { return arrived_; }
  // Returns the reason why no list has arrived.
  const std::string& failure() const { return failure_; }

 private:
  event_base* const base_;
  bool arrived_ = false;
  std::string failure_ = "no endpoint list within the wait";
};

void runFor(event_base* base, double seconds) {
  const auto span =
      std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(seconds)).count();
  constexpr std::int64_t kSecond = 1000000;
  const timeval wait{static_cast<time_t>(span / kSecond), static_cast<suseconds_t>(span % kSecond)};
  event_base_loopexit(base, &wait);
  event_base_dispatch(base);
}

// Returns the members that the settings name. `lastUpdate` is not set, as the list does not come
// from discovery.
MembersView settingsView(const Config& config, Time now) {
  EndpointTable known;
  known.applySnapshot(now, config.known.instances);
  known.nextUpdate(now);
  MembersView view{known.view(now), {}, now};
  view.members.lastUpdate.reset();
  return view;
}

void printReport(const Config& config, const MembersOptions& options, const MembersView& view) {
  const std::string report = options.json ? membersJson(config, view) : membersTable(config, view);
  std::fputs(report.c_str(), stdout);
}

}  // namespace

int showMembers(const Config& config, const MembersOptions& options) {
  const EventBase base(event_base_new());
  const Clock clock;
  FirstList firstList(base.get());
  EndpointUpdater updater(base.get(), clock, firstList, endpointTablePolicy(config));
  const std::unique_ptr<ConfiguredDiscovery> source =
      createDiscoverySource(base.get(), clock, updater, config);
  if (config.source == DiscoveryKind::Fixed) {
    updater.snapshotReceived(config.known.instances, true);
  } else {
    source->watch(0);
    runFor(base.get(), options.waitSeconds);
  }
  if (!firstList.arrived()) {
    printReport(config, options, settingsView(config, clock.now()));
    std::fprintf(stderr, "sablespur: discovery: %s; showing the members from the settings\n",
                 firstList.failure().c_str());
    return 1;
  }
  std::map<std::string, std::string> faults = source->faults();
  printReport(config, options, {updater.view(), std::move(faults), clock.now()});
  return 0;
}

}  // namespace sablespur
