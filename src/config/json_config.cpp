// Reads the platform's JSON settings. Their `settings` object is also part of the simulator's
// protocol.
#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "config/config.hpp"
#include "discovery/json.hpp"
#include "simulator/protocol.hpp"

namespace sablespur {
namespace {

using simdjson::dom::element;
using simdjson::dom::element_type;

// Returns the text of a scalar value. Spaces, commas and newlines become '_', since the simulator's
// protocol uses them as separators.
std::string scalarText(const element& e) {
  switch (e.type()) {
    case element_type::BOOL:
      return bool(e) ? "true" : "false";
    case element_type::DOUBLE: {
      char text[32];
      std::snprintf(text, sizeof text, "%.17g", double(e));
      return text;
    }
    case element_type::STRING: {
      std::string text{std::string_view(e)};
      for (char& c : text)
        if (c == ' ' || c == ',' || c == '\n') c = '_';
      return text;
    }
    case element_type::INT64:
    case element_type::UINT64:
      return simdjson::minify(e);
    default:
      return "";
  }
}

// Appends one line path=value for each scalar value, as in the simulator's protocol, so that both
// formats share one parser.
void flatten(const element& e, const std::string& path, std::string& lines) {
  const std::string under = path.empty() ? "" : path + ".";
  if (e.is_object()) {
    for (const auto [key, value] : simdjson::dom::object(e)) flatten(value, under + std::string(key), lines);
    return;
  }
  if (!e.is_array()) {
    lines += path + "=" + scalarText(e) + "\n";
    return;
  }
  const simdjson::dom::array items(e);
  std::string joined;
  std::size_t n = 0;
  bool objects = false;
  for (const element item : items) {
    objects = objects || item.is_object();
    if (objects)
      flatten(item, under + std::to_string(n), lines);
    else
      joined += (n > 0 ? "," : "") + scalarText(item);
    ++n;
  }
  lines += objects ? under + "count=" + std::to_string(n) + "\n" : path + "=" + joined + "\n";
}

std::vector<std::string> strings(const element& object, const std::string& path, const char* key) {
  std::vector<std::string> v;
  for (const element e : jsonField<simdjson::dom::array>(object, key, path)) {
    std::string_view text;
    if (e.get(text)) throw BadInput("key " + path + key + ": not all values are strings");
    v.emplace_back(text);
  }
  return v;
}

int integer(const element& object, const char* key, const std::string& path, std::int64_t min,
            std::int64_t max) {
  const auto value = jsonField<std::int64_t>(object, key, path);
  if (value < min || value > max)
    throw BadInput("key " + path + key + ": " + std::to_string(value) + " is not in " + std::to_string(min) +
                   " to " + std::to_string(max));
  return static_cast<int>(value);
}

void readProcess(const element& root, Config& config) {
  config.name = std::string(jsonField<std::string_view>(root, "name", ""));
  config.listen = parseAddress(jsonField<std::string_view>(root, "listen", ""), "listen");
  config.discovery = parseAddress(jsonField<std::string_view>(root, "discovery", ""), "discovery");
  const auto seed = jsonField<std::string_view>(root, "seed", "");
  const auto [stop, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc() || stop != seed.data() + seed.size())
    throw BadInput("key seed: '" + std::string(seed) + "' is not a hexadecimal number");
}

void readLimits(const element& root, Config& config) {
  const auto limits = jsonField<element>(root, "limits", "");
  const int sockets = integer(limits, "sockets", "limits.", kMinDescriptors, kMaxDescriptors);
  const int megabytes = integer(limits, "memory_mb", "limits.", kMinMemory >> 20, kMaxMemory >> 20);
  deriveBounds(config, static_cast<std::size_t>(sockets), static_cast<std::uint64_t>(megabytes) << 20);
}

void readBalancerSettings(const element& settings, Config& config) {
  std::string lines;
  flatten(settings, "", lines);
  try {
    config.settings = simulator::parseSettings(lines);
  } catch (const simulator::BadSetting& e) {
    throw BadInput(std::string("key settings: ") + e.what());
  }
}

void readNames(const element& settings, Config& config) {
  std::size_t index = 0;
  for (const element requestClass : jsonField<simdjson::dom::array>(settings, "classes", "settings.")) {
    const std::string path = "settings.classes[" + std::to_string(index++) + "].";
    config.classes.emplace_back(jsonField<std::string_view>(requestClass, "name", path));
  }
  config.zones = strings(settings, "settings.", "zones");
  if (config.settings.loadReportMode != balancer::LoadReportMode::None)
    config.reportNames =
        strings(jsonField<element>(settings, "report", "settings."), "settings.report.", "names");
}

void readTimeouts(const element& allowed, Config& config) {
  const std::string path = "settings.allowed.";
  config.dialTimeout = Time(integer(allowed, "dialTimeoutUs", path, 1000, 60000000));
  config.idleClose = Time(integer(allowed, "idleCloseUs", path, 1000000, 2000000000));
}

// Enables gossip if it is allowed and has an address.
void readGossip(const element& root, const element& allowed, Config& config) {
  bool gossips = false;
  if (allowed["peers"].get(gossips) != simdjson::SUCCESS || !gossips) return;
  std::string_view address;
  if (root["peer_listen"].get(address) != simdjson::SUCCESS) return;
  config.peerListen = parseAddress(address, "peer_listen");
  for (const std::string& peer : strings(root, "", "peers"))
    config.peers.push_back(parseAddress(peer, "peers"));
  std::int64_t own = 0;
  if (root["settings"]["slotNo"].get(own) == simdjson::SUCCESS && own >= 0 &&
      static_cast<std::size_t>(own) < config.peers.size())
    config.ownPeerAddress = config.peers[static_cast<std::size_t>(own)];
  if (root["peers_all"].get(address) == simdjson::SUCCESS)
    config.peersAll = parseAddress(address, "peers_all");
}

void checkClasses(Config& config) {
  for (std::size_t index = 0; index < config.settings.classes.size(); ++index) {
    const balancer::ClassSettings& requestClass = config.settings.classes[index];
    config.sessions = config.sessions || requestClass.requirement == balancer::Requirement::Session;
    if (requestClass.latencyObjective <= Time(0) || requestClass.deadline < requestClass.latencyObjective)
      throw BadInput("key settings.classes[" + std::to_string(index) +
                     "].promiseUs: must be above 0 and at most deadlineUs");
  }
}

}  // namespace

Config parseConfig(const std::string& json) {
  simdjson::dom::parser parser;
  element root;
  if (const auto error = parser.parse(json).get(root))
    throw BadInput(std::string("no JSON: ") + simdjson::error_message(error));
  Config config;
  readProcess(root, config);
  readLimits(root, config);
  config.known = readEndpointList(jsonField<element>(root, "known", ""), "known.");
  const auto settings = jsonField<element>(root, "settings", "");
  readBalancerSettings(settings, config);
  config.listsArePushed = config.settings.discoveryMode == balancer::DiscoveryMode::Automatic;
  readNames(settings, config);
  const auto allowed = jsonField<element>(settings, "allowed", "settings.");
  readTimeouts(allowed, config);
  readGossip(root, allowed, config);
  std::string_view control;
  if (root["control"].get(control) == simdjson::SUCCESS) config.control = parseAddress(control, "control");
  checkClasses(config);
  if (config.settings.warmUpStartCapacity <= 0 || config.settings.warmUpStartCapacity > 1)
    throw BadInput("key settings.obligations.startCapacity: must be above 0 and at most 1");
  return config;
}

Config readConfig(const char* path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file || !text) throw BadInput(std::string("file ") + path + " cannot be read");
  return parseConfig(text.str());
}

}  // namespace sablespur
