#include "app/members.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "app/list_source.hpp"
#include "app/table.hpp"
#include "engine/event.hpp"
#include "logging/log.hpp"

namespace sablespur {
namespace {

using balancer::Lifecycle;

const char* stateName(Lifecycle s) {
  return s == Lifecycle::Ready ? "active" : s == Lifecycle::Draining ? "leaving" : "left";
}
std::string groupName(const Config& c, balancer::GroupId id) {
  for (const GroupName& g : c.groups)
    if (g.id == id) return g.name;
  return std::to_string(id);
}
std::string started(std::int64_t ms) {
  return ms == 0 ? "long ago" : fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time_t(ms / 1000)));
}

std::string age(const MembersView& view) {
  if (!view.members.lastUpdate) return "discovery has told nothing";
  return fmt::format("told {:.1f} s ago",
                     static_cast<double>((view.now - *view.members.lastUpdate).count()) / 1e6);
}

// Takes the first list that comes.
struct Taker final : EndpointListConsumer {
  event_base* base = nullptr;
  bool told = false;
  std::string why = "no word within the wait";
  void endpointsListed(EndpointList) override {
    told = true;
    event_base_loopbreak(base);
  }
  void discoveryFailed(const std::string& reason) override {
    why = reason;
    event_base_loopbreak(base);
  }
  std::uint64_t generation() const override { return 0; }
};

}  // namespace

std::string membersTable(const Config& config, const MembersView& view) {
  const std::vector<std::string> heads{"NAME",   "ADDRESS", "GROUP",   "ZONE",    "KIND",
                                       "WEIGHT", "STATE",   "STARTED", "LEFT OUT"};
  std::vector<std::vector<std::string>> rows{heads};
  std::size_t used = 0;
  for (const EndpointTable::Row& r : view.members.rows) {
    const DiscoveredEndpoint& i = r.endpoint;
    used += r.exclusionReason.empty();
    rows.push_back({i.name, i.address.text(), groupName(config, i.group), i.zone, i.kind,
                    fmt::format("{:g}", i.weight), stateName(i.state), started(i.startedMs),
                    r.exclusionReason});
  }
  for (const auto& [name, why] : view.faults) rows.push_back({name, "", "", "", "", "", "", "", why});
  return table(rows) +
         fmt::format("{} data servers, {} left out; {}\n", used, rows.size() - 1 - used, age(view));
}

std::string membersJson(const Config& config, const MembersView& view) {
  using Json = nlohmann::ordered_json;
  Json all = Json::array(), out = Json::array();
  for (const EndpointTable::Row& r : view.members.rows) {
    const DiscoveredEndpoint& i = r.endpoint;
    Json one{{"name", i.name},
             {"address", i.address.text()},
             {"group", i.group},
             {"group_name", groupName(config, i.group)},
             {"zone", i.zone},
             {"kind", i.kind},
             {"weight", i.weight},
             {"state", stateName(i.state)},
             {"started_ms", i.startedMs},
             {"withdrawals", r.withdrawals}};
    if (!r.exclusionReason.empty()) one["left_out"] = r.exclusionReason;
    (r.exclusionReason.empty() ? all : out).push_back(std::move(one));
  }
  for (const auto& [name, why] : view.faults) out.push_back({{"name", name}, {"left_out", why}});
  Json page{{"members", std::move(all)}, {"left_out", std::move(out)}};
  if (view.members.lastUpdate)
    page["list_age_ms"] = (view.now - *view.members.lastUpdate).count() / 1000;
  else
    page["list_age_ms"] = nullptr;
  if (view.members.failingSince) page["failing"] = view.members.lastError;
  // Names come from the network: what is no UTF-8 is replaced, never thrown on.
  return page.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

int showMembers(const Config& config, const MembersOptions& options) {
  const EventBase base(event_base_new());
  const Clock clock;
  Taker taker;
  taker.base = base.get();
  EndpointUpdater feed(base.get(), clock, taker, sourcePolicy(config));
  const std::unique_ptr<ListSource> source = openSource(base.get(), clock, feed, config);
  if (config.source == Source::Fixed) {
    feed.found(config.known.instances, true);
  } else {
    source->watch(0);
    const auto us = static_cast<std::int64_t>(options.waitSeconds * 1e6);
    const timeval wait{static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
    event_base_loopexit(base.get(), &wait);
    event_base_dispatch(base.get());
  }
  if (!taker.told) {  // what the settings know, and that it is not discovery's word
    EndpointTable known;
    known.applySnapshot(clock.now(), config.known.instances);
    known.nextUpdate(clock.now());
    MembersView view{known.view(clock.now()), {}, clock.now()};
    view.members.lastUpdate.reset();
    std::fputs((options.json ? membersJson(config, view) : membersTable(config, view)).c_str(), stdout);
    std::fprintf(stderr, "sablespur: discovery: %s; shown is what the settings know\n", taker.why.c_str());
    return 1;
  }
  std::map<std::string, std::string> faults = source->faults();
  const MembersView view{feed.view(), std::move(faults), clock.now()};
  std::fputs((options.json ? membersJson(config, view) : membersTable(config, view)).c_str(), stdout);
  return 0;
}

}  // namespace sablespur
