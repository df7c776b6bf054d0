// Tests of the lab: its models, and its audit, each check against a proxy that breaks the checked
// rule.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "lab/audit.hpp"
#include "lab/experiment.hpp"
#include "lab/model.hpp"
#include "lab/run.hpp"

namespace sablespur::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(LabMachine, ServesOneRequestPerCoreAndQueuesUpToItsLimit) {
  MachineSettings s;
  s.cores = 2;
  s.room = 1;
  Machine m(s, Time(0), true);
  EXPECT_EQ(m.take(Time(0), 1000), Time(1000));
  EXPECT_EQ(m.take(Time(0), 3000), Time(3000));
  EXPECT_EQ(m.take(Time(0), 1000), Time(2000));  // queued behind the first
  EXPECT_EQ(m.take(Time(0), 1000), std::nullopt);
  EXPECT_EQ(m.held(Time(1500)), 2u);
  m.slow(4);
  EXPECT_EQ(m.take(Time(5000), 1000), Time(9000));
}
TEST(LabMachine, IsColdAfterItsStartAndFailsUnderOverload) {
  MachineSettings s;
  s.cores = 1;
  Machine m(s, Time(0), false);
  EXPECT_NEAR(m.capacity(Time(0)), 0.21, 1e-9);
  EXPECT_NEAR(m.capacity(seconds(9)), 0.605, 1e-9);
  EXPECT_NEAR(m.capacity(seconds(18)), 1, 1e-9);
  // 0.21 of a core over 1.5 s is 315 ms of work; more than 2.5 times that makes the server fail.
  EXPECT_FALSE(m.sent(Time(0), 780e3));
  EXPECT_NEAR(m.worst(), 780.0 / 315, 1e-6);
  EXPECT_TRUE(m.sent(Time(1), 20e3));
  Machine later(s, Time(0), false);
  EXPECT_FALSE(later.sent(Time(0), 700e3));
  EXPECT_FALSE(later.sent(seconds(2), 700e3));  // outside the 1.5 s window
  Machine warm(s, Time(0), true);
  EXPECT_FALSE(warm.sent(Time(0), 1e9));
}
TEST(LabLogApply, LagsWhileSlowAndCatchesUp) {
  LogApply log(milliseconds(5), milliseconds(10));
  EXPECT_EQ(log.position(seconds(1)), seconds(1) - milliseconds(5));
  log.slow(10);
  for (int k = 0; k < 5; ++k) log.commit(seconds(2) + milliseconds(k));
  EXPECT_EQ(log.position(seconds(2) + milliseconds(50)), seconds(2) - Time(1));
  EXPECT_EQ(log.position(seconds(2) + milliseconds(250)), seconds(2) + milliseconds(2) - Time(1));
  EXPECT_EQ(log.position(seconds(3)), seconds(3) - milliseconds(5));
  log.cut(true, seconds(4));
  EXPECT_EQ(log.position(seconds(9)), seconds(4) - milliseconds(5));
}

