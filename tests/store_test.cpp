// Tests of the idempotency store across restarts, crashes, damaged files and disk errors. They run
// a part of the crash sweep; build/sablespur-store-sweep runs all of it.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include "durability/backlog.hpp"
#include "durability/inspect.hpp"
#include "durability/whole_file.hpp"
#include "engine/file_calls.hpp"
#include "store_run.hpp"
#include "store_sweep.hpp"

namespace sablespur::test {
namespace {

using namespace durability;
namespace fs = std::filesystem;

std::string readBytes(const std::string& path) {
  std::ifstream f(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(f), {}};
}
void writeBytes(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

struct StoreTest : ::testing::Test {
  const TemporaryDirectory folder;
  const std::string dir = folder.path + "/store";
  RecordingFileHook recorder{dir};
  Files files{&recorder};
  TestTime time;
  IdempotencyStoreSettings settings;

  StoreTest() {
    settings.directory = dir;
    settings.maxResponseBytes = 200;
  }
  std::unique_ptr<IdempotencyStore> open() {
    return std::make_unique<IdempotencyStore>(files, settings, [this] { return time(); });
  }
  OperationResult ask(IdempotencyStore& store, const std::string& key, const std::string& id,
                      std::uint32_t group = 3) {
    return store.apply({BeginKeyedRequest{{id, key, "order", group, kWindow}}})[0];
  }
  void serve(IdempotencyStore& store, const std::string& key, const std::string& id,
             const std::string& answer) {
    store.apply(
        {CompleteRequest{key, id, Outcome::Served, answer, 17, 0, true}, RecordResponseDelivered{key, id}});
  }
  std::string logFile() {
    for (const auto& f : fs::directory_iterator(dir))
      if (f.path().extension() == ".log" && fs::file_size(f) > 0) return f.path().string();
    return "";
  }
  StoreError error() {
    try {
      open();
    } catch (const StoreError& e) {
      return e;
    }
    return StoreError(StoreError::Kind::Failed, "it opened");
  }
};

// ---- keys across a restart ---------------------------------------------------------------------------
TEST_F(StoreTest, AServedKeyIsReplayedAfterARestart) {
  auto store = open();
  EXPECT_EQ(ask(*store, "k1", "a").disposition, Disposition::Execute);
  serve(*store, "k1", "a", "the row");
  store.reset();
  time.advance(std::chrono::seconds(60));
  store = open();
  const OperationResult s = ask(*store, "k1", "b");
  EXPECT_EQ(s.disposition, Disposition::Replay);
  EXPECT_EQ(s.response, "the row");
  EXPECT_EQ(s.positionMs, 17);
  EXPECT_EQ(ask(*store, "k1", "c", 4).disposition, Disposition::OutcomeUnknown)
      << "the key belongs to another group";
}
TEST_F(StoreTest, AResponseTooLongToStoreLeavesTheOutcomeUnknown) {
  auto store = open();
  ask(*store, "k1", "a");
  serve(*store, "k1", "a", std::string(201, 'x'));
  EXPECT_EQ(ask(*store, "k1", "b").disposition, Disposition::OutcomeUnknown);
}
TEST_F(StoreTest, AnIntentWithoutOutcomeIsRetriedOnlyWithinItsWindow) {
  auto store = open();
  ask(*store, "k1", "a");
  ask(*store, "k2", "b");
  store.reset();
  time.advance(std::chrono::milliseconds(1500));
  store = open();
  EXPECT_EQ(store->recovered().pendingKeys, 2u);
  const OperationResult s = ask(*store, "k1", "c");
  EXPECT_EQ(s.disposition, Disposition::Retry);
  EXPECT_GE(s.sinceFirstSend, std::chrono::milliseconds(1500));
  EXPECT_EQ(ask(*store, "k1", "d", 4).disposition, Disposition::OutcomeUnknown)
      << "the data servers of another group don't know the key";
  time.advance(std::chrono::milliseconds(500));
  EXPECT_EQ(ask(*store, "k2", "e").disposition, Disposition::OutcomeUnknown);
  EXPECT_EQ(ask(*store, "k1", "f").disposition, Disposition::OutcomeUnknown)
      << "the window counts from the first of all sends";
}
TEST_F(StoreTest, AKeyThatWasNotExecutedMayBeExecutedAgain) {
  auto store = open();
  ask(*store, "k1", "a");
  store->apply(
      {RecordAttemptSent{"k1", "a", "s-1", 0}, RecordAttemptEnd{"k1", "a", 0, AttemptEffect::NotExecuted},
       CompleteRequest{"k1", "a", Outcome::Rejected, "", 0, 0, false}, RecordResponseDelivered{"k1", "a"}});
  store.reset();
  time.advance(std::chrono::seconds(5));
  store = open();
  EXPECT_EQ(ask(*store, "k1", "b").disposition, Disposition::Execute);
}
// Records of attempts may be lost while the disk fails. CompleteRequest therefore says again
// whether an attempt may have been executed.
TEST_F(StoreTest, AKeyWhoseAttemptRecordWasLostIsNotExecutedAgain) {
  auto store = open();
  ask(*store, "k1", "a");
  store->apply(
      {CompleteRequest{"k1", "a", Outcome::Rejected, "", 0, 0, true}, RecordResponseDelivered{"k1", "a"}});
  time.advance(std::chrono::seconds(5));
  EXPECT_EQ(ask(*store, "k1", "b").disposition, Disposition::OutcomeUnknown);
}
TEST_F(StoreTest, TwoConcurrentRequestsKeepAKeyPendingUntilBothHaveEnded) {
  auto store = open();
  EXPECT_EQ(ask(*store, "k1", "a").disposition, Disposition::Execute);
  EXPECT_EQ(ask(*store, "k1", "b").disposition, Disposition::Retry);
  store->apply(
      {CompleteRequest{"k1", "b", Outcome::Rejected, "", 0, 0, false}, RecordResponseDelivered{"k1", "b"}});
  EXPECT_EQ(ask(*store, "k1", "c").disposition, Disposition::Retry) << "a may still be in flight";
  serve(*store, "k1", "a", "the row");
  store->apply({CompleteRequest{"k1", "c", Outcome::Failed, "", 0, 0, true}});
  EXPECT_EQ(ask(*store, "k1", "d").disposition, Disposition::Replay)
      << "a later failure does not replace the served outcome";
}
TEST_F(StoreTest, TenThousandPendingIntentsAreDecidedIndividuallyAfterARestart) {
  auto store = open();
  std::vector<Operation> all;
  for (int k = 0; k < 10000; ++k)
    all.emplace_back(
        BeginKeyedRequest{{"id" + std::to_string(k), "k" + std::to_string(k), "order", 3, kWindow}});
  store->apply(all);
  store.reset();
  time.advance(std::chrono::seconds(1));
  store = open();
  EXPECT_EQ(store->recovered().pendingKeys, 10000u);
  for (int k = 0; k < 10000; k += 97)
    EXPECT_EQ(ask(*store, "k" + std::to_string(k), "x").disposition, Disposition::Retry);
  time.advance(std::chrono::seconds(1));
  for (int k = 1; k < 10000; k += 97)
    EXPECT_EQ(ask(*store, "k" + std::to_string(k), "x").disposition, Disposition::OutcomeUnknown);
}

// ---- the clock ---------------------------------------------------------------------------------------
TEST_F(StoreTest, AWallClockStepNeitherExtendsAWindowNorExpiresAKey) {
  for (const int hours : {-1, 1, 24 * 365}) {
    const std::string key = "k" + std::to_string(hours);
    auto store = open();
    ask(*store, key, "a");
    ask(*store, key + "served", "b");
    serve(*store, key + "served", "b", "row");
    store.reset();
    time.advance(std::chrono::seconds(3));
    time.wallMs += hours * 3600 * 1000ll;
    store = open();
    EXPECT_EQ(ask(*store, key, "c").disposition, Disposition::OutcomeUnknown) << hours;
    EXPECT_EQ(ask(*store, key + "served", "d").disposition, Disposition::Replay) << hours;
  }
}
// How long the machine was off is unknown. Retries assume that it was longer than any window,
// expiry assumes that no time passed.
TEST_F(StoreTest, AfterAMachineRebootNoKeyIsRetriedAndNoneExpires) {
  settings.keyRetention = std::chrono::seconds(10);
  auto store = open();
  ask(*store, "k1", "a");
  ask(*store, "k2", "b");
  serve(*store, "k2", "b", "row");
  store.reset();
  time.boot = "boot-2";
  time.us = 5000;
  time.wallMs += 3600 * 1000;
  store = open();
  EXPECT_TRUE(store->recovered().afterGap);
  EXPECT_EQ(ask(*store, "k1", "c").disposition, Disposition::OutcomeUnknown);
  EXPECT_EQ(ask(*store, "k2", "d").disposition, Disposition::Replay);
  EXPECT_EQ(ask(*store, "k3", "e").disposition, Disposition::Execute);
  EXPECT_EQ(ask(*store, "k3", "f").disposition, Disposition::Retry)
      << "ages are known again for keys of the new boot";
}
TEST_F(StoreTest, AMachineRestoredFromASnapshotCountsAsRebooted) {
  auto store = open();
  time.advance(std::chrono::seconds(100));
  ask(*store, "k1", "a");
  store.reset();
  time.us -= 50000000;
  store = open();
  EXPECT_TRUE(store->recovered().afterGap);
  EXPECT_EQ(ask(*store, "k1", "b").disposition, Disposition::OutcomeUnknown);
}

// ---- bounds ------------------------------------------------------------------------------------------
TEST_F(StoreTest, SizeStaysBoundedWhenEveryKeyIsNew) {
  settings.keyRetention = std::chrono::seconds(10);
  settings.sessionRetention = std::chrono::seconds(10);
  auto store = open();
  std::uint64_t most = 0;
  for (int k = 0; k < 3000; ++k) {
    const std::string key = "k" + std::to_string(k);
    ask(*store, key, "a");
    store->apply({CompleteRequest{key, "a", Outcome::Served, "row", 1000 + k,
                                  static_cast<std::uint64_t>(k + 1), true}});
    time.advance(std::chrono::milliseconds(50));
    most = std::max(most, store->totals().keys);
  }
  EXPECT_LE(most, 201u);
  EXPECT_LE(store->totals().sessions, 201u);
  store.reset();
  const StoreStatistics c = check(files, dir);
  EXPECT_LE(c.pairs, 4 * 201u + 8);
}
TEST_F(StoreTest, AFullStoreRejectsNewKeysAndRetainsTheOldOnes) {
  settings.maxKeys = 3;
  settings.keyRetention = std::chrono::seconds(10);
  auto store = open();
  for (const char* k : {"k1", "k2", "k3"}) EXPECT_EQ(ask(*store, k, "a").disposition, Disposition::Execute);
  time.advance(std::chrono::seconds(4));
  const OperationResult s = ask(*store, "k4", "b");
  EXPECT_TRUE(s.storeFull);
  EXPECT_EQ(s.retryAfter, std::chrono::seconds(6));
  EXPECT_EQ(ask(*store, "k1", "c").disposition, Disposition::OutcomeUnknown) << "the key is still stored";
  time.advance(std::chrono::seconds(7));
  EXPECT_TRUE(ask(*store, "k4", "d").storeFull || ask(*store, "k4", "e").disposition == Disposition::Execute);
}
TEST_F(StoreTest, SessionPositionsSurviveARestartAndExpiryOnlyRaisesThem) {
  settings.sessionRetention = std::chrono::seconds(10);
  auto store = open();
  store->apply(
      {RecordSessionPosition{7, 5000}, RecordSessionPosition{7, 4000}, RecordSessionPosition{8, 6000}});
  store.reset();
  time.advance(std::chrono::seconds(1));
  store = open();
  EXPECT_EQ(store->apply({ReadSessionPosition{7}})[0].positionMs, 5000) << "a position never decreases";
  EXPECT_EQ(store->apply({ReadSessionPosition{9}})[0].positionMs, 0);
  time.advance(std::chrono::seconds(10));
  store->apply({RecordSessionPosition{10, 10}});
  EXPECT_EQ(store->apply({ReadSessionPosition{9}})[0].positionMs, 6000)
      << "the newest of the expired positions";
  settings.maxSessions = 1;
  store.reset();
  store = open();
  store->apply({RecordSessionPosition{11, 9000}});
  EXPECT_EQ(store->apply({ReadSessionPosition{11}})[0].positionMs, 9000);
  EXPECT_EQ(store->apply({ReadSessionPosition{12}})[0].positionMs, 9000)
      << "no room: the position applies to every unknown session";
}

// ---- crashes and damage ------------------------------------------------------------------------------
TEST_F(StoreTest, ADirectoryIsLockedAgainstOtherProcesses) {
  const auto store = open();
  const pid_t child = fork();
  if (child == 0) _exit(error().kind == StoreError::Kind::Busy ? 17 : 1);
  int status = 0;
  waitpid(child, &status, 0);
  EXPECT_EQ(WEXITSTATUS(status), 17);
}
TEST_F(StoreTest, ATornFinalRecordIsTruncated) {
  auto store = open();
  ask(*store, "k1", "a");
  const std::string before = readBytes(logFile()), marker = readBytes(dir + "/DURABLE");
  ask(*store, "k2", "b");
  const std::string after = readBytes(logFile());
  store.reset();
  for (std::size_t n = before.size() + 1; n < after.size(); n += 7) {
    fs::remove_all(dir + "-copy");
    fs::copy(dir, dir + "-copy");
    writeBytes(dir + "-copy/" + fs::path(logFile()).filename().string(), after.substr(0, n));
    writeBytes(dir + "-copy/DURABLE", marker);
    IdempotencyStoreSettings s = settings;
    s.directory = dir + "-copy";
    Files plain;
    IdempotencyStore copy(plain, s, [this] { return time(); });
    EXPECT_EQ(copy.recovered().database.tornOffset, before.size());
    EXPECT_EQ(copy.recovered().database.tornBytes, n - before.size());
    EXPECT_EQ(ask(copy, "k1", "c").disposition, Disposition::Retry);
    EXPECT_EQ(ask(copy, "k2", "d").disposition, Disposition::Execute)
        << "its intent was never durable, so no attempt was sent";
  }
}
TEST_F(StoreTest, ABitFlipInTheMiddleOfTheLogIsReportedWithItsOffset) {
  auto store = open();
  std::vector<std::size_t> ends;
  for (int k = 0; k < 5; ++k) {
    ends.push_back(readBytes(logFile()).size());
    ask(*store, "k" + std::to_string(k), "a");
  }
  const std::string log = logFile(), good = readBytes(log);
  store.reset();
  for (std::size_t at = ends[1]; at < ends[3]; ++at) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 0x10);
    writeBytes(log, bad);
    const StoreError e = error();
    ASSERT_EQ(e.kind, StoreError::Kind::Damaged) << at << ": " << e.what();
    EXPECT_EQ(e.file, fs::path(log).filename().string());
    EXPECT_EQ(e.offset, at < ends[2] ? ends[1] : ends[2]) << at;
  }
  writeBytes(log, good);
  EXPECT_NO_THROW(open());
}
// After a power loss the durability marker may be older than the log and does not prove damage.
// Valid records after the damaged one do.
TEST_F(StoreTest, DamageIsFoundWithoutTheDurabilityMarkerIfLaterRecordsAreValid) {
  auto store = open();
  ask(*store, "k1", "a");
  const std::size_t at = readBytes(logFile()).size();
  ask(*store, "k2", "b");
  ask(*store, "k3", "c");
  const std::string log = logFile();
  store.reset();
  std::string bytes = readBytes(log);
  bytes[at + 5] = '\x7f';  // a length that ends beyond the file, which LevelDB takes for the file's end
  writeBytes(log, bytes);
  fs::remove(dir + "/DURABLE");
  const StoreError e = error();
  EXPECT_EQ(e.kind, StoreError::Kind::Damaged);
  EXPECT_EQ(e.offset, at);
}
TEST_F(StoreTest, AMissingTailIsReportedAlthoughTheRemainingRecordsAreValid) {
  auto store = open();
  ask(*store, "k1", "a");
  const std::size_t size = readBytes(logFile()).size();
  ask(*store, "k2", "b");
  const std::string log = logFile();
  store.reset();
  fs::resize_file(log, size);
  const StoreError e = error();
  EXPECT_EQ(e.kind, StoreError::Kind::Damaged);
  EXPECT_NE(std::string(e.what()).find("had been durable"), std::string::npos) << e.what();
  EXPECT_EQ(error().kind, StoreError::Kind::Damaged) << "opening the store does not clear the damage";
}
// Tables that are older than the log are brought up to date from the log. A manifest from before
// the compaction, whose log was deleted by it, describes an older state and must not be accepted as
// the current one.
TEST_F(StoreTest, AnOlderCheckpointIsReplayedFromTheLogAndAnOlderManifestIsDamage) {
  auto store = open();
  ask(*store, "k1", "a");
  store.reset();
  const std::string current = readBytes(dir + "/CURRENT");
  const std::string manifest = current.substr(0, current.size() - 1), old = readBytes(dir + "/" + manifest);
  compact(files, dir);
  store = open();
  serve(*store, "k1", "a", "the row");
  ask(*store, "k2", "b");
  store.reset();
  store = open();
  EXPECT_EQ(ask(*store, "k1", "c").disposition, Disposition::Replay);
  EXPECT_EQ(ask(*store, "k2", "d").disposition, Disposition::Retry);
  store.reset();
  writeBytes(dir + "/" + manifest, old);
  writeBytes(dir + "/CURRENT", current);
  const StoreError e = error();
  EXPECT_EQ(e.kind, StoreError::Kind::Damaged) << e.what();
}
TEST_F(StoreTest, ABitFlipInATableIsFoundByCheck) {
  auto store = open();
  for (int k = 0; k < 50; ++k) ask(*store, "k" + std::to_string(k), "a");
  store.reset();
  compact(files, dir);
  std::string table;
  for (const auto& f : fs::directory_iterator(dir))
    if (f.path().extension() == ".ldb") table = f.path().string();
  ASSERT_FALSE(table.empty());
  const std::string good = readBytes(table);
  std::size_t named = 0;
  for (std::size_t at = 0; at < good.size(); at += 37) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 1);
    writeBytes(table, bad);
    try {
      check(files, dir);
    } catch (const StoreError& e) {
      EXPECT_EQ(e.kind, StoreError::Kind::Damaged);
      EXPECT_EQ(e.file, fs::path(table).filename().string()) << e.what();
      ++named;
    }
  }
  // Only a change in the padding of the footer damages nothing.
  EXPECT_GE(named + 2, (good.size() + 36) / 37);
}
TEST_F(StoreTest, ARecordOfALaterVersionIsRejected) {
  open().reset();
  {
    Database db(files, dir);
    Database::Batch b;
    std::string r;
    nlohmann::json::to_cbor({{"t", "key"}, {"v", kRecordVersion + 1}}, r);
    b.put("kfuture", r);
    db.commit(b);
  }
  auto store = open();
  try {
    ask(*store, "future", "a");
    FAIL() << "the record was accepted";
  } catch (const StoreError& e) {
    EXPECT_EQ(e.kind, StoreError::Kind::Newer) << e.what();
  }
}
// A random part of the sweep: process crashes, power losses, bad sectors and bit flips.
TEST(StoreSweep, EveryCrashPreservesTheGuaranteesAndDamageIsReported) {
  const SweepResult r = sweep(0.1, 20261201, 2);
  EXPECT_EQ(r.violations, 0u) << r.firstViolation;
  EXPECT_EQ(r.falseDamage, 0u) << r.firstViolation;
  EXPECT_EQ(r.damageWithoutFile, 0u);
  EXPECT_GT(r.processCrashes, 1000u);
  EXPECT_GT(r.powerLosses, 10u);
  EXPECT_GT(r.badSectors, 10u);
  EXPECT_GT(r.bitFlips, 10u);
  EXPECT_GT(r.damageReported, 0u);
}
TEST(StoreSweep, CrashesDuringTemporaryDiskErrorsPreserveTheGuarantees) {
  const FailureSweepResult r = sweepFailures(60, 20261202);
  EXPECT_EQ(r.violations, 0u) << r.firstViolation;
  EXPECT_EQ(r.windows, 60u);
  EXPECT_EQ(r.processCrashes, 8 * r.windows);
  EXPECT_EQ(r.powerLosses, 8 * r.windows);
  EXPECT_GT(r.failedOperations, r.windows);
}
// Checks that findViolation() can fail. Otherwise a sweep without violations would prove nothing.
TEST(StoreSweep, FindViolationReportsAnEmptyStore) {
  const TemporaryDirectory folder;
  TestTime time;
  Files files;
  StoreWorkload workload(files, folder.path + "/a", time);
  runWorkload(workload, time);
  IdempotencyStoreSettings s;
  s.directory = folder.path + "/b";
  IdempotencyStore other(files, s, [&] { return time(); });
  EXPECT_NE(findViolation(workload.guarantees(), other, time), "");
  Guarantees session;
  session.sessions[1] = 5;
  EXPECT_NE(findViolation(session, other, time), "");
}

