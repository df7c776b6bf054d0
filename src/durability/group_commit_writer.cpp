#include "durability/group_commit_writer.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "durability/backlog.hpp"

namespace sablespur::durability {
namespace {

constexpr std::size_t kLargestGroup = 1024;  // bounds how long one commit can take
constexpr Time kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Time kMaxRetryDelay = std::chrono::seconds(5);
constexpr Time kShutdownTimeout = std::chrono::seconds(1);
// Bounds memory use while the disk hangs. Losing an unacknowledged operation only makes the
// store stricter.
constexpr std::size_t kMaxUnacknowledged = 65536;
// How long unacknowledged operations wait to share the commit of an acknowledged one, before they
// are committed without one.
constexpr Time kUnacknowledgedWait = std::chrono::milliseconds(50);
// Measuring the size on disk lists the directory, so it is done only once per this many commits.
constexpr std::uint64_t kCommitsPerSizeReading = 256;

Time monotonic() {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace

// State shared with the writer thread. Outlives the GroupCommitWriter if the disk hangs, since the
// thread cannot be stopped then.
struct GroupCommitWriter::Shared {
  struct QueuedOperation {
    Operation operation;
    Completion completion;  // empty: unacknowledged
    std::weak_ptr<TicketState> ticket;
    Time submittedAt{};
  };
  struct CommitResult {
    Completion completion;
    std::weak_ptr<TicketState> ticket;
    bool durable;
    OperationResult result;
  };
  struct StateChange {
    State state;
    std::string why;
    StoreRecovery recovered;
  };

  explicit Shared(const IdempotencyStoreSettings& s, FileHook* hook)
      : settings(s), files(hook), wakeupFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (wakeupFd < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  ~Shared() { close(wakeupFd); }
  Shared(const Shared&) = delete;

  // Wakes the event loop, which delivers results and state changes.
  void wakeLoop() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(wakeupFd, &one, sizeof one);
  }

  const IdempotencyStoreSettings settings;
  Files files;
  const int wakeupFd;
  std::unique_ptr<IdempotencyStore> store;  // owned by the writer thread once it runs

  // Guarded by the mutex.
  mutable std::mutex mutex;
  std::condition_variable workArrived;
  std::condition_variable threadEnded;
  std::deque<QueuedOperation> queue;
  std::size_t awaited = 0;                  // queued operations that have a completion
  std::vector<QueuedOperation> committing;  // the group being committed
  Time commitStartedAt{};
  std::vector<CommitResult> results;
  std::vector<StateChange> stateChanges;
  bool stopRequested = false;
  bool stopped = false;
  Statistics statistics;

  // Used by the event loop only.
  State state = State::Down;
  std::string why;
  StoreRecovery recovered;
};

// Runs on the thread that owns the store. Holds the mutex except during disk access.
class GroupCommitWriter::WriterThread {
 public:
  explicit WriterThread(Shared& shared)
      : shared_(shared), state_(shared.state), lock_(shared.mutex, std::defer_lock) {}
  void run();

 private:
  using QueuedOperation = Shared::QueuedOperation;
  struct Failure {
    State state;  // Down or Damaged
    std::string why;
  };
  static Failure failureOf(const StoreError&);

  bool hasWork() const { return shared_.stopRequested || !shared_.queue.empty(); }
  bool groupIsDue() const {
    return shared_.stopRequested || shared_.awaited > 0 || shared_.queue.size() >= kLargestGroup;
  }
  void waitForWork();
  bool shouldStop() const { return shared_.stopRequested && (shared_.queue.empty() || state_ != State::Up); }
  void commitGroup();
  void takeGroup();
  std::optional<Failure> apply(std::vector<OperationResult>&);
  void recordCommit(std::uint64_t commits, Time took, std::uint64_t bytesOnDisk);
  void deliver(std::vector<OperationResult>&&);
  void tryReopen();
  void reopen();
  void finish();
  void changeState(State, const std::string& why);
  void failOperations(std::vector<QueuedOperation>&);
  void failQueuedOperations();
  void scheduleRetry();

  Shared& shared_;
  State state_;
  std::unique_lock<std::mutex> lock_;
  // Operations of failed commits; applied before any other once the store is open again.
  Backlog backlog_;
  Time retryDelay_ = kMinRetryDelay;  // reset by the first successful commit, not by reopening the store
  Time retryAt_{};
};

GroupCommitWriter::GroupCommitWriter(event_base* base, const IdempotencyStoreSettings& s,
                                     StateCallback changed, FileHook* hook)
    : onStateChange_(std::move(changed)), shared_(std::make_shared<Shared>(s, hook)) {
  try {
    shared_->store = std::make_unique<IdempotencyStore>(shared_->files, s);
    shared_->state = State::Up;
    shared_->recovered = shared_->store->recovered();
  } catch (const StoreError& e) {
    if (e.kind != StoreError::Kind::Failed) throw;
    shared_->why = e.what();
  }
  resultsReady_.reset(event_new(
      base, shared_->wakeupFd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<GroupCommitWriter*>(self)->deliverResults(); },
      this));
  event_add(resultsReady_.get(), nullptr);
  std::thread([shared = shared_] { WriterThread(*shared).run(); }).detach();
}

GroupCommitWriter::~GroupCommitWriter() {
  std::unique_lock<std::mutex> lock(shared_->mutex);
  shared_->stopRequested = true;
  shared_->workArrived.notify_all();
  // The wait is bounded so that a hanging disk does not block process exit.
  shared_->threadEnded.wait_for(lock, kShutdownTimeout, [this] { return shared_->stopped; });
}

GroupCommitWriter::Ticket GroupCommitWriter::submit(Operation o, Completion done) {
  auto ticket = std::make_shared<TicketState>();
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    shared_->queue.push_back({std::move(o), std::move(done), ticket, monotonic()});
    ++shared_->awaited;
  }
  shared_->workArrived.notify_one();
  return ticket;
}
void GroupCommitWriter::submitUnacknowledged(Operation o) {
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    if (shared_->queue.size() >= kMaxUnacknowledged) {
      ++shared_->statistics.lost;
      return;
    }
    shared_->queue.push_back({std::move(o), {}, {}, monotonic()});
    // The thread is woken when the queue stops being empty and when it holds a full group; in
    // between it waits for kUnacknowledgedWait by itself.
    if (shared_->queue.size() != 1 && shared_->queue.size() != kLargestGroup) return;
  }
  shared_->workArrived.notify_one();
}

