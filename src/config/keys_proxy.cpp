// The keys of [proxy], [limits], [log] and [status].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kProxyKeys[] = {
    {"proxy", "name", KeyKind::Text, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.name = text(v); },
     "Name of this proxy in the log; the same after a restart."},
    {"proxy", "listen", KeyKind::Address, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.listen = as<Address>(v); },
     "Address on which clients connect. With port 0 the system chooses a port, which is logged."},
    {"proxy", "proxies", KeyKind::Count, "1", Bounds{1, 10000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.proxyCount = integer<int>(v); },
     "Number of proxies in front of the same data servers, this one included. Each proxy uses its share of "
     "what a warming-up data server may be sent, so a number that is too small can overload one."},
    {"proxy", "zones", KeyKind::Words, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.zones = as<std::vector<std::string>>(v); },
     "Names of the zones (buildings), separated by commas. Each data server names its zone."},
    {"proxy", "seed", KeyKind::Hex, "random", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.seed = as<std::uint64_t>(v); },
     "Seed of the random numbers, in hexadecimal; `random` draws a new one at each start. Set it only to "
     "repeat a run."},
};

constexpr Key kLimitsKeys[] = {
    {"limits", "memory", KeyKind::Size, "64MB", Bounds{double(kMinMemory), double(kMaxMemory)}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.limits.memory = as<std::uint64_t>(v); },
     "Limit on the resident memory of the process."},
    {"limits", "descriptors", KeyKind::Count, "1024", Bounds{kMinDescriptors, kMaxDescriptors}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.limits.descriptors = integer<std::size_t>(v); },
     "Limit on open file descriptors, at most `ulimit -n`. The process itself takes 24; 45% of the others "
     "are for clients and the rest for data servers."},
    {"limits", "attempts", KeyKind::Count, "8", Bounds{1, 255}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.maxAttempts = integer<int>(v); },
     "Maximum number of attempts for one request, the first included."},
    {"limits", "dial_timeout", KeyKind::Duration, "250ms", Bounds{kMillisecond, 60 * kSecond}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dialTimeout = duration(v); },
     "Timeout for connecting to a data server and for the answer to a health check."},
    {"limits", "idle_close", KeyKind::Duration, "15s", Bounds{kSecond, kHour / 2}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.idleClose = duration(v); },
     "Time after which data servers close idle connections. The proxy retires its connections at 0.7 of it. "
     "If the value is too high, requests are sent on connections that have just been closed."},
};

constexpr Key kLogKeys[] = {
    {"log", "form", KeyKind::Choice, "logfmt", kUnbounded, "logfmt json",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.logForm = text(v) == "json" ? LogForm::Json : LogForm::Logfmt;
     },
     "Format of the log: one line per event, as `name=value` pairs or as a JSON object."},
    {"log", "level", KeyKind::Choice, "info", kUnbounded, "trace debug info warning error",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.logLevel = text(v) == "trace"     ? LogLevel::Trace
                           : text(v) == "debug"   ? LogLevel::Debug
                           : text(v) == "info"    ? LogLevel::Info
                           : text(v) == "warning" ? LogLevel::Warning
                                                  : LogLevel::Error;
     },
     "Lowest level that is written. `trace` writes a line for each request, attempt, health check and "
     "connection, without a rate limit; it is meant for `tools/fleet-table`, not for production."},
};

constexpr Key kStatusKeys[] = {
    {"status", "socket", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.statusSocket = text(v); },
     "Path of a local socket that only the proxy's own user may open. Empty: none."},
};

}  // namespace

KeyRange proxyKeys() { return KeyRange(kProxyKeys); }
KeyRange limitsKeys() { return KeyRange(kLimitsKeys); }
KeyRange logKeys() { return KeyRange(kLogKeys); }
KeyRange statusKeys() { return KeyRange(kStatusKeys); }

}  // namespace sablespur::key_tables
