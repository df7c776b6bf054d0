#include "store_run.hpp"

#include <stdlib.h>

#include <filesystem>

namespace sablespur::test {

using namespace durability;
namespace fs = std::filesystem;

FileHook::Result RecordingFileHook::before(FileOp op, const std::string& path, std::string_view bytes,
                                           std::uint64_t at, const std::string& to) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::size_t n = operations_.size();
  operations_.push_back({op, relativePath(path), std::string(bytes), relativePath(to), at});
  if (n < failFrom_ || n >= failUntil_) return {};
  const bool needsSpace =
      op == FileOp::Open || op == FileOp::Append || op == FileOp::Overwrite || op == FileOp::MakeDirectory;
  if (onlySpaceAllocating_ && !needsSpace) return {};
  failed_ = true;
  operations_.back().failed = true;
  operations_.back().bytesWritten = std::min(bytesWritten_, bytes.size());
  return {leveldb::Status::IOError(path, "made to fail"), std::min(bytesWritten_, bytes.size())};
}
std::string RecordingFileHook::relativePath(const std::string& path) const {
  return path.rfind(dir_ + "/", 0) == 0 ? path.substr(dir_.size() + 1) : path == dir_ ? "" : path;
}
void RecordingFileHook::failAt(std::size_t n, bool lasting, std::size_t bytesWritten) {
  const std::lock_guard<std::mutex> lock(mutex_);
  failFrom_ = n;
  failUntil_ = lasting || n == SIZE_MAX ? SIZE_MAX : n + 1;
  onlySpaceAllocating_ = false;
  bytesWritten_ = bytesWritten;
}
void RecordingFileHook::failWindow(std::size_t first, std::size_t count, bool onlySpaceAllocating,
                                   std::size_t bytesWritten) {
  const std::lock_guard<std::mutex> lock(mutex_);
  failFrom_ = first;
  failUntil_ = first + count;
  onlySpaceAllocating_ = onlySpaceAllocating;
  bytesWritten_ = bytesWritten;
}
std::size_t RecordingFileHook::count() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return operations_.size();
}
bool RecordingFileHook::failed() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return failed_;
}
std::vector<RecordedOperation> RecordingFileHook::operations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return operations_;
}

StoreWorkload::StoreWorkload(Files& files, std::string dir, TestTime& time)
    : files_(files), dir_(std::move(dir)), time_(time) {}

void StoreWorkload::open() {
  IdempotencyStoreSettings s;
  s.directory = dir_;
  s.maxResponseBytes = 200;
  store_ = std::make_unique<IdempotencyStore>(files_, s, [this] { return time_(); });
}

void StoreWorkload::write(int number, int outcome) {
  const std::string key = "key-" + std::to_string(number), id = "id-" + std::to_string(number);
  const auto session = static_cast<std::uint64_t>(number % 3 + 1);
  const std::int64_t position = time_.wallMs;
  store_->apply({BeginKeyedRequest{{id, key, "order", 3, kWindow}}});
  KeyGuarantee& guarantee = guarantees_.keys[key];
  guarantee.intentRecorded = true;
  guarantee.requestedAt = Time(time_.us);
  store_->apply({RecordAttemptSent{key, id, "s-1", 0}});
  time_.advance(Time(1000));
  const std::string answer =
      "the row of " + key + std::string(static_cast<std::size_t>(number % 5) * 20, '.');
  switch (outcome % kWriteOutcomes) {
    case 0:
    case 1:  // served
      store_->apply({RecordAttemptEnd{key, id, 0, AttemptEffect::Executed},
                     CompleteRequest{key, id, Outcome::Served, answer, position, session, true}});
      guarantee.served = true;
      guarantee.answer = answer;
      guarantees_.sessions[session] = position;
      store_->apply({RecordResponseDelivered{key, id}});
      break;
    case 2:                          // rejected by every endpoint
      guarantee.notExecuted = true;  // whether or not the record of it becomes durable
      store_->apply({RecordAttemptEnd{key, id, 0, AttemptEffect::NotExecuted},
                     CompleteRequest{key, id, Outcome::Rejected, "", 0, 0, false},
                     RecordResponseDelivered{key, id}});
      break;
    case 3:  // timed out, then failed
      store_->apply({RecordAttemptEnd{key, id, 0, AttemptEffect::MayHaveExecuted},
                     CompleteRequest{key, id, Outcome::Failed, "", 0, 0, true},
                     RecordResponseDelivered{key, id}});
      break;
    case 4:  // its client disconnects
      store_->apply({AbandonRequest{key, id, true}});
      break;
    default:  // no further record, as after a crash
      break;
  }
}

