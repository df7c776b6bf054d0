// The keys of [discovery], [dnssd], [group] and [member].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kDiscoveryKeys[] = {
    {"discovery", "source", KeyKind::Choice, "registry", kUnbounded, "registry dnssd fixed",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.source = text(v) == "registry" ? Source::Registry
                         : text(v) == "dnssd"  ? Source::DnsSd
                                               : Source::Fixed;
     },
     "The HTTP registry, service records in the DNS, or the `[member]` sections alone."},
    {"discovery", "registry", KeyKind::Address, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.discovery = as<Address>(v); },
     "Where the HTTP registry listens; wanted with `source = registry`. SIGHUP takes a new value while "
     "serving."},
    {"discovery", "ask_within", KeyKind::Duration, "10s", Bounds{kSecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.discoveryPollDeadline = duration(v); },
     "A proxy that has neither watched nor asked for so long counts as told of what was listed then."},
};

constexpr Key kDnsSdKeys[] = {
    {"dnssd", "domain", KeyKind::Domain, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.domain = text(v); },
     "The domain whose zone holds the records, such as `ruwi.example.org`."},
    {"dnssd", "service", KeyKind::Domain, "_postgresql._tcp", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.service = text(v); },
     "The service's name in that domain."},
    {"dnssd", "name_servers", KeyKind::Addresses, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.servers = as<std::vector<Address>>(v); },
     "With commas between; the first is asked until it fails, then the next. All must serve the same zone."},
    {"dnssd", "refresh_least", KeyKind::Duration, "1s", Bounds{100 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.minRefresh = duration(v); },
     "Records are asked for again after their TTL, but not sooner than this. The price is a query by each "
     "proxy."},
    {"dnssd", "refresh_most", KeyKind::Duration, "10s", Bounds{100 * kMillisecond, 24 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.maxRefresh = duration(v); },
     "And not later than this, whatever their TTL: so long a withdrawn server may go on getting work."},
    {"dnssd", "jitter", KeyKind::Share, "10%", Bounds{0, 0.9}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.jitter = as<double>(v); },
     "Each time is shortened by a random part of up to this, so that proxies started together drift apart."},
    {"dnssd", "try_timeout", KeyKind::Duration, "400ms", Bounds{10 * kMillisecond, 30 * kSecond}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.attemptTimeout = duration(v); },
     "A name server that has not answered by then is left for the next one."},
    {"dnssd", "queries_per_s", KeyKind::Number, "50", Bounds{1, 100000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.queriesPerSecond = as<double>(v); },
     "The budget for questions about single records, where a zone has more instances than an answer has room "
     "for. The list of instances is asked for on time whatever this is."},
    {"dnssd", "udp_payload", KeyKind::Count, "1232", Bounds{512, 4096}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.udpPayload = integer<int>(v); },
     "The longest datagram that is taken (EDNS0). Above 1232 it may be fragmented and lost."},
    {"dnssd", "group", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.dnssdGroup = text(v); },
     "The group, by name or number, of instances whose TXT record names none. Without it they are left out."},
    {"dnssd", "keep_for", KeyKind::Duration, "24h", Bounds{0, 8760 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.maxListAge = duration(v); },
     "How long the last list stands when no name server answers; 0 is for ever."},
    {"dnssd", "flap_half_life", KeyKind::Duration, "15s", Bounds{kSecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapDamping.halfLife = duration(v); },
     "Each withdrawal of an instance counts 1, and the count halves in this time."},
    {"dnssd", "flap_suppress", KeyKind::Number, "1.5", Bounds{0.5, 1000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.dnssd.flapDamping.suppressThreshold = as<double>(v);
     },
     "An instance that comes back at this count or above is left out,"},
    {"dnssd", "flap_reuse", KeyKind::Number, "0.75", Bounds{0.1, 1000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapDamping.reuseThreshold = as<double>(v); },
     "until the count has fallen to this,"},
    {"dnssd", "flap_most", KeyKind::Duration, "60s", Bounds{0, 24 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dnssd.flapDamping.maxSuppression = duration(v); },
     "and no longer than this after it came back."},
};

constexpr Key kGroupKeys[] = {
    {"group", "number", KeyKind::Count, nullptr, Bounds{0, 65535}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.group.id = integer<balancer::GroupId>(v); },
     "The number that statements carry (`cluster=`)."},
};

constexpr Key kMemberKeys[] = {
    {"member", "address", KeyKind::Address, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.address = as<Address>(v); },
     "Where it listens."},
    {"member", "group", KeyKind::Text, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpointGroup = text(v); },
     "Its group, by name or number."},
    {"member", "zone", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.zone = text(v); }, "Its building."},
    {"member", "kind", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.kind = text(v); },
     "Its kind of machine, for staff."},
    {"member", "weight", KeyKind::Number, "1", Bounds{0.001, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.endpoint.weight = as<double>(v); },
     "Its size, comparable among members."},
};

}  // namespace

KeyRange discoveryKeys() { return KeyRange(kDiscoveryKeys); }
KeyRange dnsSdKeys() { return KeyRange(kDnsSdKeys); }
KeyRange groupKeys() { return KeyRange(kGroupKeys); }
KeyRange memberKeys() { return KeyRange(kMemberKeys); }

}  // namespace sablespur::key_tables
