// Stores the records of keyed writes and sessions in a Database. A group of operations is applied
// as one durable commit. rules.hpp decides how records change; this file loads, stores and expires
// them.
//
// Keys of the database, by their first byte:
//   !commit  !clock  !totals  !format      records of the store itself
//   e EPOCH                                an EpochRecord; EPOCH and all numbers below: 8 bytes,
//                                          big-endian
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
  Time keyRetention = std::chrono::minutes(10);      // since the key's last request or outcome
  Time sessionRetention = std::chrono::minutes(10);  // since the session's last recorded position
  std::size_t maxKeys = 1000000;
  std::size_t maxSessions = 1000000;
  std::size_t maxResponseBytes = 16 << 10;  // longer responses are not kept
};

struct BeginKeyedRequest {  // durable before any byte of the request is sent
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
struct CompleteRequest {  // a served outcome is durable before the response is sent
  std::string key, id;
  Outcome outcome = Outcome::Pending;
  std::string response;
  std::int64_t positionMs = 0;
  std::uint64_t session = 0;     // 0: none
  bool mayHaveExecuted = false;  // whether any attempt may have; attempt records can be lost
};
struct RecordResponseDelivered {
  std::string key, id;
};
struct AbandonRequest {  // its client disconnected: no response is owed, and no further attempt is sent
  std::string key, id;
  bool mayHaveExecuted = false;
};
struct RecordSessionPosition {  // the session has read or written at this position
  std::uint64_t session = 0;
  std::int64_t positionMs = 0;
};
struct ReadSessionPosition {
  std::uint64_t session = 0;
};
using Operation =
    std::variant<BeginKeyedRequest, RecordAttemptSent, RecordAttemptEnd, CompleteRequest,
                 RecordResponseDelivered, AbandonRequest, RecordSessionPosition, ReadSessionPosition>;

// The result of BeginKeyedRequest or ReadSessionPosition; other operations leave it empty.
struct OperationResult {
  Disposition disposition = Disposition::OutcomeUnknown;  // BeginKeyedRequest
  bool storeFull = false;                                 // BeginKeyedRequest: no room for another key
  Time retryAfter{};                                      // storeFull: until the first key expires
  Time sinceFirstSend{};                                  // Disposition::Retry; an upper bound
  std::string response;                                   // Disposition::Replay
  // ReadSessionPosition: the least position that the session may read at. Disposition::Replay: the
  // position of the write.
  std::int64_t positionMs = 0;
};

struct StoreRecovery {
  std::uint64_t epoch = 0, keys = 0, sessions = 0,
                pendingKeys = 0;  // had no outcome when the proxy stopped
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
  // Applies the operations in one durable commit; operations that only read need no commit. After a
  // StoreError none of the operations counts as durable, and the object must not be used any more.
  std::vector<OperationResult> apply(const std::vector<Operation>&);
  const StoreTotals& totals() const { return totals_; }
  std::uint64_t commits() const { return database_.commits(); }
  std::uint64_t bytesOnDisk() const { return database_.bytesOnDisk(); }
  Time now() { return clock_.at(machineClock_()); }

 private:
  struct CachedKey {
    std::optional<KeyRecord> record;
    std::optional<Time> indexedExpiry;  // its expiry in the index on disk
    bool changed = false, wasPending = false;
  };
  struct CachedSession {
    std::optional<SessionRecord> record;
    std::optional<Time> indexedExpiry;
    bool changed = false;
  };
  struct Transaction;  // state of one apply() call
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
  void removeExpired(Transaction&, std::size_t limit);
  Time earliestKeyExpiry();
  std::optional<ClockRecord> readClockRecord();

  const IdempotencyStoreSettings settings_;
  const MachineClock machineClock_;
  Database database_;
  StoreClock clock_;
  StoreTotals totals_;
  StoreRecovery recovered_;
};

// For `sablespur store`. check() and dump() read the whole store.
struct StoreStatistics {
  std::uint64_t keys = 0, sessions = 0, epochs = 0, pendingKeys = 0, responses = 0, responseBytes = 0,
                pendingIds = 0, pairs = 0;
  std::uint64_t commits = 0, bytesOnDisk = 0;
  DatabaseOpenResult openResult;
};
// Reads every record and every index entry. Throws StoreError (Damaged) if they are inconsistent.
StoreStatistics check(Files&, const std::string& directory);
// Calls `each` with every record as a JSON object, in key order.
void dump(Files&, const std::string& directory, const std::function<void(const nlohmann::json&)>& each);
void compact(Files&, const std::string& directory);

}  // namespace sablespur::durability
