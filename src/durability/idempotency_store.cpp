#include "durability/idempotency_store.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace sablespur::durability {
namespace {

constexpr const char *kClock = "!clock", *kTotals = "!totals", *kFormat = "!format";
constexpr int kFormatVersion = 1;  // of the keys above; records have versions of their own
// Forgotten in one commit: each commit makes room for what it brings, so the store stays level under any
// load.
constexpr std::size_t kMinExpiriesPerCommit = 32, kExpiriesPerOperation = 2;
constexpr std::size_t kMaxEpochRecords = 64;   // kept for people
constexpr std::size_t kExpiryPrefixBytes = 9;  // of an entry of the index: 'x' and the time

std::string encodeNumber(std::uint64_t n) {
  std::string s;
  for (int shift = 56; shift >= 0; shift -= 8) s.push_back(static_cast<char>(n >> shift));
  return s;
}
std::uint64_t decodeNumber(std::string_view s) {
  std::uint64_t v = 0;
  for (const unsigned char c : s.substr(0, 8)) v = v << 8 | c;
  return v;
}
std::string keyKey(const std::string& key) { return "k" + key; }
std::string sessionKey(std::uint64_t session) { return "s" + encodeNumber(session); }
std::string expiryKey(Time at, const std::string& of) {
  return "x" + encodeNumber(static_cast<std::uint64_t>(at.count())) + of;
}
[[noreturn]] void throwDamaged(const std::string& what) { throw StoreError(StoreError::Kind::Damaged, what); }

std::string printable(std::string_view key) {
  std::string s;
  for (const unsigned char c : key) {
    if (c >= 0x20 && c < 0x7f) {
      s.push_back(static_cast<char>(c));
    } else {
      constexpr const char* kHex = "0123456789abcdef";
      s += {'\\', 'x', kHex[c >> 4], kHex[c & 15]};
    }
  }
  return s;
}

template <typename Read>
auto decodeRecord(std::string_view key, std::string_view value, Read read) {
  try {
    return read(value);
  } catch (const NewerRecordError& e) {
    throw StoreError(StoreError::Kind::Newer, "the record of " + printable(key) + " is " + e.what());
  } catch (const std::runtime_error& e) {
    throw StoreError(StoreError::Kind::Damaged, "the record of " + printable(key) + ": " + e.what());
  }
}

void checkFormat(Database& db) {
  const auto format = db.get(kFormat);
  if (!format) return;
  if (std::atoi(format->c_str()) > kFormatVersion)
    throw StoreError(StoreError::Kind::Newer, "the store has form " + *format + "; this program knows " +
                                                  std::to_string(kFormatVersion));
}

}  // namespace

struct IdempotencyStore::Transaction {
  Time now{};
  MachineTime machine;
  Database::Batch batch;
  bool changed = false;
  std::unordered_map<std::string, CachedKey> keys;
  std::unordered_map<std::uint64_t, CachedSession> sessions;
};

IdempotencyStore::IdempotencyStore(Files& files, const IdempotencyStoreSettings& s, MachineClock machine)
    : settings_(s),
      machineClock_(std::move(machine)),
      database_(files, s.directory),
      clock_((checkFormat(database_), readClockRecord()), machineClock_()) {
  if (const auto t = database_.get(kTotals)) totals_ = decodeRecord(kTotals, *t, decodeTotals);
  std::uint64_t last = 0;
  std::vector<std::string> old;
  database_.scan("e", "e", [&](std::string_view key, std::string_view) {
    last = decodeNumber(key.substr(1));
    old.emplace_back(key);
    return true;
  });
  recovered_.epoch = last + 1;
  recovered_.keys = totals_.keys;
  recovered_.sessions = totals_.sessions;
  recovered_.pendingKeys = totals_.pendingKeys;
  recovered_.afterGap = clock_.gap();
  recovered_.database = database_.opened();
  const MachineTime m = machineClock_();
  Database::Batch b;
  b.put(kFormat, std::to_string(kFormatVersion));
  EpochRecord e;
  e.number = recovered_.epoch;
  e.beganAt = clock_.at(m);
  e.afterGap = clock_.gap();
  e.wallMs = m.wallMs;
  e.bootId = m.bootId;
  b.put("e" + encodeNumber(e.number), encode(e));
  for (std::size_t k = 0; k + kMaxEpochRecords <= old.size(); ++k) b.remove(old[k]);
  b.put(kClock, encode(clock_.record(m)));
  database_.commit(b);
}
IdempotencyStore::~IdempotencyStore() = default;

