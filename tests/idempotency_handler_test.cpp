// Tests of the idempotency handler: the order in which the parts of a keyed write become durable,
// with a fake backend, a fake client and a disk that can be made to hang or fail; and the whole
// program, killed with SIGKILL and restarted on its store.
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

// A file hook that can block syncs and make file operations fail.
class FaultyDisk final : public durability::FileHook {
 public:
  Result before(FileOp op, const std::string&, std::string_view bytes, std::uint64_t,
                const std::string&) override {
    std::unique_lock<std::mutex> lock(mutex_);
    syncs_ += op == FileOp::Sync;
    if (op == FileOp::Sync) syncsUnblocked_.wait(lock, [this] { return !syncsBlocked_; });
    const bool fails = failing_ || (op == FileOp::Append && bytes.size() > maxAppend_);
    return {fails ? leveldb::Status::IOError("no space left", "made to fail") : leveldb::Status::OK(), 0};
  }
  // Fails every append of more than `bytes` bytes.
  void failAppendsLongerThan(std::size_t bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    maxAppend_ = bytes;
  }
  void blockSyncs(bool on) {
    const std::lock_guard<std::mutex> lock(mutex_);
    syncsBlocked_ = on;
    syncsUnblocked_.notify_all();
  }
  void setFailing(bool on) {
    const std::lock_guard<std::mutex> lock(mutex_);
    failing_ = on;
  }
  std::size_t syncs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return syncs_;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable syncsUnblocked_;
  bool syncsBlocked_ = false, failing_ = false;
  std::size_t syncs_ = 0, maxAppend_ = SIZE_MAX;
};

struct FakeBackend : Backend {
  struct Sent {
    RequestId id;
    int attempt;
    EndpointId endpoint;
  };
  std::vector<Sent> sent;
  void endpointListed(EndpointId, const Address&, bool, Time) override {}
  void send(RequestId id, int attempt, EndpointId m, Time, std::shared_ptr<const RequestMessage>) override {
    sent.push_back({id, attempt, m});
  }
  void continueAttempt(RequestId, int, bool) override {}
  void cancel(RequestId, int) override {}
  std::vector<EndpointId> unansweredHealthChecks;
  void startHealthCheck(EndpointId m) override { unansweredHealthChecks.push_back(m); }
  void removeEndpoint(EndpointId) override {}
};
struct FakeDiscovery : DiscoverySource {
  void watch(std::uint64_t) override {}
};
struct FakeClient : ResponseHandler {
  std::string received;
  Time retryAfter{};
  void served(Answer answer) override {
    received += "served ";
    received.append(reinterpret_cast<const char*>(evbuffer_pullup(answer.messages.get(), -1)),
                    evbuffer_get_length(answer.messages.get()));
  }
  void rejected(Time t) override {
    received += "rejected";
    retryAfter = t;
  }
  void failed() override { received += "failed"; }
};

struct IdempotencyHandlerTest : testing::Test {
  const TemporaryDirectory folder;
  EventBase base{event_base_new()};
  Config config = parseConfig(configuration({}, 1, {11, 12}));  // class 1: keyed writes, window 9 s
  FaultyDisk disk;
  FakeBackend backend;
  FakeDiscovery discovery;
  std::unique_ptr<Engine> engine;
  std::unique_ptr<IdempotencyHandler> handler;
  int ids = 0;

