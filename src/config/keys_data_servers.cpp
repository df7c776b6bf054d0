// The keys of [data_servers].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

using balancer::LaggingReplicaPolicy;
using balancer::ListedRolePolicy;
using balancer::LoadReportMode;
using balancer::ReportField;

constexpr Key kDataServersKeys[] = {
    {"data_servers", "reports", KeyKind::Choice, "probes", kUnbounded, "none answers probes",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.settings.loadReportMode = text(v) == "none"      ? LoadReportMode::None
                                          : text(v) == "answers" ? LoadReportMode::Piggyback
                                                                 : LoadReportMode::Pull;
     },
     "How load reports are received: with answers (the parameter `load`), by a query (`SHOW load`), or not "
     "at all."},
    {"data_servers", "report_values", KeyKind::Words, "x0, x1, inflight", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.reportNames = as<std::vector<std::string>>(v);
       d.config.settings.reportFields.clear();
       for (const std::string& name : d.config.reportNames)
         d.config.settings.reportFields.push_back(name == "x0"         ? ReportField::Position
                                                  : name == "x1"       ? ReportField::Primary
                                                  : name == "inflight" ? ReportField::Inflight
                                                  : name == "queue"    ? ReportField::Queue
                                                                       : ReportField::Other);
     },
     "The values of a load report: x0 (position in the log, Unix seconds), x1 (1 from a primary), inflight, "
     "queue; others are read and ignored."},
    {"data_servers", "probes", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.healthChecksAllowed = as<bool>(v); },
     "Whether health checks may be sent. Each one costs the data server a little work."},
    {"data_servers", "positions", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.positionsInAnswers = as<bool>(v); },
     "Whether answers state up to which position the log is applied (the parameter `applied_ms`)."},
    {"data_servers", "stale_reads", KeyKind::Choice, "served", kUnbounded, "served refused held",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.settings.laggingReplicaPolicy = text(v) == "served"    ? LaggingReplicaPolicy::Serve
                                                : text(v) == "refused" ? LaggingReplicaPolicy::Reject
                                                                       : LaggingReplicaPolicy::Wait;
     },
     "What a data server does with a read when it lags too far behind: serves the data that it has (only the "
     "proxy then enforces the staleness bound), rejects the read (72000), or holds it for a while to catch "
     "up."},
    {"data_servers", "held_for", KeyKind::Duration, "0", Bounds{0, 60 * kSecond}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.replicaWaitLimit = duration(v); },
     "With `stale_reads = held`: how long a read is held."},
    {"data_servers", "role_listed", KeyKind::Choice, "never", kUnbounded, "never start late",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.settings.listedRolePolicy = text(v) == "never"   ? ListedRolePolicy::NotListed
                                            : text(v) == "start" ? ListedRolePolicy::AtStart
                                                                 : ListedRolePolicy::Delayed;
     },
     "Whether the list names the primary: never, by the role at the data server's start, or some seconds "
     "late."},
    {"data_servers", "synchronous", KeyKind::Flag, "no", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.synchronousReplication = as<bool>(v); },
     "Whether a write is answered only after a replica has received it."},
    {"data_servers", "gone_still_serves", KeyKind::Flag, "no", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.removedEndpointsStayUsable = as<bool>(v); },
     "Whether a data server that was removed from the list may still be sent requests, so that only draining "
     "excludes it. Leave it at `no` unless the list is known to omit data servers that are running."},
    {"data_servers", "protocol", KeyKind::Choice, "3.0", kUnbounded, "3.0 3.2",
     [](SettingsDraft& d, const KeyValue& v) { d.config.serverMinor = text(v) == "3.2" ? 2 : 0; },
     "Protocol version that is requested from data servers. With one that supports only 3.0, 3.0 is used."},
    {"data_servers", "user", KeyKind::Text, "api", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.serverUser = text(v); },
     "User name with which the proxy logs in to data servers."},
    {"data_servers", "password_file", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.files.serverPassword = text(v); },
     "File whose first line is the password of that user; only the proxy's own user may have access to it. "
     "Without it no password is sent, and data servers must use trust authentication."},
    {"data_servers", "login", KeyKind::Words, "scram, md5", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.serverLogins = loginMethods(v); },
     "Login methods that a data server may request: `scram`, `md5`, `cleartext`. With scram the data server "
     "also has to prove that it knows the password."},
    {"data_servers", "give_up", KeyKind::Choice, "close", kUnbounded, "close cancel",
     [](SettingsDraft& d, const KeyValue& v) { d.config.cancelServers = text(v) == "cancel"; },
     "How an abandoned attempt is ended: its connection is closed, or the data server is sent a "
     "CancelRequest and the connection is reused once it is synchronized again."},
    {"data_servers", "give_up_wait", KeyKind::Duration, "200ms", Bounds{kMillisecond, 10 * kSecond},
     kNoChoices, [](SettingsDraft& d, const KeyValue& v) { d.config.cancelResponseTimeout = duration(v); },
     "With `give_up = cancel`: how long the proxy waits for the data server's answer before it closes the "
     "connection. No second attempt is sent before that."},
    {"data_servers", "database", KeyKind::Text, "ledger", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.serverDatabase = text(v); },
     "Database to which the proxy connects."},
    {"data_servers", "answers", KeyKind::Choice, "rows", kUnbounded, "value rows",
     [](SettingsDraft& d, const KeyValue& v) { d.config.anyRows = text(v) == "rows"; },
     "`rows`: any number of columns and rows, up to 256 KiB; `value`: always one row of one column, and any "
     "other answer counts as malformed."},
};

}  // namespace

KeyRange dataServersKeys() { return KeyRange(kDataServersKeys); }

}  // namespace sablespur::key_tables
