#include "config/keys.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace sablespur {
namespace {

using balancer::Idempotency;
using balancer::IdempotencyScope;
using balancer::LaggingReplicaPolicy;
using balancer::ListedRolePolicy;
using balancer::LoadReportMode;
using balancer::ReportField;
using balancer::Requirement;

constexpr double kMillisecond = 1e3, kSecond = 1e6, kHour = 3600e6;

template <typename T>
const T& as(const KeyValue& v) {
  return std::get<T>(v);
}
const std::string& word(const KeyValue& v) { return as<std::string>(v); }
Time time(const KeyValue& v) { return as<Time>(v); }
// Words that are none are left out here; the reader says so (ini_config.cpp).
std::vector<auth::Method> logins(const KeyValue& v) {
  std::vector<auth::Method> all;
  for (const std::string& w : as<std::vector<std::string>>(v))
    if (w == "trust" || w == "scram" || w == "md5" || w == "cleartext")
      all.push_back(w == "trust"   ? auth::Method::Trust
                    : w == "scram" ? auth::Method::Scram
                    : w == "md5"   ? auth::Method::Md5
                                   : auth::Method::Cleartext);
  return all;
}

}  // namespace

const std::vector<SectionInfo>& sectionTable() {
  static const std::vector<SectionInfo> table{
      {"proxy", false, "This proxy: its name, where it listens, who stands beside it."},
      {"limits", false,
       "What the process may hold. The bounds on clients, on connections to data servers and on "
       "long statements follow from it."},
      {"log", false, "The log, on standard error."},
      {"discovery", false, "Where the list of data servers comes from."},
      {"dnssd", false,
       "With `source = dnssd`: which service records, asked of whom and how often. SIGHUP takes new values "
       "while serving."},
      {"data_servers", false, "What the data servers of this installation do and allow."},
      {"clients", false, "What the clients of this installation understand."},
      {"admission", false,
       "The door: which clients are let in, and which requests go on. Off unless `door = yes`. SIGHUP takes "
       "new "
       "values while serving."},
      {"admission_group", true,
       "Clients that the door knows apart, by network or by name. Whoever is in none belongs to `others`, "
       "which "
       "may have a section too."},
      {"store", false,
       "What outlives a crash: keyed writes and their outcomes, and what sessions have seen. Off unless it "
       "has a "
       "directory. Read at the start alone."},
      {"peers", false,
       "Proxies of this tier among themselves, in datagrams of at most 256 bytes. They are not signed: only "
       "where nobody else can send from these addresses."},
      {"peer", true,
       "A proxy of this tier, by any name, this one included; the same at each. Nobody else is believed."},
      {"recovery", false,
       "What is trusted after a start, and in which order service returns. Needs a store. Read at the start "
       "alone."},
      {"status", false, "Where `sablespur status` asks."},
      {"rules", false, "The figures of the rules that the proxy keeps."},
      {"goal", false, "What counts when not all can be served."},
      {"class", true, "A class of requests, by the name that statements carry (`c=`). At least one."},
      {"group", true, "A name for a group: a primary and its replicas."},
      {"member", true,
       "A data server that is known at the start, by its instance name. With `source = fixed` these "
       "are all."},
  };
  return table;
}

