// What of a keyed write is durable before what: the keeper between fake members and a fake asker, with a disk
// that hangs and fails by order; and the whole program, ended by SIGKILL and started anew on its store.
#include "durability/idempotency_handler.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "durability/idempotency_store.hpp"
#include "protocol/postgres/codec.hpp"
#include "scenario.hpp"
#include "store_run.hpp"

namespace sablespur::test {
namespace {

namespace fs = std::filesystem;
using durability::FileOp;

// A disk whose syncs can be held up, and that can be told to fail.
class Disk final : public durability::FileHook {
 public:
  Result before(FileOp op, const std::string&, std::string_view bytes, std::uint64_t,
                const std::string&) override {
    std::unique_lock<std::mutex> lock(mutex_);
    syncs_ += op == FileOp::Sync;
    if (op == FileOp::Sync) freed_.wait(lock, [this] { return !held_; });
    const bool fails = failing_ || (op == FileOp::Append && bytes.size() > longest_);
    return {fails ? leveldb::Status::IOError("no space left", "made to fail") : leveldb::Status::OK(), 0};
  }
  void failLongerThan(std::size_t bytes) {  // of what is appended at once
    const std::lock_guard<std::mutex> lock(mutex_);
    longest_ = bytes;
  }
  void hold(bool on) {
    const std::lock_guard<std::mutex> lock(mutex_);
    held_ = on;
    freed_.notify_all();
  }
  void fail(bool on) {
    const std::lock_guard<std::mutex> lock(mutex_);
    failing_ = on;
  }
  std::size_t syncs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return syncs_;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable freed_;
  bool held_ = false, failing_ = false;
  std::size_t syncs_ = 0, longest_ = SIZE_MAX;
};

struct FakeMembers : Backend {
  struct Sent {
    RequestId id;
    int attempt;
    EndpointId member;
  };
  std::vector<Sent> sent;
  void endpointListed(EndpointId, const Address&, bool, Time) override {}
  void send(RequestId id, int attempt, EndpointId m, Time, std::shared_ptr<const RequestMessage>) override {
    sent.push_back({id, attempt, m});
  }
  void continueAttempt(RequestId, int, bool) override {}
  void cancel(RequestId, int) override {}
  std::vector<EndpointId> probed;  // and not answered yet
  void startHealthCheck(EndpointId m) override { probed.push_back(m); }
  void removeEndpoint(EndpointId) override {}
};
struct FakeLists : DiscoverySource {
  void watch(std::uint64_t) override {}
};
struct Asker : ResponseHandler {
  std::string got;
  Time wait{};
  void served(Answer answer) override {
    got += "served ";
    got.append(reinterpret_cast<const char*>(evbuffer_pullup(answer.messages.get(), -1)),
               evbuffer_get_length(answer.messages.get()));
  }
  void rejected(Time t) override {
    got += "refused";
    wait = t;
  }
  void failed() override { got += "failed"; }
};

struct KeeperTest : testing::Test {
  const TemporaryDirectory folder;
  EventBase base{event_base_new()};
  Config config =
      parseConfig(configuration({}, 1, {11, 12}));  // class 1: keyed writes, repeats dropped for 9 s
  Disk disk;
  FakeMembers members;
  FakeLists lists;
  std::unique_ptr<Engine> engine;
  std::unique_ptr<IdempotencyHandler> keeper;
  int ids = 0;

