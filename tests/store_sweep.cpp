#include "store_sweep.hpp"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <pcg_random.hpp>
#include <random>
#include <thread>

#include "store_run.hpp"

namespace sablespur::test {
namespace {

using namespace durability;
namespace fs = std::filesystem;

constexpr std::size_t kSector = 512;

struct FileState {
  std::string bytes;
  std::size_t synced = 0;    // this many bytes are durable
  bool nameDurable = false;  // the directory entry is durable
  // After a failed fsync the kernel may mark dirty pages as clean without having written them. From
  // this offset on, no later sync of the file makes its bytes durable.
  std::size_t neverSyncedFrom = SIZE_MAX;
};
using DiskState = std::map<std::string, FileState>;  // by path within the store's directory

// Applies what a failed operation leaves on the disk.
void applyFailedOperation(DiskState& d, const RecordedOperation& r, std::size_t bytesWritten) {
  const auto file = d.find(r.path);
  if (r.op == FileOp::Sync && file != d.end())
    file->second.neverSyncedFrom = std::min(file->second.neverSyncedFrom, file->second.synced);
  const std::string part = r.bytes.substr(0, std::min(bytesWritten, r.bytesWritten));
  if (part.empty()) return;
  std::string& bytes = d[r.path].bytes;
  const std::size_t at = r.op == FileOp::Append ? bytes.size() : r.at;
  if (bytes.size() < at + part.size()) bytes.resize(at + part.size());
  bytes.replace(at, part.size(), part);
}

// Applies an operation to the disk; of a write, its first `bytesWritten` bytes.
void applyOperation(DiskState& d, const RecordedOperation& r, std::size_t bytesWritten) {
  if (r.failed) return applyFailedOperation(d, r, bytesWritten);
  FileState* const c = r.op == FileOp::Remove || r.op == FileOp::MakeDirectory ? nullptr : &d[r.path];
  switch (r.op) {
    case FileOp::Open:
      if (r.at == 1) *c = {};
      break;
    case FileOp::Append:
      c->bytes += r.bytes.substr(0, bytesWritten);
      break;
    case FileOp::Sync:
      c->synced = std::min(c->bytes.size(), std::max(c->synced, c->neverSyncedFrom));
      c->nameDurable = true;
      break;
    case FileOp::Overwrite:
      if (c->bytes.size() < r.at + bytesWritten) c->bytes.resize(r.at + bytesWritten);
      c->bytes.replace(r.at, bytesWritten, r.bytes.substr(0, bytesWritten));
      break;
    case FileOp::Truncate:
      c->bytes.resize(r.at);
      c->synced = std::min(c->synced, c->bytes.size());
      if (c->bytes.size() <= c->neverSyncedFrom) c->neverSyncedFrom = SIZE_MAX;
      break;
    case FileOp::Rename: {
      FileState moved = d[r.path];
      d.erase(r.path);
      d[r.to] = std::move(moved);
      break;
    }
    case FileOp::Remove:
      d.erase(r.path);
      break;
    case FileOp::MakeDirectory:
      break;
  }
}

void writeFiles(const DiskState& d, const std::string& dir) {
  fs::remove_all(dir);
  fs::create_directory(dir);
  for (const auto& [name, c] : d) std::ofstream(dir + "/" + name, std::ios::binary) << c.bytes;
}

// The disk after a power loss: everything that was not synced is lost.
DiskState afterPowerLoss(const DiskState& d) {
  DiskState left;
  for (const auto& [name, c] : d)
    if (c.nameDurable || name == "DURABLE")
      left[name] = {c.bytes.substr(0, c.synced), c.synced, true, SIZE_MAX};
  return left;
}

enum class RecoveryOutcome { Intact, DamageReported, GuaranteeViolated };
struct RecoveryResult {
  RecoveryOutcome outcome = RecoveryOutcome::Intact;
  std::string reason;
  bool fileNamed = false;
};
// Opens the store from this disk, `later` after `time`, and checks the guarantees.
RecoveryResult reopenAndCheck(const DiskState& d, const std::string& dir, const Guarantees& guarantees,
                              TestTime time, Time later) {
  writeFiles(d, dir);
  time.advance(later);
  Files files;
  IdempotencyStoreSettings s;
  s.directory = dir;
  try {
    IdempotencyStore store(files, s, [&] { return time(); });
    const std::string reason = findViolation(guarantees, store, time);
    return {reason.empty() ? RecoveryOutcome::Intact : RecoveryOutcome::GuaranteeViolated, reason, false};
  } catch (const StoreError& e) {
    return {e.kind == StoreError::Kind::Damaged ? RecoveryOutcome::DamageReported
                                                : RecoveryOutcome::GuaranteeViolated,
            e.what(), !e.file.empty()};
  }
}

// The guarantees that hold once the first `operations` file operations of the workload are done.
struct GuaranteePoint {
  std::size_t operations;
  Guarantees guarantees;
  TestTime time;
};

// Runs one workload with a failing window and cuts it off at random bytes.
void crashDuringFailures(pcg64& random, std::size_t operations, FailureSweepResult& result) {
  constexpr std::size_t kLongestWindow = 60, kOperationsAfterWindow = 60;  // operations
  constexpr int kCrashPoints = 8;
  const auto randomUpTo = [&](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  const TemporaryDirectory folder;
  const std::string dir = folder.path + "/store";
  RecordingFileHook recorder(dir);
  const std::size_t from = randomUpTo(operations - 1), count = 1 + randomUpTo(kLongestWindow - 1);
  recorder.failWindow(from, count, randomUpTo(1) == 0, randomUpTo(40));
  std::vector<GuaranteePoint> guaranteePoints;
  {
    Files files(&recorder);
    TestTime time;
    StoreWorkload workload(files, dir, time);
    runWorkloadWithFailures(workload, time, [&] {
      guaranteePoints.push_back({recorder.count(), workload.guarantees(), time});
    });
  }
  const std::vector<RecordedOperation> all = recorder.operations();
  for (const RecordedOperation& r : all) result.failedOperations += r.failed;
  ++result.windows;
  std::vector<std::size_t> crashPoints(kCrashPoints);
  for (std::size_t& crashPoint : crashPoints)
    crashPoint = std::min(from + randomUpTo(count + kOperationsAfterWindow), all.size());
  std::sort(crashPoints.begin(), crashPoints.end());
  DiskState disk;
  std::size_t done = 0;
  for (const std::size_t crashPoint : crashPoints) {
    for (; done < crashPoint; ++done) applyOperation(disk, all[done], all[done].bytes.size());
    GuaranteePoint latest{0, {}, {}};
    for (const GuaranteePoint& p : guaranteePoints)
      if (p.operations <= crashPoint) latest = p;
    DiskState afterProcessCrash = disk;
    if (crashPoint < all.size() && !all[crashPoint].bytes.empty())
      applyOperation(afterProcessCrash, all[crashPoint], randomUpTo(all[crashPoint].bytes.size() - 1));
    const auto runTrial = [&](const DiskState& d, std::size_t FailureSweepResult::*counter) {
      const RecoveryResult recovery = reopenAndCheck(d, folder.path + "/copy", latest.guarantees, latest.time,
                                                     std::chrono::milliseconds(500));
      ++(result.*counter);
      if (recovery.outcome == RecoveryOutcome::Intact) return;
      ++result.violations;
      if (result.firstViolation.empty())
        result.firstViolation = recovery.reason + " (operations " + std::to_string(from) + " to " +
                                std::to_string(from + count) + " fail, cut off in operation " +
                                std::to_string(crashPoint) + ")";
    };
    runTrial(afterProcessCrash, &FailureSweepResult::processCrashes);
    runTrial(afterPowerLoss(disk), &FailureSweepResult::powerLosses);
  }
}

}  // namespace

FailureSweepResult sweepFailures(std::size_t windows, std::uint64_t seed) {
  std::size_t operations = 0;
  {
    const TemporaryDirectory folder;
    RecordingFileHook recorder(folder.path + "/store");
    Files files(&recorder);
    TestTime time;
    StoreWorkload workload(files, folder.path + "/store", time);
    runWorkloadWithFailures(workload, time, [] {});
    operations = recorder.count();
  }
  FailureSweepResult result;
  for (std::size_t window = 0; window < windows; ++window) {
    pcg64 random(seed, window);
    crashDuringFailures(random, operations, result);
  }
  return result;
}

SweepResult sweep(double share, std::uint64_t seed, int threads) {
  SweepResult result;
  std::vector<GuaranteePoint> guaranteePoints;
  std::vector<RecordedOperation> all;
  {
    const TemporaryDirectory folder;
    RecordingFileHook recorder(folder.path + "/store");
    Files files(&recorder);
    TestTime time;
    StoreWorkload workload(files, folder.path + "/store", time);
    runWorkload(workload, time, [&] {
      guaranteePoints.push_back({recorder.count(), workload.guarantees(), time});
    });
    all = recorder.operations();
  }
  result.operations = all.size();
  for (const RecordedOperation& r : all) result.bytes += r.bytes.size();
  const auto latestGuarantees = [&](std::size_t operations) -> const GuaranteePoint& {
    std::size_t k = 0;
    while (k + 1 < guaranteePoints.size() && guaranteePoints[k + 1].operations <= operations) ++k;
    return guaranteePoints[k];
  };
  // The clock may have advanced since the last guarantee was noted, so the check takes place later
  // than any step in progress.
  const Time kWithinWindow = std::chrono::milliseconds(500), kAfterWindow = std::chrono::seconds(3);

  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  const auto count = [&](const RecoveryResult& recovery, bool damageMayBeReported) {
    if (recovery.outcome == RecoveryOutcome::Intact) ++result.recovered;
    if (recovery.outcome == RecoveryOutcome::DamageReported) {
      ++result.damageReported;
      result.damageWithoutFile += !recovery.fileNamed;
      if (!damageMayBeReported) ++result.falseDamage;
    }
    result.violations += recovery.outcome == RecoveryOutcome::GuaranteeViolated;
    if ((recovery.outcome == RecoveryOutcome::GuaranteeViolated ||
         (recovery.outcome == RecoveryOutcome::DamageReported && !damageMayBeReported)) &&
        result.firstViolation.empty())
      result.firstViolation = recovery.reason;
  };
  const auto work = [&] {
    const TemporaryDirectory folder;
    const std::string dir = folder.path + "/store";
    DiskState disk;
    std::size_t done = 0;
    for (std::size_t k; (k = next++) <= all.size();) {
      pcg64 random(seed, k);  // the same trials on whichever thread they run
      const auto selected = [&] {
        return share >= 1 || std::uniform_real_distribution<>(0, 1)(random) < share;
      };
      for (; done < k; ++done) applyOperation(disk, all[done], all[done].bytes.size());
      const GuaranteePoint& p = latestGuarantees(k);
      const auto trial = [&](const DiskState& d, Time later, std::size_t SweepResult::*counter,
                             bool damageMayBeReported) {
        const RecoveryResult recovery = reopenAndCheck(d, dir, p.guarantees, p.time, later);
        const std::lock_guard<std::mutex> lock(mutex);
        ++(result.*counter);
        count(recovery, damageMayBeReported);
      };
      // The process crashes during this operation, at each of its bytes.
      const std::size_t bytes = k < all.size() ? all[k].bytes.size() : 0;
      for (std::size_t b = 0; b <= (bytes > 0 ? bytes - 1 : 0); ++b) {
        if (!selected()) continue;
        DiskState d = disk;
        if (k < all.size() && b > 0) applyOperation(d, all[k], b);
        trial(d, b % 2 ? kWithinWindow : kAfterWindow, &SweepResult::processCrashes, false);
      }
      if (selected()) trial(afterPowerLoss(disk), kWithinWindow, &SweepResult::powerLosses, false);
      // Each of the last three sectors of the file that was appended to last is replaced by zeros
      // or by the sector before it. If durable bytes were lost, opening has to report damage.
      if (k == 0 || all[k - 1].op != FileOp::Append || disk.count(all[k - 1].path) == 0) continue;
      const std::string& file = all[k - 1].path;
      const std::size_t size = disk[file].bytes.size();
      for (std::size_t s = 0; s < 3 && s * kSector < size; ++s) {
        const std::size_t from = (size - 1) / kSector * kSector;
        if (from < s * kSector) break;
        const std::size_t at = from - s * kSector, n = std::min(kSector, size - at);
        for (const bool older : {false, true}) {
          if (!selected() || (older && at < kSector)) continue;
          DiskState d = disk;
          std::string& b = d[file].bytes;
          b.replace(at, n, older ? b.substr(at - kSector, n) : std::string(n, '\0'));
          if (b == disk[file].bytes) continue;
          // A power loss may leave anything in bytes that were never durable, so that is not
          // damage.
          const bool notDurable = at >= disk[file].synced && file != "DURABLE";
          trial(d, kWithinWindow, &SweepResult::badSectors, !notDurable);
        }
      }
      // One bit of any file is flipped.
      if (all[k - 1].op == FileOp::Append)
        for (int tries = 0; tries < 4; ++tries) {
          if (!selected()) continue;
          auto it = disk.begin();
          std::advance(
              it, static_cast<long>(std::uniform_int_distribution<std::size_t>(0, disk.size() - 1)(random)));
          if (it->second.bytes.empty() || it->first == "LOG" || it->first == "TORN") continue;
          DiskState d = disk;
          std::string& b = d[it->first].bytes;
          b[std::uniform_int_distribution<std::size_t>(0, b.size() - 1)(random)] ^=
              static_cast<char>(1 << std::uniform_int_distribution<int>(0, 7)(random));
          trial(d, kWithinWindow, &SweepResult::bitFlips, true);
        }
    }
  };
  std::vector<std::thread> pool;
  for (int t = 0; t < threads; ++t) pool.emplace_back(work);
  for (std::thread& t : pool) t.join();
  return result;
}

}  // namespace sablespur::test