void StoreWorkload::compact() {
  close();
  durability::compact(files_, dir_);
  open();
}

void runWorkload(StoreWorkload& workload, TestTime& time, const std::function<void()>& after) {
  const auto stepDone = [&] {
    if (after) after();
  };
  workload.open();
  stepDone();
  int n = 0;
  for (; n < 8; ++n) {
    workload.write(n, n);
    stepDone();
    time.advance(std::chrono::milliseconds(170));
  }
  workload.compact();
  stepDone();
  for (; n < 14; ++n) {
    workload.write(n, n);
    stepDone();
    time.advance(std::chrono::milliseconds(170));
  }
  workload.close();
  workload.open();
  stepDone();
  for (; n < 18; ++n) {
    workload.write(n, n + 3);
    stepDone();
  }
  workload.compact();
  stepDone();
  workload.close();
}

void runWorkloadWithFailures(StoreWorkload& workload, TestTime& time, const std::function<void()>& after) {
  constexpr int kMaxOpenAttempts = 1000;  // each uses up at least one operation of the failing window
  const auto reopen = [&] {
    for (int tries = 0; tries < kMaxOpenAttempts; ++tries) try {
        workload.close();
        workload.open();
        return after();
      } catch (const StoreError& e) {
        if (e.kind != StoreError::Kind::Failed) throw;
      }
    throw std::runtime_error("the store does not open again");
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
    step([&] { workload.write(n, n); });
    time.advance(std::chrono::milliseconds(170));
    if (n % 7 == 6) step([&] { workload.compact(); });
    if (n == 12) reopen();
  }
  workload.close();
}

std::string findViolation(const Guarantees& guarantees, IdempotencyStore& store, const TestTime& time) {
  for (const auto& [key, guarantee] : guarantees.keys) {
    const OperationResult s = store.apply({BeginKeyedRequest{{"look-" + key, key, "order", 3, kWindow}}})[0];
    const Time age = Time(time.us) - guarantee.requestedAt;
    if (guarantee.served && (s.disposition != Disposition::Replay || s.response != guarantee.answer))
      return key + " was served, but its repeat gets " + name(s.disposition);
    if (guarantee.served) continue;
    if (guarantee.intentRecorded && !guarantee.notExecuted && s.disposition == Disposition::Execute)
      return key + " may have been sent, but is taken for a new key";
    if (s.disposition == Disposition::Retry && (age >= kWindow || s.sinceFirstSend < age))
      return key + " would be retried " + std::to_string(age.count()) + " us after it was first sent";
    if (s.disposition == Disposition::Replay && !guarantee.notExecuted &&
        s.response.find(key) == std::string::npos)
      return key + " gets the answer of another key";
  }
  for (const auto& [session, position] : guarantees.sessions) {
    const OperationResult s = store.apply({ReadSessionPosition{session}})[0];
    if (s.positionMs < position)
      return "session " + std::to_string(session) + " moved back to an older position";
  }
  return "";
}

namespace {
std::string makeTemporaryDirectory() {
  std::string name =
      (fs::exists("/dev/shm") ? "/dev/shm" : fs::temp_directory_path().string()) + "/sablespur-store-XXXXXX";
  if (!mkdtemp(name.data())) std::abort();
  return name;
}
}  // namespace
TemporaryDirectory::TemporaryDirectory() : path(makeTemporaryDirectory()) {}
TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  fs::remove_all(path, ignored);
}

}  // namespace sablespur::test
