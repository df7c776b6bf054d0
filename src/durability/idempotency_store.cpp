#include "durability/idempotency_store.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace sablespur::durability {
namespace {

constexpr const char *kClock = "!clock", *kTotals = "!totals", *kFormat = "!format";
constexpr int kFormatVersion = 1;  // of the key layout in the header; records have their own version
// Bounds how many expired records one commit removes. Each commit may remove more records than it
// adds, so the store does not grow with the load.
constexpr std::size_t kMinExpiriesPerCommit = 32, kExpiriesPerOperation = 2;
constexpr std::size_t kMaxEpochRecords = 64;   // kept for diagnosis only
constexpr std::size_t kExpiryPrefixBytes = 9;  // of an index entry: 'x' and the expiry time

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
std::string keyRecordKey(const std::string& key) { return "k" + key; }
std::string sessionRecordKey(std::uint64_t session) { return "s" + encodeNumber(session); }
std::string expiryKey(Time at, const std::string& recordKey) {
  return "x" + encodeNumber(static_cast<std::uint64_t>(at.count())) + recordKey;
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
    throw StoreError(StoreError::Kind::Newer, "the record of " + printable(key) + " has " + e.what());
  } catch (const std::runtime_error& e) {
    throw StoreError(StoreError::Kind::Damaged, "the record of " + printable(key) + ": " + e.what());
  }
}

