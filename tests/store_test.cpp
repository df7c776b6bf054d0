// The store: what it holds through ends, damage and failing disks. The sweep's whole run is
// build/sablespur-store-sweep.
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

std::string slurp(const std::string& path) {
  std::ifstream f(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(f), {}};
}
void spit(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

struct StoreTest : ::testing::Test {
  const TemporaryDirectory folder;
  const std::string dir = folder.path + "/store";
  Recorder recorder{dir};
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
  OperationResult ask(IdempotencyStore& l, const std::string& key, const std::string& id,
                      std::uint32_t group = 3) {
    return l.apply({BeginKeyedRequest{{id, key, "order", group, kWindow}}})[0];
  }
  void serve(IdempotencyStore& l, const std::string& key, const std::string& id, const std::string& answer) {
    l.apply(
        {CompleteRequest{key, id, Outcome::Served, answer, 17, 0, true}, RecordResponseDelivered{key, id}});
  }
  std::string theLog() {
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

// ---- keys through an end ------------------------------------------------------------------------------
TEST_F(StoreTest, AKeyThatWasServedIsAnsweredFromTheRecord) {
  auto l = open();
  EXPECT_EQ(ask(*l, "k1", "a").disposition, Disposition::Execute);
  serve(*l, "k1", "a", "the row");
  l.reset();
  time.pass(std::chrono::seconds(60));
  l = open();
  const OperationResult s = ask(*l, "k1", "b");
  EXPECT_EQ(s.disposition, Disposition::Replay);
  EXPECT_EQ(s.response, "the row");
  EXPECT_EQ(s.positionMs, 17);
  EXPECT_EQ(ask(*l, "k1", "c", 4).disposition, Disposition::OutcomeUnknown) << "of another group";
}
TEST_F(StoreTest, AnAnswerTooLongToKeepIsAnHonestFailure) {
  auto l = open();
  ask(*l, "k1", "a");
  serve(*l, "k1", "a", std::string(201, 'x'));
  EXPECT_EQ(ask(*l, "k1", "b").disposition, Disposition::OutcomeUnknown);
}
TEST_F(StoreTest, AnIntentWithoutOutcomeMayGoAgainWithinItsWindowAlone) {
  auto l = open();
  ask(*l, "k1", "a");
  ask(*l, "k2", "b");
  l.reset();
  time.pass(std::chrono::milliseconds(1500));
  l = open();
  EXPECT_EQ(l->recovered().pendingKeys, 2u);
  const OperationResult s = ask(*l, "k1", "c");
  EXPECT_EQ(s.disposition, Disposition::Retry);
  EXPECT_GE(s.sinceFirstSend, std::chrono::milliseconds(1500));
  EXPECT_EQ(ask(*l, "k1", "d", 4).disposition, Disposition::OutcomeUnknown)
      << "in another group nobody knows the key";
  time.pass(std::chrono::milliseconds(500));
  EXPECT_EQ(ask(*l, "k2", "e").disposition, Disposition::OutcomeUnknown);
  EXPECT_EQ(ask(*l, "k1", "f").disposition, Disposition::OutcomeUnknown)
      << "the window counts from the first send of all";
}
TEST_F(StoreTest, WhatNeverRanMayRunAnew) {
  auto l = open();
  ask(*l, "k1", "a");
  l->apply(
      {RecordAttemptSent{"k1", "a", "s-1", 0}, RecordAttemptEnd{"k1", "a", 0, AttemptEffect::NotExecuted},
       CompleteRequest{"k1", "a", Outcome::Rejected, "", 0, 0, false}, RecordResponseDelivered{"k1", "a"}});
  l.reset();
  time.pass(std::chrono::seconds(5));
  l = open();
  EXPECT_EQ(ask(*l, "k1", "b").disposition, Disposition::Execute);
}
// Notes may be lost while the disk fails; the last word tells whether an attempt may have run all the same.
TEST_F(StoreTest, ALostNoteMakesNoKeyFree) {
  auto l = open();
  ask(*l, "k1", "a");
  l->apply(
      {CompleteRequest{"k1", "a", Outcome::Rejected, "", 0, 0, true}, RecordResponseDelivered{"k1", "a"}});
  time.pass(std::chrono::seconds(5));
  EXPECT_EQ(ask(*l, "k1", "b").disposition, Disposition::OutcomeUnknown);
}
TEST_F(StoreTest, TwoRequestsOfAKeyAtOnceLeaveItOpenUntilBothHaveEnded) {
  auto l = open();
  EXPECT_EQ(ask(*l, "k1", "a").disposition, Disposition::Execute);
  EXPECT_EQ(ask(*l, "k1", "b").disposition, Disposition::Retry);
  l->apply(
      {CompleteRequest{"k1", "b", Outcome::Rejected, "", 0, 0, false}, RecordResponseDelivered{"k1", "b"}});
  EXPECT_EQ(ask(*l, "k1", "c").disposition, Disposition::Retry) << "a may be out still";
  serve(*l, "k1", "a", "the row");
  l->apply({CompleteRequest{"k1", "c", Outcome::Failed, "", 0, 0, true}});
  EXPECT_EQ(ask(*l, "k1", "d").disposition, Disposition::Replay) << "a failure does not undo what was served";
}
TEST_F(StoreTest, TenThousandOpenIntentsAreJudgedOneByOneAfterTheCrash) {
  auto l = open();
  std::vector<Operation> all;
  for (int k = 0; k < 10000; ++k)
    all.emplace_back(
        BeginKeyedRequest{{"id" + std::to_string(k), "k" + std::to_string(k), "order", 3, kWindow}});
  l->apply(all);
  l.reset();
  time.pass(std::chrono::seconds(1));
  l = open();
  EXPECT_EQ(l->recovered().pendingKeys, 10000u);
  for (int k = 0; k < 10000; k += 97)
    EXPECT_EQ(ask(*l, "k" + std::to_string(k), "x").disposition, Disposition::Retry);
  time.pass(std::chrono::seconds(1));
  for (int k = 1; k < 10000; k += 97)
    EXPECT_EQ(ask(*l, "k" + std::to_string(k), "x").disposition, Disposition::OutcomeUnknown);
}

// ---- the clock ----------------------------------------------------------------------------------------
TEST_F(StoreTest, TheWallClockSetBackOrForthMakesNoKeyYoungAndNoneForgotten) {
  for (const int hours : {-1, 1, 24 * 365}) {
    const std::string key = "k" + std::to_string(hours);
    auto l = open();
    ask(*l, key, "a");
    ask(*l, key + "served", "b");
    serve(*l, key + "served", "b", "row");
    l.reset();
    time.pass(std::chrono::seconds(3));
    time.wallMs += hours * 3600 * 1000ll;
    l = open();
    EXPECT_EQ(ask(*l, key, "c").disposition, Disposition::OutcomeUnknown) << hours;
    EXPECT_EQ(ask(*l, key + "served", "d").disposition, Disposition::Replay) << hours;
  }
}
// How long a machine was off is not known: for sending again it was long, for forgetting it was no time at
// all.
TEST_F(StoreTest, AfterTheMachinesOwnStartNothingIsYoungAndNothingIsForgotten) {
  settings.keyRetention = std::chrono::seconds(10);
  auto l = open();
  ask(*l, "k1", "a");
  ask(*l, "k2", "b");
  serve(*l, "k2", "b", "row");
  l.reset();
  time.boot = "boot-2";
  time.us = 5000;
  time.wallMs += 3600 * 1000;
  l = open();
  EXPECT_TRUE(l->recovered().afterGap);
  EXPECT_EQ(ask(*l, "k1", "c").disposition, Disposition::OutcomeUnknown);
  EXPECT_EQ(ask(*l, "k2", "d").disposition, Disposition::Replay);
  EXPECT_EQ(ask(*l, "k3", "e").disposition, Disposition::Execute);
  EXPECT_EQ(ask(*l, "k3", "f").disposition, Disposition::Retry) << "after the gap ages are known again";
}
TEST_F(StoreTest, AMachineSetBackToASnapshotCountsAsAnother) {
  auto l = open();
  time.pass(std::chrono::seconds(100));
  ask(*l, "k1", "a");
  l.reset();
  time.us -= 50000000;
  l = open();
  EXPECT_TRUE(l->recovered().afterGap);
  EXPECT_EQ(ask(*l, "k1", "b").disposition, Disposition::OutcomeUnknown);
}

// ---- bounds -------------------------------------------------------------------------------------------
TEST_F(StoreTest, StaysLevelWhileKeysAreAlwaysNew) {
  settings.keyRetention = std::chrono::seconds(10);
  settings.sessionRetention = std::chrono::seconds(10);
  auto l = open();
  std::uint64_t most = 0;
  for (int k = 0; k < 3000; ++k) {
    const std::string key = "k" + std::to_string(k);
    ask(*l, key, "a");
    l->apply({CompleteRequest{key, "a", Outcome::Served, "row", 1000 + k, static_cast<std::uint64_t>(k + 1),
                              true}});
    time.pass(std::chrono::milliseconds(50));
    most = std::max(most, l->totals().keys);
  }
  EXPECT_LE(most, 201u);
  EXPECT_LE(l->totals().sessions, 201u);
  l.reset();
  const StoreStatistics c = check(files, dir);
  EXPECT_LE(c.pairs, 4 * 201u + 8);
}
TEST_F(StoreTest, WithoutRoomNewKeysAreTurnedAwayAndTheOldOnesStand) {
  settings.maxKeys = 3;
  settings.keyRetention = std::chrono::seconds(10);
  auto l = open();
  for (const char* k : {"k1", "k2", "k3"}) EXPECT_EQ(ask(*l, k, "a").disposition, Disposition::Execute);
  time.pass(std::chrono::seconds(4));
  const OperationResult s = ask(*l, "k4", "b");
  EXPECT_TRUE(s.storeFull);
  EXPECT_EQ(s.retryAfter, std::chrono::seconds(6));
  EXPECT_EQ(ask(*l, "k1", "c").disposition, Disposition::OutcomeUnknown) << "it is known still";
  time.pass(std::chrono::seconds(7));
  EXPECT_TRUE(ask(*l, "k4", "d").storeFull || ask(*l, "k4", "e").disposition == Disposition::Execute);
}
TEST_F(StoreTest, SessionsGoOnWhereTheyWereAndForgettingMakesThemStricter) {
  settings.sessionRetention = std::chrono::seconds(10);
  auto l = open();
  l->apply({RecordSessionPosition{7, 5000}, RecordSessionPosition{7, 4000}, RecordSessionPosition{8, 6000}});
  l.reset();
  time.pass(std::chrono::seconds(1));
  l = open();
  EXPECT_EQ(l->apply({ReadSessionPosition{7}})[0].positionMs, 5000) << "never back";
  EXPECT_EQ(l->apply({ReadSessionPosition{9}})[0].positionMs, 0);
  time.pass(std::chrono::seconds(10));
  l->apply({RecordSessionPosition{10, 10}});
  EXPECT_EQ(l->apply({ReadSessionPosition{9}})[0].positionMs, 6000) << "the newest of those forgotten";
  settings.maxSessions = 1;
  l.reset();
  l = open();
  l->apply({RecordSessionPosition{11, 9000}});
  EXPECT_EQ(l->apply({ReadSessionPosition{11}})[0].positionMs, 9000);
  EXPECT_EQ(l->apply({ReadSessionPosition{12}})[0].positionMs, 9000) << "no room: it counts for all";
}

// ---- ends and damage ----------------------------------------------------------------------------------
TEST_F(StoreTest, TwoProcessesDoNotShareADirectory) {
  const auto l = open();
  const pid_t child = fork();
  if (child == 0) _exit(error().kind == StoreError::Kind::Busy ? 17 : 1);
  int status = 0;
  waitpid(child, &status, 0);
  EXPECT_EQ(WEXITSTATUS(status), 17);
}
TEST_F(StoreTest, ATornFinalRecordThatHoldsAKeyIsCutOff) {
  auto l = open();
  ask(*l, "k1", "a");
  const std::string before = slurp(theLog()), mark = slurp(dir + "/DURABLE");
  ask(*l, "k2", "b");
  const std::string after = slurp(theLog());
  l.reset();
  for (std::size_t n = before.size() + 1; n < after.size(); n += 7) {
    fs::remove_all(dir + "-copy");
    fs::copy(dir, dir + "-copy");
    spit(dir + "-copy/" + fs::path(theLog()).filename().string(), after.substr(0, n));
    spit(dir + "-copy/DURABLE", mark);
    IdempotencyStoreSettings s = settings;
    s.directory = dir + "-copy";
    Files plain;
    IdempotencyStore copy(plain, s, [this] { return time(); });
    EXPECT_EQ(copy.recovered().database.tornOffset, before.size());
    EXPECT_EQ(copy.recovered().database.tornBytes, n - before.size());
    EXPECT_EQ(ask(copy, "k1", "c").disposition, Disposition::Retry);
    EXPECT_EQ(ask(copy, "k2", "d").disposition, Disposition::Execute)
        << "it never was durable, so it never was sent";
  }
}
TEST_F(StoreTest, ABitFlippedInTheMiddleIsReportedWithItsOffset) {
  auto l = open();
  std::vector<std::size_t> ends;
  for (int k = 0; k < 5; ++k) {
    ends.push_back(slurp(theLog()).size());
    ask(*l, "k" + std::to_string(k), "a");
  }
  const std::string log = theLog(), good = slurp(log);
  l.reset();
  for (std::size_t at = ends[1]; at < ends[3]; ++at) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 0x10);
    spit(log, bad);
    const StoreError e = error();
    ASSERT_EQ(e.kind, StoreError::Kind::Damaged) << at << ": " << e.what();
    EXPECT_EQ(e.file, fs::path(log).filename().string());
    EXPECT_EQ(e.offset, at < ends[2] ? ends[1] : ends[2]) << at;
  }
  spit(log, good);
  EXPECT_NO_THROW(open());
}
// The mark is older after the machine's end, and then it does not tell: the records that follow do.
TEST_F(StoreTest, DamageIsFoundWithoutTheMarkWhereLaterRecordsStand) {
  auto l = open();
  ask(*l, "k1", "a");
  const std::size_t at = slurp(theLog()).size();
  ask(*l, "k2", "b");
  ask(*l, "k3", "c");
  const std::string log = theLog();
  l.reset();
  std::string bytes = slurp(log);
  bytes[at + 5] = '\x7f';  // a length that ends beyond the file, which LevelDB takes for the file's end
  spit(log, bytes);
  fs::remove(dir + "/DURABLE");
  const StoreError e = error();
  EXPECT_EQ(e.kind, StoreError::Kind::Damaged);
  EXPECT_EQ(e.offset, at);
}
TEST_F(StoreTest, AnEndThatIsMissingIsReportedThoughWhatIsLeftIsWhole) {
  auto l = open();
  ask(*l, "k1", "a");
  const std::size_t size = slurp(theLog()).size();
  ask(*l, "k2", "b");
  const std::string log = theLog();
  l.reset();
  fs::resize_file(log, size);
  const StoreError e = error();
  EXPECT_EQ(e.kind, StoreError::Kind::Damaged);
  EXPECT_NE(std::string(e.what()).find("had been durable"), std::string::npos) << e.what();
  EXPECT_EQ(error().kind, StoreError::Kind::Damaged) << "and not forgotten by having been looked at";
}
// Tables that are older than the log: what the log holds counts. A manifest of before the tables were
// written, its log gone with them, is an older state that nobody may take for the present one.
TEST_F(StoreTest, ACheckpointOlderThanTheLogGivesWayAndAnOlderManifestIsDamage) {
  auto l = open();
  ask(*l, "k1", "a");
  l.reset();
  const std::string current = slurp(dir + "/CURRENT");
  const std::string manifest = current.substr(0, current.size() - 1), old = slurp(dir + "/" + manifest);
  compact(files, dir);
  l = open();
  serve(*l, "k1", "a", "the row");
  ask(*l, "k2", "b");
  l.reset();
  l = open();
  EXPECT_EQ(ask(*l, "k1", "c").disposition, Disposition::Replay);
  EXPECT_EQ(ask(*l, "k2", "d").disposition, Disposition::Retry);
  l.reset();
  spit(dir + "/" + manifest, old);
  spit(dir + "/CURRENT", current);
  const StoreError e = error();
  EXPECT_EQ(e.kind, StoreError::Kind::Damaged) << e.what();
}
TEST_F(StoreTest, AFlippedBitInATableIsFoundByTheCheck) {
  auto l = open();
  for (int k = 0; k < 50; ++k) ask(*l, "k" + std::to_string(k), "a");
  l.reset();
  compact(files, dir);
  std::string table;
  for (const auto& f : fs::directory_iterator(dir))
    if (f.path().extension() == ".ldb") table = f.path().string();
  ASSERT_FALSE(table.empty());
  const std::string good = slurp(table);
  std::size_t named = 0;
  for (std::size_t at = 0; at < good.size(); at += 37) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 1);
    spit(table, bad);
    try {
      check(files, dir);
    } catch (const StoreError& e) {
      EXPECT_EQ(e.kind, StoreError::Kind::Damaged);
      EXPECT_EQ(e.file, fs::path(table).filename().string()) << e.what();
      ++named;
    }
  }
  // The footer's padding alone may change and nothing be lost.
  EXPECT_GE(named + 2, (good.size() + 36) / 37);
}
TEST_F(StoreTest, ARecordOfALaterVersionIsTurnedDown) {
  open().reset();
  {
    Database db(files, dir);
    Database::Batch b;
    std::string r;
    nlohmann::json::to_cbor({{"t", "key"}, {"v", kRecordVersion + 1}}, r);
    b.put("kfuture", r);
    db.commit(b);
  }
  auto l = open();
  try {
    ask(*l, "future", "a");
    FAIL() << "it was read";
  } catch (const StoreError& e) {
    EXPECT_EQ(e.kind, StoreError::Kind::Newer) << e.what();
  }
}
// Cut, dropped, spoilt: a drawn part of the sweep.
TEST(StoreSweep, EveryEndKeepsWhatWasPromisedAndDamageIsNeverSilent) {
  const SweepResult r = sweep(0.1, 20261201, 2);
  EXPECT_EQ(r.silent, 0u) << r.first;
  EXPECT_EQ(r.damagedCuts, 0u) << r.first;
  EXPECT_EQ(r.withoutOffset, 0u);
  EXPECT_GT(r.cuts, 1000u);
  EXPECT_GT(r.losses, 10u);
  EXPECT_GT(r.sectors, 10u);
  EXPECT_GT(r.flips, 10u);
  EXPECT_GT(r.reported, 0u);
}
TEST(StoreSweep, ADiskThatFailsForAWhileAndAnEndAtAnyByteKeepWhatWasPromised) {
  const FailureSweepResult r = sweepFailures(60, 20261202);
  EXPECT_EQ(r.broken, 0u) << r.first;
  EXPECT_EQ(r.windows, 60u);
  EXPECT_EQ(r.kills, 8 * r.windows);
  EXPECT_EQ(r.losses, 8 * r.windows);
  EXPECT_GT(r.failedOperations, r.windows);
}
// A check that cannot fail would prove nothing.
TEST(StoreSweep, BrokenPromisesAreSeen) {
  const TemporaryDirectory folder;
  TestTime time;
  Files files;
  Life life(files, folder.path + "/a", time);
  live(life, time);
  IdempotencyStoreSettings s;
  s.directory = folder.path + "/b";
  IdempotencyStore other(files, s, [&] { return time(); });
  EXPECT_NE(broken(life.facts(), other, time), "");
  Facts one;
  one.sessions[1] = 5;
  EXPECT_NE(broken(one, other, time), "");
}

