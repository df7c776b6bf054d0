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

std::string plain(const element& e) {
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

// The settings as the simulator's wire carries them: a line path=value for each plain value, so that one
// reader of settings serves both.
void flatten(const element& e, const std::string& path, std::string& lines) {
  const std::string under = path.empty() ? "" : path + ".";
  if (e.is_object()) {
    for (const auto [key, value] : simdjson::dom::object(e)) flatten(value, under + std::string(key), lines);
    return;
  }
  if (!e.is_array()) {
    lines += path + "=" + plain(e) + "\n";
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
      joined += (n > 0 ? "," : "") + plain(item);
    ++n;
  }
  lines += objects ? under + "count=" + std::to_string(n) + "\n" : path + "=" + joined + "\n";
}

std::vector<std::string> names(const element& array, const std::string& path, const char* key) {
  std::vector<std::string> v;
  for (const element e : jsonField<simdjson::dom::array>(array, key, path)) {
    std::string_view text;
    if (e.get(text)) throw BadInput("key " + path + key + ": not all are strings");
    v.emplace_back(text);
  }
  return v;
}

int whole(const element& of, const char* key, const std::string& path, std::int64_t least,
          std::int64_t most) {
  const auto v = jsonField<std::int64_t>(of, key, path);
  if (v < least || v > most)
    throw BadInput("key " + path + key + ": " + std::to_string(v) + " is not in " + std::to_string(least) +
                   " to " + std::to_string(most));
  return static_cast<int>(v);
}

}  // namespace

Config parseConfig(const std::string& json) {
  simdjson::dom::parser parser;
  element root;
  if (const auto error = parser.parse(json).get(root))
    throw BadInput(std::string("no JSON: ") + simdjson::error_message(error));
  Config c;
  c.name = std::string(jsonField<std::string_view>(root, "name", ""));
  c.listen = parseAddress(jsonField<std::string_view>(root, "listen", ""), "listen");
  c.discovery = parseAddress(jsonField<std::string_view>(root, "discovery", ""), "discovery");
  const auto seed = jsonField<std::string_view>(root, "seed", "");
  const auto [stop, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (error != std::errc() || stop != seed.data() + seed.size())
    throw BadInput("key seed: '" + std::string(seed) + "' is no hexadecimal number");
  const auto limits = jsonField<element>(root, "limits", "");
  const auto sockets =
      static_cast<std::size_t>(whole(limits, "sockets", "limits.", kLeastDescriptors, kMostDescriptors));
  const auto memory =
      static_cast<std::uint64_t>(whole(limits, "memory_mb", "limits.", kLeastMemory >> 20, kMostMemory >> 20))
      << 20;
  deriveBounds(c, sockets, memory);
  c.known = readEndpointList(jsonField<element>(root, "known", ""), "known.");

  const auto settings = jsonField<element>(root, "settings", "");
  std::string lines;
  flatten(settings, "", lines);
  try {
    c.settings = sablespur::simulator::parseSettings(lines);
  } catch (const sablespur::simulator::BadSetting& e) {
    throw BadInput(std::string("key settings: ") + e.what());
  }
  std::size_t n = 0;
  for (const element e : jsonField<simdjson::dom::array>(settings, "classes", "settings."))
    c.classes.emplace_back(
        jsonField<std::string_view>(e, "name", "settings.classes[" + std::to_string(n++) + "]."));
  c.zones = names(settings, "settings.", "zones");
  if (c.settings.loadReportMode != balancer::LoadReportMode::None)
    c.reportNames = names(jsonField<element>(settings, "report", "settings."), "settings.report.", "names");
  const auto allowed = jsonField<element>(settings, "allowed", "settings.");
  const std::string path = "settings.allowed.";
  c.dialTimeout = Time(whole(allowed, "dialTimeoutUs", path, 1000, 60000000));
  c.idleClose = Time(whole(allowed, "idleCloseUs", path, 1000000, 2000000000));
  // Proxies talk where that is allowed and there is an address for it.
  bool talk = false;
  std::string_view text;
  if (allowed["peers"].get(talk) == simdjson::SUCCESS && talk &&
      root["peer_listen"].get(text) == simdjson::SUCCESS) {
    c.peerListen = parseAddress(text, "peer_listen");
    for (const std::string& peer : names(root, "", "peers")) c.peers.push_back(parseAddress(peer, "peers"));
    if (root["peers_all"].get(text) == simdjson::SUCCESS) c.peersAll = parseAddress(text, "peers_all");
  }
  if (root["control"].get(text) == simdjson::SUCCESS) c.control = parseAddress(text, "control");
  for (std::size_t k = 0; k < c.settings.classes.size(); ++k) {
    const auto& cls = c.settings.classes[k];
    c.sessions = c.sessions || cls.requirement == balancer::Requirement::Session;
    if (cls.latencyObjective <= Time(0) || cls.deadline < cls.latencyObjective)
      throw BadInput("key settings.classes[" + std::to_string(k) + "].promiseUs: 0 or past deadlineUs");
  }
  if (c.settings.warmUpStartCapacity <= 0 || c.settings.warmUpStartCapacity > 1)
    throw BadInput("key settings.obligations.startCapacity: not above 0 and at most 1");
  return c;
}

Config readConfig(const char* path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file || !text) throw BadInput(std::string("file ") + path + " cannot be read");
  return parseConfig(text.str());
}

}  // namespace sablespur
