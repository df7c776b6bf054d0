#include "store_run.hpp"

#include <stdlib.h>

#include <filesystem>

namespace sablespur::test {

using namespace durability;
namespace fs = std::filesystem;

FileHook::Result Recorder::before(FileOp op, const std::string& path, std::string_view bytes,
                                  std::uint64_t at, const std::string& to) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::size_t n = all_.size();
  all_.push_back({op, inner(path), std::string(bytes), inner(to), at});
  if (n < failFrom_ || n >= failUntil_) return {};
  const bool needsRoom =
      op == FileOp::Open || op == FileOp::Append || op == FileOp::Overwrite || op == FileOp::MakeDirectory;
  if (roomOnly_ && !needsRoom) return {};
  failed_ = true;
  all_.back().failed = true;
  all_.back().carried = std::min(carried_, bytes.size());
  return {leveldb::Status::IOError(path, "made to fail"), std::min(carried_, bytes.size())};
}
std::string Recorder::inner(const std::string& path) const {
  return path.rfind(dir_ + "/", 0) == 0 ? path.substr(dir_.size() + 1) : path == dir_ ? "" : path;
}
void Recorder::failAt(std::size_t n, bool lasting, std::size_t carried) {
  const std::lock_guard<std::mutex> lock(mutex_);
  failFrom_ = n;
  failUntil_ = lasting || n == SIZE_MAX ? SIZE_MAX : n + 1;
  roomOnly_ = false;
  carried_ = carried;
}
void Recorder::failWindow(std::size_t first, std::size_t count, bool roomOnly, std::size_t carried) {
  const std::lock_guard<std::mutex> lock(mutex_);
  failFrom_ = first;
  failUntil_ = first + count;
  roomOnly_ = roomOnly;
  carried_ = carried;
}
std::size_t Recorder::count() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return all_.size();
}
bool Recorder::failed() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return failed_;
}
std::vector<Recorded> Recorder::recorded() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return all_;
}

Life::Life(Files& files, std::string dir, TestTime& time)
    : files_(files), dir_(std::move(dir)), time_(time) {}

void Life::open() {
  IdempotencyStoreSettings s;
  s.directory = dir_;
  s.maxResponseBytes = 200;
  ledger_ = std::make_unique<IdempotencyStore>(files_, s, [this] { return time_(); });
}

void Life::write(int number, int how) {
  const std::string key = "key-" + std::to_string(number), id = "id-" + std::to_string(number);
  const auto session = static_cast<std::uint64_t>(number % 3 + 1);
  const std::int64_t position = time_.wallMs;
  ledger_->apply({BeginKeyedRequest{{id, key, "order", 3, kWindow}}});
  Fact& f = facts_.keys[key];
  f.intent = true;
  f.asked = Time(time_.us);
  ledger_->apply({RecordAttemptSent{key, id, "s-1", 0}});
  time_.pass(Time(1000));
  const std::string answer =
      "the row of " + key + std::string(static_cast<std::size_t>(number % 5) * 20, '.');
  switch (how % kWays) {
    case 0:
    case 1:  // served
      ledger_->apply({RecordAttemptEnd{key, id, 0, AttemptEffect::Executed},
                      CompleteRequest{key, id, Outcome::Served, answer, position, session, true}});
      f.served = true;
      f.answer = answer;
      facts_.sessions[session] = position;
      ledger_->apply({RecordResponseDelivered{key, id}});
      break;
    case 2:           // turned away everywhere
      f.free = true;  // whether or not that becomes durable
      ledger_->apply({RecordAttemptEnd{key, id, 0, AttemptEffect::NotExecuted},
                      CompleteRequest{key, id, Outcome::Rejected, "", 0, 0, false},
                      RecordResponseDelivered{key, id}});
      break;
    case 3:  // a time-out, then given up
      ledger_->apply({RecordAttemptEnd{key, id, 0, AttemptEffect::MayHaveExecuted},
                      CompleteRequest{key, id, Outcome::Failed, "", 0, 0, true},
                      RecordResponseDelivered{key, id}});
      break;
    case 4:  // its client goes
      ledger_->apply({AbandonRequest{key, id, true}});
      break;
    default:  // nothing more is heard of it
      break;
  }
}

void Life::compact() {
  close();
  durability::compact(files_, dir_);
  open();
}

void live(Life& life, TestTime& time, const std::function<void()>& after) {
  const auto told = [&] {
    if (after) after();
  };
  life.open();
  told();
  int n = 0;
  for (; n < 8; ++n) {
    life.write(n, n);
    told();
    time.pass(std::chrono::milliseconds(170));
  }
  life.compact();
  told();
  for (; n < 14; ++n) {
    life.write(n, n);
    told();
    time.pass(std::chrono::milliseconds(170));
  }
  life.close();
  life.open();
  told();
  for (; n < 18; ++n) {
    life.write(n, n + 3);
    told();
  }
  life.compact();
  told();
  life.close();
}

void liveThroughFailures(Life& life, TestTime& time, const std::function<void()>& after) {
  constexpr int kMostTries = 1000;  // each takes at least one operation of the failing window
  const auto reopen = [&] {
    for (int tries = 0; tries < kMostTries; ++tries) try {
        life.close();
        life.open();
        return after();
      } catch (const StoreError& e) {
        if (e.kind != StoreError::Kind::Failed) throw;
      }
    throw std::runtime_error("it does not open again");
  };
  const auto step = [&](const std::function<void()>& work) {
    try {
      work();
      after();
    } catch (const StoreError& e) {
      if (e.kind != StoreError::Kind::Failed) throw;
      reopen();
    }
  };
  reopen();
  for (int n = 0; n < 18; ++n) {
    step([&] { life.write(n, n); });
    time.pass(std::chrono::milliseconds(170));
    if (n % 7 == 6) step([&] { life.compact(); });
    if (n == 12) reopen();
  }
  life.close();
}

std::string broken(const Facts& facts, IdempotencyStore& ledger, const TestTime& time) {
  for (const auto& [key, f] : facts.keys) {
    const OperationResult s = ledger.apply({BeginKeyedRequest{{"look-" + key, key, "order", 3, kWindow}}})[0];
    const Time age = Time(time.us) - f.asked;
    if (f.served && (s.disposition != Disposition::Replay || s.response != f.answer))
      return key + " had been served, and is told " + name(s.disposition);
    if (f.served) continue;
    if (f.intent && !f.free && s.disposition == Disposition::Execute)
      return key + " may have been sent, and is taken for new";
    if (s.disposition == Disposition::Retry && (age >= kWindow || s.sinceFirstSend < age))
      return key + " would run again " + std::to_string(age.count()) + " us after it was first sent";
    if (s.disposition == Disposition::Replay && !f.free && s.response.find(key) == std::string::npos)
      return key + " is answered with another's answer";
  }
  for (const auto& [session, position] : facts.sessions) {
    const OperationResult s = ledger.apply({ReadSessionPosition{session}})[0];
    if (s.positionMs < position) return "session " + std::to_string(session) + " has gone back";
  }
  return "";
}

namespace {
std::string makeFolder() {
  std::string name =
      (fs::exists("/dev/shm") ? "/dev/shm" : fs::temp_directory_path().string()) + "/sablespur-store-XXXXXX";
  if (!mkdtemp(name.data())) std::abort();
  return name;
}
}  // namespace
TemporaryDirectory::TemporaryDirectory() : path(makeFolder()) {}
TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  fs::remove_all(path, ignored);
}

}  // namespace sablespur::test
