// Tests of the lab's takeover checks, each against the violation that it has to detect.
#include "lab/availability.hpp"

#include <gtest/gtest.h>

#include "lab/audit.hpp"
#include "lab/takeover_schedule.hpp"

namespace sablespur::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kProxy = 1;
constexpr int kGroup = 1;

// Sends a read every 100 ms; each fails after 50 ms.
void failReads(Availability& availability, Time from, Time until) {
  for (Time at = from; at < until; at += milliseconds(100))
    availability.readEnded(at + milliseconds(50), kProxy, kGroup, at, false);
}

// A terminating proxy refuses all reads; the soak of clocks restarts proxies.
TEST(LabAvailability, DoesNotJudgeAProxyFromItsTerminationToItsNextStart) {
  Availability availability;
  availability.observe(seconds(1), kGroup, true);
  failReads(availability, seconds(2), seconds(3));
  availability.proxyStopped(kProxy);
  failReads(availability, seconds(3), seconds(8));
  EXPECT_TRUE(availability.outages().empty());
  availability.proxyStarted(seconds(8), kProxy);
  failReads(availability, seconds(8), seconds(9));
  EXPECT_TRUE(availability.outages().empty()) << "the reads from before do not count";
  failReads(availability, seconds(9), seconds(12));
  EXPECT_EQ(availability.outages().size(), 1u);
}

TEST(LabAvailability, ReportsAProxyThatFailsEveryReadWhileAServerIsAvailable) {
  Availability availability;
  availability.observe(seconds(1), kGroup, true);
  failReads(availability, seconds(2), seconds(5));
  ASSERT_EQ(availability.outages().size(), 1u);
  EXPECT_GT(availability.outages()[0].lasted, seconds(2));
}
TEST(LabAvailability, AllowsFailuresForTwoSeconds) {
  Availability availability;
  availability.observe(seconds(1), kGroup, true);
  failReads(availability, seconds(2), milliseconds(3900));
  availability.readEnded(seconds(4), kProxy, kGroup, milliseconds(3950), true);
  failReads(availability, seconds(4), milliseconds(5900));
  EXPECT_TRUE(availability.outages().empty());
}
TEST(LabAvailability, ReportsNothingWhileNoServerIsAvailable) {
  Availability availability;
  failReads(availability, seconds(2), seconds(9));
  availability.observe(seconds(9), kGroup, true);
  availability.observe(seconds(10), kGroup, false);
  failReads(availability, seconds(10), seconds(19));
  EXPECT_TRUE(availability.outages().empty());
}
TEST(LabAvailability, WithoutHealthChecksOnlyReadsAfterAWriteCount) {
  Availability::Rules rules;
  rules.foundByWrites = true;
  Availability availability(rules);
  availability.observe(seconds(1), kGroup, true);
  failReads(availability, seconds(2), seconds(9));
  EXPECT_TRUE(availability.outages().empty());
  availability.writeEnded(seconds(10), kProxy, kGroup, milliseconds(9900));
  failReads(availability, seconds(10), seconds(13));
  EXPECT_EQ(availability.outages().size(), 1u);
}

Audit::Send staleSend(const std::string& id) {
  Audit::Send send;
  send.at = seconds(5);
  send.proxy = kProxy;
  send.server = 1;
  send.id = id;
  send.cls = "tour-read";
  send.read = true;
  send.age = seconds(6);
  send.bound = seconds(5);
  send.hasBeenPrimary = true;
  return send;
}
Audit::Rules takeoverRules() {
  Audit::Rules rules;
  rules.judgeTakeovers = true;
  return rules;
}

TEST(LabTakeoverAudit, ASendToAFormerPrimaryIsExcusedUntilItReportsThatItIsAReplica) {
  Audit audit(takeoverRules());
  audit.send(staleSend("a"));
  EXPECT_EQ(audit.figures().at("stale_reads"), 0);
  audit.roleReported(milliseconds(4950), kProxy, 1, false);
  audit.send(staleSend("b"));
  EXPECT_EQ(audit.figures().at("stale_reads"), 0) << "the role in an answer counts as known after 100 ms";
  Audit::Send later = staleSend("c");
  later.at += milliseconds(60);
  audit.send(later);
  EXPECT_EQ(audit.figures().at("stale_reads"), 1);
}
TEST(LabTakeoverAudit, ASendToAServerThatNeverWasThePrimaryIsNotExcused) {
  Audit audit(takeoverRules());
  Audit::Send send = staleSend("a");
  send.hasBeenPrimary = false;
  audit.send(send);
  EXPECT_EQ(audit.figures().at("stale_reads"), 1);
}
TEST(LabTakeoverAudit, WithoutTakeoverRulesNoSendIsExcused) {
  Audit audit;
  audit.send(staleSend("a"));
  EXPECT_EQ(audit.figures().at("stale_reads"), 1);
}
TEST(LabTakeoverAudit, ReportsAStaleAnswerDeliveredToAClient) {
  Audit audit(takeoverRules());
  audit.request(seconds(5), "a");
  const std::uint64_t attempt = audit.send(staleSend("a"));
  audit.ended(seconds(6), attempt, true);
  audit.answer(seconds(6), "a", Result::Served, "v-a", milliseconds(20), true, 1, 1);
  EXPECT_EQ(audit.figures().at("stale_answers"), 1);
}
TEST(LabTakeoverAudit, AWithheldStaleAnswerIsNoViolation) {
  Audit audit(takeoverRules());
  audit.request(seconds(5), "a");
  audit.ended(seconds(6), audit.send(staleSend("a")), true);
  Audit::Send second = staleSend("a");
  second.server = 2;
  second.age = Time(0);
  audit.ended(seconds(7), audit.send(second), true);
  audit.answer(seconds(7), "a", Result::Served, "v-a", milliseconds(20), true, 1, 1);
  EXPECT_EQ(audit.figures().at("stale_answers"), 0);
  EXPECT_TRUE(audit.broken().empty());
}

TEST(LabTakeoverSchedule, IsTheSameForTheSameSeed) {
  EXPECT_EQ(takeoverExperiment(7), takeoverExperiment(7));
  EXPECT_NE(takeoverExperiment(7), takeoverExperiment(8));
}

}  // namespace
}  // namespace sablespur::lab