const std::vector<Key>& keyTable() {
  static const std::vector<Key>
      table{
          {"proxy", "name", Kind::Text, nullptr, 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.name = word(v); },
           "Its name in the log, the same after a restart."},
          {"proxy", "listen", Kind::Address, nullptr, 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.listen = as<Address>(v); },
           "Where clients connect. Port 0 lets the system choose; the log tells which."},
          {"proxy", "proxies", Kind::Count, "1", 1, 10000, "",
           [](Draft& d, const KeyValue& v) {
             d.config.settings.proxyCount = static_cast<int>(as<std::int64_t>(v));
           },
           "How many proxies stand before the same data servers, this one included. Each takes its part of "
           "what "
           "a cold "
           "server may be sent, so a number that is too small can fell one."},
          {"proxy", "zones", Kind::Words, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.zones = as<std::vector<std::string>>(v); },
           "The buildings, with commas between. Data servers name theirs."},
          {"proxy", "seed", Kind::Hex, "random", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.seed = as<std::uint64_t>(v); },
           "Of its random numbers; hexadecimal, or `random` for a new one at each start. Fix it only to "
           "repeat a "
           "run."},

          {"limits", "memory", Kind::Size, "64MB", double(kLeastMemory), double(kMostMemory), "",
           [](Draft& d, const KeyValue& v) { d.memory = as<std::uint64_t>(v); },
           "Resident memory that the process keeps to."},
          {"limits", "descriptors", Kind::Count, "1024", kLeastDescriptors, kMostDescriptors, "",
           [](Draft& d, const KeyValue& v) { d.descriptors = static_cast<std::size_t>(as<std::int64_t>(v)); },
           "Descriptors that it may open. 45% go to clients, the rest to data servers, but for 24 of its "
           "own. "
           "Not above "
           "`ulimit -n`."},
          {"limits", "attempts", Kind::Count, "8", 1, 255, "",
           [](Draft& d, const KeyValue& v) {
             d.config.settings.maxAttempts = static_cast<int>(as<std::int64_t>(v));
           },
           "The most attempts for one request, its first included."},
          {"limits", "dial_timeout", Kind::Duration, "250ms", kMillisecond, 60 * kSecond, "",
           [](Draft& d, const KeyValue& v) { d.config.dialTimeout = time(v); },
           "A connection to a data server that is not up by then has failed; a probe not answered by then "
           "too."},
          {"limits", "idle_close", Kind::Duration, "15s", kSecond, kHour / 2, "",
           [](Draft& d, const KeyValue& v) { d.config.idleClose = time(v); },
           "Data servers close what stands idle for so long. The proxy retires its connections at 0.7 of it; "
           "with a "
           "figure that is too high, requests run into connections that have just been closed."},

          {"log", "form", Kind::Choice, "logfmt", 0, 0, "logfmt json",
           [](Draft& d, const KeyValue& v) {
             d.config.logForm = word(v) == "json" ? LogForm::Json : LogForm::Logfmt;
           },
           "A line an event, as `name=value` pairs or as a JSON object."},
          {"log", "level", Kind::Choice, "info", 0, 0, "trace debug info warning error",
           [](Draft& d, const KeyValue& v) {
             d.config.logLevel = word(v) == "trace"     ? LogLevel::Trace
                                 : word(v) == "debug"   ? LogLevel::Debug
                                 : word(v) == "info"    ? LogLevel::Info
                                 : word(v) == "warning" ? LogLevel::Warning
                                                        : LogLevel::Error;
           },
           "The least level that is written. `trace` writes a line for each request, attempt, probe and connection, "
           "without a limit: for `tools/fleet-table`, not for service."},

          {"discovery", "source", Kind::Choice, "registry", 0, 0, "registry dnssd fixed",
           [](Draft& d, const KeyValue& v) {
             d.config.source = word(v) == "registry" ? Source::Registry
                               : word(v) == "dnssd"  ? Source::DnsSd
                                                     : Source::Fixed;
           },
           "The HTTP registry, service records in the DNS, or the `[member]` sections alone."},
          {"discovery", "registry", Kind::Address, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.discovery = as<Address>(v); },
           "Where the HTTP registry listens; wanted with `source = registry`. SIGHUP takes a new value while "
           "serving."},
          {"discovery", "ask_within", Kind::Duration, "10s", kSecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.discoveryPollDeadline = time(v); },
           "A proxy that has neither watched nor asked for so long counts as told of what was listed then."},

          {"dnssd", "domain", Kind::Domain, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.domain = word(v); },
           "The domain whose zone holds the records, such as `ruwi.example.org`."},
          {"dnssd", "service", Kind::Domain, "_postgresql._tcp", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.service = word(v); },
           "The service's name in that domain."},
          {"dnssd", "name_servers", Kind::Addresses, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.servers = as<std::vector<Address>>(v); },
           "With commas between; the first is asked until it fails, then the next. All must serve the same "
           "zone."},
          {"dnssd", "refresh_least", Kind::Duration, "1s", 100 * kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.refreshLeast = time(v); },
           "Records are asked for again after their TTL, but not sooner than this. The price is a query by "
           "each "
           "proxy."},
          {"dnssd", "refresh_most", Kind::Duration, "10s", 100 * kMillisecond, 24 * kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.refreshMost = time(v); },
           "And not later than this, whatever their TTL: so long a withdrawn server may go on getting work."},
          {"dnssd", "jitter", Kind::Share, "10%", 0, 0.9, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.jitter = as<double>(v); },
           "Each time is shortened by a random part of up to this, so that proxies started together drift "
           "apart."},
          {"dnssd", "try_timeout", Kind::Duration, "400ms", 10 * kMillisecond, 30 * kSecond, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.tryTimeout = time(v); },
           "A name server that has not answered by then is left for the next one."},
          {"dnssd", "queries_per_s", Kind::Number, "50", 1, 100000, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.queriesPerSecond = as<double>(v); },
           "The budget for questions about single records, where a zone has more instances than an answer "
           "has "
           "room for. "
           "The list of instances is asked for on time whatever this is."},
          {"dnssd", "udp_payload", Kind::Count, "1232", 512, 4096, "",
           [](Draft& d, const KeyValue& v) {
             d.config.dnssd.udpPayload = static_cast<int>(as<std::int64_t>(v));
           },
           "The longest datagram that is taken (EDNS0). Above 1232 it may be fragmented and lost."},
          {"dnssd", "group", Kind::Text, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.defaultGroupName = word(v); },
           "The group, by name or number, of instances whose TXT record names none. Without it they are left "
           "out."},
          {"dnssd", "keep_for", Kind::Duration, "24h", 0, 8760 * kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.keepFor = time(v); },
           "How long the last list stands when no name server answers; 0 is for ever."},
          {"dnssd", "flap_half_life", Kind::Duration, "15s", kSecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.flapHalfLife = time(v); },
           "Each withdrawal of an instance counts 1, and the count halves in this time."},
          {"dnssd", "flap_suppress", Kind::Number, "1.5", 0.5, 1000, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.flapSuppress = as<double>(v); },
           "An instance that comes back at this count or above is left out,"},
          {"dnssd", "flap_reuse", Kind::Number, "0.75", 0.1, 1000, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.flapReuse = as<double>(v); },
           "until the count has fallen to this,"},
          {"dnssd", "flap_most", Kind::Duration, "60s", 0, 24 * kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.dnssd.flapMost = time(v); },
           "and no longer than this after it came back."},

          {"data_servers", "reports", Kind::Choice, "probes", 0, 0, "none answers probes",
           [](Draft& d, const KeyValue& v) {
             d.config.settings.loadReportMode = word(v) == "none"      ? LoadReportMode::None
                                         : word(v) == "answers" ? LoadReportMode::Piggyback
                                                                : LoadReportMode::Pull;
           },
           "Where load reports travel: with answers (the parameter `load`), on being asked (`SHOW load`), or "
           "nowhere."},
          {"data_servers", "report_values", Kind::Words, "x0, x1, inflight", 0, 0, "",
           [](Draft& d, const KeyValue& v) {
             d.config.reportNames = as<std::vector<std::string>>(v);
             d.config.settings.reportFields.clear();
             for (const std::string& name : d.config.reportNames)
               d.config.settings.reportFields.push_back(name == "x0"         ? ReportField::Position
                                                   : name == "x1"       ? ReportField::Primary
                                                   : name == "inflight" ? ReportField::Inflight
                                                   : name == "queue"    ? ReportField::Queue
                                                                        : ReportField::Other);
           },
           "The values of a report: x0 (position in the log, Unix seconds), x1 (1 from a primary), inflight, "
           "queue; "
           "others are read and not used."},
          {"data_servers", "probes", Kind::Flag, "yes", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.healthChecksAllowed = as<bool>(v); },
           "Whether they may be probed. Each probe costs a data server a little work."},
          {"data_servers", "positions", Kind::Flag, "yes", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.positionsInAnswers = as<bool>(v); },
           "Whether answers tell how far the log is applied (the parameter `applied_ms`)."},
          {"data_servers", "stale_reads", Kind::Choice, "served", 0, 0, "served refused held",
           [](Draft& d, const KeyValue& v) {
             d.config.settings.laggingReplicaPolicy = word(v) == "served"    ? LaggingReplicaPolicy::Serve
                                        : word(v) == "refused" ? LaggingReplicaPolicy::Reject
                                                               : LaggingReplicaPolicy::Wait;
           },
           "What a data server does with a read that it lags for: serves what it has (the proxy alone then "
           "keeps "
           "the "
           "bound), refuses it (72000), or holds it for a while to catch up."},
          {"data_servers", "held_for", Kind::Duration, "0", 0, 60 * kSecond, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.replicaWaitLimit = time(v); },
           "With `stale_reads = held`: how long."},
          {"data_servers", "role_listed", Kind::Choice, "never", 0, 0, "never start late",
           [](Draft& d, const KeyValue& v) {
             d.config.settings.listedRolePolicy = word(v) == "never"   ? ListedRolePolicy::NotListed
                                            : word(v) == "start" ? ListedRolePolicy::AtStart
                                                                 : ListedRolePolicy::Delayed;
           },
           "Whether the list names the primary: never, as it was at its start, or some seconds late."},
          {"data_servers", "synchronous", Kind::Flag, "no", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.synchronousReplication = as<bool>(v); },
           "Whether a write is answered only once a replica has it."},
          {"data_servers", "gone_still_serves", Kind::Flag, "no", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.removedEndpointsStayUsable = as<bool>(v); },
           "Whether a server that is gone from the list may still be sent work, so that only draining binds. "
           "Leave it at "
           "no unless the list is known to lose servers that run."},

          {"data_servers", "protocol", Kind::Choice, "3.0", 0, 0, "3.0 3.2",
           [](Draft& d, const KeyValue& v) { d.config.serverMinor = word(v) == "3.2" ? 2 : 0; },
           "The version that is asked of data servers. One that knows only 3.0 is spoken to in 3.0."},
          {"data_servers", "user", Kind::Text, "api", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.serverUser = word(v); },
           "As whom the proxy logs in there."},
          {"data_servers", "password_file", Kind::Text, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.passwordFile = word(v); },
           "A file whose first line is that user's password; nobody but the proxy's user may read it. "
           "Without it data "
           "servers are reached by trust alone."},
          {"data_servers", "login", Kind::Words, "scram, md5", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.serverLogins = logins(v); },
           "What a data server may ask for: `scram`, `md5`, `cleartext`. With scram it has to prove that it "
           "knows the "
           "password, too."},
          {"data_servers", "give_up", Kind::Choice, "close", 0, 0, "close cancel",
           [](Draft& d, const KeyValue& v) { d.config.cancelServers = word(v) == "cancel"; },
           "What ends an attempt that is given up: its connection is closed, or the data server gets a "
           "CancelRequest and "
           "the connection is used again once it is in step."},
          {"data_servers", "give_up_wait", Kind::Duration, "200ms", kMillisecond, 10 * kSecond, "",
           [](Draft& d, const KeyValue& v) { d.config.giveUpWait = time(v); },
           "With `give_up = cancel`: a data server that has not answered by then has its connection closed. "
           "No second "
           "attempt goes out before."},
          {"data_servers", "database", Kind::Text, "ledger", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.serverDatabase = word(v); }, "And to which database."},
          {"data_servers", "answers", Kind::Choice, "rows", 0, 0, "value rows",
           [](Draft& d, const KeyValue& v) { d.config.anyRows = word(v) == "rows"; },
           "Any number of columns and rows, 256 KiB at most; or always one row of one column, so that "
           "anything "
           "else is "
           "taken for a spoilt answer."},

          {"clients", "come_again", Kind::Flag, "yes", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.retryAfterAllowed = as<bool>(v); },
           "Whether refusals tell when to come back (field D, in ms)."},
          {"clients", "come_again_most", Kind::Duration, "1s", 0, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.maxRetryAfter = time(v); },
           "The longest wait that clients keep to."},
          {"clients", "session_positions", Kind::Choice, "carried", 0, 0, "carried remembered",
           [](Draft& d, const KeyValue& v) { d.config.settings.sessionTokensCarried = word(v) == "carried"; },
           "Whether session reads bring the position that they have to see (`after=`), or the proxy "
           "remembers "
           "what it "
           "served each session."},

          {"clients", "login", Kind::Words, "trust", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.logins = logins(v); },
           "How clients log in, the best way first: `scram`, `md5`, `cleartext`; the first that the client's "
           "version and "
           "the user's line in the file have. Or `trust`, without a password."},
          {"clients", "users", Kind::Text, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.usersFile = word(v); },
           "The file of users, a line `NAME:SECRET` each; `sablespur password NAME` makes one. SIGHUP reads "
           "it again."},
          {"clients", "extended_queries", Kind::Flag, "yes", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.extended = as<bool>(v); },
           "Whether Parse, Bind, Execute and the like are taken. Each execution goes on as one simple "
           "query."},
          {"clients", "version_2", Kind::Flag, "yes", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.version2 = as<bool>(v); },
           "Whether clients that speak protocol 2.0 are taken. They can't be told a SQLSTATE, nor what else "
           "2.0 "
           "has no "
           "place for."},
          {"clients", "statement_errors", Kind::Choice, "told", 0, 0, "told hidden",
           [](Draft& d, const KeyValue& v) { d.config.tellStatementErrors = word(v) == "told"; },
           "A statement that a data server turns away for what it says (classes 22 and 42): its error is "
           "passed "
           "on in the "
           "client's form, or the client gets 40003."},

          {"clients", "first_query", Kind::Duration, "2s", 10 * kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.firstQuery = time(v); },
           "A client that has asked nothing by then is closed; its login is part of it."},
          {"clients", "half_message", Kind::Duration, "1500ms", 10 * kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.halfMessage = time(v); },
           "A client that has begun a message and not sent the rest of it by then is closed."},
          {"clients", "unread_answer", Kind::Duration, "10s", 100 * kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.unreadAnswer = time(v); },
           "A client that has taken nothing of its answer for so long is closed."},

          {"admission", "door", Kind::Flag, "no", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.admission.door = as<bool>(v); },
           "Whether the groups below are kept apart. Without it every client is alike, and the longest idle one "
           "makes way."},
          {"admission", "connections", Kind::Count, "0", 0, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.admission.most = static_cast<std::size_t>(as<std::int64_t>(v)); },
           "Client connections at once, of all groups; 0 is what the limits on descriptors and memory leave for "
           "clients, less the antechamber. More than that is cut to it."},
          {"admission", "antechamber", Kind::Count, "0", 0, 1e5, "",
           [](Draft& d, const KeyValue& v) {
             d.admission.antechamber = static_cast<std::size_t>(as<std::int64_t>(v));
           },
           "Connections that are not let in and are held for a moment all the same: to be told so in words of "
           "their version, to prove a name, to say for whom they stand. 0 is an eighth of the clients' "
           "descriptors, 8 at least. Beyond it a connection gets a word of version 3 and is closed at once."},
          {"admission", "network_bits", Kind::Count, "24", 8, 32, "",
           [](Draft& d, const KeyValue& v) { d.admission.prefix4 = static_cast<int>(as<std::int64_t>(v)); },
           "How many bits of an IPv4 address make the network that `connections_by_network` counts."},
          {"admission", "network_bits_v6", Kind::Count, "64", 16, 128, "",
           [](Draft& d, const KeyValue& v) { d.admission.prefix6 = static_cast<int>(as<std::int64_t>(v)); },
           "The same for IPv6."},
          {"admission", "come_back_least", Kind::Duration, "100ms", kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.admission.comeBackLeast = time(v); },
           "A client that is not let in is told to come back after this at the earliest,"},
          {"admission", "come_back_most", Kind::Duration, "10s", kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.admission.comeBackMost = time(v); },
           "and after this at the latest, each at a time of its own between."},
          {"admission", "idle_least", Kind::Duration, "500ms", 0, kHour, "",
           [](Draft& d, const KeyValue& v) { d.admission.idleLeast = time(v); },
           "A connection that has been idle for less is not asked to make way."},
          {"admission", "fronts", Kind::Words, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.admission.fronts = as<std::vector<std::string>>(v); },
           "Networks of fronts that hide their clients' addresses: each connection from there has to begin with a "
           "PROXY header, version 1 or 2, and counts by the address in it. From anywhere else a header is an "
           "error."},
          {"admission", "served_before", Kind::Text, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.admission.servedBefore = word(v); },
           "The group of addresses that are in no group's network and have been served several times over 2 s, "
           "within a day. Empty: they belong to `others`."},
          {"admission", "known_addresses", Kind::Count, "4096", 1, 1e6, "",
           [](Draft& d, const KeyValue& v) {
             d.admission.knownMost = static_cast<std::size_t>(as<std::int64_t>(v));
           },
           "Of those so many are remembered, 32 of one network at most; about 200 bytes each."},
          {"admission", "requests", Kind::Choice, "off", 0, 0, "off fixed aimd gradient",
           [](Draft& d, const KeyValue& v) { d.admission.requests = word(v); },
           "A limit on the requests that are out at once, of all groups: none, `limit`, or one that is learned from "
           "latency: `gradient` from its rise over the least of late, `aimd` by adding until `bound` is passed. "
           "Another kind takes a restart."},
          {"admission", "limit", Kind::Count, "20", 1, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.admission.limit = static_cast<std::size_t>(as<std::int64_t>(v)); },
           "With `requests = fixed` the limit, else where learning begins."},
          {"admission", "limit_least", Kind::Count, "4", 1, 1e6, "",
           [](Draft& d, const KeyValue& v) {
             d.admission.limitLeast = static_cast<std::size_t>(as<std::int64_t>(v));
           },
           "A learned limit is no lower."},
          {"admission", "limit_most", Kind::Count, "1000", 1, 1e6, "",
           [](Draft& d, const KeyValue& v) {
             d.admission.limitMost = static_cast<std::size_t>(as<std::int64_t>(v));
           },
           "A learned limit is no higher."},
          {"admission", "bound", Kind::Duration, "400ms", kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.admission.bound = time(v); },
           "With `requests = aimd`: the mean latency above which the limit shrinks."},
          {"admission", "tolerance", Kind::Number, "2", 1, 100, "",
           [](Draft& d, const KeyValue& v) { d.admission.tolerance = as<double>(v); },
           "With `requests = gradient`: how many times the least latency of late is still no queue. More serves "
           "a little more in all, and each a little later."},
          {"admission", "waiting", Kind::Count, "32", 0, 1e5, "",
           [](Draft& d, const KeyValue& v) { d.admission.waiting = static_cast<std::size_t>(as<std::int64_t>(v)); },
           "Requests that may wait for a place under the limit. What can no longer be on time is dropped first, "
           "then the newest of the group that has most waiting by weight."},
          {"admission", "request_back_least", Kind::Duration, "50ms", kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.admission.requestBackLeast = time(v); },
           "A request that is turned away may come back after this at the earliest,"},
          {"admission", "request_back_most", Kind::Duration, "2s", kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.admission.requestBackMost = time(v); },
           "and after this at the latest."},

          {"admission_group", "networks", Kind::Words, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.door.networks = as<std::vector<std::string>>(v); },
           "IPv4 and IPv6 networks or addresses, with commas between; the longest that holds an address counts, of "
           "whichever group."},
          {"admission_group", "networks_file", Kind::Text, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.door.networksFile = word(v); },
           "More of them, one a line; # begins a comment. Beside the settings unless its path is absolute."},
          {"admission_group", "users", Kind::Words, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.door.users = as<std::vector<std::string>>(v); },
           "Users that belong here wherever they come from, once they have logged in with their password."},
          {"admission_group", "connections", Kind::Count, "0", 0, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.door.most = static_cast<std::size_t>(as<std::int64_t>(v)); },
           "At once; 0 is no cap of its own."},
          {"admission_group", "connections_by_address", Kind::Count, "0", 0, 1e6, "",
           [](Draft& d, const KeyValue& v) {
             d.door.mostByAddress = static_cast<std::size_t>(as<std::int64_t>(v));
           },
           "At once from one address; 0 is no cap."},
          {"admission_group", "connections_by_network", Kind::Count, "0", 0, 1e6, "",
           [](Draft& d, const KeyValue& v) {
             d.door.mostByPrefix = static_cast<std::size_t>(as<std::int64_t>(v));
           },
           "At once from one network of `network_bits`; 0 is no cap."},
          {"admission_group", "connections_per_second", Kind::Number, "0", 0, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.door.perSecond = as<double>(v); },
           "New connections that are let in; 0 is no bound."},
          {"admission_group", "burst", Kind::Number, "1", 1, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.door.burst = as<double>(v); },
           "Of them so many may come at once, as when all come back after a restart."},
          {"admission_group", "reserve", Kind::Count, "0", 0, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.door.reserve = static_cast<std::size_t>(as<std::int64_t>(v)); },
           "Places that nobody else may take, used or not."},
          {"admission_group", "weight", Kind::Number, "1", 0.001, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.door.weight = as<double>(v); },
           "When all is full: the group that holds most by its weight gives up its idle connections first, and the "
           "one with the fewest requests out by its weight goes next."},
          {"admission_group", "requests", Kind::Count, "0", 0, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.door.mostOpen = static_cast<std::size_t>(as<std::int64_t>(v)); },
           "Requests out or waiting at once, with `[admission] requests`; 0 is no cap of its own."},

          {"store", "directory", Kind::Text, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.store.directory = word(v); },
           "Of this proxy alone, on a disk that outlives it; by its path or beside this file. It is made if it is not "
           "there. Empty: nothing is kept."},
          {"store", "keep", Kind::Duration, "10min", kSecond, 24 * 30 * kHour, "",
           [](Draft& d, const KeyValue& v) { d.store.keep = time(v); },
           "A key is known for so long after the last word on it. One that comes later is taken for new, so this must "
           "be longer than any client goes on asking: at least give_up and repeats_dropped_for of each keyed class "
           "together."},
          {"store", "keep_sessions", Kind::Duration, "10min", kSecond, 24 * 30 * kHour, "",
           [](Draft& d, const KeyValue& v) { d.store.keepSessions = time(v); },
           "What a session has seen is known for so long after it was last seen. What is forgotten raises the least "
           "that any unknown session is shown."},
          {"store", "keys", Kind::Count, "100000", 1, 1e9, "",
           [](Draft& d, const KeyValue& v) { d.store.mostKeys = static_cast<std::size_t>(as<std::int64_t>(v)); },
           "Keys known at once. Beyond that a write with a new key is turned away until one may be forgotten: keys a "
           "second times keep must stay below it. About 500 bytes of disk each, and its answer."},
          {"store", "sessions", Kind::Count, "100000", 1, 1e9, "",
           [](Draft& d, const KeyValue& v) { d.store.mostSessions = static_cast<std::size_t>(as<std::int64_t>(v)); },
           "Sessions known at once. Beyond that a new one raises the least that unknown sessions are shown."},
          {"store", "answers", Kind::Size, "16KB", 0, 1 << 20, "",
           [](Draft& d, const KeyValue& v) { d.store.longestAnswer = static_cast<std::size_t>(as<std::uint64_t>(v)); },
           "Answers of keyed writes up to so long are kept for those that ask again; who asks for a longer one again "
           "is told that it may have run."},
          {"store", "patience", Kind::Duration, "250ms", kMillisecond, 60 * kSecond, "",
           [](Draft& d, const KeyValue& v) { d.store.patience = time(v); },
           "A commit that takes longer counts as a disk that hangs: keyed writes are turned away until it has ended."},
          {"store", "come_back_least", Kind::Duration, "200ms", kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.store.comeBackLeast = time(v); },
           "Who is turned away for want of the store is told to come back after a random time between this"},
          {"store", "come_back_most", Kind::Duration, "2s", kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.store.comeBackMost = time(v); }, "and this."},
          {"store", "damaged", Kind::Choice, "refuse", 0, 0, "refuse set_aside",
           [](Draft& d, const KeyValue& v) { d.store.setAside = word(v) == "set_aside"; },
           "A store that fails its checks at the start: the proxy does not start, or renames it to NAME.damaged-TIME "
           "and begins a new one, which knows no key."},

          {"peers", "listen", Kind::Address, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.peerListen = as<Address>(v); },
           "Where this proxy hears the others, over UDP. Empty: proxies do not talk."},
          {"peer", "address", Kind::Address, nullptr, 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.peers.push_back(as<Address>(v)); },
           "Where it hears the others, as its `[peers] listen` has it."},
          {"peers", "hints", Kind::Flag, "no", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.hints = as<bool>(v); },
           "Positions, roles and latencies that answers show are told on. Pays with many proxies and few requests each."},

          {"recovery", "on", Kind::Flag, "yes", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.recovery.on = as<bool>(v); },
           "Snapshots are written and read beside the store (DIRECTORY.snapshot), and other proxies are asked."},
          {"recovery", "order", Kind::Flag, "yes", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.recovery.order = as<bool>(v); },
           "After a start requests go on as data servers prove ready; the others are turned away at once with a time "
           "to come back. No: all go on, and wait or fail."},
          {"recovery", "trust", Kind::Choice, "by_kind", 0, 0, "by_kind nothing all",
           [](Draft& d, const KeyValue& v) {
             d.config.recovery.trust = word(v) == "all"       ? Trust::All
                                       : word(v) == "nothing" ? Trust::Nothing
                                                              : Trust::ByKind;
           },
           "Of the snapshot: names kept, figures aged, positions and primaries never before a data server's word; or "
           "nothing of it. `all` breaks rules, and is there for the lab to show it."},
          {"recovery", "snapshot_every", Kind::Duration, "1s", 10 * kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.recovery.every = time(v); },
           "One is some 150 bytes a data server, written and synced on a thread of its own."},
          {"recovery", "dials", Kind::Number, "50", 0.1, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.config.recovery.dials = as<double>(v); },
           "Connections a second that all proxies together open ahead of need to a data server that has just come. "
           "Each takes its turn by hashing, so the `[peer]`s must be the same at each."},
          {"recovery", "longest", Kind::Duration, "20s", kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.recovery.longest = time(v); },
           "Beyond this nothing is held back any more, whatever has been heard."},

          {"status", "socket", Kind::Text, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.config.statusSocket = word(v); },
           "The path of a local socket that only the proxy's own user may open. Empty: there is none."},

          {"rules", "drain_grace", Kind::Duration, "1s", 0, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.drainGrace = time(v); },
           "Nothing new to a data server later than this after it was told that it drains or is gone."},
          {"rules", "cold_for", Kind::Duration, "18s", 0, kHour, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.warmUpPeriod = time(v); },
           "After its start a data server is warm no later than this."},
          {"rules", "cold_capacity", Kind::Share, "21%", 0.0001, 1, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.warmUpStartCapacity = as<double>(v); },
           "The share of its capacity that it starts with, at least."},
          {"rules", "fall_multiple", Kind::Number, "2.5", 1, 1000, "",
           [](Draft& d, const KeyValue& v) { d.config.settings.overloadFactor = as<double>(v); },
           "A cold data server that is sent more than this multiple of what it can do falls over,"},
          {"rules", "fall_for", Kind::Duration, "1500ms", kMillisecond, kHour,
           "", [](Draft& d, const KeyValue& v) { d.config.settings.overloadWindow = time(v); },
           "when it is sent that for so long."},

          {"goal", "whole", Kind::Share, "55%", 0, 1,
           "", [](Draft& d, const KeyValue& v) { d.config.settings.wholeServiceGoalWeight = as<double>(v); },
           "The weight of all that is served."},
          {"goal", "worst_class", Kind::Share, "30%", 0, 1,
           "", [](Draft& d, const KeyValue& v) { d.config.settings.worstClassGoalWeight = as<double>(v); },
           "The weight of the class that is served worst."},

          {"class", "data", Kind::Choice, nullptr, 0, 0, "any bounded session fresh write",
           [](Draft& d, const KeyValue& v) {
             d.cls.requirement = word(v) == "any"       ? Requirement::Any
                          : word(v) == "bounded" ? Requirement::BoundedStaleness
                          : word(v) == "session" ? Requirement::Session
                          : word(v) == "fresh"   ? Requirement::Strong
                                                 : Requirement::Write;
           },
           "What data a request needs: any; no older than max_age; all that its session wrote; all that was "
           "written "
           "before it came; or the primary, to write."},
          {"class", "max_age", Kind::Duration, "0", 0, 24 * kHour,
           "", [](Draft& d, const KeyValue& v) { d.cls.maxStaleness = time(v); },
           "With `data = bounded`: the greatest age of the data when the request is sent."},
          {"class", "repeats", Kind::Choice, nullptr, 0, 0, "safe keyed unsafe",
           [](Draft& d, const KeyValue& v) {
             d.cls.idempotency = word(v) == "safe"    ? Idempotency::Idempotent
                            : word(v) == "keyed" ? Idempotency::WithKey
                                                 : Idempotency::NonIdempotent;
           },
           "Whether a request may run twice: always, within what drops repeats of its key (`k=`), or never."},
          {"class", "repeats_dropped_by", Kind::Choice, "group", 0, 0, "all zone group",
           [](Draft& d, const KeyValue& v) {
             d.cls.idempotencyScope = word(v) == "all"    ? IdempotencyScope::All
                           : word(v) == "zone" ? IdempotencyScope::Zone
                                               : IdempotencyScope::Group;
           },
           "With `repeats = keyed`: which data servers know a key that one of them has seen."},
          {"class", "repeats_dropped_for", Kind::Duration, "0", 0, 24 * kHour, "",
           [](Draft& d, const KeyValue& v) { d.cls.deduplicationWindow = time(v); },
           "With `repeats = keyed`: how long they know it, from the first send."},
          {"class", "aim", Kind::Duration, nullptr, kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.cls.latencyObjective = time(v); },
           "An answer within this earns its full worth."},
          {"class", "give_up", Kind::Duration, nullptr, kMillisecond, kHour, "",
           [](Draft& d, const KeyValue& v) { d.cls.deadline = time(v); },
           "How long a client waits that does not say so itself (`d=`)."},
          {"class", "worth", Kind::Number, "1", 0, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.cls.priorityWeight = as<double>(v); }, "Against other classes."},
          {"class", "late_worth", Kind::Share, "0", 0, 1, "",
           [](Draft& d, const KeyValue& v) { d.cls.lateWeight = as<double>(v); },
           "The share of the worth that an answer after the aim still earns."},

          {"group", "number", Kind::Count, nullptr, 0, 65535, "",
           [](Draft& d,
              const KeyValue& v) { d.group.id = static_cast<balancer::GroupId>(as<std::int64_t>(v)); },
           "The number that statements carry (`cluster=`)."},

          {"member", "address", Kind::Address, nullptr, 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.member.address = as<Address>(v); }, "Where it listens."},
          {"member", "group", Kind::Text, nullptr, 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.memberGroup = word(v); }, "Its group, by name or number."},
          {"member", "zone", Kind::Text, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.member.zone = word(v); }, "Its building."},
          {"member", "kind", Kind::Text, "", 0, 0, "",
           [](Draft& d, const KeyValue& v) { d.member.kind = word(v); }, "Its kind of machine, for staff."},
          {"member", "weight", Kind::Number, "1", 0.001, 1e6, "",
           [](Draft& d, const KeyValue& v) { d.member.weight = as<double>(v); },
           "Its size, comparable among members."},
      };
  return table;
}

