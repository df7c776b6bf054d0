// The keys of [admission] and [admission_group NAME].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kAdmissionKeys[] = {
    {"admission", "door", KeyKind::Flag, "no", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.enabled = as<bool>(v); },
     "Whether admission control is on. Without it all clients are treated alike, and the connection that has "
     "been idle for longest is evicted first."},
    {"admission", "connections", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.admission.connections.maxConnections = integer<std::size_t>(v);
     },
     "Limit on client connections of all groups together. 0: what the limits on descriptors and memory leave "
     "for clients, less `antechamber`; a higher value is reduced to that."},
    {"admission", "antechamber", KeyKind::Count, "0", Bounds{0, 1e5}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.admission.connections.maxUnadmitted = integer<std::size_t>(v);
     },
     "Limit on open connections that are not admitted: those that are being rejected in their own protocol "
     "version, that are still logging in, or whose PROXY header is awaited. 0: an eighth of the connections "
     "for clients, at least 8. Beyond it a connection is sent a version 3 rejection and closed at once."},
    {"admission", "network_bits", KeyKind::Count, "24", Bounds{8, 32}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.networkBitsV4 = integer<int>(v); },
     "Prefix length of the IPv4 networks that `connections_by_network` counts."},
    {"admission", "network_bits_v6", KeyKind::Count, "64", Bounds{16, 128}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.networkBitsV6 = integer<int>(v); },
     "Prefix length of the IPv6 networks that `connections_by_network` counts."},
    {"admission", "come_back_least", KeyKind::Duration, "100ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.minRetryAfter = duration(v); },
     "Minimum retry delay for clients that are not admitted."},
    {"admission", "come_back_most", KeyKind::Duration, "10s", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.maxRetryAfter = duration(v); },
     "Maximum retry delay for clients that are not admitted; each is given a different delay between the "
     "two."},
    {"admission", "idle_least", KeyKind::Duration, "500ms", Bounds{0, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.minIdle = duration(v); },
     "A connection that has been idle for less than this is not evicted."},
    {"admission", "fronts", KeyKind::Words, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.admission.clients.proxyProtocolNetworks = as<std::vector<std::string>>(v);
     },
     "Networks of proxies that hide the addresses of their clients. Each connection from there has to begin "
     "with a PROXY header, version 1 or 2, and counts under the address in it. A PROXY header from any other "
     "address is an error."},
    {"admission", "served_before", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.clients.recentClientsGroup = text(v); },
     "Group for addresses that are in no group's networks and have been served several times over 2 s, "
     "within a day. Empty: they belong to `others`."},
    {"admission", "known_addresses", KeyKind::Count, "4096", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.admission.clients.maxRecentClients = integer<std::size_t>(v);
     },
     "Limit on the addresses that are remembered for `served_before`, at most 32 of one network; about 200 "
     "bytes each."},
    {"admission", "requests", KeyKind::Choice, "off", kUnbounded, "off fixed aimd gradient",
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.algorithm = text(v); },
     "Limit on the concurrent requests of all groups: `off`; `fixed`, the value of `limit`; or learned from "
     "latency: `gradient` from its rise over the lowest recent latency, `aimd` by additive increase until "
     "`bound` is exceeded. A change of the algorithm requires a restart."},
    {"admission", "limit", KeyKind::Count, "20", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.initial = integer<std::size_t>(v); },
     "With `requests = fixed` the limit, otherwise the initial value of the learned limit."},
    {"admission", "limit_least", KeyKind::Count, "4", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.min = integer<std::size_t>(v); },
     "Lower bound of a learned limit."},
    {"admission", "limit_most", KeyKind::Count, "1000", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.max = integer<std::size_t>(v); },
     "Upper bound of a learned limit."},
    {"admission", "bound", KeyKind::Duration, "400ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.latencyBound = duration(v); },
     "With `requests = aimd`: the mean latency above which the limit is reduced."},
    {"admission", "tolerance", KeyKind::Number, "2", Bounds{1, 100}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.tolerance = as<double>(v); },
     "With `requests = gradient`: the multiple of the lowest recent latency up to which requests do not "
     "count as queued. A higher value serves slightly more requests in total, and each slightly later."},
    {"admission", "waiting", KeyKind::Count, "32", Bounds{0, 1e5}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.maxWaiting = integer<std::size_t>(v); },
     "Limit on the requests that wait for a permit. Requests that can no longer be on time are dropped "
     "first, then the newest one of the group with the most waiting requests relative to its weight."},
    {"admission", "request_back_least", KeyKind::Duration, "50ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.minRetryAfter = duration(v); },
     "Minimum retry delay for rejected requests."},
    {"admission", "request_back_most", KeyKind::Duration, "2s", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.maxRetryAfter = duration(v); },
     "Maximum retry delay for rejected requests."},
};

constexpr Key kAdmissionGroupKeys[] = {
    {"admission_group", "networks", KeyKind::Words, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.clients.networks = as<std::vector<std::string>>(v);
     },
     "IPv4 and IPv6 networks or addresses, separated by commas. The longest matching prefix decides, across "
     "all groups."},
    {"admission_group", "networks_file", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.admissionGroup.clients.networksFile = text(v); },
     "File with more networks, one per line; # begins a comment. A relative path starts from the directory "
     "of the settings file."},
    {"admission_group", "users", KeyKind::Words, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.clients.users = as<std::vector<std::string>>(v);
     },
     "Users that belong to this group from any address, once they have logged in with their password."},
    {"admission_group", "connections", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.maxConnections = integer<std::size_t>(v);
     },
     "Limit on the concurrent connections of the group; 0: no separate limit."},
    {"admission_group", "connections_by_address", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.maxConnectionsPerAddress = integer<std::size_t>(v);
     },
     "Limit on the concurrent connections from one address; 0: no limit."},
    {"admission_group", "connections_by_network", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.maxConnectionsPerNetwork = integer<std::size_t>(v);
     },
     "Limit on the concurrent connections from one network of `network_bits`; 0: no limit."},
    {"admission_group", "connections_per_second", KeyKind::Number, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.connectionsPerSecond = as<double>(v);
     },
     "Limit on newly admitted connections per second; 0: no limit."},
    {"admission_group", "burst", KeyKind::Number, "1", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.admissionGroup.connectionBurst = as<double>(v); },
     "How many connections `connections_per_second` admits at once, such as when all clients reconnect after "
     "a restart."},
    {"admission_group", "reserve", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.reservedConnections = integer<std::size_t>(v);
     },
     "Connections that no other group may take, used or not."},
    {"admission_group", "weight", KeyKind::Number, "1", Bounds{0.001, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.admissionGroup.weight = as<double>(v); },
     "When the limits are reached, the group with the most connections relative to its weight has its idle "
     "connections evicted first, and the group with the fewest requests in flight relative to its weight is "
     "served next."},
    {"admission_group", "requests", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.maxRequests = integer<std::size_t>(v);
     },
     "Limit on the requests in flight and waiting, with `[admission] requests`; 0: no separate limit."},
};

}  // namespace

KeyRange admissionKeys() { return KeyRange(kAdmissionKeys); }
KeyRange admissionGroupKeys() { return KeyRange(kAdmissionGroupKeys); }

}  // namespace sablespur::key_tables
