// The door as clients meet it, the account of descriptors, and what the system may run out of.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>

#include "auth/scram.hpp"
#include "backend/postgres/backend_pool.hpp"
#include "engine/acceptor.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/proxy_protocol/header.hpp"
#include "scenario.hpp"

namespace sablespur::test {
namespace {

using namespace std::chrono_literals;

// Two groups: desks in 127.1.0.0/16, and everyone else. `idleLeast`: how long a client has been idle before
// it may be asked to make way.
Setting door(const std::string& admission, const std::string& desks = "", const std::string& others = "",
             const std::string& idleLeast = "0") {
  Setting s;
  s.ini = true;
  s.extraSections = "[admission]\ndoor = yes\nidle_least = " + idleLeast + "\n" + admission +
                    "[admission_group desks]\nnetworks = 127.1.0.0/16\n" + desks +
                    "[admission_group others]\n" + others;
  return s;
}
std::string each(const std::string& name, int from, int to, const std::string& steps) {
  std::string all;
  for (int k = from; k <= to; ++k) {
    std::string one = steps;
    for (std::size_t at; (at = one.find('$')) != std::string::npos;)
      one.replace(at, 1, name + std::to_string(k));
    for (std::size_t at; (at = one.find('#')) != std::string::npos;) one.replace(at, 1, std::to_string(k));
    all += one + "\n";
  }
  return all;
}
std::string served(const std::string& who, const std::string& id) {
  return who + " send query SELECT 1 /* id=" + id + ",c=read,d=7000,cluster=3 */\ns2 expect query id=" + id +
         "\ns2 send row " + id + "\n" + who + " expect row " + id + "\n";
}
struct Socket {  // a path that no other test has
  Socket() : path("/tmp/sablespur-status-" + std::to_string(getpid())) { unlink(path.c_str()); }
  ~Socket() { unlink(path.c_str()); }
  const std::string path;
  std::string section() const { return "[status]\nsocket = " + path + "\n"; }
};

// ---- connections --------------------------------------------------------------------------------------
TEST(DoorStep, OneAddressInALoopIsToldSoAndDesksGetIn) {
  Scenario t(door("", "reserve = 2\n", "connections_by_address = 3\n"));
  t.run(each("c", 1, 3, "$ from 127.9.0.1\n$ expect in") +
        each("c", 4, 40, "$ from 127.9.0.1\n$ expect refused") + "d1 from 127.1.0.7\n" + served("d1", "1") +
        served("c3", "2") + "c41 from 127.9.0.2\nc41 expect in\n" +
        "proxy expect log event=rejection_started group=others");
  EXPECT_EQ(t.logged("event=rejection_started"), 1u);  // not one a refusal
  t.run("proxy expect log event=rejection_ended group=others what=connections refused=37");
}
TEST(DoorStep, FiveHundredAddressesOfOneNetworkAreOneNetwork) {
  Scenario t(door("network_bits = 16\n", "", "connections_by_network = 5\n"));
  std::string steps;
  for (int k = 1; k <= 500; ++k) {
    const std::string who = "c" + std::to_string(k);
    steps += who + " from 127.9." + std::to_string(k / 250) + "." + std::to_string(1 + k % 250) + "\n" + who +
             (k <= 5 ? " expect in\n" : " expect refused\n" + who + " close\n");
  }
  t.run(steps + "d1 from 127.1.0.7\n" + served("d1", "1"));
}
TEST(DoorStep, WithoutAReserveAnIdleAppMakesWayForADesk) {
  Scenario t(door("connections = 6\n", "reserve = 2\nweight = 4\n"));
  t.run(each("d", 1, 2, "$ from 127.1.0.#\n$ send query\n$ expect empty") +
        each("c", 1, 4, "$ from 127.9.0.#\n$ send query\n$ expect empty") +
        "c5 from 127.9.0.5\nc5 expect in\nc1 expect closed\n"  // within its own group: the longest idle one
        "d3 from 127.1.0.3\nd3 expect in\nc2 expect closed\n" +
        served("c3", "1") + served("d3", "2"));
}
TEST(DoorStep, AClientAtWorkIsNeverAskedToMakeWay) {
  Scenario t(door("connections = 2\n", "reserve = 1\nweight = 4\n"));
  t.run(R"(
    c1 from 127.9.0.1
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c2 from 127.9.0.2
    c2 expect refused
    d1 from 127.1.0.1
    d1 expect in
    d2 from 127.1.0.2
    d2 expect in
    d1 expect closed
    s2 send row one
    c1 expect row one
  )");
}
TEST(DoorStep, AllDesksComeBackInOneSecondAfterARestart) {
  for (int round = 0; round < 2; ++round) {  // the second process is the one after the restart
    Scenario t(door("", "reserve = 40\nconnections_per_second = 2\nburst = 40\n",
                    "connections_per_second = 5\nburst = 5\n"));
    t.run(each("c", 1, 5, "$ from 127.9.0.#\n$ expect in") + "c6 from 127.9.0.6\nc6 expect refused\n" +
          each("d", 1, 40, "$ from 127.1.0.#\n$ expect in"));
  }
}
// They have asked: what has not is closed after first_query anyway.
TEST(DoorStep, AReloadThatLowersACapClosesWhatIsIdleAlone) {
  Scenario t(door("", "", "connections = 5\n"));
  t.run(each("c", 1, 5, "$ from 127.9.0.#\n$ send query\n$ expect empty") + R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
  )");
  t.reload("[admission]\ndoor = yes\nidle_least = 0\n[admission_group others]\nconnections = 2\n");
  t.run(R"(
    c2 expect closed
    c3 expect closed
    c4 expect closed
    s2 send row one
    c1 expect row one
    c6 from 127.9.0.6
    c6 expect in
    c5 expect closed
  )");
}
TEST(DoorStep, AnAddressMovesToAnotherGroupOnReload) {
  const Socket socket;
  Setting s = door("", "reserve = 1\n");
  s.extraSections += socket.section();
  Scenario t(s);
  t.run("c1 from 127.9.0.1\nc1 expect in\n");
  const auto holds = [&](const std::string& group) {
    return t.status(true).find("\"name\": \"" + group + "\",\n        \"held\": 1,") != std::string::npos;
  };
  EXPECT_TRUE(holds("others")) << t.status();
  t.reload("[admission]\ndoor = yes\n[admission_group desks]\nnetworks = 127.1.0.0/16, 127.9.0.0/24\n" +
           socket.section());
  t.run("proxy expect log event=config_reloaded\n" + served("c1", "1"));
  EXPECT_TRUE(holds("desks")) << t.status();
}
TEST(DoorStep, AnAbuserAmongTheDesksTakesItsOwnShareOfThem) {
  Scenario t(door("connections = 20\n", "reserve = 10\nconnections_by_address = 2\n"));
  t.run(each("x", 1, 2, "$ from 127.1.0.66\n$ expect in") +
        each("x", 3, 30, "$ from 127.1.0.66\n$ expect refused") +
        each("d", 1, 8, "$ from 127.1.0.#\n$ expect in") + served("d8", "1"));
}
TEST(DoorStep, ServedBeforeIsKnown) {
  Setting s = door("connections = 3\nserved_before = desks\n", "reserve = 2\n");
  Scenario t(s);
  t.run("c1 from 127.9.0.1\n");
  // Three times over more than two seconds.
  for (int k = 1; k <= 3; ++k) {
    t.run(served("c1", std::to_string(k)));
    usleep(1100 * 1000);
  }
  t.run(
      "c1 close\nc2 from 127.9.0.2\nc2 expect in\nc2 send query SELECT 1 /* id=9,c=read,d=7000,cluster=3 */\n"
      "s2 expect query id=9\nc3 from 127.9.0.3\nc3 expect refused\nc4 from 127.9.0.1\nc4 expect in\n"
      "s2 send row v\nc2 expect row v\n");
}
TEST(DoorStep, AUserIsKnownByNameOnceItIsProved) {
  const std::string path = "/tmp/sablespur-door-users-" + std::to_string(getpid());
  std::ofstream(path) << "desk:" << auth::makeVerifier("pencil", "0123456789abcdef", 4096).text()
                      << "\ntill:" << auth::makeVerifier("pencil", "0123456789abcdef", 4096).text() << "\n";
  chmod(path.c_str(), 0600);
  Setting s = door("connections = 2\n", "reserve = 1\nusers = desk\n");
  s.clients = "login = scram\nusers = " + path + "\n";
  Scenario t(s);
  t.run(R"(
    o1 speaks 3.0 user=till password=pencil
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    o2 speaks 3.0 user=till password=pencil
    o2 gets error 53300
    o2 gets closed
    o3 speaks 3.0 user=desk password=wrong
    o3 gets error 28P01
    o4 speaks 3.2 user=desk password=pencil
    o4 gets in
    s2 send row v
    o1 gets row v
  )");
  unlink(path.c_str());
}
// Between an Execute and its Sync a client is not idle: its ReadyForQuery is owed.
TEST(DoorStep, AClientAmidABatchIsNotAskedToMakeWay) {
  Setting s = door("connections = 1\n");
  s.clients = "extended_queries = yes\n";
  Scenario t(s);
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 sends 50 00000010 00 53454c45435420310000 00
    o1 sends 48 00000004
    c2 expect refused
    o1 sends 53 00000004
    o1 gets seen 1Z
    c3 expect in
    o1 gets closed
  )");
}
// Who has no place may still call off what it has out on another connection.
TEST(DoorStep, ACancelIsHeardThoughTheDoorIsFull) {
  Scenario t(door("connections = 1\n"));
  t.run(R"(
    o1 speaks 3.0
    o1 gets in
    o1 asks SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c2 expect refused
    o1 cancels
    o1 gets error 57014
  )");
}
TEST(DoorStep, EachVersionIsToldInItsOwnWords) {
  Setting s = door("connections = 1\n");
  s.clients = "version_2 = yes\n";
  Scenario t(s);
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    o2 speaks 2.0
    o2 gets error RETRY:
    o2 gets closed
    o3 speaks 3.2
    o3 gets error 53300
    o3 gets closed
  )");
}
// More than the antechamber holds: told at once, without a word of theirs.
TEST(DoorStep, AFloodThatSaysNothingHoldsTheAntechamberAlone) {
  const Socket socket;
  Setting s = door("connections = 1\nantechamber = 4\n", "reserve = 1\n");
  s.extraSections += socket.section();
  Scenario t(s);
  t.run(each("x", 1, 60, "$ from 127.9.0.1\n$ send bytes") + "d1 from 127.1.0.1\n" + served("d1", "1") +
        "x60 expect closed\nx1 expect closed\n");  // the first ones after 2 s
  const std::string json = t.status(true);
  EXPECT_NE(json.find("\"peak\": 5"), std::string::npos) << json;  // four, and one at a time that is told no
}

