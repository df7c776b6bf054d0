// The keys of [discovery], [dnssd], [group] and [member].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kDiscoveryKeys[] = {
    {"discovery", "source", KeyKind::Choice, "registry", 0, 0, "registry dnssd fixed",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.source = text(v) == "registry" ? Source::Registry
                         : text(v) == "dnssd"  ? Source::DnsSd
                                               : Source::Fixed;
     },
     "The HTTP registry, service records in the DNS, or the `[member]` sections alone."},
    {"discovery", "registry", KeyKind::Address, "", 0, 0, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.discovery = as<Address>(v); },
     "Where the HTTP registry listens; wanted with `source = registry`. SIGHUP takes a new value while "
     "serving."},
    {"discovery", "ask_within", KeyKind::Duration, "10s", kSecond, kHour, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.discoveryPollDeadline = duration(v); },
     "A proxy that has neither watched nor asked for so long counts as told of what was listed then."},
};

constexpr Key kDnsSdKeys[] = {
    {"dnssd", "domain", KeyKind::Domain, "", 0, 0, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.domain = text(v); },
     "The domain whose zone holds the records, such as `ruwi.example.org`."},
    {"dnssd", "service", KeyKind::Domain, "_postgresql._tcp", 0, 0, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.service = text(v); },
     "The service's name in that domain."},
    {"dnssd", "name_servers", KeyKind::Addresses, "", 0, 0, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.servers = as<std::vector<Address>>(v); },
     "With commas between; the first is asked until it fails, then the next. All must serve the same zone."},
    {"dnssd", "refresh_least", KeyKind::Duration, "1s", 100 * kMillisecond, kHour, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.minRefresh = duration(v); },
     "Records are asked for again after their TTL, but not sooner than this. The price is a query by each "
     "proxy."},
    {"dnssd", "refresh_most", KeyKind::Duration, "10s", 100 * kMillisecond, 24 * kHour, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.maxRefresh = duration(v); },
     "And not later than this, whatever their TTL: so long a withdrawn server may go on getting work."},
    {"dnssd", "jitter", KeyKind::Share, "10%", 0, 0.9, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.jitter = as<double>(v); },
     "Each time is shortened by a random part of up to this, so that proxies started together drift apart."},
    {"dnssd", "try_timeout", KeyKind::Duration, "400ms", 10 * kMillisecond, 30 * kSecond, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.attemptTimeout = duration(v); },
     "A name server that has not answered by then is left for the next one."},
    {"dnssd", "queries_per_s", KeyKind::Number, "50", 1, 100000, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.queriesPerSecond = as<double>(v); },
     "The budget for questions about single records, where a zone has more instances than an answer has room "
     "for. The list of instances is asked for on time whatever this is."},
    {"dnssd", "udp_payload", KeyKind::Count, "1232", 512, 4096, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.udpPayload = integer<int>(v); },
     "The longest datagram that is taken (EDNS0). Above 1232 it may be fragmented and lost."},
    {"dnssd", "group", KeyKind::Text, "", 0, 0, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.defaultGroupName = text(v); },
     "The group, by name or number, of instances whose TXT record names none. Without it they are left out."},
    {"dnssd", "keep_for", KeyKind::Duration, "24h", 0, 8760 * kHour, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.maxListAge = duration(v); },
     "How long the last list stands when no name server answers; 0 is for ever."},
    {"dnssd", "flap_half_life", KeyKind::Duration, "15s", kSecond, kHour, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapHalfLife = duration(v); },
     "Each withdrawal of an instance counts 1, and the count halves in this time."},
    {"dnssd", "flap_suppress", KeyKind::Number, "1.5", 0.5, 1000, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapSuppressThreshold = as<double>(v); },
     "An instance that comes back at this count or above is left out,"},
    {"dnssd", "flap_reuse", KeyKind::Number, "0.75", 0.1, 1000, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapReuseThreshold = as<double>(v); },
     "until the count has fallen to this,"},
    {"dnssd", "flap_most", KeyKind::Duration, "60s", 0, 24 * kHour, "",
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapMaxSuppression = duration(v); },
     "and no longer than this after it came back."},
};

constexpr Key kGroupKeys[] = {
    {"group", "number", KeyKind::Count, nullptr, 0, 65535, "",
     [](SettingsDraft& d, const KeyValue& v) { d.section.group.id = integer<balancer::GroupId>(v); },
     "The number that statements carry (`cluster=`)."},
};

constexpr Key kMemberKeys[] = {
    {"member", "address", KeyKind::Address, nullptr, 0, 0, "",
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.address = as<Address>(v); },
     "Where it listens."},
    {"member", "group", KeyKind::Text, nullptr, 0, 0, "",
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpointGroup = text(v); },
     "Its group, by name or number."},
    {"member", "zone", KeyKind::Text, "", 0, 0, "",
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.zone = text(v); }, "Its building."},
    {"member", "kind", KeyKind::Text, "", 0, 0, "",
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.kind = text(v); },
     "Its kind of machine, for staff."},
    {"member", "weight", KeyKind::Number, "1", 0.001, 1e6, "",
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.weight = as<double>(v); },
     "Its size, comparable among members."},
};

}  // namespace

KeyRange discoveryKeys() { return KeyRange(kDiscoveryKeys); }
KeyRange dnsSdKeys() { return KeyRange(kDnsSdKeys); }
KeyRange groupKeys() { return KeyRange(kGroupKeys); }
KeyRange memberKeys() { return KeyRange(kMemberKeys); }

}  // namespace sablespur::key_tables
