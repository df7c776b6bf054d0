// Runs the idempotency store on a thread of its own. Operations that arrive during a commit go into the next
// one together (group commit), so a slow disk makes larger groups, not a longer queue.
//
// The event loop never waits for it. A submitted operation brings one call back in the loop: applied and
// durable, or lost. Lost means that nothing may rely on it; it may be on the disk all the same. After a disk
// error the store is reopened with exponential backoff between kRetryLeast and kRetryMost; until then every
// operation is lost at once. Its record is kept in memory (backlog.hpp) and applied when the disk is back, or
// at the end in one last attempt.
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
  // Called in the loop when the state changes: why it is down, or nothing.
  using StateCallback = std::function<void(State, const std::string& why)>;
  using Completion = std::function<void(bool durable, OperationResult)>;
  // Held by the caller that waits for the completion; once it is released the completion is not called. The
  // operation is applied all the same.
  struct Interest {};
  using Ticket = std::shared_ptr<Interest>;

  // Opens the store before it returns. Throws StoreError but for Failed, which leaves it Down and trying.
  GroupCommitWriter(event_base*, const IdempotencyStoreSettings&, StateCallback, FileHook* = nullptr);
  ~GroupCommitWriter();  // carries out what waits, within a second
  GroupCommitWriter(const GroupCommitWriter&) = delete;

  [[nodiscard]] Ticket submit(Operation, Completion);
  void submitUnacknowledged(Operation);  // nobody waits for it

  State state() const;
  const std::string& failureReason() const;
  const StoreRecovery& recovered() const;  // of the last opening
  // How long the commit under way has taken, and how many operations wait; for the loop's bounds.
  Time currentCommitAge() const;
  std::size_t pendingOperations() const;

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