// ---- fronts -------------------------------------------------------------------------------------------
TEST(DoorStep, AFrontTellsWhomItStandsFor) {
  Scenario t(door("fronts = 127.2.0.1\n", "", "connections_by_address = 1\n"));
  t.run(R"(
    c1 from 127.2.0.1
    c1 send header PROXY TCP4 203.0.113.7 10.0.0.1 51000 5432
    c1 expect in
    c2 from 127.2.0.1
    c2 send header PROXY TCP4 203.0.113.7 10.0.0.1 51001 5432
    c2 expect refused
    c3 from 127.2.0.1
    c3 send header PROXY TCP4 203.0.113.8 10.0.0.1 51000 5432
    c3 expect in
    c4 from 127.2.0.1
    c4 send header PROXY TCP6 2001:db8::7 2001:db8::1 51000 5432
    c4 expect in
    c5 from 127.2.0.1
    c5 send header PROXY UNKNOWN
    c5 expect in
    c6 from 127.2.0.1
    c6 send bytes 0d 0a 0d 0a 00 0d 0a 51 55 49 54 0a 21 11 00 0c cb 00 71 08 0a 00 00 01 c0 00 15 38
    c6 send bytes 00 00 00 08 04 d2 16 2f
    c6 expect closed
    c7 from 127.2.0.2
    c7 send bytes 50 52 4f 58 59 20 54 43 50 34
    c7 expect error 08P01
    c8 from 127.2.0.1
    c8 send bytes 00 00 00 08 04 d2 16 2f
    c8 expect error 08P01
  )");
}
TEST(ProxyProtocol, EveryCutOfAHeaderWaitsForMoreAndNoneIsRead) {
  const Address client = *Address::parse("203.0.113.7:51000"), server = *Address::parse("10.0.0.1:5432"),
                client6 = *Address::parse("[2001:db8::7]:51000"),
                server6 = *Address::parse("[2001:db8::1]:5432");
  for (const std::string& whole :
       {proxy_protocol::formatVersion1(client, server), proxy_protocol::formatVersion2(client, server),
        proxy_protocol::formatVersion1(client6, server6), proxy_protocol::formatVersion2(client6, server6)}) {
    for (std::size_t n = 0; n < whole.size(); ++n) {
      const auto h = proxy_protocol::parse(std::string_view(whole).substr(0, n));
      EXPECT_FALSE(h.malformed) << n;
      EXPECT_EQ(h.length, 0u) << n;
    }
    const auto h = proxy_protocol::parse(whole + "more");
    EXPECT_EQ(h.length, whole.size());
    ASSERT_TRUE(h.client);
    EXPECT_EQ(*h.client, h.client->v6() ? client6 : client);
  }
}
TEST(ProxyProtocol, WhatIsNoHeaderIsBad) {
  const std::string v2 =
      proxy_protocol::formatVersion2(*Address::parse("1.2.3.4:5"), *Address::parse("6.7.8.9:10"));
  std::string version3 = v2, command = v2, shorter = v2, longer = v2;
  version3[12] = '\x31';
  command[12] = '\x22';
  shorter[15] = '\x0b';
  longer[14] = '\x10';
  for (const std::string& bad :
       {std::string("GET / HTTP/1.1\r\n"), std::string("PROXY TCP4 1.2.3.4 5.6.7.8 1\r\n"),
        std::string("PROXY TCP4 1.2.3.4 5.6.7.8 1 65536\r\n"),
        std::string("PROXY TCP4 1.2.3.4 5.6.7.8 01 2\r\n"), std::string("PROXY TCP4 ::1 ::2 1 2\r\n"),
        std::string("PROXY TCP6 1.2.3.4 5.6.7.8 1 2\r\n"), std::string("PROXY TCP4 1.2.3.4 5.6.7.8  1 2\r\n"),
        std::string("PROXY UDP4 1.2.3.4 5.6.7.8 1 2\r\n"), "PROXY " + std::string(200, 'x'), version3,
        command, shorter, longer})
    EXPECT_TRUE(proxy_protocol::parse(bad).malformed) << bad;
  std::string local = v2, unix_ = v2;
  local[12] = '\x20';
  unix_[13] = '\x31';
  for (const std::string& none :
       {local, unix_, std::string("PROXY UNKNOWN\r\n"), std::string("PROXY UNKNOWN ::1 x\r\n")}) {
    const auto h = proxy_protocol::parse(none);
    EXPECT_FALSE(h.malformed);
    EXPECT_EQ(h.length, none.size());
    EXPECT_FALSE(h.client);
  }
}
TEST(DoorStep, ATlsHelloIsAnsweredByAnAlertAndAnEnd) {
  Scenario t;
  t.run(R"(
    c1 send bytes 16 03 01 00 f4 01 00 00 f0 03 03
    c1 expect alert
    c1 expect closed
  )");
}

