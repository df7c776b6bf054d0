#include "durability/group_commit_writer.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "durability/backlog.hpp"

namespace sablespur::durability {
namespace {

constexpr std::size_t kLargestGroup = 1024;  // bounds how long one commit can take
constexpr Time kRetryLeast = std::chrono::milliseconds(100), kRetryMost = std::chrono::seconds(5);
constexpr Time kLastWait = std::chrono::seconds(1);
constexpr std::size_t kMostNotes =
    65536;  // guards the memory while a disk hangs: a note that is lost makes nobody freer
// Notes wait so long for a commit that somebody waits for, and then have one of their own.
constexpr Time kNoteWait = std::chrono::milliseconds(50);

Time monotonic() {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace

// Outlives the Writer where the disk hangs: its thread cannot be ended then.
struct GroupCommitWriter::Shared {
  struct Piece {
    Operation operation;
    Completion done;  // empty: a note
    std::weak_ptr<Interest> wanted;
    Time since{};
  };
  struct CommitResult {
    Completion done;
    std::weak_ptr<Interest> wanted;
    bool durable;
    OperationResult said;
  };
  struct Change {
    State state;
    std::string why;
    StoreRecovery recovered;
  };

  explicit Shared(const IdempotencyStoreSettings& s, FileHook* hook)
      : settings(s), files(hook), wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (wake < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  ~Shared() { close(wake); }

  const IdempotencyStoreSettings settings;
  Files files;
  const int wake;
  mutable std::mutex mutex;
  std::condition_variable more, ended;
  std::deque<Piece> waiting;
  std::size_t asked = 0;     // of those that wait, somebody waits for
  Time began{};              // the commit under way
  std::vector<Piece> group;  // under way
  std::vector<CommitResult> results;
  std::vector<Change> changes;
  bool stop = false, over = false;
  Statistics figures;
  std::unique_ptr<IdempotencyStore> ledger;  // the thread's, once it runs

  // The loop's copies.
  State state = State::Down;
  std::string why;
  StoreRecovery recovered;

  void tell() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(wake, &one, sizeof one);
  }
};

GroupCommitWriter::GroupCommitWriter(event_base* base, const IdempotencyStoreSettings& s,
                                     StateCallback changed, FileHook* hook)
    : onStateChange_(std::move(changed)), shared_(std::make_shared<Shared>(s, hook)) {
  try {
    shared_->ledger = std::make_unique<IdempotencyStore>(shared_->files, s);
    shared_->state = State::Up;
    shared_->recovered = shared_->ledger->recovered();
  } catch (const StoreError& e) {
    if (e.kind != StoreError::Kind::Failed) throw;
    shared_->why = e.what();
  }
  resultsReady_.reset(event_new(
      base, shared_->wake, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<GroupCommitWriter*>(self)->deliverResults(); },
      this));
  event_add(resultsReady_.get(), nullptr);
  std::thread([shared = shared_] { runWriterThread(shared); }).detach();
}

GroupCommitWriter::~GroupCommitWriter() {
  std::unique_lock<std::mutex> lock(shared_->mutex);
  shared_->stop = true;
  shared_->more.notify_all();
  // A disk that hangs must not keep the process from ending.
  shared_->ended.wait_for(lock, kLastWait, [this] { return shared_->over; });
}

GroupCommitWriter::Ticket GroupCommitWriter::submit(Operation o, Completion done) {
  auto ticket = std::make_shared<Interest>();
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    shared_->waiting.push_back({std::move(o), std::move(done), ticket, monotonic()});
    ++shared_->asked;
  }
  shared_->more.notify_one();
  return ticket;
}
void GroupCommitWriter::submitUnacknowledged(Operation o) {
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    if (shared_->waiting.size() >= kMostNotes) {
      ++shared_->figures.lost;
      return;
    }
    shared_->waiting.push_back({std::move(o), {}, {}, monotonic()});
    // Its thread sleeps while there is nothing; once it is awake it looks after notes by itself.
    if (shared_->waiting.size() != 1 && shared_->waiting.size() != kLargestGroup) return;
  }
  shared_->more.notify_one();
}

