// A short life of a ledger, with what it had promised by then: for tests that end it at any moment, and for
// the sweep.
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

// What an apply() that has returned promises about a key, or a session.
struct Fact {
  bool intent = false;  // it may have been sent: it must not run as if it were new
  Time asked{};         // when it was first asked, in machine time
  bool served = false;  // its answer is kept
  bool free = false;    // none of it ran: it may run anew
  std::string answer;
};
struct Facts {
  std::map<std::string, Fact> keys;
  std::map<std::uint64_t, std::int64_t> sessions;
};

// The machine's time as the test has it.
struct TestTime {
  std::string boot = "boot-1";
  std::int64_t us = 1000000, wallMs = 1767225600000;
  durability::MachineTime operator()() const { return {boot, us, wallMs}; }
  void pass(Time t) {
    us += t.count();
    wallMs += t.count() / 1000;
  }
};

struct Recorded {
  durability::FileOp op;
  std::string path, bytes, to;  // names within the directory
  std::uint64_t at = 0;
  bool failed = false;      // it was made to fail
  std::size_t carried = 0;  // failed: of its bytes
};

// Sees every operation; one of them, by number, may be made to fail.
class Recorder final : public durability::FileHook {
 public:
  explicit Recorder(std::string dir) : dir_(std::move(dir)) {}
  Result before(durability::FileOp, const std::string& path, std::string_view bytes, std::uint64_t at,
                const std::string& to) override;
  // Fails number `n` (counted from 0), and all that follow while `lasting`; `carried` of its bytes are
  // written.
  void failAt(std::size_t n, bool lasting, std::size_t carried = 0);
  // Fails `count` operations from number `first` on, then works again; `roomOnly`: of those alone that need
  // room on the disk.
  void failWindow(std::size_t first, std::size_t count, bool roomOnly, std::size_t carried);
  void mend() { failAt(SIZE_MAX, false); }
  std::size_t count() const;
  bool failed() const;
  std::vector<Recorded> recorded() const;

 private:
  std::string inner(const std::string& path) const;
  const std::string dir_;
  mutable std::mutex mutex_;
  std::vector<Recorded> all_;
  std::size_t failFrom_ = SIZE_MAX, failUntil_ = SIZE_MAX, carried_ = 0;
  bool roomOnly_ = false, failed_ = false;
};

// Steps of the life; each may throw StoreError, after which the facts are as they were.
class Life {
 public:
  Life(durability::Files&, std::string dir, TestTime&);
  void open();
  void close() { ledger_.reset(); }
  bool isOpen() const { return ledger_ != nullptr; }
  // One keyed write from its asking to its last word; `how` picks what becomes of it.
  void write(int number, int how);
  void compact();
  const Facts& facts() const { return facts_; }
  durability::IdempotencyStore& ledger() { return *ledger_; }

 private:
  durability::Files& files_;
  const std::string dir_;
  TestTime& time_;
  std::unique_ptr<durability::IdempotencyStore> ledger_;
  Facts facts_;
};

constexpr int kWays = 6;
// The whole of it: writes, a compaction, a restart, more writes. Calls `after` when facts were added.
void live(Life&, TestTime&, const std::function<void()>& after = {});

// The same life on a disk that fails for a while: what fails is opened again until it opens, as the writer's
// thread does, and the life goes on with the next write.
void liveThroughFailures(Life&, TestTime&, const std::function<void()>& after);

// What is not as it was promised; empty: all of it is. `time` is that of the look.
std::string broken(const Facts&, durability::IdempotencyStore&, const TestTime&);

class TemporaryDirectory {  // of its own, in memory where the machine has that; gone at the end
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  const std::string path;
};

}  // namespace sablespur::test