// ---- slow clients -------------------------------------------------------------------------------------
// Each costs its sender alone: what it may hold ends, and another client is served all the while.
TEST(SlowClients, AByteNowAndThenAHalfMessageAndSilenceEnd) {
  Setting s;
  s.ini = true;
  s.clients = "first_query = 400ms\nhalf_message = 300ms\n";
  Scenario t(s);
  t.run(served("c1", "1") + R"(
    c2 send bytes 00 00
    c3 expect in
    c1 send query
    c1 expect empty
    c1 send bytes 51 00
    c2 expect closed
    c3 expect closed
    c1 expect closed
  )" + served("c4", "2"));
}
TEST(SlowClients, OneThatReadsNothingIsClosedAndHeldToABound) {
  const Socket socket;
  Setting s;
  s.ini = true;
  s.clients = "unread_answer = 300ms\n";
  s.extraSections = socket.section();
  Scenario t(s);
  // Whoever is asked answers. With one server alone, one late answer sets it aside, the others let the
  // requests time out, and the short errors never fill the sockets' buffers.
  for (const char* server : {"s1", "s2"})
    t.run(std::string(server) + " serves " + std::string(60000, 'v') + "\n");
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int small = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  const Address to = *Address::parse("127.0.0.1:" + std::to_string(t.port()));
  ASSERT_EQ(connect(fd, to.data(), to.size()), 0);
  std::string all = postgres::startup("api", "ledger");
  for (int k = 1; k <= 100; ++k)
    all += postgres::query("SELECT 1 /* id=" + std::to_string(k) + ",c=read,d=7000,cluster=3 */");
  ASSERT_EQ(send(fd, all.data(), all.size(), MSG_NOSIGNAL), static_cast<ssize_t>(all.size()));
  // It reads nothing; the proxy serves what fits into the sockets' buffers, and then it ends.
  int looks = 0;
  t.serveUntil([&] {
    return ++looks % 20 == 0 && t.status(true).find("\"clients\": {\n      \"held\": 0") != std::string::npos;
  });
  const timeval most{5, 0};  // a connection that is still open fails the test, and does not hang it
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
  std::size_t got = 0;
  char bytes[65536];
  errno = 0;
  for (ssize_t n; (n = recv(fd, bytes, sizeof bytes, 0)) > 0;) got += static_cast<std::size_t>(n);
  EXPECT_TRUE(errno != EAGAIN && errno != EWOULDBLOCK) << "it is still open";
  EXPECT_LT(got, 100u * 60000u);
  close(fd);
}

