// Tests of admission through a running proxy, of the PROXY header parser, of slow clients, of the
// exhaustion of descriptors and memory, and of the status report.
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

// Returns a configuration with two groups: desks in 127.1.0.0/16, and all others. A client may be
// evicted after it has been idle for `minIdleTime`.
Setting admissionSetting(const std::string& admission, const std::string& desks = "",
                         const std::string& others = "", const std::string& minIdleTime = "0") {
  Setting s;
  s.ini = true;
  s.extraSections = "[admission]\ndoor = yes\nidle_least = " + minIdleTime + "\n" + admission +
                    "[admission_group desks]\nnetworks = 127.1.0.0/16\n" + desks +
                    "[admission_group others]\n" + others;
  return s;
}
// Repeats `steps` for the numbers `from` to `to`, replacing $ by the client's name and # by the
// number.
std::string forEachNumber(const std::string& name, int from, int to, const std::string& steps) {
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
// Returns the steps of a read that a client sends and s2 answers.
std::string answeredRead(const std::string& who, const std::string& id) {
  return who + " send query SELECT 1 /* id=" + id + ",c=read,d=7000,cluster=3 */\ns2 expect query id=" + id +
         "\ns2 send row " + id + "\n" + who + " expect row " + id + "\n";
}
struct StatusSocket {  // a path that no other test uses
  StatusSocket() : path("/tmp/sablespur-status-" + std::to_string(getpid())) { unlink(path.c_str()); }
  ~StatusSocket() { unlink(path.c_str()); }
  const std::string path;
  std::string section() const { return "[status]\nsocket = " + path + "\n"; }
};

// ---- connections --------------------------------------------------------------------------------
TEST(AdmissionScenario, AnAddressOverItsLimitIsRejectedWithoutAffectingOthers) {
  Scenario t(admissionSetting("", "reserve = 2\n", "connections_by_address = 3\n"));
  t.run(forEachNumber("c", 1, 3, "$ from 127.9.0.1\n$ expect in") +
        forEachNumber("c", 4, 40, "$ from 127.9.0.1\n$ expect refused") + "d1 from 127.1.0.7\n" +
        answeredRead("d1", "1") + answeredRead("c3", "2") + "c41 from 127.9.0.2\nc41 expect in\n" +
        "proxy expect log event=rejection_started group=others");
  EXPECT_EQ(t.logged("event=rejection_started"), 1u);  // not once per rejection
  t.run("proxy expect log event=rejection_ended group=others what=connections refused=37");
}
TEST(AdmissionScenario, FiveHundredAddressesOfOneNetworkShareItsLimit) {
  Scenario t(admissionSetting("network_bits = 16\n", "", "connections_by_network = 5\n"));
  std::string steps;
  for (int k = 1; k <= 500; ++k) {
    const std::string who = "c" + std::to_string(k);
    steps += who + " from 127.9." + std::to_string(k / 250) + "." + std::to_string(1 + k % 250) + "\n" + who +
             (k <= 5 ? " expect in\n" : " expect refused\n" + who + " close\n");
  }
  t.run(steps + "d1 from 127.1.0.7\n" + answeredRead("d1", "1"));
}
TEST(AdmissionScenario, EvictsAnIdleConnectionOfTheGroupWithTheLargestShare) {
  Scenario t(admissionSetting("connections = 6\n", "reserve = 2\nweight = 4\n"));
  t.run(forEachNumber("d", 1, 2, "$ from 127.1.0.#\n$ send query\n$ expect empty") +
        forEachNumber("c", 1, 4, "$ from 127.9.0.#\n$ send query\n$ expect empty") +
        "c5 from 127.9.0.5\nc5 expect in\nc1 expect closed\n"  // longest idle one of its group
        "d3 from 127.1.0.3\nd3 expect in\nc2 expect closed\n" +
        answeredRead("c3", "1") + answeredRead("d3", "2"));
}
TEST(AdmissionScenario, ABusyClientIsNotEvicted) {
  Scenario t(admissionSetting("connections = 2\n", "reserve = 1\nweight = 4\n"));
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
TEST(AdmissionScenario, AllReservedClientsReconnectAtOnceAfterARestart) {
  for (int round = 0; round < 2; ++round) {  // round 1 is the process after the restart
    Scenario t(admissionSetting("", "reserve = 40\nconnections_per_second = 2\nburst = 40\n",
                                "connections_per_second = 5\nburst = 5\n"));
    t.run(forEachNumber("c", 1, 5, "$ from 127.9.0.#\n$ expect in") +
          "c6 from 127.9.0.6\nc6 expect refused\n" +
          forEachNumber("d", 1, 40, "$ from 127.1.0.#\n$ expect in"));
  }
}
// Each client sends a query first, since a client without one is closed after first_query.
TEST(AdmissionScenario, ALowerLimitAfterAReloadClosesOnlyIdleClients) {
  Scenario t(admissionSetting("", "", "connections = 5\n"));
  t.run(forEachNumber("c", 1, 5, "$ from 127.9.0.#\n$ send query\n$ expect empty") + R"(
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
TEST(AdmissionScenario, AReloadMovesAnAddressToAnotherGroup) {
  const StatusSocket socket;
  Setting s = admissionSetting("", "reserve = 1\n");
  s.extraSections += socket.section();
  Scenario t(s);
  t.run("c1 from 127.9.0.1\nc1 expect in\n");
  const auto holds = [&](const std::string& group) {
    return t.status(true).find("\"name\": \"" + group + "\",\n        \"held\": 1,") != std::string::npos;
  };
  EXPECT_TRUE(holds("others")) << t.status();
  t.reload("[admission]\ndoor = yes\n[admission_group desks]\nnetworks = 127.1.0.0/16, 127.9.0.0/24\n" +
           socket.section());
  t.run("proxy expect log event=config_reloaded\n" + answeredRead("c1", "1"));
  EXPECT_TRUE(holds("desks")) << t.status();
}
TEST(AdmissionScenario, AnAbusiveAddressDoesNotUseUpTheReserveOfItsGroup) {
  Scenario t(admissionSetting("connections = 20\n", "reserve = 10\nconnections_by_address = 2\n"));
  t.run(forEachNumber("x", 1, 2, "$ from 127.1.0.66\n$ expect in") +
        forEachNumber("x", 3, 30, "$ from 127.1.0.66\n$ expect refused") +
        forEachNumber("d", 1, 8, "$ from 127.1.0.#\n$ expect in") + answeredRead("d8", "1"));
}
TEST(AdmissionScenario, ARecentClientBelongsToTheConfiguredGroup) {
  Setting s = admissionSetting("connections = 3\nserved_before = desks\n", "reserve = 2\n");
  Scenario t(s);
  t.run("c1 from 127.9.0.1\n");
  // Three responses over more than 2 s establish the address.
  for (int k = 1; k <= 3; ++k) {
    t.run(answeredRead("c1", std::to_string(k)));
    usleep(1100 * 1000);
  }
  t.run(
      "c1 close\nc2 from 127.9.0.2\nc2 expect in\nc2 send query SELECT 1 /* id=9,c=read,d=7000,cluster=3 */\n"
      "s2 expect query id=9\nc3 from 127.9.0.3\nc3 expect refused\nc4 from 127.9.0.1\nc4 expect in\n"
      "s2 send row v\nc2 expect row v\n");
}
TEST(AdmissionScenario, AUserBelongsToItsGroupOnlyAfterAuthentication) {
  const std::string path = "/tmp/sablespur-door-users-" + std::to_string(getpid());
  std::ofstream(path) << "desk:" << auth::makeVerifier("pencil", "0123456789abcdef", 4096).text()
                      << "\ntill:" << auth::makeVerifier("pencil", "0123456789abcdef", 4096).text() << "\n";
  chmod(path.c_str(), 0600);
  Setting s = admissionSetting("connections = 2\n", "reserve = 1\nusers = desk\n");
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
// Between Execute and Sync a client is not idle: its ReadyForQuery is still to be sent.
TEST(AdmissionScenario, AClientBetweenExecuteAndSyncIsNotEvicted) {
  Setting s = admissionSetting("connections = 1\n");
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
// A CancelRequest for a request on another connection is handled even when no connection is
// admitted.
TEST(AdmissionScenario, CancelRequestsAreHandledAtTheConnectionLimit) {
  Scenario t(admissionSetting("connections = 1\n"));
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
TEST(AdmissionScenario, RejectionsAreWrittenInTheProtocolVersionOfTheClient) {
  Setting s = admissionSetting("connections = 1\n");
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
// Connections beyond the limit on unadmitted ones are rejected at once, before they send a message.
TEST(AdmissionScenario, SilentConnectionsUseOnlyTheUnadmittedLimit) {
  const StatusSocket socket;
  Setting s = admissionSetting("connections = 1\nantechamber = 4\n", "reserve = 1\n");
  s.extraSections += socket.section();
  Scenario t(s);
  t.run(forEachNumber("x", 1, 60, "$ from 127.9.0.1\n$ send bytes") + "d1 from 127.1.0.1\n" +
        answeredRead("d1", "1") + "x60 expect closed\nx1 expect closed\n");  // x1 is closed after 2 s
  const std::string json = t.status(true);
  EXPECT_NE(json.find("\"peak\": 5"), std::string::npos) << json;  // four, and one being rejected
}

// ---- PROXY header -------------------------------------------------------------------------------
TEST(AdmissionScenario, TrustedProxiesPassTheClientAddressInAProxyHeader) {
  Scenario t(admissionSetting("fronts = 127.2.0.1\n", "", "connections_by_address = 1\n"));
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
TEST(ProxyProtocol, TruncatedHeadersAreIncomplete) {
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
TEST(ProxyProtocol, InvalidHeadersAreMalformed) {
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
TEST(AdmissionScenario, ATlsClientHelloIsAnsweredWithAnAlert) {
  Scenario t;
  t.run(R"(
    c1 send bytes 16 03 01 00 f4 01 00 00 f0 03 03
    c1 expect alert
    c1 expect closed
  )");
}

// ---- slow clients -------------------------------------------------------------------------------
// Slow clients are closed by timeouts, and other clients are served meanwhile.
TEST(SlowClients, IncompleteMessagesAndSilenceTimeOut) {
  Setting s;
  s.ini = true;
  s.clients = "first_query = 400ms\nhalf_message = 300ms\n";
  Scenario t(s);
  t.run(answeredRead("c1", "1") + R"(
    c2 send bytes 00 00
    c3 expect in
    c1 send query
    c1 expect empty
    c1 send bytes 51 00
    c2 expect closed
    c3 expect closed
    c1 expect closed
  )" + answeredRead("c4", "2"));
}
TEST(SlowClients, AClientThatDoesNotReadIsClosedWithinItsBufferLimit) {
  const StatusSocket socket;
  Setting s;
  s.ini = true;
  s.clients = "unread_answer = 300ms\n";
  s.extraSections = socket.section();
  Scenario t(s);
  // Every data server answers. If only one did, a single late answer would eject it, the requests
  // to the others would time out, and the short errors would never fill the socket buffers.
  for (const char* server : {"s1", "s2"})
    t.run(std::string(server) + " serves " + std::string(60000, 'v') + "\n");
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int receiveBufferSize = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferSize, sizeof receiveBufferSize);
  const Address to = *Address::parse("127.0.0.1:" + std::to_string(t.port()));
  ASSERT_EQ(connect(fd, to.data(), to.size()), 0);
  std::string all = postgres::startup("api", "ledger");
  for (int k = 1; k <= 100; ++k)
    all += postgres::query("SELECT 1 /* id=" + std::to_string(k) + ",c=read,d=7000,cluster=3 */");
  ASSERT_EQ(send(fd, all.data(), all.size(), MSG_NOSIGNAL), static_cast<ssize_t>(all.size()));
  // The client does not read: the proxy sends what fits into the socket buffers, then closes the
  // connection.
  int polls = 0;
  t.serveUntil([&] {
    return ++polls % 20 == 0 && t.status(true).find("\"clients\": {\n      \"held\": 0") != std::string::npos;
  });
  // With a timeout, a connection that is still open fails the test instead of blocking it.
  const timeval receiveTimeout{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
  std::size_t received = 0;
  char bytes[65536];
  errno = 0;
  for (ssize_t n; (n = recv(fd, bytes, sizeof bytes, 0)) > 0;) received += static_cast<std::size_t>(n);
  EXPECT_TRUE(errno != EAGAIN && errno != EWOULDBLOCK) << "the connection is still open";
  EXPECT_LT(received, 100u * 60000u);
  close(fd);
}

// ---- requests -----------------------------------------------------------------------------------
TEST(AdmissionScenario, RequestsBeyondTheLimitAreQueuedThenRejected) {
  Scenario t(admissionSetting("requests = fixed\nlimit = 1\nwaiting = 1\n"));
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
TEST(AdmissionScenario, AQueuedRequestEndsOnDisconnectOrCancel) {
  Scenario t(admissionSetting("requests = fixed\nlimit = 1\nwaiting = 4\n"));
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
TEST(AdmissionScenario, AQueuedRequestThatMissesItsDeadlineIsRejected) {
  Scenario t(admissionSetting("requests = fixed\nlimit = 1\nwaiting = 4\n"));
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c2 send query SELECT 1 /* id=2,c=read,d=300,cluster=3 */
    c2 expect error 53300
    s2 send row one
    c1 expect row one
  )");
}
// A client's next request is submitted only after the previous answer, so hundreds of pipelined
// queries count as one open request.
TEST(AdmissionScenario, APipeliningClientHasOneOpenRequest) {
  Scenario t(admissionSetting("requests = fixed\nlimit = 4\n", "", "requests = 1\n"));
  t.run("c1 from 127.9.0.1\n" +
        forEachNumber("q", 1, 200, "c1 send query SELECT 1 /* id=p#,c=read,d=7000,cluster=3 */") +
        "s2 expect query id=p1\n" +
        "d1 from 127.1.0.1\nd1 send query SELECT 1 /* id=d1,c=read,d=7000,cluster=3 */\ns2 serves v\nd1 "
        "expect row v\n" +
        "c2 from 127.9.0.2\nc2 send query SELECT 1 /* id=c2,c=read,d=7000,cluster=3 */\nc2 expect error "
        "53300\n");
}

// ---- exhaustion of descriptors and memory -------------------------------------------------------
// When descriptors run out, each open request is still answered once, new clients are rejected, and
// the proxy recovers afterwards. The shortage lasts while the answers arrive, so without the long
// idle_least an answered client would be evicted as soon as it is idle.
TEST(ResourceExhaustion, OpenRequestsAreAnsweredOnceWithoutDescriptors) {
  Setting s = admissionSetting("requests = off\n", "", "", "1h");
  s.sockets = s.descriptors = 160;
  s.inherited = 108;
  Scenario t(s);
  t.run("s2 wait idle 2\n" +
        forEachNumber("c", 1, 9, "$ send query SELECT 1 /* id=#,c=read,d=9000,cluster=3 */") +
        "s2 wait queries 9\n");
  std::string steps;
  for (int k = 1; k <= 40; ++k) steps += "x" + std::to_string(k) + " send bytes 0\n";
  t.run(steps + "proxy expect log event=accept_failed\nx40 expect refused\ns2 serves v\n" +
        forEachNumber("c", 1, 9, "$ expect row v") + forEachNumber("x", 1, 40, "$ close"));
  usleep(1100 * 1000);  // more than 1 s without a failure
  t.run(
      "c10 expect welcome\nc10 send query SELECT 1 /* id=10,c=read,d=9000,cluster=3 */\nc10 expect row v\n"
      "proxy expect log event=accept_recovered\n");
  for (int k = 1; k <= 9; ++k)  // no second answer has arrived
    t.run("c" + std::to_string(k) + " send query\nc" + std::to_string(k) + " expect empty\n");
}

struct SystemCallsGuard {  // restores the system calls
  const SystemCalls original = systemCalls();
  ~SystemCallsGuard() { systemCalls() = original; }
};
int injectedError = 0, failuresLeft = 0;  // errno, and how many more calls fail with it

struct ResourceExhaustionTest : testing::Test {
  SystemCallsGuard calls;
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  ResourceBudget budget{config};
  ReservedDescriptor reservedDescriptor;
  void runUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!done() && std::chrono::steady_clock::now() < end) {
      const timeval tick{0, 5000};
      event_base_loopexit(base.get(), &tick);
      event_base_loop(base.get(), EVLOOP_ONCE);
    }
    ASSERT_TRUE(done());
  }
};
TEST_F(ResourceExhaustionTest, AcceptHandlesEachError) {
  systemCalls().accept = [](int l, sockaddr* a, socklen_t* n) {
    if (failuresLeft > 0) {
      --failuresLeft;
      errno = injectedError;
      return -1;
    }
    return accept4(l, a, n, SOCK_NONBLOCK | SOCK_CLOEXEC);
  };
  int acceptedCount = 0, exhaustionCount = 0, rejectedCount = 0;
  Acceptor::ConnectionHandler handler;
  handler.accepted = [&](evutil_socket_t fd, const sockaddr*) {
    ++acceptedCount;
    close(fd);
  };
  handler.hasRoom = [] { return true; };
  handler.onExhaustion = [&] { ++exhaustionCount; };
  handler.reject = [&](evutil_socket_t) { ++rejectedCount; };
  const Clock clock;
  Acceptor acceptor(base.get(), clock, *Address::parse("127.0.0.1:0"), budget, reservedDescriptor, handler);
  const auto connectClient = [&] {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const Address to = *Address::parse("127.0.0.1:" + std::to_string(acceptor.port()));
    EXPECT_EQ(connect(fd, to.data(), to.size()), 0);
    return fd;
  };
  const auto acceptWithErrors = [&](int error, int times) {
    injectedError = error;
    failuresLeft = times;
    acceptedCount = exhaustionCount = rejectedCount = 0;
    const int fd = connectClient();
    runUntil([&] { return acceptedCount + rejectedCount == 1; });
    close(fd);
  };
  // Errors of a single connection: the next one is accepted without a pause.
  for (const int error : {ECONNABORTED, EINTR, EPROTO, ENETDOWN}) {
    acceptWithErrors(error, 5);
    EXPECT_EQ(acceptedCount, 1) << error;
    EXPECT_EQ(acceptor.backoff().count(), 0);
  }
  for (const int error : {EMFILE, ENFILE}) {
    acceptWithErrors(error, 1);  // accepted with the reserved descriptor, rejected and closed
    EXPECT_EQ(exhaustionCount, 1);
    EXPECT_EQ(rejectedCount, 1);
    EXPECT_TRUE(reservedDescriptor.held());
  }
  EXPECT_EQ(budget.exhaustionCount(ResourceExhaustion::Descriptors), 2u);
  for (const int error : {ENOBUFS, ENOMEM}) {
    acceptWithErrors(error, 3);  // retried after 20, 40 and 80 ms, then accepted from the backlog
    EXPECT_EQ(acceptedCount, 1);
    EXPECT_EQ(exhaustionCount + rejectedCount, 0);
  }
  EXPECT_EQ(budget.exhaustionCount(ResourceExhaustion::Memory), 6u);
}
// During an upgrade, connections after the handover go to the newer listener, and those in the
// backlog of the old one are accepted.
TEST_F(ResourceExhaustionTest, AListenerHandoverLosesNoConnection) {
  int first = 0, second = 0;
  const auto countingHandler = [](int& count) {
    Acceptor::ConnectionHandler handler;
    handler.accepted = [&count](evutil_socket_t fd, const sockaddr*) { ++count, close(fd); };
    handler.hasRoom = [] { return true; };
    handler.onExhaustion = [] {};
    handler.reject = [](evutil_socket_t) {};
    return handler;
  };
  const Clock clock;
  auto older = std::make_unique<Acceptor>(base.get(), clock, *Address::parse("127.0.0.1:0"), budget,
                                          reservedDescriptor, countingHandler(first), true);
  const Address at = *Address::parse("127.0.0.1:" + std::to_string(older->port()));
  const Acceptor newer(base.get(), clock, at, budget, reservedDescriptor, countingHandler(second), true);
  const auto connectClients = [&](int n) {
    for (int k = 0; k < n; ++k) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      EXPECT_EQ(connect(fd, at.data(), at.size()), 0);
      close(fd);
    }
  };
  connectClients(64);  // both backlogs have some: the event loop has not run
  older->handOverListener();
  older->drainBacklog();
  const int before = first;
  EXPECT_GT(before, 0);
  connectClients(64);
  older->drainBacklog();
  EXPECT_EQ(first, before) << "new connections reached the old listener";
  older.reset();
  runUntil([&] { return first + second == 128; });
  connectClients(8);  // the remaining listener accepts all
  runUntil([&] { return first + second == 136; });
}
// A shortage in the proxy must not count as a failure of the data server.
TEST_F(ResourceExhaustionTest, AFailedSocketCallIsNotAFailureOfTheEndpoint) {
  struct UnusedSource : DiscoverySource {
    void watch(std::uint64_t) override {}
  } source;
  Engine engine(base.get(), config);
  WorkerPool workers(base.get(), 1);
  BackendPool pool(base.get(), engine, workers, budget, config);
  int shortageCount = 0;
  pool.onShortage([&] { ++shortageCount; });
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const Address any = *Address::parse("127.0.0.1:0");
  ASSERT_EQ(bind(listener, any.data(), any.size()), 0);
  ASSERT_EQ(listen(listener, 8), 0);
  sockaddr_storage at{};
  socklen_t size = sizeof at;
  getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    injectedError = error;
    failuresLeft = 3;
    systemCalls().socket = [](int family) {
      if (failuresLeft > 0) {
        --failuresLeft;
        errno = injectedError;
        return -1;
      }
      return socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    };
    const auto endpoint = static_cast<EndpointId>(error);
    pool.endpointListed(endpoint, Address::fromSocket(reinterpret_cast<const sockaddr*>(&at)), true, Time(0));
    EXPECT_EQ(failuresLeft, 2) << error;  // one attempt, not a loop
    pool.startHealthCheck(endpoint);
    runUntil([&] { return budget.share(DescriptorHolder::Servers).held > 0; });
    EXPECT_FALSE(engine.hasPendingEvents()) << error;  // the engine received no event
    pool.removeEndpoint(endpoint);
    EXPECT_EQ(budget.share(DescriptorHolder::Servers).held, 0u);
  }
  EXPECT_GT(shortageCount, 0);
  EXPECT_EQ(budget.exhaustionCount(ResourceExhaustion::Descriptors) +
                budget.exhaustionCount(ResourceExhaustion::Memory),
            12u);
  close(listener);
}
// New settings may end the shortage, so they are read with the reserved descriptor.
TEST(ResourceExhaustion, SettingsAreReloadedWithoutDescriptors) {
  Setting s = admissionSetting("");
  s.sockets = s.descriptors = 160;
  s.inherited = 124;
  Scenario t(s);
  std::string steps;
  for (int k = 1; k <= 30; ++k) steps += "x" + std::to_string(k) + " send bytes 0\n";
  t.run("s2 wait idle 2\n" + steps + "proxy expect log event=accept_failed\n");
  t.reload("[admission]\ndoor = yes\n[admission_group others]\nconnections = 3\n");
  t.run("proxy expect log event=config_reloaded\n");
}
TEST(ResourceExhaustion, TheDescriptorLimitLowersTheConnectionLimit) {
  const StatusSocket socket;
  Setting s = admissionSetting("");
  s.extraSections += socket.section();
  s.sockets = 1024;
  s.descriptors = 200;
  Scenario t(s);
  t.run("proxy expect log event=descriptors_limited wanted=1024 allowed=200\n");
  EXPECT_NE(t.status().find("client connections 0 of 79 "), std::string::npos) << t.status();
}

// ---- status -------------------------------------------------------------------------------------
TEST(Status, ShowsAdmissionOnASocketOfTheOwnerOnly) {
  const StatusSocket socket;
  Setting s = admissionSetting("connections = 4\nrequests = fixed\nlimit = 7\n", "reserve = 2\n",
                               "connections_by_address = 1\n");
  s.extraSections += socket.section();
  Scenario t(s);
  t.run("c1 from 127.9.0.1\nc2 from 127.9.0.1\n" + answeredRead("c1", "1") + "c2 expect refused\n");
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
  EXPECT_NE(stat(socket.path.c_str(), &st), 0);  // removed
  EXPECT_NE(t.status().find("is the proxy running?"), std::string::npos);
}
TEST(Status, ReplacesTheSocketOfAKilledProxy) {
  const StatusSocket socket;
  // The end of the first scenario kills the proxy, so its socket is not removed.
  for (int round = 0; round < 2; ++round) {
    Setting s = admissionSetting("");
    s.extraSections += socket.section();
    Scenario t(s);
    EXPECT_NE(t.status().find("the door: 0 of"), std::string::npos);
  }
}
TEST(Status, ReportsThatAdmissionIsOff) {
  const StatusSocket socket;
  Setting s;
  s.ini = true;
  s.extraSections = socket.section();
  Scenario t(s);
  EXPECT_NE(t.status().find("no door: every client is alike"), std::string::npos);
}

}  // namespace
}  // namespace sablespur::test