// ---- disk errors -------------------------------------------------------------------------------------
// Every file operation of the workload fails in turn, once or permanently, with none or a part of
// its bytes written.
TEST(StoreFaults, AFailureOfAnyFileOperationPreservesTheGuarantees) {
  std::size_t operations = 0;
  {
    const TemporaryDirectory folder;
    RecordingFileHook r(folder.path + "/store");
    Files files(&r);
    TestTime time;
    StoreWorkload workload(files, folder.path + "/store", time);
    runWorkload(workload, time);
    operations = r.count();
  }
  ASSERT_GT(operations, 200u);
  std::size_t failures = 0;
  for (std::size_t n = 0; n < operations; ++n)
    for (const bool lasting : {false, true}) {
      const TemporaryDirectory folder;
      RecordingFileHook r(folder.path + "/store");
      r.failAt(n, lasting, n % 3 * 5);
      Files files(&r);
      TestTime time;
      StoreWorkload workload(files, folder.path + "/store", time);
      bool threw = false;
      try {
        runWorkload(workload, time);
      } catch (const StoreError& e) {
        threw = true;
        EXPECT_EQ(e.kind, StoreError::Kind::Failed) << n << ": " << e.what();
      }
      workload.close();
      EXPECT_TRUE(r.failed()) << n;
      failures += threw;
      r.stopFailing();
      try {
        workload.open();
        EXPECT_EQ(findViolation(workload.guarantees(), workload.store(), time), "") << n;
      } catch (const StoreError& e) {
        ADD_FAILURE() << "operation " << n << (lasting ? ", lasting" : "") << ": " << e.what();
      }
    }
  EXPECT_GT(failures, operations / 2);
}
TEST_F(StoreTest, AfterAFailedSyncCommitsFailUntilTheStoreIsReopened) {
  auto store = open();
  ask(*store, "k1", "a");
  const std::size_t n = recorder.count();
  recorder.failAt(n + 1, false);  // the append, then its sync
  EXPECT_THROW(ask(*store, "k2", "b"), StoreError);
  EXPECT_THROW(ask(*store, "k3", "c"), StoreError) << "until the store is reopened";
  store.reset();
  recorder.stopFailing();
  store = open();
  EXPECT_EQ(ask(*store, "k1", "d").disposition, Disposition::Retry);
  EXPECT_EQ(ask(*store, "k3", "e").disposition, Disposition::Execute);
}
// A temporary read error must be reported neither as a store in use by another process nor as
// damage. The test causes one by putting a directory in place of the file.
TEST_F(StoreTest, ATemporaryReadErrorIsNotReportedAsDamage) {
  open().reset();
  for (const char* const name : {"OWNER", "DURABLE", "CURRENT"}) {
    const std::string path = dir + "/" + name;
    fs::rename(path, path + "-away");
    fs::create_directory(path);
    const StoreError e = error();
    EXPECT_EQ(e.kind, StoreError::Kind::Failed) << name << ": " << e.what();
    EXPECT_STRNE(e.what(), "it opened") << name;
    fs::remove(path);
    fs::rename(path + "-away", path);
    EXPECT_NO_THROW(open()) << name;
  }
}
TEST_F(StoreTest, ADiskThatFillsUpDuringAGroupCommitLosesTheWholeGroup) {
  auto store = open();
  ask(*store, "k0", "a");
  recorder.failAt(recorder.count(), true, 40);
  std::vector<Operation> group;
  for (int k = 1; k < 20; ++k)
    group.emplace_back(BeginKeyedRequest{{"a", "k" + std::to_string(k), "order", 3, kWindow}});
  EXPECT_THROW(store->apply(group), StoreError);
  store.reset();
  EXPECT_EQ(error().kind, StoreError::Kind::Failed) << "the disk is still full";
  recorder.stopFailing();
  store = open();
  EXPECT_EQ(ask(*store, "k0", "b").disposition, Disposition::Retry);
  for (int k = 1; k < 20; ++k)
    EXPECT_EQ(ask(*store, "k" + std::to_string(k), "b").disposition, Disposition::Execute);
}