void GroupCommitWriter::WriterThread::run() {
  scheduleRetry();
  lock_.lock();
  for (;;) {
    waitForWork();
    if (shouldStop()) break;
    if (state_ == State::Up)
      commitGroup();
    else
      tryReopen();
  }
  finish();
}

void GroupCommitWriter::WriterThread::waitForWork() {
  const auto workAvailable = [this] { return hasWork(); };
  if (state_ == State::Damaged) {
    shared_.workArrived.wait(lock_, workAvailable);
    return;
  }
  if (state_ == State::Down) {
    const Time now = monotonic();
    if (now < retryAt_) shared_.workArrived.wait_for(lock_, retryAt_ - now, workAvailable);
    return;
  }
  shared_.workArrived.wait(lock_, workAvailable);
  if (groupIsDue()) return;
  const Time waited = monotonic() - shared_.queue.front().submittedAt;
  if (waited >= kUnacknowledgedWait) return;
  shared_.workArrived.wait_for(lock_, kUnacknowledgedWait - waited, [this] { return groupIsDue(); });
}

void GroupCommitWriter::WriterThread::commitGroup() {
  takeGroup();
  shared_.commitStartedAt = monotonic();
  lock_.unlock();
  std::vector<OperationResult> results;
  const Time startedAt = monotonic();
  const std::uint64_t commitsBefore = shared_.store->commits();
  const std::optional<Failure> failure = apply(results);
  const Time took = monotonic() - startedAt;
  const bool readSize = !failure && shared_.store->commits() % kCommitsPerSizeReading == 0;
  const std::uint64_t bytesOnDisk = readSize ? shared_.store->bytesOnDisk() : 0;
  lock_.lock();
  if (failure) {
    failOperations(shared_.committing);
    changeState(failure->state, failure->why);
    scheduleRetry();
    return;
  }
  retryDelay_ = kMinRetryDelay;
  recordCommit(shared_.store->commits() - commitsBefore, took, bytesOnDisk);
  deliver(std::move(results));
}

void GroupCommitWriter::WriterThread::takeGroup() {
  std::deque<QueuedOperation>& queue = shared_.queue;
  const auto end = queue.begin() + static_cast<std::ptrdiff_t>(std::min(queue.size(), kLargestGroup));
  shared_.committing.assign(std::make_move_iterator(queue.begin()), std::make_move_iterator(end));
  queue.erase(queue.begin(), end);
  for (const QueuedOperation& queued : shared_.committing)
    if (queued.completion) --shared_.awaited;
}

// Called without the mutex.
std::optional<GroupCommitWriter::WriterThread::Failure> GroupCommitWriter::WriterThread::apply(
    std::vector<OperationResult>& results) {
  std::vector<Operation> operations;
  operations.reserve(shared_.committing.size());
  for (const QueuedOperation& queued : shared_.committing) operations.push_back(queued.operation);
  try {
    results = shared_.store->apply(operations);
  } catch (const StoreError& e) {
    return failureOf(e);
  }
  return std::nullopt;
}

void GroupCommitWriter::WriterThread::recordCommit(std::uint64_t commits, Time took,
                                                   std::uint64_t bytesOnDisk) {
  Statistics& statistics = shared_.statistics;
  const std::uint64_t size = shared_.committing.size();
  statistics.operations += size;
  statistics.commits += commits;
  statistics.largestGroup = std::max(statistics.largestGroup, size);
  statistics.keys = shared_.store->totals().keys;
  statistics.sessions = shared_.store->totals().sessions;
  if (bytesOnDisk > 0) statistics.bytesOnDisk = bytesOnDisk;
  statistics.lastCommit = took;
  statistics.longestCommit = std::max(statistics.longestCommit, took);
}