  IdempotencyHandlerTest() {
    StoreConfig s;
    s.directory = folder.path + "/store";
    s.keyRetention = std::chrono::minutes(1);
    s.sessionRetention = std::chrono::minutes(1);
    s.maxKeys = s.maxSessions = 1000;
    s.maxResponseBytes = 1000;
    s.commitTimeout = std::chrono::milliseconds(100);
    s.minRetryAfter = std::chrono::milliseconds(10);
    s.maxRetryAfter = std::chrono::milliseconds(20);
    config.store = std::make_shared<const StoreConfig>(s);
    open();
  }
  ~IdempotencyHandlerTest() override { disk.blockSyncs(false); }
  Time replicaLag{};
  void open() {
    handler.reset();
    engine = std::make_unique<Engine>(base.get(), config);
    engine->start(backend, discovery);
    handler = createIdempotencyHandler(base.get(), *engine, *engine, config, postgres::reader(), &disk);
    engine->runTurn();
    for (const EndpointId m : {1, 2}) report(m);
    engine->runTurn();
    backend.sent.clear();
  }
  void report(EndpointId m) {
    engine->healthCheckEnded(
        m, true,
        {static_cast<double>((engine->now() - (m == 2 ? replicaLag : Time(0))).count()) / 1e6,
         m == 1 ? 1.0 : 0.0, 0.0});
  }
  void crash() {
    // Whatever was not durable is lost with the object; its destructor writes only the queued
    // operations and the backlog.
    open();
  }
  template <typename Done>
  bool waitUntil(Done done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      event_base_loop(base.get(), EVLOOP_NONBLOCK);
      // Answers every health check at once: on a busy machine a late answer would count as a failed
      // check.
      for (const EndpointId m : std::exchange(backend.unansweredHealthChecks, {})) report(m);
      engine->runTurn();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
  }
  RequestId ask(FakeClient& a, const std::string& key, int cls = 1, std::uint64_t session = 0) {
    balancer::Request q;
    q.classIndex = cls;
    q.group = 3;
    q.session = session;
    q.deadline = engine->now() + std::chrono::seconds(8);
    return handler->request(
        a, q, RequestMessage{newBuffer(), newBuffer(), nullptr, "id" + std::to_string(++ids), key});
  }
  void answer(const FakeBackend::Sent& s, const std::string& text, AttemptResult result = AttemptResult::Ok) {
    AttemptEnd e;
    e.result = result;
    e.role = Role::Primary;
    e.positionMs = engine->now().count() / 1000;
    e.answer.messages = newBuffer();
    append(e.answer.messages.get(), text);
    e.answer.reader = &postgres::reader();
    engine->attemptEnded(s.id, s.attempt, s.endpoint, std::move(e));
  }
};