// ---- requests -----------------------------------------------------------------------------------------
TEST(DoorStep, RequestsBeyondTheLimitWaitThenAreRefusedAtOnce) {
  Scenario t(door("requests = fixed\nlimit = 1\nwaiting = 1\n"));
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c2 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    c3 expect in
    c3 send query SELECT 1 /* id=3,c=read,d=7000,cluster=3 */
    c3 expect error 53300
    s2 send row one
    c1 expect row one
    s2 expect query id=2
    c3 send query SELECT 1 /* id=4,c=read,d=7000,cluster=3 */
    s2 send row two
    c2 expect row two
    s2 expect query id=4
    s2 send row four
    c3 expect row four
  )");
}
TEST(DoorStep, OneThatWaitsMayLeaveOrBeCalledOff) {
  Scenario t(door("requests = fixed\nlimit = 1\nwaiting = 4\n"));
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c2 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    o3 speaks 3.0
    o3 gets in
    o3 asks SELECT 1 /* id=3,c=read,d=7000,cluster=3 */
    c4 send query SELECT 1 /* id=4,c=read,d=7000,cluster=3 */
    c2 close
    o3 cancels
    o3 gets error 57014
    s2 send row one
    c1 expect row one
    s2 expect query id=4
    s2 send row four
    c4 expect row four
  )");
}
TEST(DoorStep, OneThatWaitsInVainIsToldBeforeItsTimeIsUp) {
  Scenario t(door("requests = fixed\nlimit = 1\nwaiting = 4\n"));
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c2 send query SELECT 1 /* id=2,c=read,d=300,cluster=3 */
    c2 expect error 53300
    s2 send row one
    c1 expect row one
  )");
}
// Hundreds of commands at once take one place: a client's next request comes after its answer.
TEST(DoorStep, AClientThatPipelinesHundredsHoldsOnePlace) {
  Scenario t(door("requests = fixed\nlimit = 4\n", "", "requests = 1\n"));
  t.run("c1 from 127.9.0.1\n" +
        each("q", 1, 200, "c1 send query SELECT 1 /* id=p#,c=read,d=7000,cluster=3 */") +
        "s2 expect query id=p1\n" +
        "d1 from 127.1.0.1\nd1 send query SELECT 1 /* id=d1,c=read,d=7000,cluster=3 */\ns2 serves v\nd1 "
        "expect row v\n" +
        "c2 from 127.9.0.2\nc2 send query SELECT 1 /* id=c2,c=read,d=7000,cluster=3 */\nc2 expect error "
        "53300\n");
}

