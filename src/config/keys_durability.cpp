// The keys of [store], [recovery], [peers] and [peer NAME]: persistent state and gossip.
#include "config/key_setters.hpp"
#include "config/key_tables.hpp"

namespace sablespur::key_tables {
namespace {

constexpr Key kStoreKeys[] = {
    {"store", "directory", KeyKind::Text, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.directory = text(v); },
     "Directory that only this proxy uses, on a disk that outlives it. A relative path starts from the "
     "directory of this file. It is created if it does not exist. Empty: nothing is stored."},
    {"store", "keep", KeyKind::Duration, "10min", Bounds{kSecond, 24 * 30 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.keyRetention = duration(v); },
     "How long an idempotency key is kept after its last use. A key that is repeated later is taken for a "
     "new one, so this must be longer than any client retries: at least give_up and repeats_dropped_for of "
     "each keyed class together."},
    {"store", "keep_sessions", KeyKind::Duration, "10min", Bounds{kSecond, 24 * 30 * kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.sessionRetention = duration(v); },
     "How long the position of a session is kept after its last use. A forgotten session raises the minimum "
     "position that all unknown sessions are shown."},
    {"store", "keys", KeyKind::Count, "100000", Bounds{1, 1e9}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.maxKeys = integer<std::size_t>(v); },
     "Limit on the stored keys. Beyond it writes with a new key are rejected until a key may be forgotten: "
     "the keys per second times `keep` must stay below it. Each takes about 500 bytes of disk and its "
     "answer."},
    {"store", "sessions", KeyKind::Count, "100000", Bounds{1, 1e9}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.maxSessions = integer<std::size_t>(v); },
     "Limit on the stored sessions. Beyond it a new session raises the minimum position that unknown "
     "sessions are shown."},
    {"store", "answers", KeyKind::Size, "16KB", Bounds{0, 1 << 20}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.maxResponseBytes = byteCount(v); },
     "Answers of keyed writes up to this size are stored for retries. A retry of a write with a longer "
     "answer is told that the write may have run."},
    {"store", "patience", KeyKind::Duration, "250ms", Bounds{kMillisecond, 60 * kSecond}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.commitTimeout = duration(v); },
     "Time limit for a commit. Beyond it the disk counts as hanging, and keyed writes are rejected until the "
     "commit has ended."},
    {"store", "come_back_least", KeyKind::Duration, "200ms", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.minRetryAfter = duration(v); },
     "Minimum retry delay for requests that are rejected while the store is unavailable."},
    {"store", "come_back_most", KeyKind::Duration, "2s", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.store.maxRetryAfter = duration(v); },
     "Maximum retry delay for requests that are rejected while the store is unavailable; the delay is random "
     "between the two."},
    {"store", "damaged", KeyKind::Choice, "refuse", kUnbounded, "refuse set_aside",
     [](SettingsDraft& d, const KeyValue& v) { d.store.renameDamaged = text(v) == "set_aside"; },
     "What happens to a store that fails its checks at the start. `refuse`: the proxy does not start; "
     "`set_aside`: the proxy renames it to NAME.damaged-TIME and creates a new one, which knows no key."},
};

constexpr Key kPeersKeys[] = {
    {"peers", "listen", KeyKind::Address, "", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.peerListen = as<Address>(v); },
     "Address on which this proxy receives gossip, over UDP. Empty: no gossip."},
    {"peers", "hints", KeyKind::Flag, "no", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.hints = as<bool>(v); },
     "Whether positions, roles and latencies from answers are gossiped. Useful with many proxies and few "
     "requests on each."},
};

constexpr Key kPeerKeys[] = {
    {"peer", "address", KeyKind::Address, nullptr, kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.peers.push_back(as<Address>(v)); },
     "Address on which it receives gossip, as in its own `[peers] listen`."},
};

constexpr Key kRecoveryKeys[] = {
    {"recovery", "on", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.enabled = as<bool>(v); },
     "Whether snapshots are written and read beside the store (DIRECTORY.snapshot) and other proxies are "
     "queried."},
    {"recovery", "order", KeyKind::Flag, "yes", kUnbounded, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.gradualAdmission = as<bool>(v); },
     "After a start requests are admitted as data servers prove ready; the others are rejected at once with "
     "a retry delay. `no`: all are admitted, and wait or fail."},
    {"recovery", "trust", KeyKind::Choice, "by_kind", kUnbounded, "by_kind nothing all",
     [](SettingsDraft& d, const KeyValue& v) {
       d.config.recovery.trust = text(v) == "all"       ? Trust::All
                                 : text(v) == "nothing" ? Trust::Nothing
                                                        : Trust::ByKind;
     },
     "Which parts of the snapshot are used. `by_kind`: names as they are, measurements aged, positions and "
     "primaries only after a data server has confirmed them; `nothing`: no part. `all` breaks rules and "
     "exists for experiments in the lab."},
    {"recovery", "snapshot_every", KeyKind::Duration, "1s", Bounds{10 * kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.snapshotInterval = duration(v); },
     "Interval between snapshots. A snapshot takes about 150 bytes per data server, and is written and "
     "synced by a separate thread."},
    {"recovery", "dials", KeyKind::Number, "50", Bounds{0.1, 1e6}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.dialsPerSecond = as<double>(v); },
     "Connections per second that all proxies together open in advance to a data server that has just been "
     "listed. Hashing decides each proxy's turn, so the `[peer]` sections must be the same on every proxy."},
    {"recovery", "longest", KeyKind::Duration, "20s", Bounds{kMillisecond, kHour}, kNoChoices,
     [](SettingsDraft& d, const KeyValue& v) { d.config.recovery.maxDuration = duration(v); },
     "Longest duration of recovery. After it no request is held back, whatever has been confirmed."},
};

}  // namespace

KeyRange storeKeys() { return KeyRange(kStoreKeys); }
KeyRange peersKeys() { return KeyRange(kPeersKeys); }
KeyRange peerKeys() { return KeyRange(kPeerKeys); }
KeyRange recoveryKeys() { return KeyRange(kRecoveryKeys); }

}  // namespace sablespur::key_tables