TEST_F(IdempotencyHandlerTest, NoSendBeforeTheIntentIsDurableAndNoAnswerBeforeTheOutcomeIs) {
  FakeClient a;
  disk.blockSyncs(true);
  const std::size_t before = disk.syncs();
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return disk.syncs() > before; })) << "the commit is in progress";
  for (int k = 0; k < 5; ++k) engine->runTurn();
  EXPECT_TRUE(backend.sent.empty());
  disk.blockSyncs(false);
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  disk.blockSyncs(true);
  answer(backend.sent[0], "the row");
  const std::size_t then = disk.syncs();
  ASSERT_TRUE(waitUntil([&] { return disk.syncs() > then; }));
  EXPECT_EQ(a.received, "");
  disk.blockSyncs(false);
  ASSERT_TRUE(waitUntil([&] { return !a.received.empty(); }));
  EXPECT_EQ(a.received, "served the row");
  FakeClient b;
  ask(b, "k1");
  ASSERT_TRUE(waitUntil([&] { return !b.received.empty(); }));
  EXPECT_EQ(b.received, "served the row");
  EXPECT_EQ(backend.sent.size(), 1u) << "the repeat is not executed again";
}
TEST_F(IdempotencyHandlerTest, ReadsAndWritesWithoutAKeyDoNotWaitForTheDisk) {
  disk.blockSyncs(true);
  FakeClient keyed, read, plain;
  ask(keyed, "k1");
  ask(read, "", 0);
  ask(plain, "", 1);
  engine->runTurn();
  EXPECT_EQ(backend.sent.size(), 2u);
}
TEST_F(IdempotencyHandlerTest, AHangingDiskRejectsKeyedWritesWhichAreNeverSentLater) {
  disk.blockSyncs(true);
  FakeClient a, b, read;
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return !a.received.empty(); }));
  EXPECT_EQ(a.received, "rejected");
  EXPECT_GE(a.retryAfter, std::chrono::milliseconds(10));
  ask(b, "k2");
  ASSERT_TRUE(waitUntil([&] { return !b.received.empty(); }))
      << "rejected at once, since the disk is known to hang";
  EXPECT_EQ(b.received, "rejected");
  EXPECT_EQ(handler->view().state, "slow");
  ask(read, "", 0);
  engine->runTurn();
  EXPECT_EQ(backend.sent.size(), 1u) << "reads are still served";
  disk.blockSyncs(false);
  ASSERT_TRUE(waitUntil([&] { return handler->view().state == "up"; }));
  FakeClient again;
  ask(again, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 2; }))
      << "a rejected key may be executed when it is retried";
  EXPECT_EQ(a.received, "rejected");
}
TEST_F(IdempotencyHandlerTest, AnOutcomeThatDoesNotBecomeDurableIsNotDelivered) {
  FakeClient a;
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  disk.setFailing(true);
  answer(backend.sent[0], "the row");
  ASSERT_TRUE(waitUntil([&] { return !a.received.empty(); }));
  EXPECT_EQ(a.received, "failed");
  crash();  // while the disk still fails, so that the outcome in memory is lost
  disk.setFailing(false);
  ASSERT_TRUE(waitUntil([&] { return handler->view().state == "up"; }));
  FakeClient b;
  ask(b, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1 || !b.received.empty(); }));
  EXPECT_EQ(b.received, "") << "within the window the key is sent again and the data servers drop the repeat";
}
TEST_F(IdempotencyHandlerTest, TheStoreIsReopenedAfterADiskError) {
  disk.setFailing(true);
  FakeClient a, b;
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return !a.received.empty(); }));
  EXPECT_EQ(a.received, "rejected");
  EXPECT_EQ(handler->view().state, "down");
  ask(b, "k2");
  ASSERT_TRUE(waitUntil([&] { return !b.received.empty(); }));
  EXPECT_EQ(b.received, "rejected");
  EXPECT_TRUE(backend.sent.empty());
  disk.setFailing(false);
  ASSERT_TRUE(waitUntil([&] { return handler->view().state == "up"; }));
  FakeClient c;
  ask(c, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  answer(backend.sent[0], "the row");
  ASSERT_TRUE(waitUntil([&] { return !c.received.empty(); }));
  EXPECT_EQ(c.received, "served the row");
}
// A key that arrived while the disk was failing was never sent. A retry after the window must
// execute it and not treat it as one that may have been executed.
TEST_F(IdempotencyHandlerTest, ARejectedWriteLeavesNoIntent) {
  disk.blockSyncs(true);
  FakeClient a;
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return !a.received.empty(); }));
  disk.blockSyncs(false);
  ASSERT_TRUE(waitUntil([&] { return handler->view().state == "up" && handler->view().waiting == 0; }));
  handler.reset();
  durability::Files files;
  durability::IdempotencyStoreSettings s;
  s.directory = config.store->directory;
  durability::MachineTime later = durability::machineTime();
  later.sinceBootUs += 60000000;
  durability::IdempotencyStore store(files, s, [&] { return later; });
  EXPECT_EQ(store.apply({durability::BeginKeyedRequest{{"x", "k1", "write", 3, kWindow}}})[0].disposition,
            durability::Disposition::Execute);
}
TEST_F(IdempotencyHandlerTest, AnIntentFromBeforeACrashIsRetriedWithinItsWindow) {
  FakeClient a, b;
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  crash();
  EXPECT_EQ(a.received, "");
  ask(b, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  EXPECT_EQ(handler->view().retried, 1u);
  // The key may have been executed before the crash, so the request is never rejected as safe to
  // retry.
  answer(backend.sent[0], "", AttemptResult::Rejected);
  engine->runTurn();
  EXPECT_NE(b.received, "rejected");
}
TEST_F(IdempotencyHandlerTest, AKeyMayHaveBeenExecutedIfItsClientDisconnectsAfterTheSend) {
  FakeClient a, b;
  const RequestId id = ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  handler->clientDisconnected(id);
  engine->runTurn();
  ask(b, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 2; }));
  EXPECT_EQ(handler->view().retried, 1u);
  EXPECT_EQ(a.received, "");
}
TEST_F(IdempotencyHandlerTest, ASecondRequestOfAKeyWaitsForTheOutcomeOfTheFirst) {
  FakeClient a, b, c;
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  ask(b, "k1");
  const RequestId leaves = ask(c, "k1");
  ASSERT_TRUE(waitUntil([&] { return handler->view().waiting == 0; }));
  EXPECT_EQ(backend.sent.size(), 1u);
  EXPECT_EQ(handler->view().waitedForSameKey, 2u);
  handler->clientDisconnected(leaves);
  answer(backend.sent[0], "the row");
  ASSERT_TRUE(waitUntil([&] { return !b.received.empty(); }));
  EXPECT_EQ(a.received, "served the row");
  EXPECT_EQ(b.received, "served the row");
  EXPECT_EQ(c.received, "");
  EXPECT_EQ(backend.sent.size(), 1u);
}
// The data servers' deduplication window keeps running during a commit. A retry whose window ended
// in the meantime must not be sent.
TEST_F(IdempotencyHandlerTest, ASlowCommitDoesNotExtendTheWindow) {
  config.settings.classes[1].deduplicationWindow = std::chrono::milliseconds(300);
  StoreConfig s = *config.store;
  s.commitTimeout = std::chrono::seconds(5);
  config.store = std::make_shared<const StoreConfig>(s);
  open();
  FakeClient a, b;
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  crash();
  disk.blockSyncs(true);
  const std::size_t before = disk.syncs();
  ask(b, "k1");
  ASSERT_TRUE(waitUntil([&] { return disk.syncs() > before; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  disk.blockSyncs(false);
  ASSERT_TRUE(waitUntil([&] { return !b.received.empty() || !backend.sent.empty(); }));
  EXPECT_EQ(b.received, "failed");
  EXPECT_TRUE(backend.sent.empty());
}
// After a crash a session's reads still see what the session wrote. Other sessions may read older
// data.
TEST_F(IdempotencyHandlerTest, SessionsKeepTheirPositionAcrossACrash) {
  config.settings.classes[0].requirement = balancer::Requirement::Session;
  config.settings.sessionTokensCarried = false;
  config.sessions = true;
  replicaLag = std::chrono::seconds(2);
  // A slow commit on a busy machine must not exceed the commit timeout, since sessions
  // would then read from the primary.
  StoreConfig patient = *config.store;
  patient.commitTimeout = std::chrono::seconds(5);
  config.store = std::make_shared<const StoreConfig>(patient);
  open();
  FakeClient w, mine, other;
  ask(w, "k1", 1, 7);
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  answer(backend.sent[0], "the row");
  ASSERT_TRUE(waitUntil([&] { return !w.received.empty(); }));
  crash();
  ask(mine, "", 0, 7);
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  EXPECT_EQ(backend.sent[0].endpoint, 1u) << "the replica does not have the write yet";
  ask(other, "", 0, 8);
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 2; }));
  EXPECT_EQ(backend.sent[1].endpoint, 2u);
}
TEST_F(IdempotencyHandlerTest, WhileTheStoreIsDownSessionReadsGoToAnUpToDateEndpoint) {
  config.settings.classes[0].requirement = balancer::Requirement::Session;
  config.settings.sessionTokensCarried = false;
  config.sessions = true;
  replicaLag = std::chrono::seconds(2);
  open();
  disk.setFailing(true);
  FakeClient w, r;
  ask(w, "k1");
  ASSERT_TRUE(waitUntil([&] { return !w.received.empty(); }));
  ask(r, "", 0, 7);
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  EXPECT_EQ(backend.sent[0].endpoint, 1u);
  disk.setFailing(false);
}
TEST_F(IdempotencyHandlerTest, AnOutcomeWhoseCommitFailedIsRecordedWhenTheDiskRecovers) {
  FakeClient a, meanwhile, b;
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  disk.setFailing(true);
  answer(backend.sent[0], "the row");
  ASSERT_TRUE(waitUntil([&] { return !a.received.empty(); }));
  EXPECT_EQ(a.received, "failed") << "one final answer, while the disk still fails";
  ask(meanwhile, "k1");
  ASSERT_TRUE(waitUntil([&] { return !meanwhile.received.empty(); }));
  EXPECT_EQ(meanwhile.received, "rejected");
  disk.setFailing(false);
  ASSERT_TRUE(waitUntil([&] { return handler->view().state == "up"; }));
  ask(b, "k1");
  ASSERT_TRUE(waitUntil([&] { return !b.received.empty() || backend.sent.size() > 1; }));
  EXPECT_EQ(b.received, "served the row");
  EXPECT_EQ(backend.sent.size(), 1u) << "the key was executed once";
}
TEST_F(IdempotencyHandlerTest, AnOutcomeWhoseCommitFailedIsCommittedAtShutdown) {
  FakeClient a, b;
  ask(a, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  disk.setFailing(true);
  answer(backend.sent[0], "the row");
  ASSERT_TRUE(waitUntil([&] { return !a.received.empty(); }));
  disk.setFailing(false);
  crash();
  ask(b, "k1");
  ASSERT_TRUE(waitUntil([&] { return !b.received.empty() || !backend.sent.empty(); }));
  EXPECT_EQ(b.received, "served the row");
  EXPECT_TRUE(backend.sent.empty());
}
TEST_F(IdempotencyHandlerTest, APositionReadWhileTheDiskFailedSurvivesARestart) {
  config.settings.classes[0].requirement = balancer::Requirement::Session;
  config.settings.sessionTokensCarried = false;
  config.sessions = true;
  replicaLag = std::chrono::seconds(2);
  StoreConfig patient = *config.store;
  patient.commitTimeout = std::chrono::seconds(5);
  config.store = std::make_shared<const StoreConfig>(patient);
  open();
  disk.setFailing(true);
  FakeClient write, read, after, other;
  ask(write, "k1");
  ASSERT_TRUE(waitUntil([&] { return !write.received.empty(); }));
  ask(read, "", 0, 7);
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  answer(backend.sent[0], "seen at the primary");
  ASSERT_TRUE(waitUntil([&] { return !read.received.empty(); }));
  disk.setFailing(false);
  ASSERT_TRUE(waitUntil([&] { return handler->view().state == "up"; }));
  crash();
  ask(after, "", 0, 7);
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 1; }));
  EXPECT_EQ(backend.sent[0].endpoint, 1u) << "the replica is behind what the session has seen";
  ask(other, "", 0, 8);
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 2; }));
  EXPECT_EQ(backend.sent[1].endpoint, 2u);
}
TEST_F(IdempotencyHandlerTest, AStartOnAFullDiskServesRequestsThatNeedNoStoreAndRecovers) {
  handler.reset();
  disk.setFailing(true);
  open();
  EXPECT_EQ(handler->view().state, "down");
  FakeClient write, read, later;
  ask(write, "k1");
  ask(read, "", 0);
  ASSERT_TRUE(waitUntil([&] { return !write.received.empty() && backend.sent.size() == 1; }));
  EXPECT_EQ(write.received, "rejected");
  EXPECT_GE(write.retryAfter, std::chrono::milliseconds(10));
  disk.setFailing(false);
  ASSERT_TRUE(waitUntil([&] { return handler->view().state == "up"; }));
  ask(later, "k1");
  ASSERT_TRUE(waitUntil([&] { return backend.sent.size() == 2; }));
  EXPECT_EQ(handler->view().executed, 1u);
}
// The small commit of each opening succeeds, but the next group commit fails again: the backoff
// still has to grow. Only lower bounds of the time are checked, since a busy machine can only add
// to it.
TEST_F(IdempotencyHandlerTest, BackoffGrowsWhenOnlyTheOpeningFitsOnTheDisk) {
  StoreConfig patient = *config.store;
  patient.commitTimeout = std::chrono::seconds(5);
  config.store = std::make_shared<const StoreConfig>(patient);
  open();
  disk.failAppendsLongerThan(2500);
  for (const int least : {100, 200, 400}) {
    const auto before = std::chrono::steady_clock::now();
    FakeClient a;
    ask(a, std::string(3000, 'k'));
    ASSERT_TRUE(waitUntil([&] { return !a.received.empty(); }));
    EXPECT_EQ(a.received, "rejected");
    ASSERT_TRUE(waitUntil([&] { return handler->view().state == "up"; }));
    EXPECT_GE(std::chrono::steady_clock::now() - before, std::chrono::milliseconds(least));
  }
}
TEST_F(IdempotencyHandlerTest, ARequestWhoseClientDisconnectsDuringTheIntentCommitIsNeverSent) {
  FakeClient a;
  disk.blockSyncs(true);
  const RequestId id = ask(a, "k1");
  waitUntil([&] { return handler->view().waiting > 0; });
  handler->clientDisconnected(id);
  disk.blockSyncs(false);
  ASSERT_TRUE(waitUntil([&] { return handler->view().waiting == 0; }));
  EXPECT_TRUE(backend.sent.empty());
  EXPECT_EQ(a.received, "");
}

