// The keys of [proxy], [limits], [log] and [status].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kProxyKeys[] = {
    {"proxy", "name", KeyKind::Text, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.name = text(v); },
     "Its name in the log, the same after a restart."},
    {"proxy", "listen", KeyKind::Address, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.listen = as<Address>(v); },
     "Where clients connect. Port 0 lets the system choose; the log tells which."},
    {"proxy", "proxies", KeyKind::Count, "1", Bounds{1, 10000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.proxyCount = integer<int>(v); },
     "How many proxies stand before the same data servers, this one included. Each takes its part of what a "
     "cold server may be sent, so a number that is too small can fell one."},
    {"proxy", "zones", KeyKind::Words, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.zones = as<std::vector<std::string>>(v); },
     "The buildings, with commas between. Data servers name theirs."},
    {"proxy", "seed", KeyKind::Hex, "random", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.seed = as<std::uint64_t>(v); },
     "Of its random numbers; hexadecimal, or `random` for a new one at each start. Fix it only to repeat a "
     "run."},
};

constexpr Key kLimitsKeys[] = {
    {"limits", "memory", KeyKind::Size, "64MB", Bounds{double(kLeastMemory), double(kMostMemory)}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.limits.memory = as<std::uint64_t>(v); },
     "Resident memory that the process keeps to."},
    {"limits", "descriptors", KeyKind::Count, "1024", Bounds{kLeastDescriptors, kMostDescriptors}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.limits.descriptors = integer<std::size_t>(v); },
     "Descriptors that it may open. 45% go to clients, the rest to data servers, but for 24 of its own. Not "
     "above `ulimit -n`."},
    {"limits", "attempts", KeyKind::Count, "8", Bounds{1, 255}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.maxAttempts = integer<int>(v); },
     "The most attempts for one request, its first included."},
    {"limits", "dial_timeout", KeyKind::Duration, "250ms", Bounds{kMillisecond, 60 * kSecond}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.dialTimeout = duration(v); },
     "A connection to a data server that is not up by then has failed; a probe not answered by then too."},
    {"limits", "idle_close", KeyKind::Duration, "15s", Bounds{kSecond, kHour / 2}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.idleClose = duration(v); },
     "Data servers close what stands idle for so long. The proxy retires its connections at 0.7 of it; with "
     "a figure that is too high, requests run into connections that have just been closed."},
};

constexpr Key kLogKeys[] = {
    {"log", "form", KeyKind::Choice, "logfmt", kUnbounded, "logfmt json",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.logForm = text(v) == "json" ? LogForm::Json : LogForm::Logfmt;
     },
     "A line an event, as `name=value` pairs or as a JSON object."},
    {"log", "level", KeyKind::Choice, "info", kUnbounded, "trace debug info warning error",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.logLevel = text(v) == "trace"     ? LogLevel::Trace
                           : text(v) == "debug"   ? LogLevel::Debug
                           : text(v) == "info"    ? LogLevel::Info
                           : text(v) == "warning" ? LogLevel::Warning
                                                  : LogLevel::Error;
     },
     "The least level that is written. `trace` writes a line for each request, attempt, probe and "
     "connection, without a limit: for `tools/fleet-table`, not for service."},
};

constexpr Key kStatusKeys[] = {
    {"status", "socket", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.statusSocket = text(v); },
     "The path of a local socket that only the proxy's own user may open. Empty: there is none."},
};

}  // namespace

KeyRange proxyKeys() { return KeyRange(kProxyKeys); }
KeyRange limitsKeys() { return KeyRange(kLimitsKeys); }
KeyRange logKeys() { return KeyRange(kLogKeys); }
KeyRange statusKeys() { return KeyRange(kStatusKeys); }

}  // namespace sablespur::key_tables