void GroupCommitWriter::runWriterThread(const std::shared_ptr<Shared>& shared) {
  Shared& s = *shared;
  // What failed commits were to record; it is applied before anything else once the disk is back.
  Backlog backlog;
  Time retry = kRetryLeast;  // starts anew with the first group that is committed, not with the opening
  Time retryAt{};
  const auto backOff = [&] {
    retryAt = monotonic() + retry;
    retry = std::min(2 * retry, kRetryMost);
  };
  backOff();
  State state = s.state;
  std::unique_lock<std::mutex> lock(s.mutex);
  const auto turn = [&](State to, const std::string& why) {
    state = to;
    s.changes.push_back({to, why, s.ledger ? s.ledger->recovered() : StoreRecovery{}});
    s.tell();
  };
  const auto lose = [&](std::vector<Shared::Piece>& pieces) {
    for (Shared::Piece& p : pieces) {
      ++s.figures.lost;
      backlog.add(std::move(p.operation));
      if (p.done) s.results.push_back({std::move(p.done), p.wanted, false, {}});
    }
    pieces.clear();
    s.tell();
  };
  const auto loseWaiting = [&] {
    std::vector<Shared::Piece> all(std::make_move_iterator(s.waiting.begin()),
                                   std::make_move_iterator(s.waiting.end()));
    s.waiting.clear();
    s.asked = 0;
    if (!all.empty()) lose(all);
  };
  // Opens the ledger and applies the backlog; without the lock.
  const auto reopen = [&] {
    s.ledger.reset();
    s.ledger = std::make_unique<IdempotencyStore>(s.files, s.settings);
    while (!backlog.empty()) {
      const std::vector<Operation> part = backlog.oldest(kLargestGroup);
      s.ledger->apply(part);
      backlog.drop(part.size());
    }
  };
  for (;;) {
    const auto something = [&] { return s.stop || !s.waiting.empty(); };
    const auto ready = [&] { return s.stop || s.asked > 0 || s.waiting.size() >= kLargestGroup; };
    if (state == State::Up) {
      s.more.wait(lock, something);
      if (!ready()) {
        const Time waited = monotonic() - s.waiting.front().since;
        if (waited < kNoteWait) s.more.wait_for(lock, kNoteWait - waited, ready);
      }
    } else if (state == State::Damaged) {
      s.more.wait(lock, something);
    } else if (const Time now = monotonic(); now < retryAt) {
      s.more.wait_for(lock, retryAt - now, something);
    }
    if (s.stop && (s.waiting.empty() || state != State::Up)) break;
    if (state != State::Up) {
      loseWaiting();
      // Not at each operation that comes: the disk is tried at its own pace.
      if (state == State::Damaged || monotonic() < retryAt) continue;
      lock.unlock();
      std::string why;
      bool damaged = false;
      try {
        reopen();
      } catch (const StoreError& e) {
        s.ledger.reset();
        why = e.what();
        damaged = e.kind == StoreError::Kind::Damaged || e.kind == StoreError::Kind::Newer;
      }
      lock.lock();
      if (why.empty()) {
        turn(State::Up, "");
      } else if (damaged) {
        turn(State::Damaged, why);
      } else {
        backOff();
      }
      continue;
    }
    const std::size_t n = std::min(s.waiting.size(), kLargestGroup);
    s.group.assign(std::make_move_iterator(s.waiting.begin()),
                   std::make_move_iterator(s.waiting.begin() + static_cast<std::ptrdiff_t>(n)));
    s.waiting.erase(s.waiting.begin(), s.waiting.begin() + static_cast<std::ptrdiff_t>(n));
    for (const Shared::Piece& p : s.group) s.asked -= p.done != nullptr;
    s.began = monotonic();
    lock.unlock();
    std::vector<Operation> operations;
    operations.reserve(n);
    for (const Shared::Piece& p : s.group) operations.push_back(p.operation);
    std::vector<OperationResult> said;
    std::string why;
    bool damaged = false;
    const Time began = monotonic();
    const std::uint64_t commits = s.ledger->commits();
    try {
      said = s.ledger->apply(operations);
    } catch (const StoreError& e) {
      why = e.what();
      damaged = e.kind == StoreError::Kind::Damaged || e.kind == StoreError::Kind::Newer;
    }
    const Time took = monotonic() - began;
    const std::uint64_t bytes = why.empty() && s.ledger->commits() % 256 == 0 ? s.ledger->bytesOnDisk() : 0;
    lock.lock();
    if (!why.empty()) {
      lose(s.group);
      turn(damaged ? State::Damaged : State::Down, why);
      backOff();
      continue;
    }
    retry = kRetryLeast;
    Statistics& f = s.figures;
    f.operations += n;
    f.commits += s.ledger->commits() - commits;
    f.largestGroup = std::max<std::uint64_t>(f.largestGroup, n);
    f.keys = s.ledger->totals().keys;
    f.sessions = s.ledger->totals().sessions;
    if (bytes > 0) f.bytesOnDisk = bytes;
    f.lastCommit = took;
    f.longestCommit = std::max(f.longestCommit, took);
    bool anyone = false;
    for (std::size_t k = 0; k < n; ++k)
      if (s.group[k].done) {
        s.results.push_back({std::move(s.group[k].done), s.group[k].wanted, true, std::move(said[k])});
        anyone = true;
      }
    s.group.clear();
    if (anyone) s.tell();
  }
  if (state == State::Down) loseWaiting();
  lock.unlock();
  if (state == State::Down && !backlog.empty()) {
    try {
      reopen();                    // the last chance to record it
    } catch (const StoreError&) {  // NOLINT(bugprone-empty-catch): it was said when the store went down
    }
  }
  s.ledger.reset();
  lock.lock();
  s.over = true;
  s.ended.notify_all();
}

void GroupCommitWriter::deliverResults() {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t n = read(shared_->wake, &count, sizeof count);
  std::vector<Shared::CommitResult> results;
  std::vector<Shared::Change> changes;
  {
    const std::lock_guard<std::mutex> lock(shared_->mutex);
    results.swap(shared_->results);
    changes.swap(shared_->changes);
  }
  for (Shared::Change& c : changes) {
    shared_->state = c.state;
    shared_->why = c.why;
    if (c.state == State::Up) shared_->recovered = c.recovered;
    if (onStateChange_) onStateChange_(c.state, c.why);
  }
  // Each is looked at when its turn comes: one result may end what waits for the next.
  for (Shared::CommitResult& r : results)
    if (!r.wanted.expired()) r.done(r.durable, std::move(r.said));
}

GroupCommitWriter::State GroupCommitWriter::state() const { return shared_->state; }
const std::string& GroupCommitWriter::failureReason() const { return shared_->why; }
const StoreRecovery& GroupCommitWriter::recovered() const { return shared_->recovered; }
Time GroupCommitWriter::currentCommitAge() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return shared_->group.empty() ? Time(0) : monotonic() - shared_->began;
}
std::size_t GroupCommitWriter::pendingOperations() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return shared_->waiting.size() + shared_->group.size();
}
GroupCommitWriter::Statistics GroupCommitWriter::statistics() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return shared_->figures;
}

}  // namespace sablespur::durability