  KeeperTest() {
    StoreConfig s;
    s.directory = folder.path + "/store";
    s.keep = std::chrono::minutes(1);
    s.keepSessions = std::chrono::minutes(1);
    s.mostKeys = s.mostSessions = 1000;
    s.longestAnswer = 1000;
    s.patience = std::chrono::milliseconds(100);
    s.comeBackLeast = std::chrono::milliseconds(10);
    s.comeBackMost = std::chrono::milliseconds(20);
    config.store = std::make_shared<const StoreConfig>(s);
    open();
  }
  ~KeeperTest() override { disk.hold(false); }
  Time replicaBehind{};
  void open() {
    keeper.reset();
    engine = std::make_unique<Engine>(base.get(), config);
    engine->start(members, lists);
    keeper = createIdempotencyHandler(base.get(), *engine, *engine, config, postgres::reader(), &disk);
    engine->runTurn();
    for (const EndpointId m : {1, 2}) report(m);
    engine->runTurn();
    members.sent.clear();
  }
  void report(EndpointId m) {
    engine->healthCheckEnded(
        m, true,
        {static_cast<double>((engine->now() - (m == 2 ? replicaBehind : Time(0))).count()) / 1e6,
         m == 1 ? 1.0 : 0.0, 0.0});
  }
  void crash() {
    // Whatever was not durable is lost with the object; nothing is written on the way out but what waits.
    open();
  }
  template <typename Done>
  bool until(Done done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      event_base_loop(base.get(), EVLOOP_NONBLOCK);
      // A probe without an answer is a mute member, as soon as the machine is busy for a moment.
      for (const EndpointId m : std::exchange(members.probed, {})) report(m);
      engine->runTurn();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
  }
  RequestId ask(Asker& a, const std::string& key, int cls = 1, std::uint64_t session = 0) {
    balancer::Request q;
    q.classIndex = cls;
    q.group = 3;
    q.session = session;
    q.deadline = engine->now() + std::chrono::seconds(8);
    return keeper->request(
        a, q, RequestMessage{newBuffer(), newBuffer(), nullptr, "id" + std::to_string(++ids), key});
  }
  void answer(const FakeMembers::Sent& s, const std::string& text, AttemptResult result = AttemptResult::Ok) {
    AttemptEnd e;
    e.result = result;
    e.role = Role::Primary;
    e.positionMs = engine->now().count() / 1000;
    e.answer.messages = newBuffer();
    append(e.answer.messages.get(), text);
    e.answer.reader = &postgres::reader();
    engine->attemptEnded(s.id, s.attempt, s.member, std::move(e));
  }
};

TEST_F(KeeperTest, NothingIsSentBeforeItsIntentIsDurableAndNothingToldBeforeItsOutcomeIs) {
  Asker a;
  disk.hold(true);
  const std::size_t before = disk.syncs();
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return disk.syncs() > before; })) << "the commit is under way";
  for (int k = 0; k < 5; ++k) engine->runTurn();
  EXPECT_TRUE(members.sent.empty());
  disk.hold(false);
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  disk.hold(true);
  answer(members.sent[0], "the row");
  const std::size_t then = disk.syncs();
  ASSERT_TRUE(until([&] { return disk.syncs() > then; }));
  EXPECT_EQ(a.got, "");
  disk.hold(false);
  ASSERT_TRUE(until([&] { return !a.got.empty(); }));
  EXPECT_EQ(a.got, "served the row");
  Asker b;
  ask(b, "k1");
  ASSERT_TRUE(until([&] { return !b.got.empty(); }));
  EXPECT_EQ(b.got, "served the row");
  EXPECT_EQ(members.sent.size(), 1u) << "it does not run again";
}
TEST_F(KeeperTest, ReadsAndWritesWithoutAKeyWaitForNoDisk) {
  disk.hold(true);
  Asker held, read, plain;
  ask(held, "k1");
  ask(read, "", 0);
  ask(plain, "", 1);
  engine->runTurn();
  EXPECT_EQ(members.sent.size(), 2u);
}
TEST_F(KeeperTest, ADiskThatHangsHasWritesRefusedAndTheyNeverGoOutLater) {
  disk.hold(true);
  Asker a, b, read;
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return !a.got.empty(); }));
  EXPECT_EQ(a.got, "refused");
  EXPECT_GE(a.wait, std::chrono::milliseconds(10));
  ask(b, "k2");
  ASSERT_TRUE(until([&] { return !b.got.empty(); })) << "at once now: the disk is known to hang";
  EXPECT_EQ(b.got, "refused");
  EXPECT_EQ(keeper->view().state, "slow");
  ask(read, "", 0);
  engine->runTurn();
  EXPECT_EQ(members.sent.size(), 1u) << "reads go on";
  disk.hold(false);
  ASSERT_TRUE(until([&] { return keeper->view().state == "up"; }));
  Asker again;
  ask(again, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 2; })) << "what was turned away may come again";
  EXPECT_EQ(a.got, "refused");
}
TEST_F(KeeperTest, AnOutcomeThatDoesNotBecomeDurableIsNotTold) {
  Asker a;
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  disk.fail(true);
  answer(members.sent[0], "the row");
  ASSERT_TRUE(until([&] { return !a.got.empty(); }));
  EXPECT_EQ(a.got, "failed");
  crash();  // while the disk still fails: what was only in memory is gone
  disk.fail(false);
  ASSERT_TRUE(until([&] { return keeper->view().state == "up"; }));
  Asker b;
  ask(b, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1 || !b.got.empty(); }));
  EXPECT_EQ(b.got, "") << "within the window it goes again: the data servers drop it";
}
TEST_F(KeeperTest, ADiskThatFailsIsOpenedAgainByItself) {
  disk.fail(true);
  Asker a, b;
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return !a.got.empty(); }));
  EXPECT_EQ(a.got, "refused");
  EXPECT_EQ(keeper->view().state, "down");
  ask(b, "k2");
  ASSERT_TRUE(until([&] { return !b.got.empty(); }));
  EXPECT_EQ(b.got, "refused");
  EXPECT_TRUE(members.sent.empty());
  disk.fail(false);
  ASSERT_TRUE(until([&] { return keeper->view().state == "up"; }));
  Asker c;
  ask(c, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  answer(members.sent[0], "the row");
  ASSERT_TRUE(until([&] { return !c.got.empty(); }));
  EXPECT_EQ(c.got, "served the row");
}
// A key that came while the disk failed never was sent: long after, too, it is not taken for one that may
// have run.
TEST_F(KeeperTest, WhatWasTurnedAwayLeavesNoIntentBehind) {
  disk.hold(true);
  Asker a;
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return !a.got.empty(); }));
  disk.hold(false);
  ASSERT_TRUE(until([&] { return keeper->view().state == "up" && keeper->view().waiting == 0; }));
  keeper.reset();
  durability::Files files;
  durability::IdempotencyStoreSettings s;
  s.directory = config.store->directory;
  durability::MachineTime later = durability::machineTime();
  later.sinceBootUs += 60000000;
  durability::IdempotencyStore ledger(files, s, [&] { return later; });
  EXPECT_EQ(ledger.apply({durability::BeginKeyedRequest{{"x", "k1", "write", 3, kWindow}}})[0].disposition,
            durability::Disposition::Execute);
}
TEST_F(KeeperTest, AnIntentOfBeforeTheCrashGoesAgainWithinItsWindow) {
  Asker a, b;
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  crash();
  EXPECT_EQ(a.got, "");
  ask(b, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  EXPECT_EQ(keeper->view().retried, 1u);
  // Since it may have run before, the module never refuses it as one that is harmless to try.
  answer(members.sent[0], "", AttemptResult::Rejected);
  engine->runTurn();
  EXPECT_NE(b.got, "refused");
}
TEST_F(KeeperTest, AClientThatLeavesMidwayLeavesAKeyThatMayHaveRun) {
  Asker a, b;
  const RequestId id = ask(a, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  keeper->clientDisconnected(id);
  engine->runTurn();
  ask(b, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 2; }));
  EXPECT_EQ(keeper->view().retried, 1u);
  EXPECT_EQ(a.got, "");
}
TEST_F(KeeperTest, AnotherRequestOfTheKeyWaitsForHowTheFirstEnds) {
  Asker a, b, c;
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  ask(b, "k1");
  const RequestId leaves = ask(c, "k1");
  ASSERT_TRUE(until([&] { return keeper->view().waiting == 0; }));
  EXPECT_EQ(members.sent.size(), 1u);
  EXPECT_EQ(keeper->view().waitedForSameKey, 2u);
  keeper->clientDisconnected(leaves);
  answer(members.sent[0], "the row");
  ASSERT_TRUE(until([&] { return !b.got.empty(); }));
  EXPECT_EQ(a.got, "served the row");
  EXPECT_EQ(b.got, "served the row");
  EXPECT_EQ(c.got, "");
  EXPECT_EQ(members.sent.size(), 1u);
}
// The time that a commit takes is no time that the data servers' memory waits.
TEST_F(KeeperTest, ASlowCommitDoesNotLengthenTheWindow) {
  config.settings.classes[1].deduplicationWindow = std::chrono::milliseconds(300);
  StoreConfig s = *config.store;
  s.patience = std::chrono::seconds(5);
  config.store = std::make_shared<const StoreConfig>(s);
  open();
  Asker a, b;
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  crash();
  disk.hold(true);
  const std::size_t before = disk.syncs();
  ask(b, "k1");
  ASSERT_TRUE(until([&] { return disk.syncs() > before; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  disk.hold(false);
  ASSERT_TRUE(until([&] { return !b.got.empty() || !members.sent.empty(); }));
  EXPECT_EQ(b.got, "failed");
  EXPECT_TRUE(members.sent.empty());
}
// After a crash a session's read still sees what the session wrote; another session's may see less.
TEST_F(KeeperTest, SessionsGoOnWhereTheyWereBeforeTheCrash) {
  config.settings.classes[0].requirement = balancer::Requirement::Session;
  config.settings.sessionTokensCarried = false;
  config.sessions = true;
  replicaBehind = std::chrono::seconds(2);
  // A busy machine's commit must not count as a hanging disk's, after which sessions read at the primary.
  StoreConfig patient = *config.store;
  patient.patience = std::chrono::seconds(5);
  config.store = std::make_shared<const StoreConfig>(patient);
  open();
  Asker w, mine, other;
  ask(w, "k1", 1, 7);
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  answer(members.sent[0], "the row");
  ASSERT_TRUE(until([&] { return !w.got.empty(); }));
  crash();
  ask(mine, "", 0, 7);
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  EXPECT_EQ(members.sent[0].member, 1u) << "the replica has not got it yet";
  ask(other, "", 0, 8);
  ASSERT_TRUE(until([&] { return members.sent.size() == 2; }));
  EXPECT_EQ(members.sent[1].member, 2u);
}
TEST_F(KeeperTest, WhileTheStoreIsDownASessionsReadSeesNothingOlderThanNow) {
  config.settings.classes[0].requirement = balancer::Requirement::Session;
  config.settings.sessionTokensCarried = false;
  config.sessions = true;
  replicaBehind = std::chrono::seconds(2);
  open();
  disk.fail(true);
  Asker w, r;
  ask(w, "k1");
  ASSERT_TRUE(until([&] { return !w.got.empty(); }));
  ask(r, "", 0, 7);
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  EXPECT_EQ(members.sent[0].member, 1u);
  disk.fail(false);
}
TEST_F(KeeperTest, AnOutcomeWhoseCommitFailedIsRecordedOnceTheDiskIsBack) {
  Asker a, meanwhile, b;
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  disk.fail(true);
  answer(members.sent[0], "the row");
  ASSERT_TRUE(until([&] { return !a.got.empty(); }));
  EXPECT_EQ(a.got, "failed") << "one final answer, while the disk still fails";
  ask(meanwhile, "k1");
  ASSERT_TRUE(until([&] { return !meanwhile.got.empty(); }));
  EXPECT_EQ(meanwhile.got, "refused");
  disk.fail(false);
  ASSERT_TRUE(until([&] { return keeper->view().state == "up"; }));
  ask(b, "k1");
  ASSERT_TRUE(until([&] { return !b.got.empty() || members.sent.size() > 1; }));
  EXPECT_EQ(b.got, "served the row");
  EXPECT_EQ(members.sent.size(), 1u) << "it ran once";
}
TEST_F(KeeperTest, AnOutcomeWhoseCommitFailedIsTriedOnceMoreAtTheEnd) {
  Asker a, b;
  ask(a, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  disk.fail(true);
  answer(members.sent[0], "the row");
  ASSERT_TRUE(until([&] { return !a.got.empty(); }));
  disk.fail(false);
  crash();
  ask(b, "k1");
  ASSERT_TRUE(until([&] { return !b.got.empty() || !members.sent.empty(); }));
  EXPECT_EQ(b.got, "served the row");
  EXPECT_TRUE(members.sent.empty());
}
TEST_F(KeeperTest, WhatASessionSawWhileTheDiskFailedHoldsAfterTheNextStart) {
  config.settings.classes[0].requirement = balancer::Requirement::Session;
  config.settings.sessionTokensCarried = false;
  config.sessions = true;
  replicaBehind = std::chrono::seconds(2);
  StoreConfig patient = *config.store;
  patient.patience = std::chrono::seconds(5);
  config.store = std::make_shared<const StoreConfig>(patient);
  open();
  disk.fail(true);
  Asker write, read, after, other;
  ask(write, "k1");
  ASSERT_TRUE(until([&] { return !write.got.empty(); }));
  ask(read, "", 0, 7);
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  answer(members.sent[0], "seen at the primary");
  ASSERT_TRUE(until([&] { return !read.got.empty(); }));
  disk.fail(false);
  ASSERT_TRUE(until([&] { return keeper->view().state == "up"; }));
  crash();
  ask(after, "", 0, 7);
  ASSERT_TRUE(until([&] { return members.sent.size() == 1; }));
  EXPECT_EQ(members.sent[0].member, 1u) << "the replica is behind what the session has seen";
  ask(other, "", 0, 8);
  ASSERT_TRUE(until([&] { return members.sent.size() == 2; }));
  EXPECT_EQ(members.sent[1].member, 2u);
}
TEST_F(KeeperTest, AStartOnAFullDiskServesWhatNeedsNoStoreAndRecoversByItself) {
  keeper.reset();
  disk.fail(true);
  open();
  EXPECT_EQ(keeper->view().state, "down");
  Asker write, read, later;
  ask(write, "k1");
  ask(read, "", 0);
  ASSERT_TRUE(until([&] { return !write.got.empty() && members.sent.size() == 1; }));
  EXPECT_EQ(write.got, "refused");
  EXPECT_GE(write.wait, std::chrono::milliseconds(10));
  disk.fail(false);
  ASSERT_TRUE(until([&] { return keeper->view().state == "up"; }));
  ask(later, "k1");
  ASSERT_TRUE(until([&] { return members.sent.size() == 2; }));
  EXPECT_EQ(keeper->view().executed, 1u);
}
// The opening commits a little and succeeds each time, the next group fails again. Lower bounds of time
// alone: a busy machine only adds to them.
TEST_F(KeeperTest, ADiskWithRoomForTheOpeningAloneIsOpenedEverMoreRarely) {
  StoreConfig patient = *config.store;
  patient.patience = std::chrono::seconds(5);
  config.store = std::make_shared<const StoreConfig>(patient);
  open();
  disk.failLongerThan(2500);
  for (const int least : {100, 200, 400}) {
    const auto before = std::chrono::steady_clock::now();
    Asker a;
    ask(a, std::string(3000, 'k'));
    ASSERT_TRUE(until([&] { return !a.got.empty(); }));
    EXPECT_EQ(a.got, "refused");
    ASSERT_TRUE(until([&] { return keeper->view().state == "up"; }));
    EXPECT_GE(std::chrono::steady_clock::now() - before, std::chrono::milliseconds(least));
  }
}
TEST_F(KeeperTest, OneThatLeavesWhileItsIntentIsWrittenIsNeverSent) {
  Asker a;
  disk.hold(true);
  const RequestId id = ask(a, "k1");
  until([&] { return keeper->view().waiting > 0; });
  keeper->clientDisconnected(id);
  disk.hold(false);
  ASSERT_TRUE(until([&] { return keeper->view().waiting == 0; }));
  EXPECT_TRUE(members.sent.empty());
  EXPECT_EQ(a.got, "");
}

// ---- the whole program --------------------------------------------------------------------------------
struct ProgramTest : testing::Test {
  const TemporaryDirectory folder;
  Setting setting(const std::string& window = "9s") {
    Setting s;
    s.ini = true;
    s.more = "[class brief]\ndata = write\nrepeats = keyed\nrepeats_dropped_for = " + window +
             "\naim = 2s\ngive_up = 5s\n[store]\ndirectory = " + folder.path + "/store\n";
    return s;
  }
};
using StoreStep = ProgramTest;

TEST_F(StoreStep, ARepeatIsAnsweredFromTheRecordAfterACrash) {
  Scenario t(setting());
  t.run(R"(
    c1 send query INSERT 1 /* id=1,c=brief,d=4000,k=K1,cluster=3 */
    s1 expect query id=1
    s1 send row one
    c1 expect row one
    c1 send query INSERT 1 /* id=2,c=brief,d=4000,k=K1,cluster=3 */
    c1 expect row one
    proxy crash
    proxy expect log event=store_opened directory=)" +
        folder.path + R"(/store epoch=2 keys=1 sessions=0 unresolved=0
    c2 send query INSERT 1 /* id=3,c=brief,d=4000,k=K1,cluster=3 */
    c2 expect row one
    c2 send query INSERT 1 /* id=4,c=brief,d=4000,k=K2,cluster=3 */
    s1 expect query id=4
    s1 send row two
    c2 expect row two
  )");
}
// Its first run has no snapshot; the second reads the first one's, and takes nobody for the primary before s1
// says so.
TEST_F(StoreStep, AfterACrashItComesBackOnItsSnapshotAndByADataServersWord) {
  Setting s = setting();
  s.more += "[recovery]\nsnapshot_every = 20ms\n";
  Scenario t(s);
  t.run(R"(
    proxy expect log event=recovery_started snapshot=none
    c1 send query INSERT 1 /* id=1,c=brief,d=4000,k=K1,cluster=3 */
    s1 expect query id=1
    s1 send row one
    c1 expect row one
    proxy expect log event=primary_confirmed group=3 name=s-1 claimed=false
  )");
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  t.run(R"(
    proxy crash
    proxy expect log event=recovery_started snapshot=read epoch=1
    proxy expect log event=epoch_entered epoch=2 joined=false
    c2 send query INSERT 1 /* id=2,c=brief,d=4000,k=K2,cluster=3 */
    s1 expect query id=2
    s1 send row two
    c2 expect row two
    proxy expect log event=primary_confirmed group=3 name=s-1 claimed=true epoch=1
    proxy expect log event=group_recovery_advanced group=3 step=writing
  )");
}
// The settings name no data server and the name server has fallen silent: what the snapshot names is all
// there is.
TEST_F(StoreStep, WhileDiscoveryIsSilentTheSnapshotsMembersServe) {
  Setting s = setting();
  s.dnssd = true;
  s.more += "[recovery]\nsnapshot_every = 20ms\n";
  Scenario t(s);
  t.run(R"(
    c1 send query INSERT 1 /* id=1,c=brief,d=4000,k=K1,cluster=3 */
    s1 expect query id=1
    s1 send row one
    c1 expect row one
  )");
  t.serveFor(std::chrono::milliseconds(200));
  t.run(R"(
    dns mood silent
    proxy crash
    proxy expect log event=recovery_started snapshot=read epoch=1
    c2 send query INSERT 1 /* id=2,c=brief,d=4000,k=K2,cluster=3 */
    s1 expect query id=2
    s1 send row two
    c2 expect row two
  )");
}
TEST_F(StoreStep, ASnapshotThatIsSpoiltIsPutAsideAndServiceGoesOnWithoutIt) {
  std::ofstream(folder.path + "/store.snapshot") << "sablespur-snapshot 01 00000010 0123456789abcdef";
  Scenario t(setting());
  t.run(R"(
    proxy expect log event=snapshot_rejected
    proxy expect log event=recovery_started snapshot=refused
    c1 send query INSERT 1 /* id=1,c=brief,d=4000,k=K1,cluster=3 */
    s1 expect query id=1
    s1 send row one
    c1 expect row one
  )");
  EXPECT_TRUE(std::filesystem::exists(folder.path + "/store.snapshot.refused"));
}
TEST_F(StoreStep, WhatWasOutAtTheCrashGoesAgainWithinTheWindowAndNotAfter) {
  Setting s = setting("1500ms");
  // After a restart the endpoints count as cold, and slow start may reject a write: not what is tested here.
  s.more += "[rules]\ncold_for = 0s\n";
  Scenario t(s);
  t.run(R"(
    c1 send query INSERT 1 /* id=1,c=brief,d=4000,k=K1,cluster=3 */
    s1 expect query id=1
    c2 send query INSERT 1 /* id=2,c=write,d=4000,k=K2,cluster=3 */
    s1 expect query id=2
    proxy crash
    proxy expect log unresolved=2
    c3 send query INSERT 1 /* id=3,c=write,d=4000,k=K2,cluster=3 */
    s1 expect query id=3
    s1 send row two
    c3 expect row two
  )");
  t.serveFor(std::chrono::milliseconds(1600));  // past the window
  t.run(R"(
    c4 send query INSERT 1 /* id=4,c=brief,d=4000,k=K1,cluster=3 */
    c4 expect error 40003
    c4 send query INSERT 1 /* id=5,c=brief,d=4000,k=K3,cluster=3 */
    s1 expect query id=5
  )");
}
TEST_F(StoreStep, ADiskThatIsFullRefusesKeyedWritesUntilThereIsRoom) {
  Scenario t(setting());
  const auto room = [&](rlim_t bytes) {
    const rlimit limit{bytes, RLIM_INFINITY};
    ASSERT_EQ(prlimit(t.pid(), RLIMIT_FSIZE, &limit, nullptr), 0);
  };
  t.run("c1 expect in\n");
  room(0);
  t.run(R"(
    c1 send query INSERT 1 /* id=1,c=brief,d=4000,k=K1,cluster=3 */
    c1 expect error 53300
    proxy expect log event=store_down
    c1 send query INSERT 1 /* id=2,c=brief,d=4000,k=K2,cluster=3 */
    c1 expect error 53300
  )" + std::string("c1 send query SELECT 1 /* id=3,c=read,d=4000,cluster=3 */\ns2 expect query id=3\n"
                   "s2 send row read\nc1 expect row read\n"));
  EXPECT_EQ(t.logged("event=store_down"), 1u);
  room(RLIM_INFINITY);
  t.run(R"(
    proxy expect log event=store_opened directory=)" +
        folder.path + R"(/store epoch=2
    c1 send query INSERT 1 /* id=4,c=brief,d=4000,k=K1,cluster=3 */
    s1 expect query id=4
    s1 send row one
    c1 expect row one
  )");
}

