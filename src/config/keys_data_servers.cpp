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
     "Where load reports travel: with answers (the parameter `load`), on being asked (`SHOW load`), or "
     "nowhere."},
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
     "The values of a report: x0 (position in the log, Unix seconds), x1 (1 from a primary), inflight, "
     "queue; others are read and not used."},
    {"data_servers", "probes", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.healthChecksAllowed = as<bool>(v); },
     "Whether they may be probed. Each probe costs a data server a little work."},
    {"data_servers", "positions", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.positionsInAnswers = as<bool>(v); },
     "Whether answers tell how far the log is applied (the parameter `applied_ms`)."},
    {"data_servers", "stale_reads", KeyKind::Choice, "served", kUnbounded, "served refused held",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.settings.laggingReplicaPolicy = text(v) == "served"    ? LaggingReplicaPolicy::Serve
                                                : text(v) == "refused" ? LaggingReplicaPolicy::Reject
                                                                       : LaggingReplicaPolicy::Wait;
     },
     "What a data server does with a read that it lags for: serves what it has (the proxy alone then keeps "
     "the bound), refuses it (72000), or holds it for a while to catch up."},
    {"data_servers", "held_for", KeyKind::Duration, "0", Bounds{0, 60 * kSecond}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.replicaWaitLimit = duration(v); },
     "With `stale_reads = held`: how long."},
    {"data_servers", "role_listed", KeyKind::Choice, "never", kUnbounded, "never start late",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.settings.listedRolePolicy = text(v) == "never"   ? ListedRolePolicy::NotListed
                                            : text(v) == "start" ? ListedRolePolicy::AtStart
                                                                 : ListedRolePolicy::Delayed;
     },
     "Whether the list names the primary: never, as it was at its start, or some seconds late."},
    {"data_servers", "synchronous", KeyKind::Flag, "no", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.synchronousReplication = as<bool>(v); },
     "Whether a write is answered only once a replica has it."},
    {"data_servers", "gone_still_serves", KeyKind::Flag, "no", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.removedEndpointsStayUsable = as<bool>(v); },
     "Whether a server that is gone from the list may still be sent work, so that only draining binds. Leave "
     "it at no unless the list is known to lose servers that run."},
    {"data_servers", "protocol", KeyKind::Choice, "3.0", kUnbounded, "3.0 3.2",
     [](SettingsDraft& d, const KeyValue& v) { d.config.serverMinor = text(v) == "3.2" ? 2 : 0; },
     "The version that is asked of data servers. One that knows only 3.0 is spoken to in 3.0."},
    {"data_servers", "user", KeyKind::Text, "api", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.serverUser = text(v); },
     "As whom the proxy logs in there."},
    {"data_servers", "password_file", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.files.serverPassword = text(v); },
     "A file whose first line is that user's password; nobody but the proxy's user may read it. Without it "
     "data servers are reached by trust alone."},
    {"data_servers", "login", KeyKind::Words, "scram, md5", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.serverLogins = loginMethods(v); },
     "What a data server may ask for: `scram`, `md5`, `cleartext`. With scram it has to prove that it knows "
     "the password, too."},
    {"data_servers", "give_up", KeyKind::Choice, "close", kUnbounded, "close cancel",
     [](SettingsDraft& d, const KeyValue& v) { d.config.cancelServers = text(v) == "cancel"; },
     "What ends an attempt that is given up: its connection is closed, or the data server gets a "
     "CancelRequest and the connection is used again once it is in step."},
    {"data_servers", "give_up_wait", KeyKind::Duration, "200ms", Bounds{kMillisecond, 10 * kSecond},
     kNoChoices, [](SettingsDraft& d, const KeyValue& v) { d.config.giveUpWait = duration(v); },
     "With `give_up = cancel`: a data server that has not answered by then has its connection closed. No "
     "second attempt goes out before."},
    {"data_servers", "database", KeyKind::Text, "ledger", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.serverDatabase = text(v); },
     "And to which database."},
    {"data_servers", "answers", KeyKind::Choice, "rows", kUnbounded, "value rows",
     [](SettingsDraft& d, const KeyValue& v) { d.config.anyRows = text(v) == "rows"; },
     "Any number of columns and rows, 256 KiB at most; or always one row of one column, so that anything "
     "else is taken for a spoilt answer."},
};

}  // namespace

KeyRange dataServersKeys() { return KeyRange(kDataServersKeys); }

}  // namespace sablespur::key_tables
