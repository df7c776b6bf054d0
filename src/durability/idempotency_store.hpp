// The ledger: what is known of keyed writes and of sessions, over a Database. A group of operations is
// applied as one durable commit. The rules are in rules.hpp; here is where the records stand and for how
// long.
//
// Keys of the database, by their first byte:
//   !commit  !clock  !totals  !format      the store's own
//   e EPOCH                                an EpochRecord; EPOCH and all numbers below big-endian, 8 bytes
//   k KEY                                  a KeyRecord
//   s SESSION                              a SessionRecord
//   x EXPIRES k KEY,  x EXPIRES s SESSION  when each may be forgotten; no value
//
// Not thread-safe: one thread owns it (writer.hpp).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "durability/database.hpp"
#include "durability/record.hpp"
#include "durability/rules.hpp"
#include "durability/store_clock.hpp"

namespace sablespur::durability {

struct IdempotencyStoreSettings {
  std::string directory;
  Time keep = std::chrono::minutes(10);          // a key, after the last word on it
  Time keepSessions = std::chrono::minutes(10);  // after it was last seen
  std::size_t mostKeys = 1000000;
  std::size_t mostSessions = 1000000;
  std::size_t longestAnswer = 16 << 10;  // a longer one is not kept
};

struct AskKey {  // its intent is durable before anything of it is sent
  KeyedRequest asked;
};
struct NoteSent {
  std::string key, id, member;
  int attempt = 0;
};
struct NoteEnded {
  std::string key, id;
  int attempt = 0;
  End end = End::Out;
};
struct Finish {  // durable before the final answer goes out
  std::string key, id;
  Outcome outcome = Outcome::None;
  std::string answer;
  std::int64_t positionMs = 0;
  std::uint64_t session = 0;  // 0: none
  bool mayHaveRun = false;    // some attempt of this request: notes of them may have been lost
};
struct NoteTold {
  std::string key, id;
};
struct NoteLeft {  // its client has gone: nothing is owed any more, and nothing more is sent
  std::string key, id;
  bool mayHaveRun = false;
};
struct NoteSeen {  // a session has seen this position
  std::uint64_t session = 0;
  std::int64_t positionMs = 0;
};
struct AskSession {
  std::uint64_t session = 0;
};
using Operation = std::variant<AskKey, NoteSent, NoteEnded, Finish, NoteTold, NoteLeft, NoteSeen, AskSession>;

// What an operation brings; for those that only note, nothing.
struct OperationResult {
  Verdict verdict = Verdict::Unknown;  // AskKey
  bool full = false;                   // AskKey: no room for another key
  Time wait{};                         // full: until some expire
  Time since{};                        // Again
  std::string answer;                  // Recorded
  std::int64_t positionMs = 0;         // AskSession: what it has to see at least; Recorded: of the write
};

struct Recovered {
  std::uint64_t epoch = 0, keys = 0, sessions = 0, unresolved = 0;  // without an outcome when the proxy ended
  bool gap = false;
  Opened database;
};

class IdempotencyStore {
 public:
  using MachineClock = std::function<MachineTime()>;
  // Throws StoreError.
  IdempotencyStore(Files&, const IdempotencyStoreSettings&, MachineClock = machineTime);
  ~IdempotencyStore();

  const Recovered& recovered() const { return recovered_; }
  // All of it in one commit; what is only asked costs none. Throws StoreError: none of it counts as durable
  // then, and this object is of no more use.
  std::vector<OperationResult> apply(const std::vector<Operation>&);
  const Totals& totals() const { return totals_; }
  std::uint64_t commits() const { return db_.commits(); }
  std::uint64_t bytesOnDisk() const { return db_.bytesOnDisk(); }
  Time now() { return clock_.at(machine_()); }

 private:
  struct Cached {
    std::optional<KeyRecord> record;
    std::optional<Time> indexed;  // the expiry under which it stands on disk
    bool changed = false, wasOpen = false;
  };
  struct CachedSession {
    std::optional<SessionRecord> record;
    std::optional<Time> indexed;
    bool changed = false;
  };
  struct Group;  // one call of apply
  Cached& key(Group&, const std::string&);
  CachedSession& session(Group&, std::uint64_t);
  void see(Group&, std::uint64_t session, std::int64_t positionMs);
  OperationResult carryOut(Group&, const AskKey&);
  OperationResult carryOut(Group&, const NoteSent&);
  OperationResult carryOut(Group&, const NoteEnded&);
  OperationResult carryOut(Group&, const Finish&);
  OperationResult carryOut(Group&, const NoteTold&);
  OperationResult carryOut(Group&, const NoteLeft&);
  OperationResult carryOut(Group&, const NoteSeen&);
  OperationResult carryOut(Group&, const AskSession&);
  void expire(Group&, std::size_t most);
  Time firstExpiry();
  std::optional<ClockRecord> lastClock();

  const IdempotencyStoreSettings settings_;
  const MachineClock machine_;
  Database db_;
  StoreClock clock_;
  Totals totals_;
  Recovered recovered_;
};

// For `sablespur store`: whole walks over what is there.
struct Census {
  std::uint64_t keys = 0, sessions = 0, epochs = 0, unresolved = 0, answers = 0, answerBytes = 0, owed = 0,
                pairs = 0;
  std::uint64_t commits = 0, bytesOnDisk = 0;
  Opened opened;
};
// Reads every record and every index entry, and throws StoreError (Damaged) where they do not fit together.
Census check(Files&, const std::string& directory);
// Each record as a JSON object, in the order of keys.
void dump(Files&, const std::string& directory, const std::function<void(const nlohmann::json&)>& each);
void compact(Files&, const std::string& directory);

}  // namespace sablespur::durability
