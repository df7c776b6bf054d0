// Tests admin commands: the protocol, the suspensions file, reloaded settings and a running proxy.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <variant>

#include "admin/command_parser.hpp"
#include "admin/suspended_endpoints.hpp"
#include "config/config.hpp"
#include "engine/file_calls.hpp"
#include "scenario.hpp"

namespace sablespur {
namespace {

using admin::CommandReader;
using admin::CommandType;
using admin::SuspendedEndpoints;

TEST(AdminCommandParser, AcceptsValidCommandsAndRejectsOthers) {
  const auto command = [](const std::string& line) { return std::get<admin::Command>(admin::parse(line)); };
  EXPECT_EQ(command("STATUS").type, CommandType::Status);
  const admin::Command suspend = command("  suspend \t s-5be2a07c ");
  EXPECT_EQ(suspend.type, CommandType::Suspend);
  EXPECT_EQ(suspend.endpoint, "s-5be2a07c");
  EXPECT_EQ(command("RESTORE s-1").type, CommandType::Restore);
  for (const std::string bad :
       {"", " ", "STATUS now", "SUSPEND", "RESTORE", "SUSPEND a b", "REMOVE s-1", "SUSPEND \x01"}) {
    const auto parsed = admin::parse(bad);
    ASSERT_TRUE(std::holds_alternative<admin::InvalidCommand>(parsed)) << bad;
    EXPECT_FALSE(std::get<admin::InvalidCommand>(parsed).reason.empty()) << bad;
  }
  const std::string tooLong(admin::kMaxEndpointIdBytes + 1, 'x');
  EXPECT_TRUE(std::holds_alternative<admin::InvalidCommand>(admin::parse("SUSPEND " + tooLong)));
}
TEST(AdminCommandReader, AssemblesALineFromPiecesOfAnySizeUpToTheLimit) {
  const std::string input = "SUSPEND s-1\r\nSTATUS\n";
  for (std::size_t n = 1; n <= input.size(); ++n) {
    CommandReader r;
    CommandReader::State s = CommandReader::State::More;
    for (std::size_t at = 0; at < input.size(); at += n) s = r.feed(std::string_view(input).substr(at, n));
    EXPECT_EQ(s, CommandReader::State::Line);
    EXPECT_EQ(r.line(), "SUSPEND s-1") << n;
  }
  CommandReader half;
  EXPECT_EQ(half.feed("STATU"), CommandReader::State::More);
  CommandReader endless;
  CommandReader::State s = CommandReader::State::More;
  for (int k = 0; k < 1000 && s == CommandReader::State::More; ++k) s = endless.feed(std::string(10, 'x'));
  EXPECT_EQ(s, CommandReader::State::TooLong);
  EXPECT_LE(endless.line().size(), 2 * admin::kMaxLineBytes);
}
TEST(AdminResponse, IsOneLineEvenIfTheTextContainsALineBreak) {
  EXPECT_EQ(admin::success("s-1 suspended"), "SUCCESS s-1 suspended\n");
  EXPECT_EQ(admin::failure("a\nb"), "FAILURE a?b\n");
}

struct SuspendedEndpointsTest : testing::Test {
  SuspendedEndpointsTest() {
    char name[] = "/tmp/sablespur-bans-XXXXXX";
    folder = mkdtemp(name);
    path = folder + "/bans";
  }
  ~SuspendedEndpointsTest() override { std::filesystem::remove_all(folder); }
  std::string folder, path;
};
TEST_F(SuspendedEndpointsTest, ATruncatedOrForeignFileIsRejected) {
  const std::string good = admin::formatSuspendedEndpoints({"s-1", "s-2"});
  ASSERT_TRUE(admin::parseSuspendedEndpoints(good));
  EXPECT_EQ(*admin::parseSuspendedEndpoints(good), (std::set<std::string>{"s-1", "s-2"}));
  for (std::size_t n = 0; n < good.size(); ++n)
    EXPECT_FALSE(admin::parseSuspendedEndpoints(good.substr(0, n))) << n;
  EXPECT_FALSE(admin::parseSuspendedEndpoints(good + "more\n"));
  EXPECT_TRUE(admin::parseSuspendedEndpoints(admin::formatSuspendedEndpoints({})));
  std::ofstream(path) << good.substr(0, good.size() / 2);
  EXPECT_TRUE(SuspendedEndpoints(path).endpoints().empty());
}
TEST_F(SuspendedEndpointsTest, ChangesPersistAndReachAConcurrentProcess) {
  SuspendedEndpoints first(path), second(path);
  EXPECT_TRUE(first.set("s-1", true));
  EXPECT_TRUE(first.set("s-1", true)) << "repeating a change has no effect";
  EXPECT_TRUE(second.poll());
  EXPECT_EQ(second.endpoints().count("s-1"), 1u);
  EXPECT_FALSE(second.poll()) << "no change since the last poll";
  EXPECT_TRUE(second.set("s-2", true));
  EXPECT_TRUE(first.set("s-1", false));
  EXPECT_EQ(SuspendedEndpoints(path).endpoints(), std::set<std::string>{"s-2"})
      << "each process keeps the changes of the other";
  EXPECT_EQ(std::distance(std::filesystem::directory_iterator(folder), std::filesystem::directory_iterator()),
            1);
}
TEST_F(SuspendedEndpointsTest, AnUnwritableChangeTakesEffectInThisProcess) {
  SuspendedEndpoints b(folder + "/no/such/folder");
  EXPECT_FALSE(b.set("s-1", true));
  EXPECT_EQ(b.endpoints().count("s-1"), 1u);
}

// Replaces the file calls: writes and syncs fail on demand, every second call is interrupted,
// writes are short, and syncs are counted.
struct FaultyDisk {
  FaultyDisk() {
    failing = false;
    syncs = calls = 0;
    fileCalls().write = [](int file, const void* bytes, std::size_t size) -> ssize_t {
      if (interrupted()) return -1;
      if (failing) return errno = ENOSPC, -1;
      return ::write(file, bytes, size / 2 + 1 < size ? size / 2 + 1 : size);
    };
    fileCalls().read = [](int file, void* bytes, std::size_t size) -> ssize_t {
      return interrupted() ? -1 : ::read(file, bytes, size);
    };
    fileCalls().fsync = [](int file) {
      if (interrupted()) return -1;
      ++syncs;
      if (failing) return errno = EIO, -1;
      return ::fsync(file);
    };
  }
  ~FaultyDisk() { fileCalls() = FileCalls(); }
  static bool interrupted() {
    if (++calls % 2 == 0) return false;
    errno = EINTR;
    return true;
  }
  inline static bool failing = false;
  inline static int syncs = 0, calls = 0;
};
TEST_F(SuspendedEndpointsTest, SetReturnsTrueOnlyAfterFileAndDirectoryAreSynced) {
  const FaultyDisk disk;
  SuspendedEndpoints b(path);
  EXPECT_TRUE(b.set("s-1", true));
  EXPECT_EQ(FaultyDisk::syncs, 2) << "the file and its directory";
  EXPECT_EQ(SuspendedEndpoints(path).endpoints(), std::set<std::string>{"s-1"})
      << "interrupted and short calls are retried";
}
TEST_F(SuspendedEndpointsTest, AFailedWriteKeepsTheEarlierFileAndIsRetriedUntilItSucceeds) {
  const FaultyDisk disk;
  SuspendedEndpoints b(path);
  ASSERT_TRUE(b.set("s-1", true));
  FaultyDisk::failing = true;
  EXPECT_FALSE(b.set("s-2", true));
  EXPECT_FALSE(b.set("s-2", true)) << "a repeated change is not durable yet";
  EXPECT_FALSE(b.allWritten());
  for (int k = 0; k < 100; ++k) EXPECT_FALSE(b.poll());
  EXPECT_EQ(SuspendedEndpoints(path).endpoints(), std::set<std::string>{"s-1"});
  EXPECT_EQ(std::distance(std::filesystem::directory_iterator(folder), std::filesystem::directory_iterator()),
            1)
      << "no temporary file is left";
  // A concurrent process writes the file: its changes are merged with the unwritten ones of this
  // process.
  std::ofstream(path) << admin::formatSuspendedEndpoints({"s-1", "s-3"});
  EXPECT_TRUE(b.poll());
  EXPECT_EQ(b.endpoints(), (std::set<std::string>{"s-1", "s-2", "s-3"}));
  FaultyDisk::failing = false;
  for (int k = 0; k < 30; ++k) b.poll();
  EXPECT_TRUE(b.allWritten());
  EXPECT_EQ(SuspendedEndpoints(path).endpoints(), (std::set<std::string>{"s-1", "s-2", "s-3"}));
}
TEST_F(SuspendedEndpointsTest, WritesAreRetriedWithBackoffWhileTheDiskFails) {
  const FaultyDisk disk;
  SuspendedEndpoints b(path);
  FaultyDisk::failing = true;
  EXPECT_FALSE(b.set("s-1", true));
  int tries = 0;
  for (int k = 0; k < 500; ++k) {
    const int before = FaultyDisk::calls;
    b.poll();
    tries += FaultyDisk::calls != before;
  }
  EXPECT_GE(tries, 500 / 25);
  EXPECT_LE(tries, 500 / 25 + 6) << "after 1, 2, 4, 8, 16 and then 25 polls";
}

TEST(AdoptSettings, RequestsInFlightKeepTheirClassAndChangedClassesAreAppended) {
  Config running = parseConfig(test::configuration({}, 1, {11, 12}));
  const Config start = running;
  const std::size_t n = start.classes.size();
  ASSERT_EQ(start.classes[0], "read");
  Config read = start;
  read.settings.maxAttempts = 1;
  read.settings.classes[0].idempotency = balancer::Idempotency::NonIdempotent;  // stricter
  read.classes.push_back("fresh");
  read.settings.classes.push_back(read.settings.classes[1]);
  applyReload(running, read);
  ASSERT_EQ(running.classes.size(), running.settings.classes.size());
  EXPECT_EQ(running.settings.maxAttempts, 1);
  EXPECT_EQ(running.settings.classes[0].idempotency, start.settings.classes[0].idempotency)
      << "the class of requests in flight";
  const auto place = [&](const std::string& name) {
    return static_cast<std::size_t>(std::find(running.classes.begin(), running.classes.end(), name) -
                                    running.classes.begin());
  };
  ASSERT_LT(place("read"), running.classes.size());
  EXPECT_GE(place("read"), n);
  EXPECT_EQ(running.settings.classes[place("read")].idempotency, balancer::Idempotency::NonIdempotent);
  EXPECT_EQ(place(start.classes[1]), 1u) << "an unchanged class keeps its index";
  EXPECT_LT(place("fresh"), running.classes.size());
  applyReload(running, start);
  EXPECT_EQ(place("fresh"), running.classes.size()) << "the class is removed";
  EXPECT_LT(place("read"), running.classes.size());
}
TEST(AdoptSettings, ReloadsBeyondTheClassLimitAreRejectedAndChangeNothing) {
  Config running = parseConfig(test::configuration({}, 1, {11, 12}));
  Config read = running;
  bool thrown = false;
  for (int k = 1; k < 3000 && !thrown; ++k) {
    read.settings.classes[0].latencyObjective += Time(1);
    const Config before = running;
    try {
      applyReload(running, read);
    } catch (const BadInput&) {
      thrown = true;
      EXPECT_EQ(running.classes, before.classes);
      EXPECT_EQ(running.settings.classes.size(), before.settings.classes.size());
      EXPECT_EQ(running.settings.classes[0].latencyObjective, before.settings.classes[0].latencyObjective);
    }
  }
  EXPECT_TRUE(thrown);
}

// ---- commands to a running proxy ----------------------------------------------------------
int freePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in in{};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof in;
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&in), n), 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&in), &n);
  close(fd);
  return ntohs(in.sin_port);
}
int dial(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in in{};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  in.sin_port = htons(static_cast<std::uint16_t>(port));
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&in), sizeof in), 0);
  return fd;
}
std::string sendCommand(int port, const std::string& line) {
  const int fd = dial(port);
  EXPECT_EQ(write(fd, line.data(), line.size()), static_cast<ssize_t>(line.size()));
  std::string got;
  char bytes[512];
  for (ssize_t n; got.find('\n') == std::string::npos && (n = read(fd, bytes, sizeof bytes)) > 0;)
    got.append(bytes, static_cast<std::size_t>(n));
  close(fd);
  return got;
}
const std::string kServedByFirst = R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s1 expect query id=1
    s1 send row v
    c1 expect row v
)";
struct AdminCommandTest : SuspendedEndpointsTest {
  AdminCommandTest() {
    setenv("TMPDIR", folder.c_str(), 1);
    s.controlPort = freePort();
  }
  ~AdminCommandTest() override { unsetenv("TMPDIR"); }
  // Sends the command on another thread while this one serves the scenario's data servers.
  std::string runCommand(test::Scenario& t, const std::string& line) {
    std::string got;
    std::atomic<bool> done{false};
    std::thread operatorClient([&] {
      got = sendCommand(s.controlPort, line);
      done = true;
    });
    t.serveUntil([&] { return done.load(); });
    operatorClient.join();
    return got;
  }
  test::Setting s;
};
TEST_F(AdminCommandTest, ASuspensionIsKeptWhenANewListNamesTheEndpoint) {
  test::Scenario t(s);
  EXPECT_EQ(runCommand(t, "STATUS\n").substr(0, 7), "SUCCESS");
  EXPECT_EQ(runCommand(t, "SUSPEND s-nobody\n").substr(0, 7), "FAILURE");
  EXPECT_EQ(runCommand(t, "RESTORE s-nobody\n").substr(0, 7), "FAILURE");
  EXPECT_EQ(runCommand(t, "\n").substr(0, 7), "FAILURE");
  EXPECT_EQ(runCommand(t, std::string(5000, 'x') + "\n").substr(0, 7), "FAILURE");
  t.run("s2 wait idle 2");
  EXPECT_EQ(runCommand(t, "SUSPEND s-2\n").substr(0, 7), "SUCCESS");
  EXPECT_EQ(runCommand(t, "SUSPEND s-2\n").substr(0, 7), "SUCCESS");
  t.run("s2 expect drained");
  const std::size_t connections = t.connectionsOf(2);
  t.run("list send line " + t.list(2, "active", 6) + kServedByFirst);
  t.serveFor(std::chrono::milliseconds(600));  // two maintenance intervals of the connection pool
  EXPECT_EQ(runCommand(t, "STATUS\n"), "SUCCESS serving, 1 suspended\n");
  EXPECT_EQ(t.connectionsOf(2), connections) << "no connections are opened to a suspended endpoint";
  EXPECT_EQ(runCommand(t, "RESTORE s-2\n").substr(0, 7), "SUCCESS");
  t.run("s2 wait idle 2");
  EXPECT_TRUE(SuspendedEndpoints(folder + "/sablespur-bans-n0").endpoints().empty());
}
// A suspension given to the other process of an upgrade was lost if a command to this one followed
// before it had looked at the file; it went on sending.
TEST_F(AdminCommandTest, ASuspensionByTheOtherProcessIsNotLostToACommandRightBehindIt) {
  s.servers = 3;
  test::Scenario t(s);
  t.run("s2 serves suspended\ns3 serves v\ns1 wait idle 2\ns2 wait idle 2");
  SuspendedEndpoints otherProcess(folder + "/sablespur-bans-n0");
  ASSERT_TRUE(otherProcess.set("s-2", true));
  EXPECT_EQ(runCommand(t, "SUSPEND s-1\n").substr(0, 7), "SUCCESS");
  for (int k = 0; k < 20; ++k) {
    t.run("c1 send query SELECT 1 /* id=" + std::to_string(k) +
          ",c=read,d=7000,cluster=3 */\nc1 expect row v");
    if (HasFatalFailure()) return;
  }
}
TEST_F(AdminCommandTest, AnUnwrittenSuspensionIsReportedAndWrittenOnceTheDiskRecovers) {
  test::Scenario t(s);
  t.run("s2 wait idle 2");
  const std::string blocked = folder + "/sablespur-bans-n0." + std::to_string(t.pid());
  std::filesystem::create_directory(blocked);
  EXPECT_EQ(runCommand(t, "SUSPEND s-2\n"),
            "SUCCESS s-2 suspended, in this process alone: not kept on disk yet\n");
  t.run("s2 expect drained\nproxy expect log event=suspensions_write_failed");
  t.serveFor(std::chrono::milliseconds(900));
  EXPECT_EQ(t.logged("event=suspensions_write_failed"), 1u);
  std::filesystem::remove(blocked);
  t.run("proxy expect log event=suspensions_write_recovered");
  EXPECT_EQ(SuspendedEndpoints(folder + "/sablespur-bans-n0").endpoints(), std::set<std::string>{"s-2"});
}
TEST_F(AdminCommandTest, IdleConnectionsDoNotBlockOtherCommands) {
  test::Scenario t(s);
  std::vector<int> silent;
  for (int k = 0; k < 30; ++k) {
    silent.push_back(dial(s.controlPort));
    if (k % 2) {
      EXPECT_EQ(write(silent.back(), "STAT", 4), 4);
    }
  }
  EXPECT_EQ(runCommand(t, "STATUS\n").substr(0, 7), "SUCCESS");
  for (const int fd : silent) close(fd);
}
TEST_F(AdminCommandTest, ASuspensionSurvivesARestartAndATruncatedFileDoesNotPreventTheStart) {
  const std::string file = folder + "/sablespur-bans-n0";
  std::ofstream(file) << admin::formatSuspendedEndpoints({"s-2"});
  {
    test::Scenario t(s);
    t.run(kServedByFirst);
    EXPECT_EQ(t.connectionsOf(2), 0u);
    EXPECT_EQ(runCommand(t, "RESTORE s-2\n").substr(0, 7), "SUCCESS");
    t.run("s2 wait idle 2");
  }
  std::ofstream(file) << "sablespur bans 1\ns-2\n";
  s.controlPort = freePort();
  test::Scenario t(s);
  t.run("proxy expect log event=suspensions_unreadable\ns2 wait idle 2");
}

}  // namespace
}  // namespace sablespur