// ---- what the system runs out of ----------------------------------------------------------------------
// All that is out has its one answer, new ones are told so, and it is well again. The shortage lasts while
// the answers come, so a client that has its answer would be asked to make way as soon as it is idle.
TEST(Shortage, OfDescriptorsWithRequestsOutLeavesEachItsOneAnswer) {
  Setting s = door("requests = off\n", "", "", "1h");
  s.sockets = s.descriptors = 160;
  s.inherited = 108;
  Scenario t(s);
  t.run("s2 wait idle 2\n" + each("c", 1, 9, "$ send query SELECT 1 /* id=#,c=read,d=9000,cluster=3 */") +
        "s2 wait queries 9\n");
  std::string steps;
  for (int k = 1; k <= 40; ++k) steps += "x" + std::to_string(k) + " send bytes 0\n";
  t.run(steps + "proxy expect log event=accept_failed\nx40 expect refused\ns2 serves v\n" +
        each("c", 1, 9, "$ expect row v") + each("x", 1, 40, "$ close"));
  usleep(1100 * 1000);  // a second without a failure
  t.run(
      "c10 expect welcome\nc10 send query SELECT 1 /* id=10,c=read,d=9000,cluster=3 */\nc10 expect row v\n"
      "proxy expect log event=accept_recovered\n");
  for (int k = 1; k <= 9; ++k)  // nothing came behind it
    t.run("c" + std::to_string(k) + " send query\nc" + std::to_string(k) + " expect empty\n");
}