// ---- operations of failed commits --------------------------------------------------------------------
TEST(StoreBacklog, KeepsOperationsInOrderAndAnIntentAsAnAbandonRequest) {
  Backlog b;
  EXPECT_TRUE(b.add(BeginKeyedRequest{{"a", "k1", "order", 3, kWindow}}));
  EXPECT_TRUE(b.add(CompleteRequest{"k2", "b", Outcome::Served, "row", 0, 0, true}));
  EXPECT_TRUE(b.add(RecordSessionPosition{7, 500}));
  EXPECT_TRUE(b.add(RecordSessionPosition{7, 400}));
  EXPECT_FALSE(b.add(ReadSessionPosition{7}));
  const std::vector<Operation> all = b.oldest(10);
  ASSERT_EQ(all.size(), 3u);
  EXPECT_EQ(std::get<RecordSessionPosition>(all[0]).positionMs, 500) << "a position never decreases";
  EXPECT_EQ(std::get<AbandonRequest>(all[1]).id, "a");
  EXPECT_FALSE(std::get<AbandonRequest>(all[1]).mayHaveExecuted);
  EXPECT_EQ(std::get<CompleteRequest>(all[2]).response, "row");
  b.drop(2);
  ASSERT_EQ(b.oldest(10).size(), 1u);
  EXPECT_TRUE(std::holds_alternative<CompleteRequest>(b.oldest(10)[0]));
  b.drop(1);
  EXPECT_TRUE(b.empty());
}
TEST(StoreBacklog, IsBoundedInOperationsSessionsAndBytes) {
  Backlog operations, sessions, bytes;
  for (std::size_t k = 0; k < Backlog::kMaxOperations; ++k)
    ASSERT_TRUE(operations.add(RecordResponseDelivered{"k", "a"}));
  EXPECT_FALSE(operations.add(RecordResponseDelivered{"k", "a"}));
  for (std::size_t k = 0; k < Backlog::kMaxSessions; ++k)
    ASSERT_TRUE(sessions.add(RecordSessionPosition{k + 1, 1}));
  EXPECT_FALSE(sessions.add(RecordSessionPosition{Backlog::kMaxSessions + 1, 1}));
  EXPECT_TRUE(sessions.add(RecordSessionPosition{1, 2})) << "an update of a known session needs no room";
  const std::string answer(16 << 10, 'x');
  std::size_t kept = 0;
  while (bytes.add(CompleteRequest{"k", "a", Outcome::Served, answer, 0, 0, true})) ++kept;
  EXPECT_LE(kept * answer.size(), Backlog::kMaxBytes);
  EXPECT_GT(kept, 200u);
  bytes.drop(1);
  EXPECT_TRUE(bytes.add(CompleteRequest{"k", "a", Outcome::Served, answer, 0, 0, true}));
}