namespace {

template <typename T>
Read<KeyValue> widen(const Read<T>& r) {
  if (const ValueError* w = std::get_if<ValueError>(&r)) return *w;
  return KeyValue(std::get<T>(r));
}

std::vector<std::string> words(const std::string& text, char between) {
  std::vector<std::string> all;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, between);) {
    item.erase(0, item.find_first_not_of(" \t"));
    item.erase(item.find_last_not_of(" \t") + 1);
    if (!item.empty()) all.push_back(item);
  }
  return all;
}

Read<KeyValue> readAddress(const std::string& text) {
  if (const auto a = Address::parse(text)) return KeyValue(*a);
  return ValueError{"'" + text + "' is no address with a port",
                    "write it as 10.1.0.18:5432 or [fd00::18]:5432; names are not looked up here"};
}

Read<KeyValue> readAny(const Key& key, const std::string& text) {
  switch (key.kind) {
    case Kind::Address:
      return text.empty() ? Read<KeyValue>(KeyValue(Address())) : readAddress(text);
    case Kind::Addresses: {
      std::vector<Address> all;
      for (const std::string& item : words(text, ',')) {
        const auto one = readAddress(item);
        if (const ValueError* w = std::get_if<ValueError>(&one)) return *w;
        all.push_back(std::get<Address>(std::get<KeyValue>(one)));
      }
      return KeyValue(all);
    }
    case Kind::Duration:
      return widen(readTime(text));
    case Kind::Size:
      return widen(readSize(text));
    case Kind::Count:
      return widen(readCount(text));
    case Kind::Number:
      return widen(readNumber(text));
    case Kind::Share:
      return widen(readShare(text));
    case Kind::Flag:
      return widen(readFlag(text));
    case Kind::Words:
      return KeyValue(words(text, ','));
    case Kind::Hex: {
      if (text == "random") return KeyValue(std::uint64_t{0});
      std::uint64_t v = 0;
      const char* const end = text.data() + text.size();
      const auto [stop, error] = std::from_chars(text.data(), end, v, 16);
      if (error == std::errc() && stop == end) return KeyValue(v);
      return ValueError{"'" + text + "' is no hexadecimal number",
                        "write up to 16 of 0 to 9 and a to f, or random"};
    }
    case Kind::Choice: {
      const std::vector<std::string> all = words(key.choices, ' ');
      if (std::find(all.begin(), all.end(), text) != all.end()) return KeyValue(text);
      std::string list;
      for (const std::string& w : all) list += (list.empty() ? "" : ", ") + w;
      const std::string near = nearestWord(text, all.data(), all.data() + all.size());
      return ValueError{"'" + text + "' is none of " + list,
                        near.empty() ? "write one of them" : "did you mean '" + near + "'?"};
    }
    case Kind::Domain: {
      if (text.empty()) return KeyValue(text);
      std::size_t label = 0;
      bool good = text.size() <= 253;
      for (const char c : text) {
        const bool word = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                          c == '-' || c == '_';
        good = good && (word || (c == '.' && label > 0));
        label = c == '.' ? 0 : label + 1;
        good = good && label <= 63;
      }
      if (good) return KeyValue(text);
      return ValueError{
          "'" + text + "' is no domain name",
          "write labels of letters, digits, - and _ with dots between, such as ruwi.example.org"};
    }
    case Kind::Text:
      break;
  }
  if (text.empty() && !key.fallback) return ValueError{"it is empty", "give it a value"};
  return KeyValue(text);
}