struct Calls {  // puts the system's calls back
  const SystemCalls kept = systemCalls();
  ~Calls() { systemCalls() = kept; }
};
int failing = 0, left = 0;  // the error, and how often it comes

struct ShortageTest : testing::Test {
  Calls calls;
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  ResourceBudget account{config};
  ReservedDescriptor spare;
  void spin(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!done() && std::chrono::steady_clock::now() < end) {
      const timeval tick{0, 5000};
      event_base_loopexit(base.get(), &tick);
      event_base_loop(base.get(), EVLOOP_ONCE);
    }
    ASSERT_TRUE(done());
  }
};
TEST_F(ShortageTest, EachErrorOfAcceptHasItsAnswer) {
  systemCalls().accept = [](int l, sockaddr* a, socklen_t* n) {
    if (left > 0) {
      --left;
      errno = failing;
      return -1;
    }
    return accept4(l, a, n, SOCK_NONBLOCK | SOCK_CLOEXEC);
  };
  int taken = 0, shortages = 0, refused = 0;
  Acceptor::ConnectionHandler taker;
  taker.accepted = [&](evutil_socket_t fd, const sockaddr*) {
    ++taken;
    close(fd);
  };
  taker.hasRoom = [] { return true; };
  taker.onExhaustion = [&] { ++shortages; };
  taker.reject = [&](evutil_socket_t) { ++refused; };
  const Clock clock;
  Acceptor acceptor(base.get(), clock, *Address::parse("127.0.0.1:0"), account, spare, taker);
  const auto come = [&] {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const Address to = *Address::parse("127.0.0.1:" + std::to_string(acceptor.port()));
    EXPECT_EQ(connect(fd, to.data(), to.size()), 0);
    return fd;
  };
  const auto meet = [&](int error, int times) {
    failing = error;
    left = times;
    taken = shortages = refused = 0;
    const int fd = come();
    spin([&] { return taken + refused == 1; });
    close(fd);
  };
  // One connection's own end: the next call takes the next one, with no pause.
  for (const int error : {ECONNABORTED, EINTR, EPROTO, ENETDOWN}) {
    meet(error, 5);
    EXPECT_EQ(taken, 1) << error;
    EXPECT_EQ(acceptor.backoff().count(), 0);
  }
  for (const int error : {EMFILE, ENFILE}) {
    meet(error, 1);  // the call on the spare descriptor goes well: it is told so and closed
    EXPECT_EQ(shortages, 1);
    EXPECT_EQ(refused, 1);
    EXPECT_TRUE(spare.held());
  }
  EXPECT_EQ(account.exhaustionCount(ResourceExhaustion::Descriptors), 2u);
  for (const int error : {ENOBUFS, ENOMEM}) {
    meet(error, 3);  // 20, 40, 80 ms: it waits in the backlog, and is taken
    EXPECT_EQ(taken, 1);
    EXPECT_EQ(shortages + refused, 0);
  }
  EXPECT_EQ(account.exhaustionCount(ResourceExhaustion::Memory), 6u);
}
// An upgrade: from the yielding on all that come go to the listener that came later, and what waits is taken.
TEST_F(ShortageTest, AListenerThatYieldsLosesNoConnection) {
  int first = 0, second = 0;
  const auto taker = [](int& count) {
    Acceptor::ConnectionHandler t;
    t.accepted = [&count](evutil_socket_t fd, const sockaddr*) { ++count, close(fd); };
    t.hasRoom = [] { return true; };
    t.onExhaustion = [] {};
    t.reject = [](evutil_socket_t) {};
    return t;
  };
  const Clock clock;
  auto old = std::make_unique<Acceptor>(base.get(), clock, *Address::parse("127.0.0.1:0"), account, spare,
                                        taker(first), true);
  const Address at = *Address::parse("127.0.0.1:" + std::to_string(old->port()));
  const Acceptor young(base.get(), clock, at, account, spare, taker(second), true);
  const auto come = [&](int n) {
    for (int k = 0; k < n; ++k) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      EXPECT_EQ(connect(fd, at.data(), at.size()), 0);
      close(fd);
    }
  };
  come(64);  // some wait at each: the loop has not run
  old->handOverListener();
  old->drainBacklog();
  const int before = first;
  EXPECT_GT(before, 0);
  come(64);
  old->drainBacklog();
  EXPECT_EQ(first, before) << "they were led to the other";
  old.reset();
  spin([&] { return first + second == 128; });
  come(8);  // the one that is left takes all
  spin([&] { return first + second == 136; });
}
// The proxy's own want is not held against the data server.
TEST_F(ShortageTest, OfSocketsForADialIsNoFaultOfTheMember) {
  struct Seen : DiscoverySource {
    void watch(std::uint64_t) override {}
  } lists;
  Engine engine(base.get(), config);
  WorkerPool workers(base.get(), 1);
  BackendPool upstream(base.get(), engine, workers, account, config);
  int asked = 0;
  upstream.onShortage([&] { ++asked; });
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const Address any = *Address::parse("127.0.0.1:0");
  ASSERT_EQ(bind(listener, any.data(), any.size()), 0);
  ASSERT_EQ(listen(listener, 8), 0);
  sockaddr_storage at{};
  socklen_t size = sizeof at;
  getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    failing = error;
    left = 3;
    systemCalls().socket = [](int family) {
      if (left > 0) {
        --left;
        errno = failing;
        return -1;
      }
      return socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    };
    const auto member = static_cast<EndpointId>(error);
    upstream.endpointListed(member, Address::fromSocket(reinterpret_cast<const sockaddr*>(&at)), true,
                            Time(0));
    EXPECT_EQ(left, 2) << error;  // tried once, not in a loop
    upstream.startHealthCheck(member);
    spin([&] { return account.share(DescriptorHolder::Servers).held > 0; });
    EXPECT_FALSE(engine.hasPendingEvents()) << error;  // nothing was told of it
    upstream.removeEndpoint(member);
    EXPECT_EQ(account.share(DescriptorHolder::Servers).held, 0u);
  }
  EXPECT_GT(asked, 0);
  EXPECT_EQ(account.exhaustionCount(ResourceExhaustion::Descriptors) +
                account.exhaustionCount(ResourceExhaustion::Memory),
            12u);
  close(listener);
}
// New settings may be what mends the want: they are read on the spare descriptor.
TEST(Shortage, OfDescriptorsDoesNotKeepSettingsFromBeingRead) {
  Setting s = door("");
  s.sockets = s.descriptors = 160;
  s.inherited = 124;
  Scenario t(s);
  std::string steps;
  for (int k = 1; k <= 30; ++k) steps += "x" + std::to_string(k) + " send bytes 0\n";
  t.run("s2 wait idle 2\n" + steps + "proxy expect log event=accept_failed\n");
  t.reload("[admission]\ndoor = yes\n[admission_group others]\nconnections = 3\n");
  t.run("proxy expect log event=config_reloaded\n");
}
TEST(Shortage, ALimitOfTheSystemBelowTheSettingsBinds) {
  const Socket socket;
  Setting s = door("");
  s.extraSections += socket.section();
  s.sockets = 1024;
  s.descriptors = 200;
  Scenario t(s);
  t.run("proxy expect log event=descriptors_limited wanted=1024 allowed=200\n");
  EXPECT_NE(t.status().find("client connections 0 of 79 "), std::string::npos) << t.status();
}