Audit::Send sendOf(Time at, int server, const std::string& id) {
  Audit::Send s;
  s.at = at;
  s.proxy = 1;
  s.server = server;
  s.id = id;
  return s;
}
TEST(LabAudit, ReportsSendsAfterTheDrainGraceOnly) {
  Audit a;
  a.withdrawn(seconds(1), 3);
  a.told(seconds(2), 1, 3, false);
  a.send(sendOf(seconds(2) + milliseconds(1000), 3, "a"));
  a.send(sendOf(seconds(2) + milliseconds(1100), 3, "b"));
  Audit::Send other = sendOf(seconds(9), 3, "c");
  other.proxy = 2;  // was not told of the withdrawal
  a.send(other);
  a.told(seconds(10), 1, 3, true);
  a.send(sendOf(seconds(30), 3, "d"));
  EXPECT_EQ(a.figures()["late_sends"], 1);
  EXPECT_EQ(a.figures()["sends_in_grace"], 1);
  EXPECT_EQ(a.figures()["told_max_ms"], 1000);
}
TEST(LabAudit, ReportsASecondAttemptOnlyWhileTheFirstIsOpen) {
  Audit a;
  const auto first = a.send(sendOf(Time(0), 1, "a"));
  a.send(sendOf(milliseconds(5), 2, "a"));
  a.ended(milliseconds(10), first, false);  // within the allowed overlap
  const auto second = a.send(sendOf(seconds(1), 1, "b"));
  a.send(sendOf(seconds(1) + milliseconds(5), 2, "b"));
  a.ended(seconds(1) + milliseconds(40), second, true);
  a.finish(seconds(2));
  EXPECT_EQ(a.figures()["second_copies"], 1);
}
TEST(LabAudit, ReportsMissingForeignAndExtraAnswers) {
  Audit a;
  for (const char* id : {"a", "b", "c"}) a.request(Time(0), id);
  a.answer(seconds(1), "a", Result::Served, "v-a", seconds(1), true, 1, 1);
  a.answer(seconds(1), "b", Result::Served, "v-a", seconds(1), true, 1, 1);
  a.answer(seconds(1), "c", Result::Unanswered, "", seconds(1), false, 2, 0);
  a.answer(seconds(1), "a", Result::Served, "v-a", seconds(1), true, 1, 1);
  auto f = a.figures();
  EXPECT_EQ(f["lost"], 2);
  EXPECT_EQ(f["extra_answers"], 1);
  EXPECT_EQ(f["requests"], 3);
  EXPECT_EQ(f["worth_share"], 0.5);
}
TEST(LabExperiment, FaultsNameTheirLine) {
  std::vector<Fault> faults;
  parseExperiment(
      "[experiment]\nduration = 5\n[fleet]\nmember = 3\n[class r]\nshare = 1\n[script]\n5s withdraw\n5x kill "
      "s-1\n"
      "from 1s every 0 until 5s kill s-1\n[claims]\nlost == 0\n",
      "x.ini", faults);
  std::string all;
  for (const Fault& f : faults) all += f.text() + "\n";
  for (const char* wanted :
       {"x.ini:2: [experiment] duration: '5' has no unit", "x.ini:4: [fleet] member: there is no",
        "x.ini:8: [script]", "x.ini:9: [script]", "x.ini:10: [script]: it repeats without end",
        "x.ini:12: [claims]: 'lost == 0' is no claim"})
    EXPECT_NE(all.find(wanted), std::string::npos) << wanted << "\nin\n" << all;
}
TEST(LabExperiment, AllExperimentFilesParse) {
  int n = 0;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(SABLESPUR_SOURCE "/lab/experiments")) {
    if (entry.path().extension() != ".ini") continue;
    std::vector<Fault> faults;
    const Experiment e = readExperiment(entry.path().string(), faults);
    EXPECT_TRUE(faults.empty()) << faults.front().text();
    EXPECT_FALSE(e.claims.empty()) << entry.path();
    const bool isLong = entry.path().string().find("/long/") != std::string::npos;
    EXPECT_TRUE(isLong || e.duration + e.warmup <= seconds(50)) << entry.path();
    ++n;
  }
  EXPECT_GE(n, 8);
}

