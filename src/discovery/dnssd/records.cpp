#include "discovery/dnssd/records.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <map>
#include <utility>

namespace sablespur {
namespace {

constexpr std::size_t kMaxTextLength = 63;  // of zone and kind
constexpr double kMaxWeight = 1e6;

template <typename Number>
std::optional<Number> parseNumber(const std::string& text) {
  Number number{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

std::string asciiLowerCase(std::string text) {
  for (char& c : text) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  return text;
}

// The values of a TXT record by key.
class TxtValues {
 public:
  explicit TxtValues(const std::vector<std::string>& strings) {
    for (const std::string& text : strings) {
      const std::size_t separator = text.find('=');
      const std::string key = asciiLowerCase(text.substr(0, separator));
      const bool hasValue = separator != std::string::npos;
      if (!key.empty()) values_.emplace(key, hasValue ? text.substr(separator + 1) : std::string());
    }
  }
  bool has(const std::string& key) const { return values_.count(key) > 0; }
  // Returns the value of a key; empty if the key is missing.
  std::string value(const std::string& key) const { return has(key) ? values_.at(key) : std::string(); }
  TxtFault fault(const std::string& key, const char* problem) const {
    return {key + "=" + value(key).substr(0, kMaxTextLength) + ": " + problem};
  }

 private:
  std::map<std::string, std::string> values_;
};

// Each of the following functions reads one attribute into the endpoint and returns the fault, if
// any.
using MaybeFault = std::optional<TxtFault>;

MaybeFault checkVersion(const TxtValues& values) {
  if (values.has("txtvers") && values.value("txtvers") != "1")
    return values.fault("txtvers", "only version 1 is supported");
  return std::nullopt;
}

MaybeFault readGroup(const TxtValues& values, const std::vector<GroupName>& groups,
                     std::optional<balancer::GroupId> defaultGroup, DiscoveredEndpoint& endpoint) {
  if (!values.has("group")) {
    if (!defaultGroup) return TxtFault{"group is missing, and the settings have no default group"};
    endpoint.group = *defaultGroup;
    return std::nullopt;
  }
  const std::string text = values.value("group");
  const auto named =
      std::find_if(groups.begin(), groups.end(), [&](const GroupName& group) { return group.name == text; });
  if (named != groups.end()) {
    endpoint.group = named->id;
    return std::nullopt;
  }
  const auto number = parseNumber<std::uint16_t>(text);
  if (!number) return values.fault("group", "neither the name of a configured group nor a group number");
  endpoint.group = *number;
  return std::nullopt;
}

MaybeFault readText(const TxtValues& values, const char* key, std::string& text) {
  text = values.value(key);
  if (text.size() > kMaxTextLength) return values.fault(key, "longer than 63 bytes");
  return std::nullopt;
}

MaybeFault readWeight(const TxtValues& values, DiscoveredEndpoint& endpoint) {
  const std::string text = values.value("weight");
  if (text.empty()) return std::nullopt;
  const auto weight = parseNumber<double>(text);
  if (!weight || !std::isfinite(*weight) || *weight <= 0 || *weight > kMaxWeight)
    return values.fault("weight", "no number above 0");
  endpoint.weight = *weight;
  return std::nullopt;
}

MaybeFault readState(const TxtValues& values, DiscoveredEndpoint& endpoint) {
  const std::string text = values.value("state");
  if (!text.empty() && text != "active" && text != "leaving")
    return values.fault("state", "neither active nor leaving");
  endpoint.state = text == "leaving" ? balancer::Lifecycle::Draining : balancer::Lifecycle::Ready;
  return std::nullopt;
}

MaybeFault readStarted(const TxtValues& values, DiscoveredEndpoint& endpoint) {
  const std::string text = values.value("started");
  if (text.empty()) return std::nullopt;
  const auto started = parseNumber<std::int64_t>(text);
  if (!started || *started < 0) return values.fault("started", "not a Unix time in milliseconds");
  endpoint.startedMs = *started;
  return std::nullopt;
}

}  // namespace

std::variant<DiscoveredEndpoint, TxtFault> readTxt(const std::vector<std::string>& strings,
                                                   const std::vector<GroupName>& groups,
                                                   std::optional<balancer::GroupId> defaultGroup) {
  const TxtValues values(strings);
  DiscoveredEndpoint endpoint;
  if (const MaybeFault fault = checkVersion(values)) return *fault;
  if (const MaybeFault fault = readGroup(values, groups, defaultGroup, endpoint)) return *fault;
  if (const MaybeFault fault = readText(values, "zone", endpoint.zone)) return *fault;
  if (const MaybeFault fault = readText(values, "kind", endpoint.kind)) return *fault;
  if (const MaybeFault fault = readWeight(values, endpoint)) return *fault;
  if (const MaybeFault fault = readState(values, endpoint)) return *fault;
  if (const MaybeFault fault = readStarted(values, endpoint)) return *fault;
  return endpoint;
}

}  // namespace sablespur
