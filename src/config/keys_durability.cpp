// The keys of [store], [recovery], [peers] and [peer NAME]: what outlives this process or leaves it.
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kStoreKeys[] = {
    {"store", "directory", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.directory = text(v); },
     "Of this proxy alone, on a disk that outlives it; by its path or beside this file. It is made if it is "
     "not there. Empty: nothing is kept."},
    {"store", "keep", KeyKind::Duration, "10min", Bounds{kSecond, 24 * 30 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.keep = duration(v); },
     "A key is known for so long after the last word on it. One that comes later is taken for new, so this "
     "must be longer than any client goes on asking: at least give_up and repeats_dropped_for of each keyed "
     "class together."},
    {"store", "keep_sessions", KeyKind::Duration, "10min", Bounds{kSecond, 24 * 30 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.keepSessions = duration(v); },
     "What a session has seen is known for so long after it was last seen. What is forgotten raises the "
     "least that any unknown session is shown."},
    {"store", "keys", KeyKind::Count, "100000", Bounds{1, 1e9}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.mostKeys = integer<std::size_t>(v); },
     "Keys known at once. Beyond that a write with a new key is turned away until one may be forgotten: keys "
     "a second times keep must stay below it. About 500 bytes of disk each, and its answer."},
    {"store", "sessions", KeyKind::Count, "100000", Bounds{1, 1e9}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.mostSessions = integer<std::size_t>(v); },
     "Sessions known at once. Beyond that a new one raises the least that unknown sessions are shown."},
    {"store", "answers", KeyKind::Size, "16KB", Bounds{0, 1 << 20}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.longestAnswer = byteCount(v); },
     "Answers of keyed writes up to so long are kept for those that ask again; who asks for a longer one "
     "again is told that it may have run."},
    {"store", "patience", KeyKind::Duration, "250ms", Bounds{kMillisecond, 60 * kSecond}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.patience = duration(v); },
     "A commit that takes longer counts as a disk that hangs: keyed writes are turned away until it has "
     "ended."},
    {"store", "come_back_least", KeyKind::Duration, "200ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.comeBackLeast = duration(v); },
     "Who is turned away for want of the store is told to come back after a random time between this"},
    {"store", "come_back_most", KeyKind::Duration, "2s", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.comeBackMost = duration(v); }, "and this."},
    {"store", "damaged", KeyKind::Choice, "refuse", kUnbounded, "refuse set_aside",
     [](SettingsDraft& d, const KeyValue& v) { d.store.setAside = text(v) == "set_aside"; },
     "A store that fails its checks at the start: the proxy does not start, or renames it to "
     "NAME.damaged-TIME and begins a new one, which knows no key."},
};

constexpr Key kPeersKeys[] = {
    {"peers", "listen", KeyKind::Address, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.peerListen = as<Address>(v); },
     "Where this proxy hears the others, over UDP. Empty: proxies do not talk."},
    {"peers", "hints", KeyKind::Flag, "no", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.hints = as<bool>(v); },
     "Positions, roles and latencies that answers show are told on. Pays with many proxies and few requests "
     "each."},
};

constexpr Key kPeerKeys[] = {
    {"peer", "address", KeyKind::Address, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.peers.push_back(as<Address>(v)); },
     "Where it hears the others, as its `[peers] listen` has it."},
};

constexpr Key kRecoveryKeys[] = {
    {"recovery", "on", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.on = as<bool>(v); },
     "Snapshots are written and read beside the store (DIRECTORY.snapshot), and other proxies are asked."},
    {"recovery", "order", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.order = as<bool>(v); },
     "After a start requests go on as data servers prove ready; the others are turned away at once with a "
     "time to come back. No: all go on, and wait or fail."},
    {"recovery", "trust", KeyKind::Choice, "by_kind", kUnbounded, "by_kind nothing all",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.recovery.trust = text(v) == "all"       ? Trust::All
                                 : text(v) == "nothing" ? Trust::Nothing
                                                        : Trust::ByKind;
     },
     "Of the snapshot: names kept, figures aged, positions and primaries never before a data server's word; "
     "or nothing of it. `all` breaks rules, and is there for the lab to show it."},
    {"recovery", "snapshot_every", KeyKind::Duration, "1s", Bounds{10 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.every = duration(v); },
     "One is some 150 bytes a data server, written and synced on a thread of its own."},
    {"recovery", "dials", KeyKind::Number, "50", Bounds{0.1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.dials = as<double>(v); },
     "Connections a second that all proxies together open ahead of need to a data server that has just come. "
     "Each takes its turn by hashing, so the `[peer]`s must be the same at each."},
    {"recovery", "longest", KeyKind::Duration, "20s", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.longest = duration(v); },
     "Beyond this nothing is held back any more, whatever has been heard."},
};

}  // namespace

KeyRange storeKeys() { return KeyRange(kStoreKeys); }
KeyRange peersKeys() { return KeyRange(kPeersKeys); }
KeyRange peerKeys() { return KeyRange(kPeerKeys); }
KeyRange recoveryKeys() { return KeyRange(kRecoveryKeys); }

}  // namespace sablespur::key_tables
