#include "app/members.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "core/event.hpp"
#include "membership/registry/watch.hpp"

namespace sablespur {
namespace {

using knotstack::Lifecycle;

const char* stateName(Lifecycle s) {
  return s == Lifecycle::Ready ? "active" : s == Lifecycle::Draining ? "leaving" : "left";
}
std::string groupName(const Config& c, knotstack::GroupId id) {
  for (const GroupName& g : c.groups)
    if (g.id == id) return g.name;
  return std::to_string(id);
}
std::string started(std::int64_t ms) {
  return ms == 0 ? "long ago" : fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time_t(ms / 1000)));
}

// Takes the first list that comes.
struct Taker final : ListTaker {
  event_base* base = nullptr;
  InstanceList list;
  bool told = false;
  std::string why = "no word within the wait";
  void listed(InstanceList l) override {
    list = std::move(l);
    told = true;
    event_base_loopbreak(base);
  }
  void listFailed(const std::string& reason) override {
    why = reason;
    event_base_loopbreak(base);
  }
  std::uint64_t generation() const override { return 0; }
};

}  // namespace

std::string membersTable(const Config& config, const InstanceList& list) {
  const std::vector<std::string> heads{"NAME", "ADDRESS", "GROUP", "ZONE",
                                       "KIND", "WEIGHT",  "STATE", "STARTED"};
  std::vector<std::vector<std::string>> rows{heads};
  for (const Instance& i : list.instances)
    rows.push_back({i.name, i.address.text(), groupName(config, i.group), i.zone, i.kind,
                    fmt::format("{:g}", i.weight), stateName(i.state), started(i.startedMs)});
  std::vector<std::size_t> widths(heads.size());
  for (const auto& row : rows)
    for (std::size_t k = 0; k < row.size(); ++k) widths[k] = std::max(widths[k], row[k].size());
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t k = 0; k < row.size(); ++k)
      line += fmt::format("{:<{}}", row[k].empty() ? "-" : row[k], widths[k] + 2);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text + fmt::format("{} data servers\n", list.instances.size());
}

std::string membersJson(const Config& config, const InstanceList& list) {
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (const Instance& i : list.instances)
    all.push_back({{"name", i.name},
                   {"address", i.address.text()},
                   {"group", i.group},
                   {"group_name", groupName(config, i.group)},
                   {"zone", i.zone},
                   {"kind", i.kind},
                   {"weight", i.weight},
                   {"state", stateName(i.state)},
                   {"started_ms", i.startedMs}});
  const nlohmann::ordered_json page{{"generation", list.generation}, {"members", all}};
  // Names come from the network: what is no UTF-8 is replaced, never thrown on.
  return page.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
}

int showMembers(const Config& config, const MembersOptions& options) {
  const auto print = [&](const InstanceList& list) {
    std::fputs((options.json ? membersJson(config, list) : membersTable(config, list)).c_str(), stdout);
  };
  if (config.source == Source::Fixed) {
    print(config.known);
    return 0;
  }
  const EventBase base(event_base_new());
  Taker taker;
  taker.base = base.get();
  Discovery discovery(base.get(), taker, config.discovery);
  discovery.watch(0);
  const auto us = static_cast<std::int64_t>(options.waitSeconds * 1e6);
  const timeval wait{static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
  event_base_loopexit(base.get(), &wait);
  event_base_dispatch(base.get());
  print(taker.told ? taker.list : config.known);
  if (taker.told) return 0;
  std::fprintf(stderr, "sablespur: discovery at %s: %s; shown is what the settings know\n",
               config.discovery.text().c_str(), taker.why.c_str());
  return 1;
}

}  // namespace sablespur