// Makes every second file system call fail with EINTR and the others transfer about a third of
// their bytes.
struct InterruptedCalls {
  InterruptedCalls() {
    calls = 0;
    fileCalls().write = [](int fd, const void* from, std::size_t n) {
      return interrupted() ? -1 : ::write(fd, from, n / 3 + 1 < n ? n / 3 + 1 : n);
    };
    fileCalls().pwrite = [](int fd, const void* from, std::size_t n, off_t at) {
      return interrupted() ? -1 : ::pwrite(fd, from, n / 3 + 1 < n ? n / 3 + 1 : n, at);
    };
    fileCalls().pread = [](int fd, void* to, std::size_t n, off_t at) {
      return interrupted() ? -1 : ::pread(fd, to, n / 3 + 1 < n ? n / 3 + 1 : n, at);
    };
    fileCalls().fsync = [](int fd) { return interrupted() ? -1 : ::fsync(fd); };
    fileCalls().fdatasync = [](int fd) { return interrupted() ? -1 : ::fdatasync(fd); };
  }
  ~InterruptedCalls() { fileCalls() = FileCalls(); }
  static bool interrupted() {
    if (++calls % 2 == 0) return false;
    errno = EINTR;
    return true;
  }
  inline static std::atomic<int> calls{0};
};
TEST(StoreFaults, InterruptedCallsAndShortWritesAreContinued) {
  const TemporaryDirectory folder;
  Files files;
  TestTime time;
  StoreWorkload workload(files, folder.path + "/store", time);
  const InterruptedCalls calls;
  ASSERT_NO_THROW(runWorkload(workload, time));
  workload.open();
  EXPECT_EQ(findViolation(workload.guarantees(), workload.store(), time), "");
  EXPECT_EQ(replaceFile(files, folder.path + "/whole", std::string(5000, 'w')), "");
  EXPECT_EQ(readBytes(folder.path + "/whole"), std::string(5000, 'w'));
  EXPECT_GT(InterruptedCalls::calls, 100);
}
TEST(StoreFaults, AFailedReplaceFileKeepsThePreviousFile) {
  const TemporaryDirectory folder;
  const std::string path = folder.path + "/whole";
  RecordingFileHook recorder(folder.path);
  Files files(&recorder);
  ASSERT_EQ(replaceFile(files, path, "earlier"), "");
  const std::size_t each = recorder.count();
  for (std::size_t operation = 0; operation < each; ++operation) {
    recorder.failAt(recorder.count() + operation, false, 3);
    EXPECT_NE(replaceFile(files, path, "later"), "") << operation;
    EXPECT_EQ(readBytes(path), "earlier") << operation;
    EXPECT_FALSE(fs::exists(path + ".new"))
        << "a leftover file takes space that the disk may lack: " << operation;
  }
  recorder.stopFailing();
  EXPECT_EQ(replaceFile(files, path, "later"), "");
  EXPECT_EQ(readBytes(path), "later");
}

