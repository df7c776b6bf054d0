#include "app/status_table.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

#include "app/text_table.hpp"

namespace sablespur {
namespace {

using Json = nlohmann::ordered_json;

std::string text(const Json& object, const char* key) { return object.at(key).get<std::string>(); }
std::string number(const Json& object, const char* key) { return object.at(key).dump(); }
bool flag(const Json& object, const char* key) { return object.at(key).get<bool>(); }

// Earlier versions lack some keys; the key of a part that the proxy does not have is null.
bool hasPart(const Json& status, const char* key) { return status.contains(key) && !status[key].is_null(); }

// Returns "reason=count" for each entry, separated by spaces.
std::string reasons(const Json& counts) {
  std::string list;
  for (const auto& [reason, count] : counts.items())
    list += (list.empty() ? "" : " ") + reason + "=" + std::to_string(count.get<std::uint64_t>());
  return list;
}

std::string sum(const Json& counts) {
  std::uint64_t total = 0;
  for (const Json& count : counts) total += count.get<std::uint64_t>();
  return std::to_string(total);
}

// 0 means unlimited.
std::string limit(const Json& value) { return value.get<std::uint64_t>() == 0 ? "-" : value.dump(); }

std::string connections(const Json& share) {
  return fmt::format("{} of {} (peak {})", number(share, "held"), number(share, "most"),
                     number(share, "peak"));
}

std::string processLines(const Json& status) {
  const Json& descriptors = status.at("descriptors");
  const Json& statements = status.at("statement_bytes");
  return fmt::format(
      "{}, up {} s\nclient connections {}\nserver connections {}\nbytes of long statements {} of {}\n"
      "resource exhaustion: {} times out of descriptors, {} times out of memory\n",
      text(status, "name"), number(status, "up_s"), connections(descriptors.at("clients")),
      connections(descriptors.at("servers")), number(statements, "held"), number(statements, "most"),
      number(descriptors, "short_of_descriptors"), number(descriptors, "short_of_memory"));
}

std::string referenceClockLine(const Json& clock) {
  return fmt::format("reference clock: offset {} ms, {}, {} primaries heard, {} lagging\n",
                     number(clock, "offset_ms"), text(clock, "source"), number(clock, "primaries"),
                     number(clock, "lagging_primaries"));
}

std::string registryLine(const Json& registry) {
  const Json& confirmed = registry.at("confirmed_ms_ago");
  const std::string ending = text(registry, "last_call_ended");
  return fmt::format("registry: generation {}, confirmed {}, {} calls open, {} made, {} failed{}\n",
                     number(registry, "generation"),
                     confirmed.is_null() ? "not yet" : confirmed.dump() + " ms ago",
                     number(registry, "calls_open"), number(registry, "calls"),
                     number(registry, "calls_failed"), ending.empty() ? "" : ", last call ended: " + ending);
}

std::string storeLines(const Json& store) {
  const std::string reason = text(store, "why");
  return fmt::format(
      "store {}: {}{}{}, {} keys, {} sessions, {} commits of {} operations (longest {:.1f} ms)\n"
      "keyed writes: {}\n",
      text(store, "directory"), text(store, "state"), reason.empty() ? "" : ": ", reason,
      number(store, "keys"), number(store, "sessions"), number(store, "commits"), number(store, "operations"),
      store.at("longest_commit_ms").get<double>(), reasons(store.at("verdicts")));
}

std::string recoveryLine(const Json& recovery) {
  return fmt::format(
      "recovery: {} in {} ms, epoch {}{}, snapshot {} at the start, {} written, {} failed; {} requests "
      "rejected\n",
      text(recovery, "state"), number(recovery, "took_ms"), number(recovery, "epoch"),
      flag(recovery, "joined") ? " (joined)" : "", text(recovery, "snapshot"), number(recovery, "written"),
      number(recovery, "not_written"), number(recovery, "requests_turned_away"));
}

// Shows the connections of each client group.
std::string connectionTable(const Json& groups) {
  TextRows rows{{"GROUP", "HELD", "IDLE", "MOST", "RESERVE", "LEFT", "WEIGHT", "ADMITTED", "ASKED BACK",
                 "REFUSED", "WHY", "NOW"}};
  for (const Json& group : groups) {
    const Json& refused = group.at("refused");
    rows.push_back({text(group, "name"), number(group, "held"), number(group, "idle"),
                    limit(group.at("most")), number(group, "reserve"), number(group, "reserve_left"),
                    fmt::format("{:g}", group.at("weight").get<double>()), number(group, "admitted"),
                    number(group, "asked_back"), sum(refused), reasons(refused),
                    flag(group, "refusing") ? "refusing" : ""});
  }
  return formatTable(rows);
}

// Shows the requests to each replication group.
std::string queueTable(const Json& queues) {
  TextRows rows{{"LANE", "LIMIT", "OUT", "WAITING", "USUALLY MS"}};
  for (const Json& queue : queues)
    rows.push_back({number(queue, "group") + (flag(queue, "primary") ? " primary" : ""),
                    number(queue, "limit"), number(queue, "out"), number(queue, "waiting"),
                    fmt::format("{:.1f}", queue.at("usual_ms").get<double>())});
  return formatTable(rows);
}

// Shows the requests of each client group.
std::string requestTable(const Json& groups) {
  TextRows rows{{"GROUP", "OUT", "WAITING", "WENT", "WAITED", "TURNED AWAY", "WHY"}};
  for (const Json& group : groups) {
    const Json& requests = group.at("requests");
    const Json& rejected = requests.at("turned_away");
    rows.push_back({text(group, "name"), number(requests, "out"), number(requests, "waiting"),
                    number(requests, "went"), number(requests, "waited"), sum(rejected), reasons(rejected)});
  }
  return formatTable(rows);
}

std::string admissionLines(const Json& admission) {
  std::string lines =
      fmt::format("\nthe door: {} of {} let in, {} addresses served before\n", number(admission, "held"),
                  number(admission, "most"), number(admission, "known_addresses"));
  const Json& groups = admission.at("groups");
  lines += connectionTable(groups);
  if (!admission.contains("lanes")) return lines;
  lines += "\nrequests, by group of data servers:\n" + queueTable(admission["lanes"]);
  lines += "\nrequests, by group of clients:\n" + requestTable(groups);
  return lines;
}

std::string statusLines(const Json& status) {
  std::string lines = processLines(status);
  if (hasPart(status, "registry")) lines += registryLine(status["registry"]);
  if (hasPart(status, "reference_clock")) lines += referenceClockLine(status["reference_clock"]);
  if (hasPart(status, "store")) lines += storeLines(status["store"]);
  if (hasPart(status, "recovery")) lines += recoveryLine(status["recovery"]);
  const Json& admission = status.at("door");
  return lines + (admission.is_null() ? "no door: every client is alike\n" : admissionLines(admission));
}

}  // namespace

std::string statusTable(const std::string& json) {
  try {
    return statusLines(Json::parse(json));
  } catch (const Json::exception& error) {
    throw std::runtime_error(std::string("status: invalid status document: ") + error.what());
  }
}

}  // namespace sablespur
