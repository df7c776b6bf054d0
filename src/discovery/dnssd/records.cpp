#include "discovery/dnssd/records.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace sablespur {
namespace {

constexpr std::size_t kMaxTextLength = 63;  // of a zone or a kind
constexpr double kMaxWeight = 1e6;

template <typename T>
bool number(const std::string& text, T& v) {
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, v);
  return error == std::errc() && stop == end;
}

}  // namespace

std::optional<std::string> readTxt(const std::vector<std::string>& strings,
                                   const std::vector<GroupName>& groups,
                                   std::optional<balancer::GroupId> defaultGroup, DiscoveredEndpoint& i) {
  std::map<std::string, std::string> values;
  for (const std::string& s : strings) {
    const std::size_t eq = s.find('=');
    std::string key = s.substr(0, eq);
    for (char& c : key) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    if (eq != 0 && !key.empty())
      values.emplace(key, eq == std::string::npos ? std::string() : s.substr(eq + 1));
  }
  const auto wrong = [&](const char* key, const char* what) {
    return std::string(key) + "=" + values[key].substr(0, kMaxTextLength) + ": " + what;
  };
  if (values.count("txtvers") > 0 && values["txtvers"] != "1")
    return wrong("txtvers", "only version 1 is known");
  if (values.count("group") > 0) {
    const std::string& text = values["group"];
    const auto named =
        std::find_if(groups.begin(), groups.end(), [&](const GroupName& g) { return g.name == text; });
    std::uint16_t id = 0;
    if (named != groups.end())
      i.group = named->id;
    else if (number(text, id))
      i.group = id;
    else
      return wrong("group", "neither a group of the settings nor a number");
  } else if (defaultGroup) {
    i.group = *defaultGroup;
  } else {
    return "group is missing, and the settings have no default";
  }
  for (const char* key : {"zone", "kind"})
    if (values[key].size() > kMaxTextLength) return wrong(key, "too long");
  i.zone = values["zone"];
  i.kind = values["kind"];
  if (!values["weight"].empty() && (!number(values["weight"], i.weight) || !std::isfinite(i.weight) ||
                                    i.weight <= 0 || i.weight > kMaxWeight))
    return wrong("weight", "no number above 0");
  const std::string& state = values["state"];
  if (!state.empty() && state != "active" && state != "leaving")
    return wrong("state", "neither active nor leaving");
  i.state = state == "leaving" ? balancer::Lifecycle::Draining : balancer::Lifecycle::Ready;
  if (!values["started"].empty() && (!number(values["started"], i.startedMs) || i.startedMs < 0))
    return wrong("started", "no Unix time in milliseconds");
  return std::nullopt;
}

}  // namespace sablespur
