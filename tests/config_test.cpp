// INI settings: parsing, defaults, and faults that name their line, their key and the correction.
#include "config/config.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "admission/settings.hpp"
#include "app/members_report.hpp"
#include "scenario.hpp"
#include "support/units.hpp"

namespace sablespur {
namespace {

using std::chrono::microseconds;

const std::string kGood = R"(; a proxy of a small museum
[proxy]
name = desk-1
listen = 127.0.0.1:0
zones = ruwi, seeb
seed = 8c1f30d27a5be964
[discovery]
registry = 127.0.0.1:8500 ; on this host
[group rentals]
number = 3
[member s-1]
  address = 127.0.0.1:6001
  group = rentals
  zone = ruwi
[member s-2]
address = [::1]:6002
group = 4
[class tour-read]
data = bounded
max_age = 200ms
repeats = safe
aim = 400ms
give_up = 1.2s
[class handset-write]
data = write
repeats = keyed
repeats_dropped_for = 2s
aim = 1s
give_up = 3s
worth = 6
late_worth = 50%
)";

std::string with(const std::string& from, const std::string& to) {
  std::string text = kGood;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}
// Returns all faults, one per line.
std::string faults(const std::string& text) {
  try {
    parseSettings(text, "f.ini");
  } catch (const BadSettings& e) {
    std::string all;
    for (const Fault& f : e.faults) all += f.text() + "\n";
    return all;
  }
  return "";
}

TEST(Settings, IniFileProducesTheSameConfigAsJson) {
  const Config c = parseSettings(kGood, "f.ini");
  EXPECT_EQ(c.name, "desk-1");
  EXPECT_EQ(c.discovery.text(), "127.0.0.1:8500");
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(c.classes, (std::vector<std::string>{"tour-read", "handset-write"}));
  ASSERT_EQ(c.known.instances.size(), 2u);
  EXPECT_EQ(c.known.instances[0].group, 3u);
  EXPECT_EQ(c.known.instances[1].address.text(), "[::1]:6002");
  const auto& write = c.settings.classes[1];
  EXPECT_EQ(write.requirement, balancer::Requirement::Write);
  EXPECT_EQ(write.deduplicationWindow, microseconds(2000000));
  EXPECT_EQ(write.lateWeight, 0.5);

  // The INI defaults equal the values in the platform's JSON settings.
  test::Setting limits;
  limits.memoryMb = 64;
  const Config j = parseConfig(test::configuration(limits, 8500, {}));
  EXPECT_EQ(c.clientConnections, j.clientConnections);
  EXPECT_EQ(c.serverConnections, j.serverConnections);
  EXPECT_EQ(c.largeStatements, j.largeStatements);
  EXPECT_EQ(c.dialTimeout, j.dialTimeout);
  EXPECT_EQ(c.idleClose, j.idleClose);
  EXPECT_EQ(c.reportNames, j.reportNames);
  const auto &a = c.settings, &b = j.settings;
  EXPECT_EQ(a.reportFields, b.reportFields);
  EXPECT_EQ(a.laggingReplicaPolicy, b.laggingReplicaPolicy);
  EXPECT_EQ(a.discoveryMode, b.discoveryMode);
  EXPECT_EQ(a.loadReportMode, b.loadReportMode);
  EXPECT_EQ(a.maxAttempts, b.maxAttempts);
  EXPECT_EQ(a.drainGrace, b.drainGrace);
  EXPECT_EQ(a.warmUpPeriod, b.warmUpPeriod);
  EXPECT_EQ(a.overloadWindow, b.overloadWindow);
  EXPECT_EQ(a.discoveryPollDeadline, b.discoveryPollDeadline);
  EXPECT_EQ(a.maxRetryAfter, b.maxRetryAfter);
  EXPECT_EQ(a.timerResolution, b.timerResolution);
  EXPECT_EQ(a.warmUpStartCapacity, b.warmUpStartCapacity);
  EXPECT_EQ(a.overloadFactor, b.overloadFactor);
  EXPECT_EQ(a.wholeServiceGoalWeight, b.wholeServiceGoalWeight);
  EXPECT_EQ(a.worstClassGoalWeight, b.worstClassGoalWeight);
  EXPECT_EQ(a.positionsInAnswers, b.positionsInAnswers);
  EXPECT_EQ(a.sessionTokensCarried, b.sessionTokensCarried);
  EXPECT_EQ(a.healthChecksAllowed && a.cancelAllowed && a.retryAfterAllowed,
            b.healthChecksAllowed && b.cancelAllowed && b.retryAfterAllowed);
}

TEST(Settings, FaultsNameFileLineKeyAndFix) {
  EXPECT_EQ(faults(kGood), "");
  const std::vector<std::pair<std::string, std::string>> cases{
      {with("aim = 400ms", "aim = 400"),
       "f.ini:22: [class tour-read] aim: '400' has no unit; write a number with us, ms, s, min, h or d, such "
       "as 250ms"},
      {with("aim = 400ms", "aim = 4MB"),
       "f.ini:22: [class tour-read] aim: '4MB' is a size, and a time is expected"},
      {with("aim = 400ms", "aim = -4ms"), "f.ini:22: [class tour-read] aim: '-4ms' is negative"},
      {with("aim = 400ms", "aim = 5000h"),
       "f.ini:22: [class tour-read] aim: '5000h' is out of range; write 1ms to 1h"},
      {with("give_up = 1.2s", "give_up = 100ms"),
       "f.ini:23: [class tour-read] give_up: it is shorter than the aim; make it at least the aim"},
      {with("max_age = 200ms\n", ""), "f.ini:18: [class tour-read] max_age: data = bounded needs it"},
      {with("data = bounded", "data = bonded"),
       "f.ini:19: [class tour-read] data: 'bonded' is not one of any, bounded, session, fresh, write; did "
       "you "
       "mean "
       "'bounded'?"},
      {with("repeats = keyed", "repeats = safe"),
       "f.ini:26: [class handset-write] repeats: a write that is safe"},
      {with("repeats_dropped_for = 2s\n", ""),
       "f.ini:24: [class handset-write] repeats_dropped_for: repeats = keyed needs it"},
      {with("worth = 6", "wroth = 6"),
       "f.ini:30: [class handset-write] wroth: there is no such key; did you mean "
       "'worth'?"},
      {with("[class tour-read]", "[clas tour-read]"),
       "f.ini:18: [clas tour-read]: there is no such section; did you "
       "mean [class]?"},
      {with("[class tour-read]", "[class]"), "f.ini:18: [class]: it needs a name; write [class NAME]"},
      {with("[proxy]", "[proxy east]"), "f.ini:2: [proxy east]: it takes no name; write [proxy]"},
      {with("name = desk-1\n", ""), "f.ini:2: [proxy] name: it is missing; add name = ... to [proxy]"},
      {with("listen = 127.0.0.1:0", "listen = desk.example:5432"),
       "f.ini:4: [proxy] listen: 'desk.example:5432' is not an address with a port; write it as "
       "10.1.0.18:5432 "
       "or "
       "[fd00::18]:5432; host names are not resolved"},
      {with("registry = 127.0.0.1:8500", ""), "f.ini:7: [discovery] registry: source = registry needs it"},
      {with("group = rentals", "group = rental"),
       "f.ini:13: [member s-1] group: 'rental' is neither a [group] nor a number up to 65535; add [group "
       "rental]"},
      {with("[::1]:6002", "127.0.0.1:6001"), "f.ini:16: [member s-2] address: [member s-1] has this address"},
      {with("[member s-2]", "[member s-1]"),
       "f.ini:15: [member s-1]: it already occurs on line 11; move its keys there"},
      {with("zones = ruwi, seeb", "zones = ruwi, seeb\nname = other"),
       "f.ini:6: [proxy] name: it is already set on line 3; remove one of the two"},
      {with("number = 3", "number = three"),
       "f.ini:10: [group rentals] number: 'three' is not a whole number"},
      {with("seed = 8c1f30d27a5be964", "seed = twelve"),
       "f.ini:6: [proxy] seed: 'twelve' is not a hexadecimal number"},
      {with("late_worth = 50%", "late_worth = 150%"),
       "f.ini:31: [class handset-write] late_worth: '150%' is out of range; write 0% to 100%"},
      {with("zones = ruwi, seeb", "zones"), "f.ini:5: neither a [section] nor key = value"},
      {with("zones = ruwi", "zones = " + std::string(400, 'z')), "f.ini:5: longer than"},
      {"name = x\n" + kGood, "f.ini:1: a key before the first section; begin with a section such as [proxy]"},
      {"", "f.ini: there is no [class NAME]"},
  };
  for (const auto& [text, wanted] : cases)
    EXPECT_NE(faults(text).find(wanted), std::string::npos)
        << "wanted " << wanted << "\ngot " << faults(text);
}

// Typical mistakes in the settings of admission control.
TEST(Settings, AdmissionFaultsNameFileLineKeyAndFix) {
  const auto admissionFaults = [](const std::string& more) {
    return faults(kGood + "\n[admission]\ndoor = yes\n" + more);
  };
  EXPECT_EQ(admissionFaults("[admission_group desks]\nnetworks = 10.1.0.0/16\nreserve = 4\n"), "");
  const std::vector<std::pair<std::string, std::string>> cases{
      {admissionFaults("[admission_group desks]\nnetworks = 10.1.0.7/16\n"),
       "[admission_group desks] networks: '10.1.0.7/16' has bits beyond its prefix; write networks such as"},
      {admissionFaults(
           "[admission_group a]\nnetworks = 10.1.0.0/16\n[admission_group b]\nnetworks = 10.1.0.0/16\n"),
       "[admission_group b] networks: '10.1.0.0/16' belongs to another group already"},
      {admissionFaults("[admission_group desks]\nnetworks_file = none.txt\n"),
       "[admission_group desks] networks_file: 'none.txt' cannot be read; check that it exists"},
      {admissionFaults("[admission_group desks]\nusers = desk\n"),
       "[admission_group desks] users: a user name is not verified without a password; write [clients] "
       "login"},
      {admissionFaults("[admission_group others]\nnetworks = 10.1.0.0/16\n"),
       "[admission_group others]: it holds the clients that are in no other group; remove its networks and "
       "users"},
      {admissionFaults("[admission_group desks]\nconnections = 3\nreserve = 4\n"),
       "[admission_group desks] reserve: it is more than the connections of the group"},
      {admissionFaults("connections = 10\n[admission_group desks]\nreserve = 11\n"),
       "[admission] connections: the groups reserve 11 connections, and only 10 are available"},
      {admissionFaults("antechamber = 5000\n"), "[admission] antechamber: it leaves no room"},
      {admissionFaults("fronts = desk\n"), "[admission] fronts: 'desk' is no network"},
      {admissionFaults("served_before = desks\n"),
       "[admission] served_before: there is no [admission_group desks]"},
      {admissionFaults("come_back_least = 20s\n"),
       "[admission] come_back_most: it is shorter than come_back_least"},
      {admissionFaults("requests = gradient\nlimit_least = 20\nlimit_most = 10\n"),
       "[admission] limit_most: it is less than limit_least"},
      {faults(kGood + "\n[admission_group desks]\n"),
       "[admission_group desks]: admission control is off; write door = yes in [admission]"},
  };
  for (const auto& [got, wanted] : cases)
    EXPECT_NE(got.find(wanted), std::string::npos) << "wanted " << wanted << "\ngot " << got;
}

TEST(Settings, NetworksFileIsReadAndItsFaultsNameTheirLine) {
  const std::string path = "/tmp/sablespur-networks-" + std::to_string(getpid());
  const auto read = [&](const std::string& text) {
    std::ofstream(path) << text;
    return kGood + "\n[admission]\ndoor = yes\n[admission_group desks]\nnetworks_file = " + path + "\n";
  };
  std::string all = "# the desks\n\n";
  for (int k = 0; k < 5000; ++k)
    all += "10." + std::to_string(k / 250) + "." + std::to_string(k % 250) + ".0/24  # desk\r\n";
  const Config c = parseSettings(read(all), "f.ini");
  ASSERT_TRUE(c.admission);
  EXPECT_EQ(c.admission->networks->size(), 5000u);
  EXPECT_EQ(c.admission->connections.groups.back().name, "others");
  EXPECT_NE(faults(read(all + "10.1.0\n")).find(path + ":5003: '10.1.0' is no network"), std::string::npos);
  unlink(path.c_str());
}

// All faults are reported, not only the first, so that a file can be corrected in one round.
TEST(Settings, ReportsAllFaultsInLineOrder) {
  std::string text = with("aim = 400ms", "aim = soon");
  text.replace(text.find("worth = 6"), 9, "worth = much");
  const std::string all = faults(text);
  EXPECT_EQ(std::count(all.begin(), all.end(), '\n'), 2) << all;
  EXPECT_LT(all.find("f.ini:22"), all.find("f.ini:30"));
  try {
    parseSettings(text, "f.ini");
    FAIL() << "no fault";
  } catch (const BadInput& e) {
    EXPECT_NE(std::string(e.what()).find("(and 1 more)"), std::string::npos);
    EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
  }
}

TEST(Units, FormattedValuesParseToTheSameValues) {
  for (const std::int64_t us :
       {0L, 1L, 999L, 1000L, 1500L, 250000L, 60000000L, 90000000L, 3600000000L, 86400000000L})
    EXPECT_EQ(std::get<microseconds>(readTime(writeTime(microseconds(us)))), microseconds(us));
  for (const std::uint64_t n :
       {std::uint64_t{1}, std::uint64_t{1023}, std::uint64_t{24} << 20, std::uint64_t{3} << 30})
    EXPECT_EQ(std::get<std::uint64_t>(readSize(writeSize(n))), n);
  EXPECT_EQ(std::get<microseconds>(readTime("1.5 s")), microseconds(1500000));
  EXPECT_TRUE(std::holds_alternative<ValueError>(readTime("1e400s")));
  EXPECT_TRUE(std::holds_alternative<ValueError>(readTime("99999999999h")));
  EXPECT_TRUE(std::holds_alternative<ValueError>(readSize("0.3B")));
}

// The operators' page is generated from the key table by `sablespur check --keys`.
TEST(Settings, SettingsPageMatchesTheKeyTable) {
  std::ifstream file(SABLESPUR_SOURCE "/docs/operators/settings.md");
  std::stringstream page;
  page << file.rdbuf();
  EXPECT_NE(page.str().find(settingsPage()), std::string::npos)
      << "docs/operators/settings.md differs from `sablespur check --keys`";
}

TEST(Members, AreReportedAsATableAndAsJson) {
  const Config c = parseSettings(kGood, "f.ini");
  EndpointTable known;
  std::vector<DiscoveredEndpoint> all = c.known.instances;
  all[1].state = balancer::Lifecycle::Draining;
  all[1].startedMs = 1767225600123;
  all[1].kind = "a\"\xff";
  all.push_back(all[0]);
  all.back().name = "s-3";
  const Time now = std::chrono::hours(24 * 365 * 60);
  known.applySnapshot(now, all);
  known.nextUpdate(now);
  const MembersView view{known.view(now), {{"s-4", "TXT: bad"}}, now + std::chrono::milliseconds(1500)};
  const std::string table = membersTable(c, view);
  EXPECT_NE(table.find("s-1   127.0.0.1:6001  rentals  ruwi"), std::string::npos) << table;
  EXPECT_NE(table.find("leaving  2026-01-01T00:00:00Z"), std::string::npos) << table;
  EXPECT_NE(table.find("another has its address\n"), std::string::npos) << table;
  EXPECT_NE(table.find("2 data servers, 2 left out; told 1.5 s ago\n"), std::string::npos) << table;
  const std::string json = membersJson(c, view);
  EXPECT_NE(json.find("\"group_name\": \"rentals\""), std::string::npos) << json;
  EXPECT_NE(json.find("\"started_ms\": 1767225600123"), std::string::npos);
  EXPECT_NE(json.find("\"left_out\": \"TXT: bad\""), std::string::npos);
  EXPECT_NE(json.find("\"list_age_ms\": 1500"), std::string::npos);
}

}  // namespace
}  // namespace sablespur
