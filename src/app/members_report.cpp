#include "app/members_report.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

#include "app/text_table.hpp"

namespace sablespur {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

std::string groupName(const Config& config, balancer::GroupId id) {
  for (const GroupName& group : config.groups)
    if (group.id == id) return group.name;
  return std::to_string(id);
}

// A start time of 0 means that the instance started before the first list.
std::string startText(std::int64_t unixMs) {
  if (unixMs == 0) return "long ago";
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time_t(unixMs / 1000)));
}

std::string ageText(const MembersView& view) {
  if (!view.members.lastUpdate) return "no list from discovery";
  const std::chrono::duration<double> age = view.now - *view.members.lastUpdate;
  return fmt::format("told {:.1f} s ago", age.count());
}

Json memberJson(const Config& config, const EndpointTable::Row& row) {
  const DiscoveredEndpoint& endpoint = row.endpoint;
  Json member{{"name", endpoint.name},
              {"address", endpoint.address.text()},
              {"group", endpoint.group},
              {"group_name", groupName(config, endpoint.group)},
              {"zone", endpoint.zone},
              {"kind", endpoint.kind},
              {"weight", endpoint.weight},
              {"state", lifecycleName(endpoint.state)},
              {"started_ms", endpoint.startedMs},
              {"withdrawals", row.withdrawals}};
  if (!row.exclusionReason.empty()) member["left_out"] = row.exclusionReason;
  return member;
}

Json ageJson(const MembersView& view) {
  if (!view.members.lastUpdate) return nullptr;
  return (view.now - *view.members.lastUpdate) / std::chrono::milliseconds(1);
}

}  // namespace

std::string membersTable(const Config& config, const MembersView& view) {
  TextRows rows{{"NAME", "ADDRESS", "GROUP", "ZONE", "KIND", "WEIGHT", "STATE", "STARTED", "LEFT OUT"}};
  std::size_t used = 0;
  for (const EndpointTable::Row& row : view.members.rows) {
    const DiscoveredEndpoint& endpoint = row.endpoint;
    if (row.exclusionReason.empty()) ++used;
    rows.push_back({endpoint.name, endpoint.address.text(), groupName(config, endpoint.group), endpoint.zone,
                    endpoint.kind, fmt::format("{:g}", endpoint.weight), lifecycleName(endpoint.state),
                    startText(endpoint.startedMs), row.exclusionReason});
  }
  for (const auto& [name, reason] : view.faults) rows.push_back({name, "", "", "", "", "", "", "", reason});
  const std::size_t excluded = rows.size() - 1 - used;
  return formatTable(rows) + fmt::format("{} data servers, {} left out; {}\n", used, excluded, ageText(view));
}

std::string membersJson(const Config& config, const MembersView& view) {
  Json members = Json::array();
  Json excluded = Json::array();
  for (const EndpointTable::Row& row : view.members.rows)
    (row.exclusionReason.empty() ? members : excluded).push_back(memberJson(config, row));
  for (const auto& [name, reason] : view.faults) excluded.push_back({{"name", name}, {"left_out", reason}});
  Json page{{"members", std::move(members)}, {"left_out", std::move(excluded)}};
  page["list_age_ms"] = ageJson(view);
  if (view.members.failingSince) page["failing"] = view.members.lastError;
  // Names come from the network: invalid UTF-8 is replaced.
  return page.dump(kIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace sablespur
