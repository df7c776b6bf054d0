// The keys of [discovery], [dnssd], [group] and [member].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kDiscoveryKeys[] = {
    {"discovery", "source", KeyKind::Choice, "registry", kUnbounded, "registry dnssd fixed",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.source = text(v) == "registry" ? DiscoveryKind::Registry
                         : text(v) == "dnssd"  ? DiscoveryKind::DnsSd
                                               : DiscoveryKind::Fixed;
     },
     "The HTTP registry, service records in the DNS, or only the `[member]` sections."},
    {"discovery", "registry", KeyKind::Address, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.discovery = as<Address>(v); },
     "Address of the HTTP registry; required with `source = registry`. SIGHUP applies a new value without a "
     "restart."},
    {"discovery", "ask_within", KeyKind::Duration, "10s", Bounds{kSecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.discoveryPollDeadline = duration(v); },
     "Longest time without a watch or a poll of the list. A proxy that exceeds it counts as informed of what "
     "was listed at that time."},
};

constexpr Key kDnsSdKeys[] = {
    {"dnssd", "domain", KeyKind::Domain, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.domain = text(v); },
     "Domain whose zone contains the records, such as `ruwi.example.org`."},
    {"dnssd", "service", KeyKind::Domain, "_postgresql._tcp", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.service = text(v); },
     "Name of the service in that domain."},
    {"dnssd", "name_servers", KeyKind::Addresses, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.servers = as<std::vector<Address>>(v); },
     "Addresses of the name servers, separated by commas. The first is queried until it fails, then the "
     "next. All must serve the same zone."},
    {"dnssd", "refresh_least", KeyKind::Duration, "1s", Bounds{100 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.minRefresh = duration(v); },
     "Minimum time until records are queried again, even if their TTL is shorter. Each refresh costs one "
     "query per proxy."},
    {"dnssd", "refresh_most", KeyKind::Duration, "10s", Bounds{100 * kMillisecond, 24 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.maxRefresh = duration(v); },
     "Maximum time until records are queried again, even if their TTL is longer. A withdrawn data server may "
     "receive requests for up to this long."},
    {"dnssd", "jitter", KeyKind::Share, "10%", Bounds{0, 0.9}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.jitter = as<double>(v); },
     "Each refresh time is shortened by a random fraction of up to this, so that proxies that started "
     "together do not query at the same time."},
    {"dnssd", "try_timeout", KeyKind::Duration, "400ms", Bounds{10 * kMillisecond, 30 * kSecond}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.attemptTimeout = duration(v); },
     "Timeout for one query to one name server, after which the next one is queried."},
    {"dnssd", "queries_per_s", KeyKind::Number, "50", Bounds{1, 100000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.queriesPerSecond = as<double>(v); },
     "Limit on queries for single records, which are needed when a zone has more instances than fit into one "
     "answer. The list of instances is queried on time regardless of this limit."},
    {"dnssd", "udp_payload", KeyKind::Count, "1232", Bounds{512, 4096}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.udpPayload = integer<int>(v); },
     "Largest datagram that is accepted, in bytes (EDNS0). Datagrams above 1232 bytes may be fragmented and "
     "lost."},
    {"dnssd", "group", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.dnssdGroup = text(v); },
     "Group, by name or number, of instances whose TXT record names none. Without it these instances are "
     "left out."},
    {"dnssd", "keep_for", KeyKind::Duration, "24h", Bounds{0, 8760 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.maxListAge = duration(v); },
     "How long the last list is used when no name server answers; 0: without limit."},
    {"dnssd", "flap_half_life", KeyKind::Duration, "15s", Bounds{kSecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapDamping.halfLife = duration(v); },
     "Each withdrawal of an instance adds 1 to its penalty, which halves in this time."},
    {"dnssd", "flap_suppress", KeyKind::Number, "1.5", Bounds{0.5, 1000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.dnssd.flapDamping.suppressThreshold = as<double>(v);
     },
     "An instance that returns with a penalty of at least this is left out of the list."},
    {"dnssd", "flap_reuse", KeyKind::Number, "0.75", Bounds{0.1, 1000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapDamping.reuseThreshold = as<double>(v); },
     "It is listed again once its penalty has fallen to this."},
    {"dnssd", "flap_most", KeyKind::Duration, "60s", Bounds{0, 24 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapDamping.maxSuppression = duration(v); },
     "Longest time after its return for which an instance is left out."},
};

constexpr Key kGroupKeys[] = {
    {"group", "number", KeyKind::Count, nullptr, Bounds{0, 65535}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.group.id = integer<balancer::GroupId>(v); },
     "Number of the group in statements (`cluster=`)."},
};

constexpr Key kMemberKeys[] = {
    {"member", "address", KeyKind::Address, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.address = as<Address>(v); },
     "Address on which it listens."},
    {"member", "group", KeyKind::Text, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpointGroup = text(v); },
     "Its group, by name or number."},
    {"member", "zone", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.zone = text(v); }, "Its zone (building)."},
    {"member", "kind", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.kind = text(v); },
     "Its machine type, for information only."},
    {"member", "weight", KeyKind::Number, "1", Bounds{0.001, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.weight = as<double>(v); },
     "Its size relative to other members."},
};

}  // namespace

KeyRange discoveryKeys() { return KeyRange(kDiscoveryKeys); }
KeyRange dnsSdKeys() { return KeyRange(kDnsSdKeys); }
KeyRange groupKeys() { return KeyRange(kGroupKeys); }
KeyRange memberKeys() { return KeyRange(kMemberKeys); }

}  // namespace sablespur::key_tables
