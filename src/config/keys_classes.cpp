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
     "Nothing new to a data server later than this after it was told that it drains or is gone."},
    {"rules", "cold_for", KeyKind::Duration, "18s", Bounds{0, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.warmUpPeriod = duration(v); },
     "After its start a data server is warm no later than this."},
    {"rules", "cold_capacity", KeyKind::Share, "21%", Bounds{0.0001, 1}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.warmUpStartCapacity = as<double>(v); },
     "The share of its capacity that it starts with, at least."},
    {"rules", "fall_multiple", KeyKind::Number, "2.5", Bounds{1, 1000}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.overloadFactor = as<double>(v); },
     "A cold data server that is sent more than this multiple of what it can do falls over,"},
    {"rules", "fall_for", KeyKind::Duration, "1500ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.overloadWindow = duration(v); },
     "when it is sent that for so long."},
};

constexpr Key kGoalKeys[] = {
    {"goal", "whole", KeyKind::Share, "55%", Bounds{0, 1}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.wholeServiceGoalWeight = as<double>(v); },
     "The weight of all that is served."},
    {"goal", "worst_class", KeyKind::Share, "30%", Bounds{0, 1}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.settings.worstClassGoalWeight = as<double>(v); },
     "The weight of the class that is served worst."},
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
     "What data a request needs: any; no older than max_age; all that its session wrote; all that was "
     "written before it came; or the primary, to write."},
    {"class", "max_age", KeyKind::Duration, "0", Bounds{0, 24 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.maxStaleness = duration(v); },
     "With `data = bounded`: the greatest age of the data when the request is sent."},
    {"class", "repeats", KeyKind::Choice, nullptr, kUnbounded, "safe keyed unsafe",
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.requestClass.idempotency = text(v) == "safe"    ? Idempotency::Idempotent
                                            : text(v) == "keyed" ? Idempotency::WithKey
                                                                 : Idempotency::NonIdempotent;
     },
     "Whether a request may run twice: always, within what drops repeats of its key (`k=`), or never."},
    {"class", "repeats_dropped_by", KeyKind::Choice, "group", kUnbounded, "all zone group",
     [](SettingsDraft& d, const KeyValue& v) {
       d.section.requestClass.idempotencyScope = text(v) == "all"    ? IdempotencyScope::All
                                                 : text(v) == "zone" ? IdempotencyScope::Zone
                                                                     : IdempotencyScope::Group;
     },
     "With `repeats = keyed`: which data servers know a key that one of them has seen."},
    {"class", "repeats_dropped_for", KeyKind::Duration, "0", Bounds{0, 24 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.deduplicationWindow = duration(v); },
     "With `repeats = keyed`: how long they know it, from the first send."},
    {"class", "aim", KeyKind::Duration, nullptr, Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.latencyObjective = duration(v); },
     "An answer within this earns its full worth."},
    {"class", "give_up", KeyKind::Duration, nullptr, Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.deadline = duration(v); },
     "How long a client waits that does not say so itself (`d=`)."},
    {"class", "worth", KeyKind::Number, "1", Bounds{0, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.priorityWeight = as<double>(v); },
     "Against other classes."},
    {"class", "late_worth", KeyKind::Share, "0", Bounds{0, 1}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.section.requestClass.lateWeight = as<double>(v); },
     "The share of the worth that an answer after the aim still earns."},
};

}  // namespace

KeyRange rulesKeys() { return KeyRange(kRulesKeys); }
KeyRange goalKeys() { return KeyRange(kGoalKeys); }
KeyRange classKeys() { return KeyRange(kClassKeys); }

}  // namespace sablespur::key_tables