// ---- status -------------------------------------------------------------------------------------------
TEST(Status, ShowsTheDoorToItsOwnUserAlone) {
  const Socket socket;
  Setting s =
      door("connections = 4\nrequests = fixed\nlimit = 7\n", "reserve = 2\n", "connections_by_address = 1\n");
  s.extraSections += socket.section();
  Scenario t(s);
  t.run("c1 from 127.9.0.1\nc2 from 127.9.0.1\n" + served("c1", "1") + "c2 expect refused\n");
  const std::string table = t.status();
  EXPECT_NE(table.find("the door: 1 of 4 let in"), std::string::npos) << table;
  EXPECT_NE(table.find("address_full=1"), std::string::npos) << table;
  EXPECT_NE(table.find("3     7      0    0        "), std::string::npos) << table;
  const std::string json = t.status(true);
  EXPECT_NE(json.find("\"reserve_left\": 2"), std::string::npos) << json;
  EXPECT_NE(json.find("\"address_full\": 1"), std::string::npos) << json;
  struct stat st {};
  ASSERT_EQ(stat(socket.path.c_str(), &st), 0);
  EXPECT_EQ(st.st_mode & 0777, 0600u);
  t.run("proxy send TERM\nproxy expect exit 0\n");
  EXPECT_NE(stat(socket.path.c_str(), &st), 0);  // taken away
  EXPECT_NE(t.status().find("is the proxy running?"), std::string::npos);
}
TEST(Status, TakesOverAPathThatADeadProxyLeft) {
  const Socket socket;
  for (int round = 0; round < 2; ++round) {  // the scenario's end kills the first: its path stays
    Setting s = door("");
    s.extraSections += socket.section();
    Scenario t(s);
    EXPECT_NE(t.status().find("the door: 0 of"), std::string::npos);
  }
}
TEST(Status, WithoutADoorSaysSo) {
  const Socket socket;
  Setting s;
  s.ini = true;
  s.extraSections = socket.section();
  Scenario t(s);
  EXPECT_NE(t.status().find("no door: every client is alike"), std::string::npos);
}

}  // namespace
}  // namespace sablespur::test
