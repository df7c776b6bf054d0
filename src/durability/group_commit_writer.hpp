// Runs the idempotency store on a thread of its own. Operations that arrive during a commit form
// the next group and are committed together (group commit), so a slow disk makes larger groups, not
// a longer queue.
//
// The event loop never waits for the disk. Each submitted operation gets one completion callback in
// the loop: durable, or lost. A lost operation must not be relied on, although it may have reached
// the disk. After a disk error the store is reopened with exponential backoff between
// kMinRetryDelay and kMaxRetryDelay; until then every operation is lost at once. Lost operations
// are kept in memory (backlog.hpp) and applied when the store is open again, or in a last attempt
// at shutdown.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "durability/idempotency_store.hpp"
#include "engine/event.hpp"

namespace sablespur::durability {

class GroupCommitWriter {
 public:
  enum class State { Up, Down, Damaged };
  // Called in the loop when the state changes. `why` says why the store is down or damaged; it is
  // empty when the store is up.
  using StateCallback = std::function<void(State, const std::string& why)>;
  using Completion = std::function<void(bool durable, OperationResult)>;
  // Owned by the caller that waits for the completion. Once it is released the completion is not
  // called, but the operation is still applied.
  struct TicketState {};
  using Ticket = std::shared_ptr<TicketState>;

  // Opens the store. Throws StoreError, except for Kind::Failed: the state is then Down, and the
  // writer thread keeps trying to open the store.
  GroupCommitWriter(event_base*, const IdempotencyStoreSettings&, StateCallback, FileHook* = nullptr);
  ~GroupCommitWriter();  // commits queued operations; waits at most a second
  GroupCommitWriter(const GroupCommitWriter&) = delete;

  [[nodiscard]] Ticket submit(Operation, Completion);
  void submitUnacknowledged(Operation);  // without a completion callback

  State state() const;
  const std::string& failureReason() const;
  const StoreRecovery& recovered() const;  // result of the last successful open
  Time currentCommitAge() const;           // time since the current commit started; 0: none is in progress
  std::size_t pendingOperations() const;   // queued or being committed

  struct Statistics {
    std::uint64_t operations = 0, commits = 0, lost = 0, largestGroup = 0, keys = 0, sessions = 0,
                  bytesOnDisk = 0;
    Time lastCommit{}, longestCommit{};
  };
  Statistics statistics() const;

 private:
  struct Shared;
  class WriterThread;
  void deliverResults();

  StateCallback onStateChange_;
  std::shared_ptr<Shared> shared_;
  Event resultsReady_;
};

}  // namespace sablespur::durability