// Guards against a check that never detects its rule's violation, and against one that always
// reports it: a rogue proxy breaks each rule under the same small experiment, and the checks of
// other rules must report nothing.
struct RogueCase {
  const char* mode;
  const char* figure;
};
class LabRogue : public testing::TestWithParam<RogueCase> {};
TEST_P(LabRogue, IsDetectedByItsCheck) {
  setenv("ROGUE", GetParam().mode, 1);
  std::vector<Fault> faults;
  const Experiment e = parseExperiment(R"(
[experiment]
duration = 3s
warmup = 300ms
[fleet]
groups = 1
members = 3
apply_work = 1ms
[load]
rate = 80
[class read]
share = 80%
work_least = 5ms
work_most = 10ms
data = bounded
max_age = 200ms
repeats = safe
aim = 900ms
give_up = 1s
[class write]
share = 20%
work_least = 5ms
work_most = 10ms
data = write
repeats = keyed
repeats_dropped_for = 500ms
aim = 900ms
give_up = 1s
[script]
300ms lag s-2 400
200ms withdraw s-3
210ms kill s-3
1s start s-3
1100ms publish s-3
)",
                                       "rogue", faults);
  ASSERT_TRUE(faults.empty()) << faults.front().text();
  Experiment changed = e;
  // About the most that one warm server can serve.
  if (std::string(GetParam().mode) == "flood") changed.load.rate = 500;
  // The server keeps running; only its record is withdrawn.
  if (std::string(GetParam().mode) == "late") {
    changed.script.clear();
    changed.script.push_back({milliseconds(200), {"withdraw", "s-3"}, 0});
  }
  char dir[] = "/tmp/sablespur-lab-XXXXXX";
  ASSERT_NE(mkdtemp(dir), nullptr);
  Run::Options o;
  o.program = SABLESPUR_ROGUE;
  o.directory = dir;
  lab::Run run(changed, o);
  Outcome out = run.play();
  std::filesystem::remove_all(dir);
  EXPECT_GT(out.figures[GetParam().figure], 0) << "by " << GetParam().mode;
  EXPECT_GT(out.figures["served"], 0);
  // Checks of the rules that this rogue does not break.
  for (const char* other : {"late_sends", "second_copies", "double_effects", "extra_answers"})
    if (std::string(other) != GetParam().figure) {
      EXPECT_EQ(out.figures[other], 0) << other << " by " << GetParam().mode;
    }
}
INSTANTIATE_TEST_SUITE_P(Each, LabRogue,
                         testing::Values(RogueCase{"late", "late_sends"},
                                         RogueCase{"copies", "second_copies"}, RogueCase{"lose", "lost"},
                                         RogueCase{"swap", "lost"}, RogueCase{"stale", "stale_reads"},
                                         RogueCase{"flood", "felled"}, RogueCase{"twice", "double_effects"},
                                         RogueCase{"extra", "extra_answers"}),
                         [](const auto& i) { return std::string(i.param.mode); });