void GroupCommitWriter::WriterThread::deliver(std::vector<OperationResult>&& results) {
  bool anyAwaited = false;
  for (std::size_t k = 0; k < shared_.committing.size(); ++k) {
    QueuedOperation& queued = shared_.committing[k];
    if (!queued.completion) continue;
    shared_.results.push_back({std::move(queued.completion), queued.ticket, true, std::move(results[k])});
    anyAwaited = true;
  }
  shared_.committing.clear();
  if (anyAwaited) shared_.wakeLoop();
}

// Fails the queued operations and reopens the store if the backoff delay has passed. Arriving
// operations do not trigger an attempt.
void GroupCommitWriter::WriterThread::tryReopen() {
  failQueuedOperations();
  if (state_ == State::Damaged || monotonic() < retryAt_) return;
  lock_.unlock();
  std::optional<Failure> failure;
  try {
    reopen();
  } catch (const StoreError& e) {
    shared_.store.reset();
    failure = failureOf(e);
  }
  lock_.lock();
  if (!failure)
    changeState(State::Up, "");
  else if (failure->state == State::Damaged)
    changeState(State::Damaged, failure->why);
  else
    scheduleRetry();
}

// Opens the store and applies the backlog. Called without the mutex; throws StoreError.
void GroupCommitWriter::WriterThread::reopen() {
  shared_.store.reset();
  shared_.store = std::make_unique<IdempotencyStore>(shared_.files, shared_.settings);
  while (!backlog_.empty()) {
    const std::vector<Operation> oldest = backlog_.oldest(kLargestGroup);
    shared_.store->apply(oldest);
    backlog_.drop(oldest.size());
  }
}

void GroupCommitWriter::WriterThread::finish() {
  if (state_ == State::Down) failQueuedOperations();
  lock_.unlock();
  if (state_ == State::Down && !backlog_.empty()) {
    try {
      reopen();                    // last attempt to record the backlog
    } catch (const StoreError&) {  // NOLINT(bugprone-empty-catch): logged when the store went down
    }
  }
  shared_.store.reset();
  lock_.lock();
  shared_.stopped = true;
  shared_.threadEnded.notify_all();
}

GroupCommitWriter::WriterThread::Failure GroupCommitWriter::WriterThread::failureOf(const StoreError& error) {
  const bool transient = error.kind != StoreError::Kind::Damaged && error.kind != StoreError::Kind::Newer;
  return {transient ? State::Down : State::Damaged, error.what()};
}

void GroupCommitWriter::WriterThread::changeState(State state, const std::string& why) {
  state_ = state;
  shared_.stateChanges.push_back({state, why, shared_.store ? shared_.store->recovered() : StoreRecovery{}});
  shared_.wakeLoop();
}

void GroupCommitWriter::WriterThread::failOperations(std::vector<QueuedOperation>& operations) {
  for (QueuedOperation& queued : operations) {
    ++shared_.statistics.lost;
    backlog_.add(std::move(queued.operation));
    if (queued.completion)
      shared_.results.push_back({std::move(queued.completion), queued.ticket, false, {}});
  }
  operations.clear();
  shared_.wakeLoop();
}

void GroupCommitWriter::WriterThread::failQueuedOperations() {
  std::vector<QueuedOperation> all(std::make_move_iterator(shared_.queue.begin()),
                                   std::make_move_iterator(shared_.queue.end()));
  shared_.queue.clear();
  shared_.awaited = 0;
  if (!all.empty()) failOperations(all);
}

void GroupCommitWriter::WriterThread::scheduleRetry() {
  retryAt_ = monotonic() + retryDelay_;
  retryDelay_ = std::min(2 * retryDelay_, kMaxRetryDelay);
}

void GroupCommitWriter::deliverResults() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t n = read(shared_->wakeupFd, &count, sizeof count);
  std::vector<Shared::CommitResult> results;
  std::vector<Shared::StateChange> changes;
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    results.swap(shared_->results);
    changes.swap(shared_->stateChanges);
  }
  for (const Shared::StateChange& change : changes) {
    shared_->state = change.state;
    shared_->why = change.why;
    if (change.state == State::Up) shared_->recovered = change.recovered;
    if (onStateChange_) onStateChange_(change.state, change.why);
  }
  // Each ticket is checked just before its completion is called, since a completion may release the
  // ticket of another result.
  for (Shared::CommitResult& result : results)
    if (!result.ticket.expired()) result.completion(result.durable, std::move(result.result));
}

GroupCommitWriter::State GroupCommitWriter::state() const { return shared_->state; }
const std::string& GroupCommitWriter::failureReason() const { return shared_->why; }
const StoreRecovery& GroupCommitWriter::recovered() const { return shared_->recovered; }
Time GroupCommitWriter::currentCommitAge() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return shared_->committing.empty() ? Time(0) : monotonic() - shared_->commitStartedAt;
}
std::size_t GroupCommitWriter::pendingOperations() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return shared_->queue.size() + shared_->committing.size();
}
GroupCommitWriter::Statistics GroupCommitWriter::statistics() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return shared_->statistics;
}

}  // namespace sablespur::durability
