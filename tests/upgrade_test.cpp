// Two processes of one proxy, as during an upgrade: what one of them has answered or been told holds
// for the other one as well.
#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>
#include <vector>

#include "app/process_handover.hpp"
#include "engine/engine.hpp"
#include "engine/process_presence.hpp"
#include "engine_fakes.hpp"
#include "scenario.hpp"

namespace sablespur {
namespace {

using namespace std::chrono_literals;
using balancer::Lifecycle;

struct SharedFolder {
  SharedFolder() {
    char name[] = "/tmp/sablespur-upgrade-XXXXXX";
    path = mkdtemp(name);
  }
  ~SharedFolder() { std::filesystem::remove_all(path); }
  SharedFolder(const SharedFolder&) = delete;
  std::string file(const std::string& name) const { return path + "/" + name; }
  std::string path;
};

TEST(ProcessPresence, SeesAnotherProcessForAsLongAsItLives) {
  const SharedFolder folder;
  ProcessPresence first(folder.file("processes"));
  EXPECT_FALSE(first.othersRun());
  EXPECT_FALSE(first.othersRanSinceLastCheck());
  {
    ProcessPresence second(folder.file("processes"));
    EXPECT_TRUE(first.othersRun());
    EXPECT_TRUE(second.othersRun());
    EXPECT_TRUE(first.othersRanSinceLastCheck());
    EXPECT_TRUE(second.othersRanSinceLastCheck());
  }
  EXPECT_FALSE(first.othersRun());
  EXPECT_TRUE(first.othersRanSinceLastCheck()) << "it may have answered writes since the last check";
  EXPECT_FALSE(first.othersRanSinceLastCheck());
}
TEST(ProcessPresence, SeesAProcessThatBeganAndEndedBetweenTwoChecks) {
  const SharedFolder folder;
  ProcessPresence first(folder.file("processes"));
  { const ProcessPresence second(folder.file("processes")); }
  EXPECT_TRUE(first.othersRanSinceLastCheck());
  EXPECT_FALSE(first.othersRanSinceLastCheck());
}
TEST(ProcessPresence, AFileOfAnEarlierRunIsNoProcess) {
  const SharedFolder folder;
  { const ProcessPresence earlier(folder.file("processes")); }
  ProcessPresence process(folder.file("processes"));
  EXPECT_FALSE(process.othersRanSinceLastCheck());
}
TEST(ProcessPresence, WithoutAUsableFileAnotherProcessIsAssumed) {
  const SharedFolder folder;
  ProcessPresence process(folder.file("missing/processes"));
  EXPECT_TRUE(process.othersRun());
  EXPECT_TRUE(process.othersRanSinceLastCheck());
  ProcessPresence disabled("");
  EXPECT_FALSE(disabled.othersRun());
  EXPECT_FALSE(disabled.othersRanSinceLastCheck());
}

// An engine with two data servers, of which the first is the primary and the second is 2 s behind,
// and a class of session reads whose marks the proxy remembers.
struct SessionReads {
  SessionReads() {
    config.settings.sessionTokensCarried = false;
    config.settings.classes[kRead].requirement = balancer::Requirement::Session;
    engine.emplace(base.get(), config);
  }
  void start(ProcessPresence* processes) {
    engine->setProcessPresence(processes);
    engine->start(backend, discovery);
    engine->runTurn();
    reportHealth(1, true, engine->now());
    reportHealth(2, false, engine->now() - 2s);
  }
  void reportHealth(EndpointId endpoint, bool primary, Time position) {
    engine->healthCheckEnded(endpoint, true,
                             {static_cast<double>(position.count()) / 1e6, primary ? 1.0 : 0.0, 0.0});
    engine->runTurn();
  }
  // Returns how many of 20 reads of sessions that this process has never seen went to the replica.
  int readsAtReplica() {
    const std::size_t before = backend.sent.size();
    for (std::uint64_t session = 1; session <= 20; ++session) {
      balancer::Request request;
      request.classIndex = kRead;
      request.group = 3;
      request.session = session;
      request.deadline = engine->now() + 5s;
      engine->request(handler, request, RequestMessage{newBuffer(), newBuffer(), nullptr, {}, {}});
      engine->runTurn();
    }
    int count = 0;
    for (std::size_t k = before; k < backend.sent.size(); ++k) count += backend.sent[k].endpoint == 2;
    return count;
  }