std::optional<ClockRecord> IdempotencyStore::readClockRecord() {
  const auto value = database_.get(kClock);
  if (!value) return std::nullopt;
  return decodeRecord(kClock, *value, decodeClock);
}

std::vector<OperationResult> IdempotencyStore::apply(const std::vector<Operation>& all) {
  Transaction g;
  g.machine = machineClock_();
  g.now = clock_.at(g.machine);
  std::vector<OperationResult> said;
  said.reserve(all.size());
  for (const Operation& o : all)
    said.push_back(std::visit([&](const auto& x) { return applyOperation(g, x); }, o));
  for (const auto& [key, c] : g.keys) {
    if (!c.changed) continue;
    const std::string of = keyKey(key);
    g.changed = true;
    const bool open = c.record->outcome == Outcome::Pending;
    totals_.pendingKeys += open && !c.wasPending;
    totals_.pendingKeys -= c.wasPending && !open;
    if (c.indexedExpiry && *c.indexedExpiry != c.record->expiresAt)
      g.batch.remove(expiryKey(*c.indexedExpiry, of));
    if (!c.indexedExpiry || *c.indexedExpiry != c.record->expiresAt)
      g.batch.put(expiryKey(c.record->expiresAt, of), "");
    g.batch.put(of, encode(*c.record));
  }
  for (const auto& [session, c] : g.sessions) {
    if (!c.changed) continue;
    const std::string of = sessionKey(session);
    g.changed = true;
    if (c.indexedExpiry && *c.indexedExpiry != c.record->expiresAt)
      g.batch.remove(expiryKey(*c.indexedExpiry, of));
    if (!c.indexedExpiry || *c.indexedExpiry != c.record->expiresAt)
      g.batch.put(expiryKey(c.record->expiresAt, of), "");
    g.batch.put(of, encode(*c.record));
  }
  if (!g.changed) return said;
  removeExpired(g, kMinExpiriesPerCommit + kExpiriesPerOperation * all.size());
  g.batch.put(kTotals, encode(totals_));
  g.batch.put(kClock, encode(clock_.record(g.machine)));
  database_.commit(g.batch);
  return said;
}

IdempotencyStore::CachedKey& IdempotencyStore::loadKey(Transaction& g, const std::string& key) {
  const auto [it, fresh] = g.keys.try_emplace(key);
  if (fresh) {
    if (const auto value = database_.get(keyKey(key))) {
      it->second.record = decodeRecord(keyKey(key), *value, decodeKey);
      it->second.indexedExpiry = it->second.record->expiresAt;
      it->second.wasPending = it->second.record->outcome == Outcome::Pending;
    }
  }
  return it->second;
}
IdempotencyStore::CachedSession& IdempotencyStore::loadSession(Transaction& g, std::uint64_t session) {
  const auto [it, fresh] = g.sessions.try_emplace(session);
  if (fresh) {
    if (const auto value = database_.get(sessionKey(session))) {
      it->second.record = decodeRecord(sessionKey(session), *value, decodeSession);
      it->second.indexedExpiry = it->second.record->expiresAt;
    }
  }
  return it->second;
}

OperationResult IdempotencyStore::applyOperation(Transaction& g, const BeginKeyedRequest& o) {
  CachedKey& c = loadKey(g, o.request.key);
  OperationResult said;
  if (!c.record && totals_.keys >= settings_.maxKeys) {
    // Forgetting one early to make room could have it run twice.
    said.storeFull = true;
    said.retryAfter = std::max(earliestKeyExpiry() - g.now, Time(0));
    g.keys.erase(o.request.key);
    return said;
  }
  const KeyDecision j = decide(c.record ? &*c.record : nullptr, o.request, g.now, clock_.gapAt());
  said.disposition = j.disposition;
  said.sinceFirstSend = j.sinceFirstSend;
  if (j.disposition == Disposition::Replay) {
    said.response = c.record->response;
    said.positionMs = c.record->positionMs;
  }
  totals_.keys += !c.record;
  c.record = durability::beginRequest(c.record, o.request, j, g.now, settings_.keyRetention, recovered_.epoch,
                                      g.machine.wallMs);
  c.changed = true;
  return said;
}
OperationResult IdempotencyStore::applyOperation(Transaction& g, const RecordAttemptSent& o) {
  CachedKey& c = loadKey(g, o.key);
  if (!c.record) return {};
  recordAttemptSent(*c.record, {o.id, o.attempt, o.endpoint, g.now, AttemptEffect::InFlight});
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& g, const RecordAttemptEnd& o) {
  CachedKey& c = loadKey(g, o.key);
  if (!c.record) return {};
  recordAttemptEnd(*c.record, o.id, o.attempt, o.effect);
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& g, const CompleteRequest& o) {
  if (o.session != 0) recordPosition(g, o.session, o.positionMs);
  CachedKey& c = loadKey(g, o.key);
  if (!c.record) return {};
  c.record->mayHaveExecuted = c.record->mayHaveExecuted || o.mayHaveExecuted;
  recordOutcome(*c.record, o.id, o.outcome, g.now, settings_.keyRetention);
  if (o.outcome == Outcome::Served && !c.record->hasResponse) {
    c.record->hasResponse = o.response.size() <= settings_.maxResponseBytes;
    if (c.record->hasResponse) c.record->response = o.response;
    c.record->positionMs = o.positionMs;
  }
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& g, const RecordResponseDelivered& o) {
  CachedKey& c = loadKey(g, o.key);
  if (!c.record) return {};
  recordResponseDelivered(*c.record, o.id);
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& g, const AbandonRequest& o) {
  CachedKey& c = loadKey(g, o.key);
  if (!c.record) return {};
  c.record->mayHaveExecuted = c.record->mayHaveExecuted || o.mayHaveExecuted;
  abandonRequest(*c.record, o.id);
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& g, const RecordSessionPosition& o) {
  recordPosition(g, o.session, o.positionMs);
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& g, const ReadSessionPosition& o) {
  const CachedSession& c = loadSession(g, o.session);
  OperationResult said;
  said.positionMs = c.record ? c.record->positionMs : totals_.forgottenPositionMs;
  return said;
}