struct InBase {  // as the bounds count it
  double operator()(Time t) const { return static_cast<double>(t.count()); }
  double operator()(std::uint64_t v) const { return static_cast<double>(v); }
  double operator()(std::int64_t v) const { return static_cast<double>(v); }
  double operator()(double v) const { return v; }
  template <typename T>
  double operator()(const T&) const {
    return 0;
  }
};

std::string writeBound(Kind kind, double v) {
  if (kind == Kind::Duration) return writeTime(Time(static_cast<std::int64_t>(v)));
  if (kind == Kind::Size) return writeSize(static_cast<std::uint64_t>(v));
  std::ostringstream s;
  s << (kind == Kind::Share ? v * 100 : v) << (kind == Kind::Share ? "%" : "");
  return s.str();
}

const char* kindName(Kind k) {
  switch (k) {
    case Kind::Address:
      return "address";
    case Kind::Addresses:
      return "addresses";
    case Kind::Duration:
      return "time";
    case Kind::Size:
      return "size";
    case Kind::Count:
      return "whole number";
    case Kind::Number:
      return "number";
    case Kind::Share:
      return "share";
    case Kind::Flag:
      return "yes or no";
    case Kind::Choice:
      return "choice";
    case Kind::Words:
      return "words";
    case Kind::Hex:
      return "hexadecimal";
    case Kind::Domain:
      return "domain name";
    case Kind::Text:
      break;
  }
  return "text";
}

}  // namespace

