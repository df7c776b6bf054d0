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
constexpr std::size_t kForgetBase = 32, kForgetByOperation = 2;
constexpr std::size_t kEpochs = 64;  // kept for people

std::string number(std::uint64_t n) {
  std::string s;
  for (int shift = 56; shift >= 0; shift -= 8) s.push_back(static_cast<char>(n >> shift));
  return s;
}
std::uint64_t readNumber(std::string_view s) {
  std::uint64_t v = 0;
  for (const unsigned char c : s.substr(0, 8)) v = v << 8 | c;
  return v;
}
std::string keyKey(const std::string& key) { return "k" + key; }
std::string sessionKey(std::uint64_t session) { return "s" + number(session); }
std::string expiryKey(Time at, const std::string& of) {
  return "x" + number(static_cast<std::uint64_t>(at.count())) + of;
}
[[noreturn]] void damaged(const std::string& what) { throw StoreError(StoreError::Kind::Damaged, what); }

std::string shown(std::string_view key) {
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
auto decodedRecord(std::string_view key, std::string_view value, Read read) {
  try {
    return read(value);
  } catch (const NewerRecord& e) {
    throw StoreError(StoreError::Kind::Newer, "the record of " + shown(key) + " is " + e.what());
  } catch (const std::runtime_error& e) {
    throw StoreError(StoreError::Kind::Damaged, "the record of " + shown(key) + ": " + e.what());
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

struct IdempotencyStore::Group {
  Time now{};
  MachineTime machine;
  Database::Batch batch;
  bool changed = false;
  std::unordered_map<std::string, Cached> keys;
  std::unordered_map<std::uint64_t, CachedSession> sessions;
};

IdempotencyStore::IdempotencyStore(Files& files, const IdempotencyStoreSettings& s, MachineClock machine)
    : settings_(s),
      machine_(std::move(machine)),
      db_(files, s.directory),
      clock_((checkFormat(db_), lastClock()), machine_()) {
  if (const auto t = db_.get(kTotals)) totals_ = decodedRecord(kTotals, *t, decodeTotals);
  std::uint64_t last = 0;
  std::vector<std::string> old;
  db_.scan("e", "e", [&](std::string_view key, std::string_view) {
    last = readNumber(key.substr(1));
    old.emplace_back(key);
    return true;
  });
  recovered_.epoch = last + 1;
  recovered_.keys = totals_.keys;
  recovered_.sessions = totals_.sessions;
  recovered_.unresolved = totals_.open;
  recovered_.gap = clock_.gap();
  recovered_.database = db_.opened();
  const MachineTime m = machine_();
  Database::Batch b;
  b.put(kFormat, std::to_string(kFormatVersion));
  EpochRecord e;
  e.number = recovered_.epoch;
  e.began = clock_.at(m);
  e.gap = clock_.gap();
  e.wallMs = m.wallMs;
  e.boot = m.boot;
  b.put("e" + number(e.number), encode(e));
  for (std::size_t k = 0; k + kEpochs <= old.size(); ++k) b.remove(old[k]);
  b.put(kClock, encode(clock_.record(m)));
  db_.commit(b);
}
IdempotencyStore::~IdempotencyStore() = default;

std::optional<ClockRecord> IdempotencyStore::lastClock() {
  const auto value = db_.get(kClock);
  if (!value) return std::nullopt;
  return decodedRecord(kClock, *value, decodeClock);
}

std::vector<OperationResult> IdempotencyStore::apply(const std::vector<Operation>& all) {
  Group g;
  g.machine = machine_();
  g.now = clock_.at(g.machine);
  std::vector<OperationResult> said;
  said.reserve(all.size());
  for (const Operation& o : all) said.push_back(std::visit([&](const auto& x) { return carryOut(g, x); }, o));
  for (const auto& [key, c] : g.keys) {
    if (!c.changed) continue;
    const std::string of = keyKey(key);
    g.changed = true;
    const bool open = c.record->outcome == Outcome::None;
    totals_.open += open && !c.wasOpen;
    totals_.open -= c.wasOpen && !open;
    if (c.indexed && *c.indexed != c.record->expires) g.batch.remove(expiryKey(*c.indexed, of));
    if (!c.indexed || *c.indexed != c.record->expires) g.batch.put(expiryKey(c.record->expires, of), "");
    g.batch.put(of, encode(*c.record));
  }
  for (const auto& [session, c] : g.sessions) {
    if (!c.changed) continue;
    const std::string of = sessionKey(session);
    g.changed = true;
    if (c.indexed && *c.indexed != c.record->expires) g.batch.remove(expiryKey(*c.indexed, of));
    if (!c.indexed || *c.indexed != c.record->expires) g.batch.put(expiryKey(c.record->expires, of), "");
    g.batch.put(of, encode(*c.record));
  }
  if (!g.changed) return said;
  expire(g, kForgetBase + kForgetByOperation * all.size());
  g.batch.put(kTotals, encode(totals_));
  g.batch.put(kClock, encode(clock_.record(g.machine)));
  db_.commit(g.batch);
  return said;
}

IdempotencyStore::Cached& IdempotencyStore::key(Group& g, const std::string& key) {
  const auto [it, fresh] = g.keys.try_emplace(key);
  if (fresh) {
    if (const auto value = db_.get(keyKey(key))) {
      it->second.record = decodedRecord(keyKey(key), *value, decodeKey);
      it->second.indexed = it->second.record->expires;
      it->second.wasOpen = it->second.record->outcome == Outcome::None;
    }
  }
  return it->second;
}
IdempotencyStore::CachedSession& IdempotencyStore::session(Group& g, std::uint64_t session) {
  const auto [it, fresh] = g.sessions.try_emplace(session);
  if (fresh) {
    if (const auto value = db_.get(sessionKey(session))) {
      it->second.record = decodedRecord(sessionKey(session), *value, decodeSession);
      it->second.indexed = it->second.record->expires;
    }
  }
  return it->second;
}

OperationResult IdempotencyStore::carryOut(Group& g, const AskKey& o) {
  Cached& c = key(g, o.asked.key);
  OperationResult said;
  if (!c.record && totals_.keys >= settings_.mostKeys) {
    // Forgetting one early to make room could have it run twice.
    said.full = true;
    said.wait = std::max(firstExpiry() - g.now, Time(0));
    g.keys.erase(o.asked.key);
    return said;
  }
  const Judgement j = judge(c.record ? &*c.record : nullptr, o.asked, g.now, clock_.gapAt());
  said.verdict = j.verdict;
  said.since = j.since;
  if (j.verdict == Verdict::Recorded) {
    said.answer = c.record->answer;
    said.positionMs = c.record->positionMs;
  }
  totals_.keys += !c.record;
  c.record =
      durability::opened(c.record, o.asked, j, g.now, settings_.keep, recovered_.epoch, g.machine.wallMs);
  c.changed = true;
  return said;
}
OperationResult IdempotencyStore::carryOut(Group& g, const NoteSent& o) {
  Cached& c = key(g, o.key);
  if (!c.record) return {};
  sent(*c.record, {o.id, o.attempt, o.member, g.now, End::Out});
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::carryOut(Group& g, const NoteEnded& o) {
  Cached& c = key(g, o.key);
  if (!c.record) return {};
  ended(*c.record, o.id, o.attempt, o.end);
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::carryOut(Group& g, const Finish& o) {
  if (o.session != 0) see(g, o.session, o.positionMs);
  Cached& c = key(g, o.key);
  if (!c.record) return {};
  c.record->mayHaveRun = c.record->mayHaveRun || o.mayHaveRun;
  finished(*c.record, o.id, o.outcome, g.now, settings_.keep);
  if (o.outcome == Outcome::Served && !c.record->answered) {
    c.record->answered = o.answer.size() <= settings_.longestAnswer;
    if (c.record->answered) c.record->answer = o.answer;
    c.record->positionMs = o.positionMs;
  }
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::carryOut(Group& g, const NoteTold& o) {
  Cached& c = key(g, o.key);
  if (!c.record) return {};
  told(*c.record, o.id);
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::carryOut(Group& g, const NoteLeft& o) {
  Cached& c = key(g, o.key);
  if (!c.record) return {};
  c.record->mayHaveRun = c.record->mayHaveRun || o.mayHaveRun;
  left(*c.record, o.id);
  c.changed = true;
  return {};
}
OperationResult IdempotencyStore::carryOut(Group& g, const NoteSeen& o) {
  see(g, o.session, o.positionMs);
  return {};
}
OperationResult IdempotencyStore::carryOut(Group& g, const AskSession& o) {
  const CachedSession& c = session(g, o.session);
  OperationResult said;
  said.positionMs = c.record ? c.record->positionMs : totals_.floorMs;
  return said;
}

void IdempotencyStore::see(Group& g, std::uint64_t of, std::int64_t positionMs) {
  CachedSession& c = session(g, of);
  if (!c.record) {
    // One more than there is room for is forgotten at once: that raises the floor for all who are not known.
    if (totals_.sessions >= settings_.mostSessions) {
      totals_.floorMs = std::max(totals_.floorMs, positionMs);
      g.changed = true;
      g.sessions.erase(of);
      return;
    }
    ++totals_.sessions;
    c.record = SessionRecord{totals_.floorMs, {}};
  }
  c.record->positionMs = std::max(c.record->positionMs, positionMs);
  c.record->expires = g.now + settings_.keepSessions;
  c.changed = true;
}

Time IdempotencyStore::firstExpiry() {
  Time first = Time::max();
  db_.scan("x", "x", [&](std::string_view key, std::string_view) {
    if (key.size() < 10 || key[9] != 'k') return true;
    first = Time(static_cast<std::int64_t>(readNumber(key.substr(1))));
    return false;
  });
  return first;
}

void IdempotencyStore::expire(Group& g, std::size_t most) {
  db_.scan("x", "x", [&](std::string_view key, std::string_view) {
    if (key.size() < 10) damaged("an expiry entry that names nothing: " + shown(key));
    const Time at(static_cast<std::int64_t>(readNumber(key.substr(1))));
    if (at > g.now || most-- == 0) return false;
    const std::string of(key.substr(9));
    if (of[0] == 'k') {
      const auto it = g.keys.find(of.substr(1));
      if (it != g.keys.end() && it->second.changed) return true;  // it has just been given more time
      totals_.keys -= totals_.keys > 0;
      const auto value = db_.get(of);
      totals_.open -= value && decodedRecord(of, *value, decodeKey).outcome == Outcome::None;
    } else {
      const auto it = g.sessions.find(readNumber(std::string_view(of).substr(1)));
      if (it != g.sessions.end() && it->second.changed) return true;
      if (const auto value = db_.get(of))
        totals_.floorMs = std::max(totals_.floorMs, decodedRecord(of, *value, decodeSession).positionMs);
      totals_.sessions -= totals_.sessions > 0;
    }
    g.batch.remove(of);
    g.batch.remove(key);
    return true;
  });
}

// ---- for people ---------------------------------------------------------------------------------------
Census check(Files& files, const std::string& directory) {
  Database db(files, directory);
  checkFormat(db);
  Census c;
  db.scan("", "", [&](std::string_view key, std::string_view value) {
    ++c.pairs;
    if (key == kClock)
      decodedRecord(key, value, decodeClock);
    else if (key == kTotals)
      decodedRecord(key, value, decodeTotals);
    else if (key[0] == 'e')
      c.epochs += decodedRecord(key, value, decodeEpoch).number == readNumber(key.substr(1));
    return true;
  });
  // An entry of the index for each record, and none for what is not there. Key by key: memory stays level.
  db.scan("k", "k", [&](std::string_view key, std::string_view value) {
    const KeyRecord r = decodedRecord(key, value, decodeKey);
    ++c.keys;
    c.unresolved += r.outcome == Outcome::None;
    c.answers += r.answered;
    c.answerBytes += r.answer.size();
    c.owed += r.owed.size();
    if (!db.get(expiryKey(r.expires, std::string(key)))) damaged("no expiry stands for " + shown(key));
    return true;
  });
  db.scan("s", "s", [&](std::string_view key, std::string_view value) {
    ++c.sessions;
    if (!db.get(expiryKey(decodedRecord(key, value, decodeSession).expires, std::string(key))))
      damaged("no expiry stands for " + shown(key));
    return true;
  });
  std::uint64_t entries = 0;
  db.scan("x", "x", [&](std::string_view key, std::string_view) {
    ++entries;
    if (key.size() < 10 || !db.get(key.substr(9)))
      damaged("an expiry entry for what is not there: " + shown(key));
    return true;
  });
  if (entries != c.keys + c.sessions) damaged("entries that expire and records differ in number");
  if (const auto t = db.get(kTotals)) {
    const Totals totals = decodedRecord(kTotals, *t, decodeTotals);
    if (totals.keys != c.keys || totals.sessions != c.sessions || totals.open != c.unresolved)
      damaged("counted are " + std::to_string(totals.keys) + " keys and " + std::to_string(totals.sessions) +
              " sessions, and there are " + std::to_string(c.keys) + " and " + std::to_string(c.sessions));
  }
  c.commits = db.commits();
  c.bytesOnDisk = db.bytesOnDisk();
  c.opened = db.opened();
  return c;
}

void dump(Files& files, const std::string& directory,
          const std::function<void(const nlohmann::json&)>& each) {
  Database db(files, directory);
  checkFormat(db);
  db.scan("", "", [&](std::string_view key, std::string_view value) {
    nlohmann::json j;
    if (key == kClock) {
      const ClockRecord r = decodedRecord(key, value, decodeClock);
      j = {{"record", "clock"},
           {"at_us", r.at.count()},
           {"boot", r.boot},
           {"boot_us", r.bootUs},
           {"gap_at_us", r.gapAt.count()}};
    } else if (key == kTotals) {
      const Totals r = decodedRecord(key, value, decodeTotals);
      j = {{"record", "totals"}, {"keys", r.keys}, {"sessions", r.sessions}, {"floor_unix_ms", r.floorMs}};
    } else if (key[0] == 'e') {
      const EpochRecord r = decodedRecord(key, value, decodeEpoch);
      j = {{"record", "epoch"}, {"number", r.number},        {"began_us", r.began.count()},
           {"gap", r.gap},      {"began_unix_ms", r.wallMs}, {"boot", r.boot}};
    } else if (key[0] == 'k') {
      j = toJson(decodedRecord(key, value, decodeKey));
      j["record"] = "key";
      j["key"] = shown(key.substr(1));
    } else if (key[0] == 's') {
      const SessionRecord r = decodedRecord(key, value, decodeSession);
      j = {{"record", "session"},
           {"session", shown(key.substr(1))},
           {"position_unix_ms", r.positionMs},
           {"expires_us", r.expires.count()}};
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