TEST_F(StoreStep, ASnapshotThatCannotBeWrittenIsSaidOnceAndTheEarlierStands) {
  Setting s = setting();
  s.more += "[recovery]\nsnapshot_every = 20ms\n";
  const std::string path = folder.path + "/store.snapshot";
  Scenario t(s);
  t.serveUntil([&] { return fs::exists(path); });
  const rlimit none{0, RLIM_INFINITY}, all{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(prlimit(t.pid(), RLIMIT_FSIZE, &none, nullptr), 0);
  t.run("proxy expect log event=snapshot_write_failed\n");
  const auto size = fs::file_size(path);
  EXPECT_GT(size, 0u);
  t.serveFor(std::chrono::milliseconds(200));
  EXPECT_EQ(t.logged("event=snapshot_write_failed"), 1u);
  EXPECT_EQ(fs::file_size(path), size);
  ASSERT_EQ(prlimit(t.pid(), RLIMIT_FSIZE, &all, nullptr), 0);
  t.run("proxy expect log event=snapshot_write_recovered\n");
}

struct Told {
  int status;
  std::string text;
};
Told command(const std::vector<std::string>& arguments) {
  int out = -1;
  const int pid = spawn("/nowhere", 0, out, arguments);
  Told t{};
  char bytes[4096];
  for (ssize_t n; (n = ::read(out, bytes, sizeof bytes)) > 0;)
    t.text.append(bytes, static_cast<std::size_t>(n));
  close(out);
  int status = 0;
  waitpid(pid, &status, 0);
  t.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return t;
}
TEST_F(StoreStep, ADamagedStoreIsNamedByTheCommandAndKeepsTheProxyFromStarting) {
  const std::string dir = folder.path + "/store";
  {
    Scenario t(setting());
    t.run(R"(
      c1 send query INSERT 1 /* id=1,c=brief,d=4000,k=K1,cluster=3 */
      s1 expect query id=1
      s1 send row one
      c1 expect row one
      c1 send query INSERT 1 /* id=2,c=brief,d=4000,k=K2,cluster=3 */
      s1 expect query id=2
    )");
    const Told busy = command({"store", "check", dir});
    EXPECT_EQ(busy.status, 1);
    EXPECT_NE(busy.text.find("open in another process"), std::string::npos) << busy.text;
  }
  const Told good = command({"store", "check", dir});
  EXPECT_EQ(good.status, 0) << good.text;
  EXPECT_NE(good.text.find("good; 2 keys"), std::string::npos) << good.text;
  EXPECT_NE(command({"store", "dump", dir}).text.find("key K1 "), std::string::npos);
  EXPECT_NE(command({"store", "dump", "--json", dir}).text.find("\"outcome\":\"served\""), std::string::npos);
  EXPECT_NE(command({"store", "stat", dir}).text.find("unresolved"), std::string::npos);
  EXPECT_EQ(command({"store", "compact", dir}).status, 0);
  EXPECT_EQ(command({"store", "check", folder.path}).status, 1) << "no store stands there, and none is made";
  std::string table;
  for (const auto& f : fs::directory_iterator(dir))
    if (f.path().extension() == ".ldb") table = f.path().string();
  ASSERT_FALSE(table.empty());
  {
    std::fstream f(table, std::ios::in | std::ios::out | std::ios::binary);
    f.seekp(20);
    f.put('\x55');
  }
  const Told bad = command({"store", "check", "--json", dir});
  EXPECT_EQ(bad.status, 1);
  EXPECT_NE(bad.text.find("\"kind\":\"damaged\""), std::string::npos) << bad.text;
  EXPECT_NE(bad.text.find(fs::path(table).filename().string()), std::string::npos) << bad.text;
  std::ofstream(folder.path + "/n0.ini") << settingsFile(setting(), 1, {11, 12});
  const Told start = command({"serve", "--config", folder.path + "/n0.ini"});
  EXPECT_EQ(start.status, 1);
  EXPECT_NE(start.text.find("key [store] directory"), std::string::npos) << start.text;
}
TEST_F(StoreStep, ADamagedStoreIsSetAsideWhereTheSettingsSaySo) {
  const std::string dir = folder.path + "/store";
  Setting s = setting();
  s.more += "damaged = set_aside\n";
  {
    Scenario t(s);
    t.run("c1 expect in\n");
  }
  std::ofstream(dir + "/CURRENT") << "MANIFEST-000099\n";
  Scenario t(s);
  t.run(R"(
    proxy expect log event=store_set_aside
    c1 send query INSERT 1 /* id=1,c=brief,d=4000,k=K1,cluster=3 */
    s1 expect query id=1
  )");
  std::size_t aside = 0;
  for (const auto& f : fs::directory_iterator(folder.path))
    aside += f.path().filename().string().rfind("store.damaged-", 0) == 0;
  EXPECT_EQ(aside, 1u);
}
TEST_F(StoreStep, PeersThatAreNotWholeAreTurnedDownByTheirKey) {
  const std::string path = folder.path + "/settings.ini";
  const auto check = [&](const std::string& more) {
    std::ofstream(path) << settingsFile(setting(), 1, {1, 2}) << more;
    return command({"check", path}).text;
  };
  EXPECT_NE(check("[peers]\nlisten = 127.0.0.1:7001\n").find("[peers] listen"), std::string::npos);
  EXPECT_NE(check("[peer a]\naddress = 127.0.0.1:7001\n").find("[peers] listen"), std::string::npos);
  EXPECT_NE(check("[peers]\nlisten = 127.0.0.1:7001\n[peer a]\naddress = 127.0.0.1:7001\n"
                  "[peer b]\naddress = 127.0.0.1:7001\n")
                .find("[peer b] address"),
            std::string::npos);
  EXPECT_EQ(check("[peers]\nlisten = 127.0.0.1:7001\n[peer a]\naddress = 127.0.0.1:7001\n").find("peer"),
            std::string::npos);
}
TEST_F(StoreStep, SettingsThatWouldForgetTooEarlyAreTurnedDown) {
  Setting s = setting("4s");
  s.more += "keep = 5s\n";
  std::ofstream(folder.path + "/n0.ini") << settingsFile(s, 1, {11, 12});
  const Told t = command({"check", folder.path + "/n0.ini"});
  EXPECT_EQ(t.status, 1);
  EXPECT_NE(t.text.find("[store] keep"), std::string::npos) << t.text;
}

TEST_F(StoreStep, AStoresDescriptorsComeOffWhatConnectionsMayTake) {
  Setting s = setting();
  s.sockets = 300;
  const Config with = parseSettings(settingsFile(s, 1, {11, 12}), folder.path + "/n0.ini");
  s.more.clear();
  const Config without = parseSettings(settingsFile(s, 1, {11, 12}), folder.path + "/n0.ini");
  EXPECT_EQ(with.clientConnections + with.serverConnections + kStoreDescriptors,
            without.clientConnections + without.serverConnections);
  EXPECT_LT(with.largeStatements, without.largeStatements);
  s = setting();
  s.sockets = 150;
  std::ofstream(folder.path + "/n0.ini") << settingsFile(s, 1, {11, 12});
  const Told t = command({"check", folder.path + "/n0.ini"});
  EXPECT_EQ(t.status, 1);
  EXPECT_NE(t.text.find("[limits] descriptors"), std::string::npos) << t.text;
}

}  // namespace
}  // namespace sablespur::test
