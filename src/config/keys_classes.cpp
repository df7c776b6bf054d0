// The keys of [rules], [goal] and [class NAME].
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

using balancer::Idempotency;
using balancer::IdempotencyScope;
using balancer::Requirement;

constexpr Key kRulesKeys[] = {
    {"rules", "drain_grace", KeyKind::Duration, "1s", Bounds{0, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.drainGrace = duration(v); },
     "No new request is sent to a data server later than this after the proxy was informed that it is "
     "draining or was removed."},
    {"rules", "cold_for", KeyKind::Duration, "18s", Bounds{0, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.warmUpPeriod = duration(v); },
     "A data server is warm at the latest this long after its start."},
    {"rules", "cold_capacity", KeyKind::Share, "21%", Bounds{0.0001, 1}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.warmUpStartCapacity = as<double>(v); },
     "Minimum share of its capacity that a data server has at its start."},
    {"rules", "fall_multiple", KeyKind::Number, "2.5", Bounds{1, 1000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.overloadFactor = as<double>(v); },
     "A warming-up data server fails when it is sent more than this multiple of its current capacity for "
     "`fall_for`."},
    {"rules", "fall_for", KeyKind::Duration, "1500ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.overloadWindow = duration(v); },
     "How long that overload has to last until the data server fails."},
};

constexpr Key kGoalKeys[] = {
    {"goal", "whole", KeyKind::Share, "55%", Bounds{0, 1}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.wholeServiceGoalWeight = as<double>(v); },
     "Weight of the service as a whole."},
    {"goal", "worst_class", KeyKind::Share, "30%", Bounds{0, 1}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.worstClassGoalWeight = as<double>(v); },
     "Weight of the class that is served worst."},
};

constexpr Key kClassKeys[] = {
    {"class", "data", KeyKind::Choice, nullptr, kUnbounded, "any bounded session fresh write",
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.requestClass.requirement = text(v) == "any"       ? Requirement::Any
                                            : text(v) == "bounded" ? Requirement::BoundedStaleness
                                            : text(v) == "session" ? Requirement::Session
                                            : text(v) == "fresh"   ? Requirement::Strong
                                                                   : Requirement::Write;
     },
     "The data that a request needs. `any`: any; `bounded`: no older than max_age; `session`: with all "
     "writes of its session; `fresh`: with all writes before its arrival; `write`: the primary, to write."},
    {"class", "max_age", KeyKind::Duration, "0", Bounds{0, 24 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.maxStaleness = duration(v); },
     "With `data = bounded`: the maximum age of the data when the request is sent."},
    {"class", "repeats", KeyKind::Choice, nullptr, kUnbounded, "safe keyed unsafe",
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.requestClass.idempotency = text(v) == "safe"    ? Idempotency::Idempotent
                                            : text(v) == "keyed" ? Idempotency::WithKey
                                                                 : Idempotency::NonIdempotent;
     },
     "Whether a request may run twice. `safe`: always; `keyed`: only where repeats of its key (`k=`) are "
     "dropped; `unsafe`: never."},
    {"class", "repeats_dropped_by", KeyKind::Choice, "group", kUnbounded, "all zone group",
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.requestClass.idempotencyScope = text(v) == "all"    ? IdempotencyScope::All
                                                 : text(v) == "zone" ? IdempotencyScope::Zone
                                                                     : IdempotencyScope::Group;
     },
     "With `repeats = keyed`: which data servers know a key that one of them has received."},
    {"class", "repeats_dropped_for", KeyKind::Duration, "0", Bounds{0, 24 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.deduplicationWindow = duration(v); },
     "With `repeats = keyed`: the deduplication window, which starts with the first send."},
    {"class", "aim", KeyKind::Duration, nullptr, Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.latencyObjective = duration(v); },
     "Latency objective: an answer within this time earns the full worth."},
    {"class", "give_up", KeyKind::Duration, nullptr, Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.deadline = duration(v); },
     "Deadline of requests that state none themselves (`d=`)."},
    {"class", "worth", KeyKind::Number, "1", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.priorityWeight = as<double>(v); },
     "Weight of the class relative to other classes."},
    {"class", "late_worth", KeyKind::Share, "0", Bounds{0, 1}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.lateWeight = as<double>(v); },
     "Share of the worth that an answer after `aim` still earns."},
};

}  // namespace

KeyRange rulesKeys() { return KeyRange(kRulesKeys); }
KeyRange goalKeys() { return KeyRange(kGoalKeys); }
KeyRange classKeys() { return KeyRange(kClassKeys); }

}  // namespace sablespur::key_tables