// ---- a disk that fails --------------------------------------------------------------------------------
// Each operation of the life fails in turn, once or from then on, with none or a part of its bytes written.
TEST(StoreFaults, EveryOperationMayFailAndNothingPromisedIsLost) {
  std::size_t operations = 0;
  {
    const TemporaryDirectory folder;
    Recorder r(folder.path + "/store");
    Files files(&r);
    TestTime time;
    Life life(files, folder.path + "/store", time);
    live(life, time);
    operations = r.count();
  }
  ASSERT_GT(operations, 200u);
  std::size_t failures = 0;
  for (std::size_t n = 0; n < operations; ++n)
    for (const bool lasting : {false, true}) {
      const TemporaryDirectory folder;
      Recorder r(folder.path + "/store");
      r.failAt(n, lasting, n % 3 * 5);
      Files files(&r);
      TestTime time;
      Life life(files, folder.path + "/store", time);
      bool threw = false;
      try {
        live(life, time);
      } catch (const StoreError& e) {
        threw = true;
        EXPECT_EQ(e.kind, StoreError::Kind::Failed) << n << ": " << e.what();
      }
      life.close();
      EXPECT_TRUE(r.failed()) << n;
      failures += threw;
      r.mend();
      try {
        life.open();
        EXPECT_EQ(broken(life.facts(), life.ledger(), time), "") << n;
      } catch (const StoreError& e) {
        ADD_FAILURE() << "operation " << n << (lasting ? ", lasting" : "") << ": " << e.what();
      }
    }
  EXPECT_GT(failures, operations / 2);
}
TEST_F(StoreTest, ASyncThatFailsOnceLeavesNothingTakenForDurable) {
  auto l = open();
  ask(*l, "k1", "a");
  const std::size_t n = recorder.count();
  recorder.failAt(n + 1, false);  // the append, then its sync
  EXPECT_THROW(ask(*l, "k2", "b"), StoreError);
  EXPECT_THROW(ask(*l, "k3", "c"), StoreError) << "until it is opened again";
  l.reset();
  recorder.mend();
  l = open();
  EXPECT_EQ(ask(*l, "k1", "d").disposition, Disposition::Retry);
  EXPECT_EQ(ask(*l, "k3", "e").disposition, Disposition::Execute);
}
// A file that cannot be opened or read for the moment is neither another process's nor damage: here a folder
// stands in its place, which fails as a disk may.
TEST_F(StoreTest, AFileThatCannotBeReadForTheMomentIsADiskThatFails) {
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
TEST_F(StoreTest, ADiskThatIsFullAmidAGroupLosesTheGroupWhole) {
  auto l = open();
  ask(*l, "k0", "a");
  recorder.failAt(recorder.count(), true, 40);
  std::vector<Operation> group;
  for (int k = 1; k < 20; ++k)
    group.emplace_back(BeginKeyedRequest{{"a", "k" + std::to_string(k), "order", 3, kWindow}});
  EXPECT_THROW(l->apply(group), StoreError);
  l.reset();
  EXPECT_EQ(error().kind, StoreError::Kind::Failed) << "it is full still";
  recorder.mend();
  l = open();
  EXPECT_EQ(ask(*l, "k0", "b").disposition, Disposition::Retry);
  for (int k = 1; k < 20; ++k)
    EXPECT_EQ(ask(*l, "k" + std::to_string(k), "b").disposition, Disposition::Execute);
}

// ---- what failed commits were to record ---------------------------------------------------------------
TEST(StoreBacklog, KeepsOperationsInOrderAndAnIntentAsItsWithdrawal) {
  Backlog b;
  EXPECT_TRUE(b.add(BeginKeyedRequest{{"a", "k1", "order", 3, kWindow}}));
  EXPECT_TRUE(b.add(CompleteRequest{"k2", "b", Outcome::Served, "row", 0, 0, true}));
  EXPECT_TRUE(b.add(RecordSessionPosition{7, 500}));
  EXPECT_TRUE(b.add(RecordSessionPosition{7, 400}));
  EXPECT_FALSE(b.add(ReadSessionPosition{7}));
  const std::vector<Operation> all = b.oldest(10);
  ASSERT_EQ(all.size(), 3u);
  EXPECT_EQ(std::get<RecordSessionPosition>(all[0]).positionMs, 500) << "never back";
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
  EXPECT_TRUE(sessions.add(RecordSessionPosition{1, 2})) << "of one that is known";
  const std::string answer(16 << 10, 'x');
  std::size_t kept = 0;
  while (bytes.add(CompleteRequest{"k", "a", Outcome::Served, answer, 0, 0, true})) ++kept;
  EXPECT_LE(kept * answer.size(), Backlog::kMaxBytes);
  EXPECT_GT(kept, 200u);
  bytes.drop(1);
  EXPECT_TRUE(bytes.add(CompleteRequest{"k", "a", Outcome::Served, answer, 0, 0, true}));
}

// Every first call of a kind is interrupted, every other one carries a third of its bytes at most.
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
TEST(StoreFaults, CallsThatAreInterruptedOrStopShortAreNoFailure) {
  const TemporaryDirectory folder;
  Files files;
  TestTime time;
  Life life(files, folder.path + "/store", time);
  const InterruptedCalls calls;
  ASSERT_NO_THROW(live(life, time));
  life.open();
  EXPECT_EQ(broken(life.facts(), life.ledger(), time), "");
  EXPECT_EQ(replaceFile(files, folder.path + "/whole", std::string(5000, 'w')), "");
  EXPECT_EQ(slurp(folder.path + "/whole"), std::string(5000, 'w'));
  EXPECT_GT(InterruptedCalls::calls, 100);
}
TEST(StoreFaults, AWholeFileThatCannotBeWrittenLeavesTheEarlierOne) {
  const TemporaryDirectory folder;
  const std::string path = folder.path + "/whole";
  Recorder recorder(folder.path);
  Files files(&recorder);
  ASSERT_EQ(replaceFile(files, path, "earlier"), "");
  const std::size_t each = recorder.count();
  for (std::size_t operation = 0; operation < each; ++operation) {
    recorder.failAt(recorder.count() + operation, false, 3);
    EXPECT_NE(replaceFile(files, path, "later"), "") << operation;
    EXPECT_EQ(slurp(path), "earlier") << operation;
    EXPECT_FALSE(fs::exists(path + ".new")) << "it takes room that the disk may lack: " << operation;
  }
  recorder.mend();
  EXPECT_EQ(replaceFile(files, path, "later"), "");
  EXPECT_EQ(slurp(path), "later");
}

// A process that writes all the while is ended by SIGKILL at moments drawn by seed; what it had been promised
// by then it has told through a pipe.
TEST(StoreKill, AtAnyMomentUnderLoadNothingPromisedIsLost) {
  pcg64 random(20261201);
  std::size_t promised = 0;
  for (int round = 0; round < 12; ++round) {
    const TemporaryDirectory folder;
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const pid_t child = fork();
    if (child == 0) {
      Files files;
      IdempotencyStoreSettings s;
      s.directory = folder.path + "/store";
      IdempotencyStore ledger(files, s, [] { return TestTime()(); });
      for (int k = 0;; ++k) {
        const std::string key = "k" + std::to_string(k);
        ledger.apply({BeginKeyedRequest{{"a", key, "order", 3, kWindow}}});
        ledger.apply(
            {CompleteRequest{key, "a", Outcome::Served,
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
    IdempotencyStore ledger(files, s, [] { return TestTime()(); });
    for (int k = 0; k <= last; ++k) {
      const std::string key = "k" + std::to_string(k);
      const OperationResult said = ledger.apply({BeginKeyedRequest{{"b", key, "order", 3, kWindow}}})[0];
      ASSERT_EQ(said.disposition, Disposition::Replay) << key << " of " << last;
      ASSERT_EQ(said.response.substr(0, key.size()), key);
      ++promised;
    }
  }
  EXPECT_GT(promised, 500u);
}

// ---- records ------------------------------------------------------------------------------------------
TEST(Records, ComeBackAsTheyWere) {
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
TEST(Records, WhatIsNoRecordIsTurnedDown) {
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
// Files as each version wrote them are read by this one.
TEST(Records, KeptFilesOfEachVersionAreRead) {
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
    time.pass(std::chrono::seconds(60));
    IdempotencyStore l(files, s, [&] { return time(); });
    const auto ask = [&](const char* key) {
      return l.apply({BeginKeyedRequest{{"x", key, "order", 3, kWindow}}})[0];
    };
    EXPECT_EQ(ask("served").response, "the row");
    EXPECT_EQ(ask("open").disposition, Disposition::OutcomeUnknown);
    EXPECT_EQ(ask("refused").disposition, Disposition::Execute);
    EXPECT_EQ(ask("failed").disposition, Disposition::OutcomeUnknown);
    EXPECT_EQ(l.apply({ReadSessionPosition{5}})[0].positionMs, 1767225600001);
  }
}

}  // namespace
}  // namespace sablespur::test