// Guards against broken rules after a power loss: twenty real proxies with stores and ten data
// servers lose power together, twice, the second time while service is still returning. Figures that
// depend on the machine's speed are checked by lab/experiments/recovery.
Outcome playPowerLosses(const std::string& recovery, const std::string& script, int proxies) {
  std::vector<Fault> faults;
  const Experiment e = parseExperiment(R"(
[experiment]
discovery = registry
duration = 9s
warmup = 500ms
proxies = )" + std::to_string(proxies) + R"(
[fleet]
groups = 2
members = 5
detect_least = 300ms
detect_most = 500ms
takeover_least = 100ms
takeover_most = 200ms
[load]
rate = 60
retries = 3
asks_again = 4
doubles = 5%
again_least = 200ms
again_most = 2s
[class read]
share = 75%
work_least = 20ms
work_most = 30ms
data = bounded
max_age = 1s
repeats = safe
aim = 900ms
give_up = 2s
[class write]
share = 25%
work_least = 20ms
work_most = 30ms
data = write
repeats = keyed
repeats_dropped_for = 2s
aim = 1s
give_up = 3s
[script]
)" + script + R"(
[settings]
store.directory = store-{proxy}
store.keep = 1min
recovery.snapshot_every = 100ms
peers.listen = {peer}
)" + recovery,
                                       "power", faults);
  EXPECT_TRUE(faults.empty()) << faults.front().text();
  char made[] = "/dev/shm/sablespur-power-XXXXXX";
  Run::Options o;
  o.program = SABLESPUR_PROGRAM;
  o.directory = mkdtemp(made);
  auto run = std::make_unique<Run>(e, o);
  Outcome out = run->play();
  run.reset();  // stops the proxies before their files are read and removed
  for (int k = 1; k <= proxies; ++k) {
    std::ifstream log(o.directory + "/proxy-" + std::to_string(k) + ".log");
    for (std::string line; std::getline(log, line);) {
      for (const char* event :
           {"recovery_started", "epoch_entered", "peer_state_accepted", "snapshot_rejected"})
        out.figures[event] += line.find(std::string("event=") + event + " ") != std::string::npos;
      out.figures["snapshot_read"] += line.find(" snapshot=read ") != std::string::npos;
    }
  }
  std::filesystem::remove_all(o.directory);
  return out;
}
TEST(LabPower, TwoLossesBreakNoRuleAndProxiesRecoverFromSnapshotsAndPeers) {
  Outcome out =
      playPowerLosses("", "2s power 200 900\n2010ms registry down\n2800ms registry up\n3s power 200 900", 20);
  auto& f = out.figures;
  EXPECT_EQ(f["power_losses"], 2);
  for (const char* none :
       {"double_effects", "lost_writes", "felled", "second_copies", "extra_answers", "crashes"})
    EXPECT_EQ(f[none], 0) << none;
  EXPECT_GE(f["recovery_started"], 60) << "three starts of twenty proxies";
  EXPECT_GT(f["snapshot_read"], 15)
      << "one snapshot in five is truncated, and some proxies are killed before their first";
  EXPECT_GT(f["snapshot_rejected"], 0);
  EXPECT_GT(f["peer_state_accepted"], 20);
  EXPECT_GT(f["served"], 0);
}
// Guards against broken rules under a connection flood: crowds of clients, regular clients that all
// reconnect at once, and a descriptor table that fills up. Figures that depend on the machine's
// speed are checked by lab/experiments/admission.
TEST(LabCrowd, ConnectionLimitsAndAFullDescriptorTableBreakNoRule) {
  std::vector<Fault> faults;
  const Experiment e = parseExperiment(R"(
[experiment]
discovery = registry
duration = 4s
warmup = 300ms
inherited = 190
descriptors = 300
[fleet]
groups = 1
members = 3
[load]
rate = 20
retries = 3
address = 127.1.0.1
addresses = 10
[crowd app]
rate = 200
from = 300ms
until = 3s
address = 127.64.0.1
addresses = 5000
stay = 1s
[crowd silent]
rate = 50
from = 300ms
until = 2s
address = 127.65.0.1
way = silent
returns = no
[class read]
work_least = 5ms
work_most = 10ms
data = bounded
max_age = 5s
repeats = safe
aim = 900ms
give_up = 2s
[settings]
limits.descriptors = 300
admission.door = yes
admission.requests = gradient
admission_group desks.networks = 127.1.0.0/16
admission_group desks.reserve = 10
admission_group apps.networks = 127.64.0.0/10
admission_group apps.connections_by_address = 4
[script]
1s reconnect 10
2s reconnect 10
[claims]
crashes = 0
extra_answers = 0
second_copies = 0
stale_reads = 0
crowd_returned_early = 0
load_outside = 0
crowd_in > 0
crowd_refused > 0
load_admissions > 20
)",
                                       "ship", faults);
  ASSERT_TRUE(faults.empty()) << faults.front().text();
  char dir[] = "/tmp/sablespur-lab-XXXXXX";
  ASSERT_NE(mkdtemp(dir), nullptr);
  Run::Options o;
  o.program = SABLESPUR_PROGRAM;
  o.directory = dir;
  lab::Run run(e, o);
  const Outcome out = run.play();
  std::filesystem::remove_all(dir);
  for (const Outcome::ClaimResult& j : out.claims)
    EXPECT_TRUE(j.held) << j.claim.text << ", measured " << j.measured;
}

}  // namespace
}  // namespace sablespur::lab
