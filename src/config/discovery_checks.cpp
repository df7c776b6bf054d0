// Checks of [discovery], [dnssd] and [group NAME].
#include <cstdint>
#include <utility>
#include <variant>

#include "config/settings_checks.hpp"

namespace sablespur {
namespace {

constexpr std::int64_t kMaxGroupNumber = 65535;

void checkDnsSd(SettingsDocument& document, SettingsDraft& draft) {
  DnsSdSettings& dnssd = draft.config.dnssd;
  const IniSection* section = nullptr;
  for (const IniSection& candidate : document.sections())
    if (candidate.type == "dnssd") section = &candidate;
  const auto report = [&](const char* key, ValueError wrong) {
    const int line = section ? SettingsDocument::keyLine(*section, key) : document.sectionLine("discovery");
    document.report(line, std::string("[dnssd] ") + key, std::move(wrong));
  };
  if (dnssd.domain.empty())
    report("domain", {"source = dnssd needs it", "write a domain, such as domain = ruwi.example.org"});
  if (dnssd.service.empty()) report("service", {"it is empty", "write a service such as _postgresql._tcp"});
  if (dnssd.servers.empty())
    report("name_servers",
           {"source = dnssd needs one", "write the addresses of name servers, such as 10.2.0.1:53"});
  if (dnssd.maxRefresh < dnssd.minRefresh)
    report("refresh_most", {"it is shorter than refresh_least", "make it at least refresh_least"});
  if (dnssd.flapDamping.reuseThreshold >= dnssd.flapDamping.suppressThreshold)
    report("flap_reuse", {"it is not below flap_suppress", "make it less than flap_suppress"});
  const std::string& group = draft.dnssdGroup;
  if (group.empty()) return;
  dnssd.defaultGroup = findGroup(draft.config, group);
  if (!dnssd.defaultGroup)
    report("group", {"'" + group + "' is neither a [group] nor a number up to 65535",
                     "add [group " + group + "] with its number"});
}

}  // namespace

std::optional<balancer::GroupId> findGroup(const Config& config, const std::string& nameOrNumber) {
  for (const GroupName& group : config.groups)
    if (group.name == nameOrNumber) return group.id;
  const auto number = readCount(nameOrNumber);
  const std::int64_t* const id = std::get_if<std::int64_t>(&number);
  if (id && *id >= 0 && *id <= kMaxGroupNumber) return static_cast<balancer::GroupId>(*id);
  return std::nullopt;
}

void checkDiscovery(SettingsDocument& document, SettingsDraft& draft) {
  const Config& config = draft.config;
  if (config.source == DiscoveryKind::Registry && config.discovery.none())
    document.report(
        document.sectionLine("discovery"), "[discovery] registry",
        {"source = registry needs it", "write the address of the registry, or set source = fixed"});
  if (config.source == DiscoveryKind::DnsSd) checkDnsSd(document, draft);
  if (config.source == DiscoveryKind::Fixed && config.known.instances.empty())
    document.report(document.sectionLine("discovery"), "[discovery] source",
                    {"source = fixed needs a [member NAME]", "add one for each data server"});
}

}  // namespace sablespur