void checkFormat(Database& db) {
  const auto format = db.get(kFormat);
  if (!format) return;
  if (std::atoi(format->c_str()) > kFormatVersion)
    throw StoreError(StoreError::Kind::Newer, "the store has format version " + *format +
                                                  "; this program supports versions up to " +
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
  Transaction transaction;
  transaction.machine = machineClock_();
  transaction.now = clock_.at(transaction.machine);
  std::vector<OperationResult> results;
  results.reserve(all.size());
  for (const Operation& o : all)
    results.push_back(std::visit([&](const auto& x) { return applyOperation(transaction, x); }, o));
  for (const auto& [key, c] : transaction.keys) {
    if (!c.changed) continue;
    const std::string recordKey = keyRecordKey(key);
    transaction.changed = true;
    const bool open = c.record->outcome == Outcome::Pending;
    totals_.pendingKeys += open && !c.wasPending;
    totals_.pendingKeys -= c.wasPending && !open;
    if (c.indexedExpiry && *c.indexedExpiry != c.record->expiresAt)
      transaction.batch.remove(expiryKey(*c.indexedExpiry, recordKey));
    if (!c.indexedExpiry || *c.indexedExpiry != c.record->expiresAt)
      transaction.batch.put(expiryKey(c.record->expiresAt, recordKey), "");
    transaction.batch.put(recordKey, encode(*c.record));
  }
  for (const auto& [session, c] : transaction.sessions) {
    if (!c.changed) continue;
    const std::string recordKey = sessionRecordKey(session);
    transaction.changed = true;
    if (c.indexedExpiry && *c.indexedExpiry != c.record->expiresAt)
      transaction.batch.remove(expiryKey(*c.indexedExpiry, recordKey));
    if (!c.indexedExpiry || *c.indexedExpiry != c.record->expiresAt)
      transaction.batch.put(expiryKey(c.record->expiresAt, recordKey), "");
    transaction.batch.put(recordKey, encode(*c.record));
  }
  if (!transaction.changed) return results;
  removeExpired(transaction, kMinExpiriesPerCommit + kExpiriesPerOperation * all.size());
  transaction.batch.put(kTotals, encode(totals_));
  transaction.batch.put(kClock, encode(clock_.record(transaction.machine)));
  database_.commit(transaction.batch);
  return results;
}

IdempotencyStore::CachedKey& IdempotencyStore::loadKey(Transaction& transaction, const std::string& key) {
  const auto [it, inserted] = transaction.keys.try_emplace(key);
  if (inserted) {
    if (const auto value = database_.get(keyRecordKey(key))) {
      it->second.record = decodeRecord(keyRecordKey(key), *value, decodeKey);
      it->second.indexedExpiry = it->second.record->expiresAt;
      it->second.wasPending = it->second.record->outcome == Outcome::Pending;
    }
  }
  return it->second;
}
IdempotencyStore::CachedSession& IdempotencyStore::loadSession(Transaction& transaction,
                                                               std::uint64_t session) {
  const auto [it, inserted] = transaction.sessions.try_emplace(session);
  if (inserted) {
    if (const auto value = database_.get(sessionRecordKey(session))) {
      it->second.record = decodeRecord(sessionRecordKey(session), *value, decodeSession);
      it->second.indexedExpiry = it->second.record->expiresAt;
    }
  }
  return it->second;
}

OperationResult IdempotencyStore::applyOperation(Transaction& transaction, const BeginKeyedRequest& o) {
  CachedKey& c = loadKey(transaction, o.request.key);
  OperationResult result;
  if (!c.record && totals_.keys >= settings_.maxKeys) {
    // Removing a key before it expires could let its write execute twice.
    result.storeFull = true;
    result.retryAfter = std::max(earliestKeyExpiry() - transaction.now, Time(0));
    transaction.keys.erase(o.request.key);
    return result;
  }
  const KeyDecision decision =
      decide(c.record ? &*c.record : nullptr, o.request, transaction.now, clock_.gapAt());
  result.disposition = decision.disposition;
  result.sinceFirstSend = decision.sinceFirstSend;
  if (decision.disposition == Disposition::Replay) {
    result.response = c.record->response;
    result.positionMs = c.record->positionMs;
  }
  totals_.keys += !c.record;
  c.record = durability::beginRequest(c.record, o.request, decision, transaction.now, settings_.keyRetention,
                                      recovered_.epoch, transaction.machine.wallMs);
  c.changed = true;
  return result;
}
OperationResult IdempotencyStore::applyOperation(Transaction& transaction, const RecordAttemptSent& o) {
  CachedKey& c = loadKey(transaction, o.key);
  if (!c.record) return {};
  recordAttemptSent(*c.record, {o.id, o.attempt, o.endpoint, transaction.now, AttemptEffect::InFlight});
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& transaction, const RecordAttemptEnd& o) {
  CachedKey& c = loadKey(transaction, o.key);
  if (!c.record) return {};
  recordAttemptEnd(*c.record, o.id, o.attempt, o.effect);
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& transaction, const CompleteRequest& o) {
  if (o.session != 0) recordPosition(transaction, o.session, o.positionMs);
  CachedKey& c = loadKey(transaction, o.key);
  if (!c.record) return {};
  c.record->mayHaveExecuted = c.record->mayHaveExecuted || o.mayHaveExecuted;
  recordOutcome(*c.record, o.id, o.outcome, transaction.now, settings_.keyRetention);
  if (o.outcome == Outcome::Served && !c.record->hasResponse) {
    c.record->hasResponse = o.response.size() <= settings_.maxResponseBytes;
    if (c.record->hasResponse) c.record->response = o.response;
    c.record->positionMs = o.positionMs;
  }
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& transaction, const RecordResponseDelivered& o) {
  CachedKey& c = loadKey(transaction, o.key);
  if (!c.record) return {};
  recordResponseDelivered(*c.record, o.id);
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& transaction, const AbandonRequest& o) {
  CachedKey& c = loadKey(transaction, o.key);
  if (!c.record) return {};
  c.record->mayHaveExecuted = c.record->mayHaveExecuted || o.mayHaveExecuted;
  abandonRequest(*c.record, o.id);
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& transaction, const RecordSessionPosition& o) {
  recordPosition(transaction, o.session, o.positionMs);
  return {};
}
OperationResult IdempotencyStore::applyOperation(Transaction& transaction, const ReadSessionPosition& o) {
  const CachedSession& c = loadSession(transaction, o.session);
  OperationResult result;
  result.positionMs = c.record ? c.record->positionMs : totals_.positionFloorMs;
  return result;
}

void IdempotencyStore::recordPosition(Transaction& transaction, std::uint64_t session,
                                      std::int64_t positionMs) {
  CachedSession& c = loadSession(transaction, session);
  if (!c.record) {
    // No room for another session: its position raises the floor for all sessions without a record.
    if (totals_.sessions >= settings_.maxSessions) {
      totals_.positionFloorMs = std::max(totals_.positionFloorMs, positionMs);
      transaction.changed = true;
      transaction.sessions.erase(session);
      return;
    }
    ++totals_.sessions;
    c.record = SessionRecord{totals_.positionFloorMs, {}};
  }
  c.record->positionMs = std::max(c.record->positionMs, positionMs);
  c.record->expiresAt = transaction.now + settings_.sessionRetention;
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

void IdempotencyStore::removeExpired(Transaction& transaction, std::size_t limit) {
  database_.scan("x", "x", [&](std::string_view key, std::string_view) {
    if (key.size() < 10) throwDamaged("an expiry entry names no record: " + printable(key));
    const Time at(static_cast<std::int64_t>(decodeNumber(key.substr(1))));
    if (at > transaction.now || limit-- == 0) return false;
    const std::string recordKey(key.substr(9));
    if (recordKey[0] == 'k') {
      const auto it = transaction.keys.find(recordKey.substr(1));
      if (it != transaction.keys.end() && it->second.changed) return true;  // its expiry was extended
      totals_.keys -= totals_.keys > 0;
      const auto value = database_.get(recordKey);
      totals_.pendingKeys -= value && decodeRecord(recordKey, *value, decodeKey).outcome == Outcome::Pending;
    } else {
      const auto it = transaction.sessions.find(decodeNumber(std::string_view(recordKey).substr(1)));
      if (it != transaction.sessions.end() && it->second.changed) return true;
      if (const auto value = database_.get(recordKey))
        totals_.positionFloorMs =
            std::max(totals_.positionFloorMs, decodeRecord(recordKey, *value, decodeSession).positionMs);
      totals_.sessions -= totals_.sessions > 0;
    }
    transaction.batch.remove(recordKey);
    transaction.batch.remove(key);
    return true;
  });
}

// ---- check, dump and compact --------------------------------------------------------------------
namespace {

// Reads the records one by one, so memory use does not depend on the size of the store. Throws
// StoreError (Damaged) if they are inconsistent.
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
      throwDamaged("no expiry entry for " + printable(key));
  }

  // checkKeys() and checkSessions() have found an entry for each record. If every entry refers to
  // an existing record and there are as many entries as records, then no entry is left over.
  void checkExpiryIndex() {
    std::uint64_t entries = 0;
    database_.scan("x", "x", [&](std::string_view key, std::string_view) {
      ++entries;
      if (key.size() < kExpiryPrefixBytes + 1 || !database_.get(key.substr(kExpiryPrefixBytes)))
        throwDamaged("an expiry entry for a record that does not exist: " + printable(key));
      return true;
    });
    if (entries != statistics_.keys + statistics_.sessions)
      throwDamaged("the numbers of expiry entries and of records differ");
  }

  void checkTotals() {
    const auto value = database_.get(kTotals);
    if (!value) return;
    const StoreTotals totals = decodeRecord(kTotals, *value, decodeTotals);
    const StoreStatistics& found = statistics_;
    if (totals.keys == found.keys && totals.sessions == found.sessions &&
        totals.pendingKeys == found.pendingKeys)
      return;
    throwDamaged("the totals say " + std::to_string(totals.keys) + " keys and " +
                 std::to_string(totals.sessions) + " sessions, but there are " + std::to_string(found.keys) +
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
           {"floor_unix_ms", r.positionFloorMs}};
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
      return true;  // the expiry index, the commit number and the format
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