// A process that writes continuously is killed with SIGKILL at random, seeded moments. Through a
// pipe it reports each key once its outcome is durable; every reported key must be replayed
// afterwards.
TEST(StoreKill, EveryReportedKeyIsReplayedAfterSigkillUnderLoad) {
  pcg64 random(20261201);
  std::size_t reportedKeys = 0;
  for (int round = 0; round < 12; ++round) {
    const TemporaryDirectory folder;
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const pid_t child = fork();
    if (child == 0) {
      Files files;
      IdempotencyStoreSettings s;
      s.directory = folder.path + "/store";
      IdempotencyStore store(files, s, [] { return TestTime()(); });
      for (int k = 0;; ++k) {
        const std::string key = "k" + std::to_string(k);
        store.apply({BeginKeyedRequest{{"a", key, "order", 3, kWindow}}});
        store.apply({CompleteRequest{key, "a", Outcome::Served,
                                     key + std::string(static_cast<std::size_t>(k % 900), '.'), 0, 0, true}});
        if (write(ends[1], &k, sizeof k) != sizeof k) _exit(1);
      }
    }
    close(ends[1]);
    const int until = static_cast<int>(random() % 300);
    int last = -1;
    for (int k = 0; last < until && read(ends[0], &k, sizeof k) == sizeof k;) last = k;
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    for (int k = 0; read(ends[0], &k, sizeof k) == sizeof k;) last = k;
    close(ends[0]);
    Files files;
    IdempotencyStoreSettings s;
    s.directory = folder.path + "/store";
    IdempotencyStore store(files, s, [] { return TestTime()(); });
    for (int k = 0; k <= last; ++k) {
      const std::string key = "k" + std::to_string(k);
      const OperationResult result = store.apply({BeginKeyedRequest{{"b", key, "order", 3, kWindow}}})[0];
      ASSERT_EQ(result.disposition, Disposition::Replay) << key << " of " << last;
      ASSERT_EQ(result.response.substr(0, key.size()), key);
      ++reportedKeys;
    }
  }
  EXPECT_GT(reportedKeys, 500u);
}