void IdempotencyStore::recordPosition(Transaction& g, std::uint64_t session, std::int64_t positionMs) {
  CachedSession& c = loadSession(g, session);
  if (!c.record) {
    // One more than there is room for is forgotten at once: that raises the floor for all who are not known.
    if (totals_.sessions >= settings_.maxSessions) {
      totals_.forgottenPositionMs = std::max(totals_.forgottenPositionMs, positionMs);
      g.changed = true;
      g.sessions.erase(session);
      return;
    }
    ++totals_.sessions;
    c.record = SessionRecord{totals_.forgottenPositionMs, {}};
  }
  c.record->positionMs = std::max(c.record->positionMs, positionMs);
  c.record->expiresAt = g.now + settings_.sessionRetention;
  c.changed = true;
}

Time IdempotencyStore::earliestKeyExpiry() {
  Time first = Time::max();
  database_.scan("x", "x", [&](std::string_view key, std::string_view) {
    if (key.size() < 10 || key[9] != 'k') return true;
    first = Time(static_cast<std::int64_t>(decodeNumber(key.substr(1))));
    return false;
  });
  return first;
}

void IdempotencyStore::removeExpired(Transaction& g, std::size_t most) {
  database_.scan("x", "x", [&](std::string_view key, std::string_view) {
    if (key.size() < 10) throwDamaged("an expiry entry that names nothing: " + printable(key));
    const Time at(static_cast<std::int64_t>(decodeNumber(key.substr(1))));
    if (at > g.now || most-- == 0) return false;
    const std::string of(key.substr(9));
    if (of[0] == 'k') {
      const auto it = g.keys.find(of.substr(1));
      if (it != g.keys.end() && it->second.changed) return true;  // it has just been given more time
      totals_.keys -= totals_.keys > 0;
      const auto value = database_.get(of);
      totals_.pendingKeys -= value && decodeRecord(of, *value, decodeKey).outcome == Outcome::Pending;
    } else {
      const auto it = g.sessions.find(decodeNumber(std::string_view(of).substr(1)));
      if (it != g.sessions.end() && it->second.changed) return true;
      if (const auto value = database_.get(of))
        totals_.forgottenPositionMs =
            std::max(totals_.forgottenPositionMs, decodeRecord(of, *value, decodeSession).positionMs);
      totals_.sessions -= totals_.sessions > 0;
    }
    g.batch.remove(of);
    g.batch.remove(key);
    return true;
  });
}

// ---- for people ---------------------------------------------------------------------------------------
namespace {

// Reads every record, key by key, so that memory stays level; throws where they do not fit together.
class StoreCheck {
 public:
  explicit StoreCheck(Database& database) : database_(database) {}

  StoreStatistics run() {
    checkOwnRecords();
    checkKeys();
    checkSessions();
    checkExpiryIndex();
    checkTotals();
    statistics_.commits = database_.commits();
    statistics_.bytesOnDisk = database_.bytesOnDisk();
    statistics_.openResult = database_.opened();
    return statistics_;
  }

