// What is known of keyed writes and of sessions, over a Database. A group of operations is applied as one
// durable commit. The rules are in rules.hpp; this is where the records are stored, and for how long.
//
// Keys of the database, by their first byte:
//   !commit  !clock  !totals  !format      the store's own
//   e EPOCH                                an EpochRecord; EPOCH and all numbers below big-endian, 8 bytes
//   k KEY                                  a KeyRecord
//   s SESSION                              a SessionRecord
//   x EXPIRES k KEY,  x EXPIRES s SESSION  the index by expiry; no value
//
// Not thread-safe: one thread owns it (group_commit_writer.hpp).
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
  Time keyRetention = std::chrono::minutes(10);      // a key, after the last word on it
  Time sessionRetention = std::chrono::minutes(10);  // after it was last seen
  std::size_t maxKeys = 1000000;
  std::size_t maxSessions = 1000000;
  std::size_t maxResponseBytes = 16 << 10;  // a longer one is not kept
};

struct BeginKeyedRequest {  // its intent is durable before anything of it is sent
  KeyedRequest request;
};
struct RecordAttemptSent {
  std::string key, id, endpoint;
  int attempt = 0;
};
struct RecordAttemptEnd {
  std::string key, id;
  int attempt = 0;
  AttemptEffect effect = AttemptEffect::InFlight;
};
struct CompleteRequest {  // durable before the final answer goes out
  std::string key, id;
  Outcome outcome = Outcome::Pending;
  std::string response;
  std::int64_t positionMs = 0;
  std::uint64_t session = 0;     // 0: none
  bool mayHaveExecuted = false;  // some attempt of this request: notes of them may have been lost
};
struct RecordResponseDelivered {
  std::string key, id;
};
struct AbandonRequest {  // its client has gone: nothing is owed any more, and nothing more is sent
  std::string key, id;
  bool mayHaveExecuted = false;
};
struct RecordSessionPosition {  // a session has seen this position
  std::uint64_t session = 0;
  std::int64_t positionMs = 0;
};
struct ReadSessionPosition {
  std::uint64_t session = 0;
};
using Operation =
    std::variant<BeginKeyedRequest, RecordAttemptSent, RecordAttemptEnd, CompleteRequest,
                 RecordResponseDelivered, AbandonRequest, RecordSessionPosition, ReadSessionPosition>;

// What an operation brings; for those that only note, nothing.
struct OperationResult {
  Disposition disposition = Disposition::OutcomeUnknown;  // AskKey
  bool storeFull = false;                                 // AskKey: no room for another key
  Time retryAfter{};                                      // full: until some expire
  Time sinceFirstSend{};                                  // Again
  std::string response;                                   // Recorded
  std::int64_t positionMs = 0;  // AskSession: what it has to see at least; Recorded: of the write
};

struct StoreRecovery {
  std::uint64_t epoch = 0, keys = 0, sessions = 0,
                pendingKeys = 0;  // without an outcome when the proxy ended
  bool afterGap = false;
  DatabaseOpenResult database;
};

class IdempotencyStore {
 public:
  using MachineClock = std::function<MachineTime()>;
  // Throws StoreError.
  IdempotencyStore(Files&, const IdempotencyStoreSettings&, MachineClock = machineTime);
  ~IdempotencyStore();

  const StoreRecovery& recovered() const { return recovered_; }
  // All of it in one commit; what is only asked costs none. Throws StoreError: none of it counts as durable
  // then, and this object is of no more use.
  std::vector<OperationResult> apply(const std::vector<Operation>&);
  const StoreTotals& totals() const { return totals_; }
  std::uint64_t commits() const { return database_.commits(); }
  std::uint64_t bytesOnDisk() const { return database_.bytesOnDisk(); }
  Time now() { return clock_.at(machineClock_()); }

 private:
  struct CachedKey {
    std::optional<KeyRecord> record;
    std::optional<Time> indexedExpiry;  // the expiry under which it stands on disk
    bool changed = false, wasPending = false;
  };
  struct CachedSession {
    std::optional<SessionRecord> record;
    std::optional<Time> indexedExpiry;
    bool changed = false;
  };
  struct Transaction;  // one call of apply
  CachedKey& loadKey(Transaction&, const std::string&);
  CachedSession& loadSession(Transaction&, std::uint64_t);
  void recordPosition(Transaction&, std::uint64_t session, std::int64_t positionMs);
  OperationResult applyOperation(Transaction&, const BeginKeyedRequest&);
  OperationResult applyOperation(Transaction&, const RecordAttemptSent&);
  OperationResult applyOperation(Transaction&, const RecordAttemptEnd&);
  OperationResult applyOperation(Transaction&, const CompleteRequest&);
  OperationResult applyOperation(Transaction&, const RecordResponseDelivered&);
  OperationResult applyOperation(Transaction&, const AbandonRequest&);
  OperationResult applyOperation(Transaction&, const RecordSessionPosition&);
  OperationResult applyOperation(Transaction&, const ReadSessionPosition&);
  void removeExpired(Transaction&, std::size_t most);
  Time earliestKeyExpiry();
  std::optional<ClockRecord> readClockRecord();

  const IdempotencyStoreSettings settings_;
  const MachineClock machineClock_;
  Database database_;
  StoreClock clock_;
  StoreTotals totals_;
  StoreRecovery recovered_;
};

// For `sablespur store`: whole walks over what is there.
struct StoreStatistics {
  std::uint64_t keys = 0, sessions = 0, epochs = 0, pendingKeys = 0, responses = 0, responseBytes = 0,
                pendingIds = 0, pairs = 0;
  std::uint64_t commits = 0, bytesOnDisk = 0;
  DatabaseOpenResult openResult;
};
// Reads every record and every index entry, and throws StoreError (Damaged) where they do not fit together.
StoreStatistics check(Files&, const std::string& directory);
// Each record as a JSON object, in the order of keys.
void dump(Files&, const std::string& directory, const std::function<void(const nlohmann::json&)>& each);
void compact(Files&, const std::string& directory);

}  // namespace sablespur::durability