// ---- the whole program --------------------------------------------------------------------------------
struct ProgramTest : testing::Test {
  const TemporaryDirectory folder;
  Setting setting(const std::string& window = "9s") {
    Setting s;
    s.ini = true;
    s.extraSections = "[class brief]\ndata = write\nrepeats = keyed\nrepeats_dropped_for = " + window +
                      "\naim = 2s\ngive_up = 5s\n[store]\ndirectory = " + folder.path + "/store\n";
    return s;
  }
};
using StoreProgramTest = ProgramTest;

TEST_F(StoreProgramTest, ARepeatIsReplayedFromTheStoreAfterACrash) {
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
// The first run finds no snapshot. The second reads the snapshot of the first and accepts no
// endpoint as primary before s1 confirms that it is.
TEST_F(StoreProgramTest, RecoveryReadsTheSnapshotAndWaitsForADataServerToConfirmThePrimary) {
  Setting s = setting();
  s.extraSections += "[recovery]\nsnapshot_every = 20ms\n";
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
// The settings name no data server and the name server does not answer, so the endpoints are known
// only from the snapshot.
TEST_F(StoreProgramTest, EndpointsOfTheSnapshotServeWhileDiscoveryDoesNotAnswer) {
  Setting s = setting();
  s.dnssd = true;
  s.extraSections += "[recovery]\nsnapshot_every = 20ms\n";
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
TEST_F(StoreProgramTest, ACorruptSnapshotIsSetAsideAndTheProxyServesWithoutIt) {
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
TEST_F(StoreProgramTest, AWriteInFlightAtACrashIsRetriedOnlyWithinTheWindow) {
  Setting s = setting("1500ms");
  // After a restart the endpoints count as cold, and slow start may reject a write: not what is
  // tested here.
  s.extraSections += "[rules]\ncold_for = 0s\n";
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
TEST_F(StoreProgramTest, AFullDiskRejectsKeyedWritesUntilThereIsSpace) {
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

TEST_F(StoreProgramTest, ASnapshotWriteFailureIsLoggedOnceAndThePreviousSnapshotRemains) {
  Setting s = setting();
  s.extraSections += "[recovery]\nsnapshot_every = 20ms\n";
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

struct CommandResult {
  int status;
  std::string text;
};
CommandResult runCommand(const std::vector<std::string>& arguments) {
  int out = -1;
  const int pid = spawn("/nowhere", 0, out, arguments);
  CommandResult t{};
  char bytes[4096];
  for (ssize_t n; (n = ::read(out, bytes, sizeof bytes)) > 0;)
    t.text.append(bytes, static_cast<std::size_t>(n));
  close(out);
  int status = 0;
  waitpid(pid, &status, 0);
  t.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return t;
}
TEST_F(StoreProgramTest, ADamagedStoreIsReportedByStoreCheckAndPreventsTheStart) {
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
    const CommandResult busy = runCommand({"store", "check", dir});
    EXPECT_EQ(busy.status, 1);
    EXPECT_NE(busy.text.find("open in another process"), std::string::npos) << busy.text;
  }
  const CommandResult good = runCommand({"store", "check", dir});
  EXPECT_EQ(good.status, 0) << good.text;
  EXPECT_NE(good.text.find("good; 2 keys"), std::string::npos) << good.text;
  EXPECT_NE(runCommand({"store", "dump", dir}).text.find("key K1 "), std::string::npos);
  EXPECT_NE(runCommand({"store", "dump", "--json", dir}).text.find("\"outcome\":\"served\""),
            std::string::npos);
  EXPECT_NE(runCommand({"store", "stat", dir}).text.find("unresolved"), std::string::npos);
  EXPECT_EQ(runCommand({"store", "compact", dir}).status, 0);
  EXPECT_EQ(runCommand({"store", "check", folder.path}).status, 1)
      << "the directory has no store, and none is created";
  std::string table;
  for (const auto& f : fs::directory_iterator(dir))
    if (f.path().extension() == ".ldb") table = f.path().string();
  ASSERT_FALSE(table.empty());
  {
    std::fstream f(table, std::ios::in | std::ios::out | std::ios::binary);
    f.seekp(20);
    f.put('\x55');
  }
  const CommandResult bad = runCommand({"store", "check", "--json", dir});
  EXPECT_EQ(bad.status, 1);
  EXPECT_NE(bad.text.find("\"kind\":\"damaged\""), std::string::npos) << bad.text;
  EXPECT_NE(bad.text.find(fs::path(table).filename().string()), std::string::npos) << bad.text;
  std::ofstream(folder.path + "/n0.ini") << settingsFile(setting(), 1, {11, 12});
  const CommandResult start = runCommand({"serve", "--config", folder.path + "/n0.ini"});
  EXPECT_EQ(start.status, 1);
  EXPECT_NE(start.text.find("key [store] directory"), std::string::npos) << start.text;
}
TEST_F(StoreProgramTest, ADamagedStoreIsSetAsideIfTheSettingsAllowIt) {
  const std::string dir = folder.path + "/store";
  Setting s = setting();
  s.extraSections += "damaged = set_aside\n";
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
TEST_F(StoreProgramTest, IncompletePeerSettingsAreRejectedWithTheirKey) {
  const std::string path = folder.path + "/settings.ini";
  const auto check = [&](const std::string& extraSections) {
    std::ofstream(path) << settingsFile(setting(), 1, {1, 2}) << extraSections;
    return runCommand({"check", path}).text;
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
TEST_F(StoreProgramTest, ARetentionShorterThanTheWindowIsRejected) {
  Setting s = setting("4s");
  s.extraSections += "keep = 5s\n";
  std::ofstream(folder.path + "/n0.ini") << settingsFile(s, 1, {11, 12});
  const CommandResult t = runCommand({"check", folder.path + "/n0.ini"});
  EXPECT_EQ(t.status, 1);
  EXPECT_NE(t.text.find("[store] keep"), std::string::npos) << t.text;
}

TEST_F(StoreProgramTest, TheStoresDescriptorsReduceTheConnectionLimits) {
  Setting s = setting();
  s.sockets = 300;
  const Config with = parseSettings(settingsFile(s, 1, {11, 12}), folder.path + "/n0.ini");
  s.extraSections.clear();
  const Config without = parseSettings(settingsFile(s, 1, {11, 12}), folder.path + "/n0.ini");
  EXPECT_EQ(with.clientConnections + with.serverConnections + kStoreDescriptors,
            without.clientConnections + without.serverConnections);
  EXPECT_LT(with.largeStatements, without.largeStatements);
  s = setting();
  s.sockets = 150;
  std::ofstream(folder.path + "/n0.ini") << settingsFile(s, 1, {11, 12});
  const CommandResult t = runCommand({"check", folder.path + "/n0.ini"});
  EXPECT_EQ(t.status, 1);
  EXPECT_NE(t.text.find("[limits] descriptors"), std::string::npos) << t.text;
}

}  // namespace
}  // namespace sablespur::test