 private:
  void checkOwnRecords() {
    database_.scan("", "", [this](std::string_view key, std::string_view value) {
      ++statistics_.pairs;
      if (key == kClock)
        decodeRecord(key, value, decodeClock);
      else if (key == kTotals)
        decodeRecord(key, value, decodeTotals);
      else if (key[0] == 'e')
        statistics_.epochs += decodeRecord(key, value, decodeEpoch).number == decodeNumber(key.substr(1));
      return true;
    });
  }

  void checkKeys() {
    database_.scan("k", "k", [this](std::string_view key, std::string_view value) {
      const KeyRecord record = decodeRecord(key, value, decodeKey);
      ++statistics_.keys;
      statistics_.pendingKeys += record.outcome == Outcome::Pending;
      statistics_.responses += record.hasResponse;
      statistics_.responseBytes += record.response.size();
      statistics_.pendingIds += record.pendingIds.size();
      checkIsIndexed(key, record.expiresAt);
      return true;
    });
  }

  void checkSessions() {
    database_.scan("s", "s", [this](std::string_view key, std::string_view value) {
      ++statistics_.sessions;
      checkIsIndexed(key, decodeRecord(key, value, decodeSession).expiresAt);
      return true;
    });
  }

  void checkIsIndexed(std::string_view key, Time expiresAt) {
    if (!database_.get(expiryKey(expiresAt, std::string(key))))
      throwDamaged("no expiry stands for " + printable(key));
  }

  // Each record has an entry of its own, so as many entries as records, each for one that exists, are all.
  void checkExpiryIndex() {
    std::uint64_t entries = 0;
    database_.scan("x", "x", [&](std::string_view key, std::string_view) {
      ++entries;
      if (key.size() < kExpiryPrefixBytes + 1 || !database_.get(key.substr(kExpiryPrefixBytes)))
        throwDamaged("an expiry entry for what is not there: " + printable(key));
      return true;
    });
    if (entries != statistics_.keys + statistics_.sessions)
      throwDamaged("entries that expire and records differ in number");
  }

  void checkTotals() {
    const auto value = database_.get(kTotals);
    if (!value) return;
    const StoreTotals totals = decodeRecord(kTotals, *value, decodeTotals);
    const StoreStatistics& found = statistics_;
    if (totals.keys == found.keys && totals.sessions == found.sessions &&
        totals.pendingKeys == found.pendingKeys)
      return;
    throwDamaged("counted are " + std::to_string(totals.keys) + " keys and " +
                 std::to_string(totals.sessions) + " sessions, and there are " + std::to_string(found.keys) +
                 " and " + std::to_string(found.sessions));
  }

  Database& database_;
  StoreStatistics statistics_;
};

}  // namespace

StoreStatistics check(Files& files, const std::string& directory) {
  Database database(files, directory);
  checkFormat(database);
  return StoreCheck(database).run();
}

void dump(Files& files, const std::string& directory,
          const std::function<void(const nlohmann::json&)>& each) {
  Database db(files, directory);
  checkFormat(db);
  db.scan("", "", [&](std::string_view key, std::string_view value) {
    nlohmann::json j;
    if (key == kClock) {
      const ClockRecord r = decodeRecord(key, value, decodeClock);
      j = {{"record", "clock"},
           {"at_us", r.at.count()},
           {"boot", r.bootId},
           {"boot_us", r.sinceBootUs},
           {"gap_at_us", r.gapAt.count()}};
    } else if (key == kTotals) {
      const StoreTotals r = decodeRecord(key, value, decodeTotals);
      j = {{"record", "totals"},
           {"keys", r.keys},
           {"sessions", r.sessions},
           {"floor_unix_ms", r.forgottenPositionMs}};
    } else if (key[0] == 'e') {
      const EpochRecord r = decodeRecord(key, value, decodeEpoch);
      j = {{"record", "epoch"}, {"number", r.number},        {"began_us", r.beganAt.count()},
           {"gap", r.afterGap}, {"began_unix_ms", r.wallMs}, {"boot", r.bootId}};
    } else if (key[0] == 'k') {
      j = toJson(decodeRecord(key, value, decodeKey));
      j["record"] = "key";
      j["key"] = printable(key.substr(1));
    } else if (key[0] == 's') {
      const SessionRecord r = decodeRecord(key, value, decodeSession);
      j = {{"record", "session"},
           {"session", printable(key.substr(1))},
           {"position_unix_ms", r.positionMs},
           {"expires_us", r.expiresAt.count()}};
    } else {
      return true;  // the index, and the number of the commit
    }
    each(j);
    return true;
  });
}

void compact(Files& files, const std::string& directory) {
  Database db(files, directory);
  checkFormat(db);
  db.compact();
}

}  // namespace sablespur::durability
