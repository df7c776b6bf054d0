// The keys of [admission] and [admission_group NAME].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kAdmissionKeys[] = {
    {"admission", "door", KeyKind::Flag, "no", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.enabled = as<bool>(v); },
     "Whether the groups below are kept apart. Without it every client is alike, and the longest idle one "
     "makes way."},
    {"admission", "connections", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.admission.connections.maxConnections = integer<std::size_t>(v);
     },
     "Client connections at once, of all groups; 0 is what the limits on descriptors and memory leave for "
     "clients, less the antechamber. More than that is cut to it."},
    {"admission", "antechamber", KeyKind::Count, "0", Bounds{0, 1e5}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.admission.connections.maxUnadmitted = integer<std::size_t>(v);
     },
     "Connections that are not let in and are held for a moment all the same: to be told so in words of "
     "their version, to prove a name, to say for whom they stand. 0 is an eighth of the clients' "
     "descriptors, 8 at least. Beyond it a connection gets a word of version 3 and is closed at once."},
    {"admission", "network_bits", KeyKind::Count, "24", Bounds{8, 32}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.networkBitsV4 = integer<int>(v); },
     "How many bits of an IPv4 address make the network that `connections_by_network` counts."},
    {"admission", "network_bits_v6", KeyKind::Count, "64", Bounds{16, 128}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.networkBitsV6 = integer<int>(v); },
     "The same for IPv6."},
    {"admission", "come_back_least", KeyKind::Duration, "100ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.minRetryAfter = duration(v); },
     "A client that is not let in is told to come back after this at the earliest,"},
    {"admission", "come_back_most", KeyKind::Duration, "10s", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.maxRetryAfter = duration(v); },
     "and after this at the latest, each at a time of its own between."},
    {"admission", "idle_least", KeyKind::Duration, "500ms", Bounds{0, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.connections.minIdle = duration(v); },
     "A connection that has been idle for less is not asked to make way."},
    {"admission", "fronts", KeyKind::Words, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.admission.clients.proxyProtocolNetworks = as<std::vector<std::string>>(v);
     },
     "Networks of fronts that hide their clients' addresses: each connection from there has to begin with a "
     "PROXY header, version 1 or 2, and counts by the address in it. From anywhere else a header is an "
     "error."},
    {"admission", "served_before", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.clients.recentClientsGroup = text(v); },
     "The group of addresses that are in no group's network and have been served several times over 2 s, "
     "within a day. Empty: they belong to `others`."},
    {"admission", "known_addresses", KeyKind::Count, "4096", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.admission.clients.maxRecentClients = integer<std::size_t>(v);
     },
     "Of those so many are remembered, 32 of one network at most; about 200 bytes each."},
    {"admission", "requests", KeyKind::Choice, "off", kUnbounded, "off fixed aimd gradient",
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.algorithm = text(v); },
     "A limit on the requests that are out at once, of all groups: none, `limit`, or one that is learned "
     "from latency: `gradient` from its rise over the least of late, `aimd` by adding until `bound` is "
     "passed. Another kind takes a restart."},
    {"admission", "limit", KeyKind::Count, "20", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.initial = integer<std::size_t>(v); },
     "With `requests = fixed` the limit, else where learning begins."},
    {"admission", "limit_least", KeyKind::Count, "4", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.min = integer<std::size_t>(v); },
     "A learned limit is no lower."},
    {"admission", "limit_most", KeyKind::Count, "1000", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.max = integer<std::size_t>(v); },
     "A learned limit is no higher."},
    {"admission", "bound", KeyKind::Duration, "400ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.latencyBound = duration(v); },
     "With `requests = aimd`: the mean latency above which the limit shrinks."},
    {"admission", "tolerance", KeyKind::Number, "2", Bounds{1, 100}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.tolerance = as<double>(v); },
     "With `requests = gradient`: how many times the least latency of late is still no queue. More serves a "
     "little more in all, and each a little later."},
    {"admission", "waiting", KeyKind::Count, "32", Bounds{0, 1e5}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.maxWaiting = integer<std::size_t>(v); },
     "Requests that may wait for a place under the limit. What can no longer be on time is dropped first, "
     "then the newest of the group that has most waiting by weight."},
    {"admission", "request_back_least", KeyKind::Duration, "50ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.minRetryAfter = duration(v); },
     "A request that is turned away may come back after this at the earliest,"},
    {"admission", "request_back_most", KeyKind::Duration, "2s", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.admission.requests.maxRetryAfter = duration(v); },
     "and after this at the latest."},
};

constexpr Key kAdmissionGroupKeys[] = {
    {"admission_group", "networks", KeyKind::Words, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.clients.networks = as<std::vector<std::string>>(v);
     },
     "IPv4 and IPv6 networks or addresses, with commas between; the longest that holds an address counts, of "
     "whichever group."},
    {"admission_group", "networks_file", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.admissionGroup.clients.networksFile = text(v); },
     "More of them, one a line; # begins a comment. Beside the settings unless its path is absolute."},
    {"admission_group", "users", KeyKind::Words, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.clients.users = as<std::vector<std::string>>(v);
     },
     "Users that belong here wherever they come from, once they have logged in with their password."},
    {"admission_group", "connections", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.maxConnections = integer<std::size_t>(v);
     },
     "At once; 0 is no cap of its own."},
    {"admission_group", "connections_by_address", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.maxConnectionsPerAddress = integer<std::size_t>(v);
     },
     "At once from one address; 0 is no cap."},
    {"admission_group", "connections_by_network", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.maxConnectionsPerNetwork = integer<std::size_t>(v);
     },
     "At once from one network of `network_bits`; 0 is no cap."},
    {"admission_group", "connections_per_second", KeyKind::Number, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.connectionsPerSecond = as<double>(v);
     },
     "New connections that are let in; 0 is no bound."},
    {"admission_group", "burst", KeyKind::Number, "1", Bounds{1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.admissionGroup.connectionBurst = as<double>(v); },
     "Of them so many may come at once, as when all come back after a restart."},
    {"admission_group", "reserve", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.reservedConnections = integer<std::size_t>(v);
     },
     "Places that nobody else may take, used or not."},
    {"admission_group", "weight", KeyKind::Number, "1", Bounds{0.001, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.admissionGroup.weight = as<double>(v); },
     "When all is full: the group that holds most by its weight gives up its idle connections first, and the "
     "one with the fewest requests out by its weight goes next."},
    {"admission_group", "requests", KeyKind::Count, "0", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.admissionGroup.maxRequests = integer<std::size_t>(v);
     },
     "Requests out or waiting at once, with `[admission] requests`; 0 is no cap of its own."},
};

}  // namespace

KeyRange admissionKeys() { return KeyRange(kAdmissionKeys); }
KeyRange admissionGroupKeys() { return KeyRange(kAdmissionGroupKeys); }

}  // namespace sablespur::key_tables
