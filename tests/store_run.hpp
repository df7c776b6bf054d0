// A short workload on an idempotency store that also tracks what the store has guaranteed so far.
// Used by the tests that interrupt the workload at any point, and by the sweep (store_sweep.hpp).
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "durability/idempotency_store.hpp"

namespace sablespur::test {

using durability::Time;

constexpr Time kWindow = std::chrono::seconds(2);

// What the store guarantees about a key after apply() has returned.
struct KeyGuarantee {
  bool intentRecorded = false;  // an attempt may have been sent: the key must not be taken for a new one
  Time requestedAt{};           // of the first request, in machine time
  bool served = false;          // its answer is stored
  bool notExecuted = false;     // no attempt was executed: the key may be executed again
  std::string answer;
};
// The guarantees for keys, and the last position that was recorded for each session.
struct Guarantees {
  std::map<std::string, KeyGuarantee> keys;
  std::map<std::uint64_t, std::int64_t> sessions;
};

// A machine clock that only moves when the test advances it.
struct TestTime {
  std::string boot = "boot-1";
  std::int64_t us = 1000000, wallMs = 1767225600000;
  durability::MachineTime operator()() const { return {boot, us, wallMs}; }
  void advance(Time t) {
    us += t.count();
    wallMs += t.count() / 1000;
  }
};

// One file operation of the store.
struct RecordedOperation {
  durability::FileOp op;
  std::string path, bytes, to;  // paths are relative to the store's directory
  std::uint64_t at = 0;
  bool failed = false;           // a failure was injected
  std::size_t bytesWritten = 0;  // set for a failed operation: the part of `bytes` that was written
};

// Records every file operation and can make a range of them fail.
class RecordingFileHook final : public durability::FileHook {
 public:
  explicit RecordingFileHook(std::string dir) : dir_(std::move(dir)) {}
  Result before(durability::FileOp, const std::string& path, std::string_view bytes, std::uint64_t at,
                const std::string& to) override;
  // Fails operation `n` (counted from 0) and, if `lasting`, all that follow. A failed operation
  // still writes the first `bytesWritten` of its bytes.
  void failAt(std::size_t n, bool lasting, std::size_t bytesWritten = 0);
  // Fails `count` operations, starting with operation `first`. With `onlySpaceAllocating`, the
  // operations in the window that need no disk space succeed.
  void failWindow(std::size_t first, std::size_t count, bool onlySpaceAllocating, std::size_t bytesWritten);
  void stopFailing() { failAt(SIZE_MAX, false); }
  std::size_t count() const;
  bool failed() const;
  std::vector<RecordedOperation> operations() const;

 private:
  std::string relativePath(const std::string& path) const;
  const std::string dir_;
  mutable std::mutex mutex_;
  std::vector<RecordedOperation> operations_;
  std::size_t failFrom_ = SIZE_MAX, failUntil_ = SIZE_MAX, bytesWritten_ = 0;
  bool onlySpaceAllocating_ = false, failed_ = false;
};

// The steps of the workload. Each may throw StoreError; the operation that failed then adds no
// guarantee.
class StoreWorkload {
 public:
  StoreWorkload(durability::Files&, std::string dir, TestTime&);
  void open();
  void close() { store_.reset(); }
  bool isOpen() const { return store_ != nullptr; }
  // One keyed write, from its request to its end. `outcome` (modulo kWriteOutcomes) selects how it
  // ends.
  void write(int number, int outcome);
  void compact();
  const Guarantees& guarantees() const { return guarantees_; }
  durability::IdempotencyStore& store() { return *store_; }

 private:
  durability::Files& files_;
  const std::string dir_;
  TestTime& time_;
  std::unique_ptr<durability::IdempotencyStore> store_;
  Guarantees guarantees_;
};

constexpr int kWriteOutcomes = 6;
// Runs the whole workload: writes, a compaction, more writes, a restart, and again writes and a
// compaction. Calls `after` after every step.
void runWorkload(StoreWorkload&, TestTime&, const std::function<void()>& after = {});

// Runs a similar workload on a disk that fails for a while. When a step fails, the store is
// reopened until that succeeds, as GroupCommitWriter does, and the workload continues with the next
// write.
void runWorkloadWithFailures(StoreWorkload&, TestTime&, const std::function<void()>& after);

// Returns a description of the first guarantee that the store doesn't meet, or "" if it meets all.
// The TestTime is the time of this check.
std::string findViolation(const Guarantees&, durability::IdempotencyStore&, const TestTime&);

// A new directory, in /dev/shm where that exists. The destructor removes it.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  const std::string path;
};

}  // namespace sablespur::test