// ---- records -----------------------------------------------------------------------------------------
TEST(Records, DecodeToTheEncodedFields) {
  KeyRecord r;
  r.group = 7;
  r.className = "order";
  r.intentAt = Time(5);
  r.deduplicationWindow = kWindow;
  r.expiresAt = Time(99);
  r.wallMs = 1767225600000;
  r.epoch = 3;
  r.attempts = {{"a", 1, "s-9", Time(6), AttemptEffect::MayHaveExecuted}};
  r.mayHaveExecuted = true;
  r.outcome = Outcome::Served;
  r.hasResponse = true;
  r.response = std::string("\0\xff row", 6);
  r.positionMs = -1;
  r.pendingIds = {"x"};
  r.answeredIds = {"y", "z"};
  const KeyRecord back = decodeKey(encode(r));
  EXPECT_EQ(toJson(back).dump(), toJson(r).dump());
  EXPECT_EQ(back.response, r.response);
  EXPECT_EQ(back.positionMs, -1);
  EXPECT_EQ(back.mayHaveExecuted, true);
}
TEST(Records, TruncatedAndForeignRecordsAreRejected) {
  KeyRecord r;
  r.attempts = {{"a", 1, "s-9", Time(6), AttemptEffect::InFlight}};
  const std::string good = encode(r);
  for (std::size_t n = 0; n < good.size(); ++n)
    EXPECT_THROW(decodeKey(good.substr(0, n)), std::runtime_error) << n;
  EXPECT_THROW(decodeKey(encode(StoreTotals{})), std::runtime_error);
  pcg64 random(1);
  for (int k = 0; k < 3000; ++k) {
    std::string bad = good;
    bad[random() % bad.size()] = static_cast<char>(random());
    try {
      decodeKey(bad);
    } catch (const std::runtime_error&) {
    }
  }
}
// Reads the files that each version of the format wrote.
TEST(Records, StoredFilesOfEachVersionAreRead) {
  for (int version = 1; version <= kRecordVersion; ++version) {
    const TemporaryDirectory folder;
    fs::copy(std::string(SABLESPUR_SOURCE) + "/tests/data/store-" + std::to_string(version),
             folder.path + "/store");
    Files files;
    const StoreStatistics c = check(files, folder.path + "/store");
    EXPECT_EQ(c.keys, 4u);
    EXPECT_EQ(c.sessions, 1u);
    EXPECT_EQ(c.pendingKeys, 1u);
    IdempotencyStoreSettings s;
    s.directory = folder.path + "/store";
    TestTime time;
    time.advance(std::chrono::seconds(60));
    IdempotencyStore store(files, s, [&] { return time(); });
    const auto ask = [&](const char* key) {
      return store.apply({BeginKeyedRequest{{"x", key, "order", 3, kWindow}}})[0];
    };
    EXPECT_EQ(ask("served").response, "the row");
    EXPECT_EQ(ask("open").disposition, Disposition::OutcomeUnknown);
    EXPECT_EQ(ask("refused").disposition, Disposition::Execute);
    EXPECT_EQ(ask("failed").disposition, Disposition::OutcomeUnknown);
    EXPECT_EQ(store.apply({ReadSessionPosition{5}})[0].positionMs, 1767225600001);
  }
}

}  // namespace
}  // namespace sablespur::test