Read<KeyValue> readValue(const Key& key, const std::string& text) {
  Read<KeyValue> value = readAny(key, text);
  if (std::holds_alternative<ValueError>(value) || key.least == key.most) return value;
  const double v = std::visit(InBase{}, std::get<KeyValue>(value));
  if (v >= key.least && v <= key.most) return value;
  return ValueError{"'" + text + "' is out of range",
                    "write " + writeBound(key.kind, key.least) + " to " + writeBound(key.kind, key.most)};
}

std::string settingsPage() {
  std::ostringstream page;
  for (const SectionInfo& s : sectionTable()) {
    page << "## [" << s.type << (s.named ? " NAME" : "") << "]\n\n"
         << s.meaning << "\n\n| key | kind | default | bounds | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const Key& k : keyTable()) {
      if (std::string(k.section) != s.type) continue;
      page << "| `" << k.name << "` | " << kindName(k.kind) << " | "
           << (!k.fallback                       ? "must be given"
               : std::string(k.fallback).empty() ? "none"
                                                 : "`" + std::string(k.fallback) + "`")
           << " | ";
      if (k.kind == Kind::Choice)
        page << "`" << k.choices << "`";
      else if (k.least < k.most)
        page << writeBound(k.kind, k.least) << " to " << writeBound(k.kind, k.most);
      page << " | " << k.meaning << " |\n";
    }
    page << "\n";
  }
  return page.str();
}

}  // namespace sablespur