  static constexpr int kRead = 0;
  struct : ResponseHandler {
    void served(Answer) override {}
    void rejected(Time) override {}
    void failed() override {}
  } handler;
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  std::optional<Engine> engine;
  test::RecordingBackend backend;
  test::RecordingDiscovery discovery;
};

// After an upgrade the reads of 20 of 20 sessions missed the write that the old process had answered.
TEST(Upgrade, ReadsOfTheNewProcessDoNotMissWritesThatTheOldOneAnswered) {
  const SharedFolder folder;
  std::optional<ProcessPresence> old(folder.file("processes"));
  ProcessPresence presence(folder.file("processes"));
  SessionReads t;
  t.start(&presence);
  EXPECT_EQ(t.readsAtReplica(), 0) << "the old process runs and answers writes";
  old.reset();
  EXPECT_EQ(t.readsAtReplica(), 0) << "the replica has not caught up with what it answered last";
  t.reportHealth(2, false, t.engine->now());
  EXPECT_GT(t.readsAtReplica(), 0);
}
// The clients of the old process are served until they go, while the new one answers their writes.
TEST(Upgrade, ReadsOfTheOldProcessDoNotMissWritesThatTheNewOneAnswered) {
  const SharedFolder folder;
  ProcessPresence presence(folder.file("processes"));
  SessionReads t;
  t.start(&presence);
  EXPECT_GT(t.readsAtReplica(), 0) << "it runs alone";
  const ProcessPresence upgraded(folder.file("processes"));
  EXPECT_EQ(t.readsAtReplica(), 0);
}
TEST(Upgrade, AnOrdinaryStartSendsNoReadToThePrimaryForIt) {
  const SharedFolder folder;
  { const ProcessPresence earlier(folder.file("processes")); }
  ProcessPresence presence(folder.file("processes"));
  SessionReads t;
  t.start(&presence);
  EXPECT_GT(t.readsAtReplica(), 0);
  EXPECT_EQ(t.engine->readsWithUnseenCommits(), 0u);
}

struct ListRecorder : EndpointListConsumer {
  void endpointsListed(EndpointList list) override { lists.push_back(std::move(list)); }
  void discoveryFailed(const std::string&) override {}
  std::uint64_t generation() const override { return 0; }
  std::vector<EndpointList> lists;
};
DiscoveredEndpoint endpoint(const std::string& name, Lifecycle state) {
  DiscoveredEndpoint described;
  described.name = name;
  described.address = *Address::parse("127.0.0.1:5432");
  described.zone = "a \"quoted\" zone";
  described.kind = "m";
  described.group = 3;
  described.state = state;
  described.weight = 0.1;
  described.startedMs = 1764800000123;
  return described;
}
struct HandoverProcess {
  HandoverProcess(event_base* base, const Config& config)
      : updater(base, clock, lists, {}), handover(base, config, updater, discovery) {}
  Clock clock;
  ListRecorder lists;
  EndpointUpdater updater;
  struct Source : ConfiguredDiscovery {
    bool isCurrent = true;
    int confirmations = 0;
    void watch(std::uint64_t) override {}
    void updateSettings(const Config&) override {}
    void listConfirmedByOtherProcess() override { ++confirmations; }
    bool isListCurrent() const override { return isCurrent; }
  } discovery;
  ProcessHandover handover;
};
struct Handover : testing::Test {
  Handover() {
    config.presenceFile = folder.file("processes");
    config.handoverListFile = folder.file("list");
  }
  // Two polls of both processes.
  void runFor(std::chrono::milliseconds time = 500ms) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) event_base_loop(base.get(), EVLOOP_ONCE);
  }
  const SharedFolder folder;
  EventBase base{event_base_new()};
  Config config;
};
// After an upgrade a data server that the old process knew to drain got requests again, for as long
// as discovery turned callers away.
TEST_F(Handover, TheNewProcessKnowsTheDrainsThatTheOldOneWasToldOf) {
  HandoverProcess old(base.get(), config);
  const std::vector<DiscoveredEndpoint> told{endpoint("s-1", Lifecycle::Draining),
                                             endpoint("s-2", Lifecycle::Ready)};
  old.updater.endpointsListed({7, true, told});
  runFor();
  EXPECT_FALSE(std::filesystem::exists(folder.file("list"))) << "a process alone writes nothing";
  HandoverProcess upgraded(base.get(), config);
  upgraded.updater.adoptKnown(
      {5, true, {endpoint("s-1", Lifecycle::Ready), endpoint("s-2", Lifecycle::Ready)}});
  runFor();
  ASSERT_EQ(upgraded.lists.lists.size(), 1u);
  EXPECT_EQ(upgraded.lists.lists[0].generation, 7u);
  EXPECT_TRUE(upgraded.lists.lists[0].reset);
  EXPECT_EQ(upgraded.lists.lists[0].instances, told);
  EXPECT_EQ(upgraded.discovery.confirmations, 1) << "the old process follows discovery";
  old.discovery.isCurrent = false;
  old.updater.endpointsListed({8, false, {endpoint("s-2", Lifecycle::Draining)}});
  runFor();
  ASSERT_EQ(upgraded.lists.lists.size(), 2u) << "also what the old process is told later";
  EXPECT_EQ(upgraded.lists.lists[1].instances[1].state, Lifecycle::Draining);
  EXPECT_EQ(upgraded.discovery.confirmations, 1) << "a list that was not confirmed confirms nothing";
}
TEST_F(Handover, WhatTheOldProcessIsToldRightBeforeItsEndIsNotLost) {
  std::optional<HandoverProcess> old(std::in_place, base.get(), config);
  HandoverProcess upgraded(base.get(), config);
  old->updater.endpointsListed({7, true, {endpoint("s-1", Lifecycle::Draining)}});
  old.reset();
  runFor();
  EXPECT_EQ(upgraded.lists.lists.size(), 1u);
}
TEST_F(Handover, AListOfAnEarlierUpgradeOrWithAFaultIsNotInherited) {
  std::ofstream(folder.file("list")) << formatEndpointList({9, true, {endpoint("s-1", Lifecycle::Draining)}});
  const HandoverProcess old(base.get(), config);
  const HandoverProcess upgraded(base.get(), config);
  runFor();
  EXPECT_TRUE(upgraded.lists.lists.empty());
  std::ofstream(folder.file("list")) << R"({"generation":9,"reset":true,"inst)";
  runFor();
  EXPECT_TRUE(upgraded.lists.lists.empty());
}
TEST_F(Handover, AnInheritedListDoesNotReplaceANewerOneOfDiscovery) {
  HandoverProcess old(base.get(), config);
  old.updater.endpointsListed({7, true, {endpoint("s-1", Lifecycle::Ready)}});
  HandoverProcess upgraded(base.get(), config);
  upgraded.updater.endpointsListed({8, true, {endpoint("s-1", Lifecycle::Draining)}});
  runFor();
  EXPECT_EQ(upgraded.lists.lists.size(), 1u);
}

}  // namespace
}  // namespace sablespur
