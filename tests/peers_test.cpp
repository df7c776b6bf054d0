// Tests of gossip between proxies: datagram encoding, the scheduler, relay selection, and links on
// loopback.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "cluster/relay_selection.hpp"
#include "cluster/scheduler.hpp"
#include "cluster/udp/link.hpp"
#include "scenario.hpp"

namespace sablespur {
namespace {

using cluster::GossipRole;
using cluster::GossipScheduler;
using cluster::GossipUpdate;

constexpr std::int64_t kNow = 1767225600123;

TEST(GossipDatagram, CarriesPositionRoleClassAndLatency) {
  const std::vector<GossipUpdate> sent{
      {cluster::endpointTag("s-5be2a07c"), kNow - 40, GossipRole::Primary, 1, 36000},
      {cluster::endpointTag("s-1"), kNow - 60000, GossipRole::Replica, -1, 0}};
  const auto received = cluster::decode(cluster::encode(sent), kNow + 25);
  ASSERT_EQ(received.size(), 2u);
  for (std::size_t k = 0; k < 2; ++k) {
    EXPECT_EQ(received[k].endpointTag, sent[k].endpointTag);
    EXPECT_EQ(received[k].positionMs, sent[k].positionMs);
    EXPECT_EQ(received[k].role, sent[k].role);
    EXPECT_EQ(received[k].classIndex, sent[k].classIndex);
  }
  EXPECT_NEAR(static_cast<double>(received[0].latencyUs), 36000, 36000 * 0.05);
}

TEST(GossipDatagram, PositionsAreExactAcrossTheWraparound) {
  for (std::int64_t now = kNow; now < kNow + (std::int64_t{1} << 22) + 5000; now += 4999)
    for (const std::int64_t age : {std::int64_t{0}, std::int64_t{199}, std::int64_t{3600000}}) {
      const auto received =
          cluster::decode(cluster::encode({{1, now - age, GossipRole::Replica, 0, 1}}), now);
      ASSERT_EQ(received.size(), 1u);
      EXPECT_EQ(received[0].positionMs, now - age);
    }
}

TEST(GossipDatagram, RejectsMalformedDatagrams) {
  const std::string good = cluster::encode({{7, kNow, GossipRole::Replica, 0, 1000}});
  EXPECT_EQ(cluster::decode(good, kNow).size(), 1u);
  for (std::size_t n = 0; n < good.size(); ++n) EXPECT_TRUE(cluster::decode(good.substr(0, n), kNow).empty());
  EXPECT_TRUE(cluster::decode(good + "x", kNow).empty());
  std::string other = good;
  other[0] = 9;
  EXPECT_TRUE(cluster::decode(other, kNow).empty());
  other = good;
  other[6] = static_cast<char>(other[6] | 0xc0);  // a role that does not exist
  EXPECT_TRUE(cluster::decode(other, kNow).empty());
  EXPECT_TRUE(cluster::decode(std::string(300, '\x01'), kNow).empty());
}

TEST(GossipDatagram, NeverExceedsTheMaximumSize) {
  const std::vector<GossipUpdate> many(100, GossipUpdate{1, kNow, GossipRole::Replica, 0, 1});
  EXPECT_LE(cluster::encode(many).size(), cluster::kMaxDatagramBytes);
  EXPECT_EQ(cluster::decode(cluster::encode(many), kNow).size(), cluster::kGossipUpdatesPerDatagram);
  EXPECT_EQ(cluster::decode(cluster::encode(many, 90), kNow).size(), 10u);
}

// Returns the updates of the datagram that is due at `nowMs`; empty if none is due.
std::vector<GossipUpdate> sentAt(GossipScheduler& scheduler, std::int64_t nowMs) {
  std::vector<GossipUpdate> datagram;
  scheduler.takeDatagram(nowMs, datagram);
  return datagram;
}
// Returns whether an observed update is sent at once.
bool sends(GossipScheduler& scheduler, const GossipUpdate& update, std::int64_t nowMs) {
  scheduler.observedLocally(update, nowMs);
  const std::vector<GossipUpdate> datagram = sentAt(scheduler, nowMs);
  return std::any_of(datagram.begin(), datagram.end(), [&](const GossipUpdate& h) {
    return h.endpointTag == update.endpointTag && h.positionMs == update.positionMs && h.role == update.role;
  });
}

TEST(GossipScheduler, SendsPositionsOnceAndChangesOfRoleTwice) {
  GossipScheduler g({4, 200, true, 1});
  EXPECT_TRUE(sends(g, {1, kNow, GossipRole::Replica, 0, 1}, kNow));
  EXPECT_FALSE(sends(g, {1, kNow + 10, GossipRole::Replica, 0, 1}, kNow + 10))
      << "the position has advanced too little";
  EXPECT_TRUE(sends(g, {1, kNow + 60, GossipRole::Replica, 0, 1}, kNow + 60));
  g.observedLocally({1, kNow + 61, GossipRole::Primary, 0, 1}, kNow + 61);
  const auto change = sentAt(g, kNow + 63);
  ASSERT_EQ(change.size(), 1u) << "a change of role is sent at once";
  EXPECT_EQ(change[0].role, GossipRole::Primary);
  EXPECT_FALSE(sentAt(g, kNow + 300).empty()) << "sent twice, since a datagram may be lost";
  EXPECT_TRUE(sentAt(g, kNow + 600).empty());
  EXPECT_FALSE(sends(g, {1, kNow + 2000, GossipRole::Primary, 0, 1}, kNow + 4000)) << "too old for any read";
}

TEST(GossipScheduler, AnUpdateThatAPeerSentIsNotRepeated) {
  GossipScheduler g({4, 200, true, 1});
  g.receivedFromPeer({1, kNow, GossipRole::Replica, -1, 0}, kNow);
  EXPECT_FALSE(sends(g, {1, kNow + 20, GossipRole::Replica, 0, 1}, kNow + 20));
  g.receivedFromPeer({1, kNow - 5000, GossipRole::Replica, -1, 0}, kNow + 30);  // out of order
  EXPECT_FALSE(sends(g, {1, kNow + 30, GossipRole::Replica, 0, 1}, kNow + 30));
}

TEST(GossipScheduler, APendingUpdateIsDroppedOnceAPeerSendsIt) {
  GossipScheduler g({900, 200, true, 1});
  g.receivedFromPeer({1, kNow, GossipRole::Replica, -1, 0}, kNow);
  g.receivedFromPeer({2, kNow, GossipRole::Replica, -1, 0}, kNow);
  g.observedLocally({1, kNow, GossipRole::Replica, 0, 1}, kNow);  // starts its intervals
  const std::int64_t then = kNow + 20000;                         // the interval of 900 proxies is over
  g.observedLocally({1, then, GossipRole::Replica, 0, 1}, then);
  g.observedLocally({2, then, GossipRole::Primary, 0, 1}, then);
  g.receivedFromPeer({1, then + 1, GossipRole::Replica, 0, 1}, then + 1);
  g.receivedFromPeer({2, then + 1, GossipRole::Primary, 0, 1}, then + 1);
  for (std::int64_t ms = then + 1; ms < then + 1000; ++ms) EXPECT_TRUE(sentAt(g, ms).empty());
}

TEST(GossipScheduler, AChangeOfRoleIsSentBeforeTheIntervalEndsAndBeforeOtherUpdates) {
  GossipScheduler g({900, 200, true, 1});
  for (std::uint64_t tag = 1; tag <= 40; ++tag)
    g.receivedFromPeer({tag, kNow, GossipRole::Replica, -1, 0}, kNow);
  g.observedLocally({1, kNow, GossipRole::Replica, 0, 1}, kNow);  // starts its intervals
  std::int64_t now = kNow + 30000;
  for (std::uint64_t tag = 1; tag <= 40; ++tag) g.observedLocally({tag, now, GossipRole::Replica, 0, 1}, now);
  ASSERT_EQ(sentAt(g, now).size(), cluster::kGossipUpdatesPerDatagram);
  now += 100;
  for (std::uint64_t tag = 1; tag <= 40; ++tag) g.observedLocally({tag, now, GossipRole::Replica, 0, 1}, now);
  EXPECT_TRUE(sentAt(g, now).empty()) << "the next ordinary datagram is seconds away";
  g.observedLocally({7, now - 50, GossipRole::Primary, 0, 1}, now);
  EXPECT_TRUE(sentAt(g, now).empty()) << "older than the position at which it was a replica";
  g.observedLocally({7, now + 1, GossipRole::Primary, 0, 1}, now + 1);
  ASSERT_TRUE(g.urgentAtMs());
  EXPECT_LE(*g.urgentAtMs(), now + 1 + 200);
  const auto datagram = sentAt(g, *g.urgentAtMs());
  ASSERT_FALSE(datagram.empty());
  EXPECT_EQ(datagram[0].endpointTag, 7u);
  EXPECT_EQ(datagram[0].role, GossipRole::Primary);
}

TEST(GossipScheduler, TheFirstUpdateAboutAnEndpointIsUrgentOnlyIfItIsAPrimary) {
  GossipScheduler g({900, 200, true, 1});
  g.receivedFromPeer({1, kNow, GossipRole::Unknown, -1, 0}, kNow);
  g.observedLocally({1, kNow + 1, GossipRole::Replica, 0, 1}, kNow + 1);
  g.observedLocally({2, kNow + 1, GossipRole::Replica, 0, 1}, kNow + 1);
  EXPECT_FALSE(g.urgentAtMs());
  g.observedLocally({1, kNow + 2, GossipRole::Primary, 0, 1}, kNow + 2);
  EXPECT_TRUE(g.urgentAtMs());
}

TEST(GossipScheduler, ReplicationLagIsSentOnce) {
  GossipScheduler g({4, 200, true, 1});
  EXPECT_TRUE(sends(g, {1, kNow, GossipRole::Replica, 0, 1}, kNow));
  EXPECT_TRUE(sends(g, {1, kNow + 100, GossipRole::Replica, 0, 1}, kNow + 1000));
  EXPECT_FALSE(sends(g, {1, kNow + 200, GossipRole::Replica, 0, 1}, kNow + 2000)) << "known already";
  EXPECT_TRUE(sends(g, {1, kNow + 3000, GossipRole::Replica, 0, 1}, kNow + 3000)) << "caught up";
}

TEST(GossipScheduler, DeliveredBytesPerResponseAreBoundedAtAnyFleetSize) {
  for (const std::size_t n : {5u, 100u, 1000u, 10000u}) {
    GossipScheduler g({n, 200, true, 1});
    double delivered = 0;
    std::vector<GossipUpdate> datagram;
    for (int k = 0; k < 20000; ++k) {
      g.observedLocally({static_cast<std::uint64_t>(k % 60), kNow + 100 * k, GossipRole::Replica, 0, 1},
                        kNow + 100 * k);
      while (g.takeDatagram(kNow + 100 * k, datagram))
        delivered += static_cast<double>(n * (1 + datagram.size() * cluster::kGossipUpdateBytes));
    }
    EXPECT_LE(delivered, 20000 * 512 + 64 * 1024 + static_cast<double>(n) * 256) << n;
    EXPECT_GT(delivered, 0) << n;
  }
}

TEST(GossipScheduler, ReceivedDatagramsStayWithinTheBudgetAtAnyFleetSize) {
  for (const std::size_t n : {5u, 59u, 349u, 899u, 9999u})
    for (const bool broadcast : {true, false}) {
      GossipScheduler g({n, 200, broadcast, n});
      const std::size_t receivers = g.drawReceivers().size();
      EXPECT_EQ(receivers, broadcast ? n : std::min(n, cluster::kFanout));
      constexpr int kSpanMs = 600 * 1000;
      double sent = 0;
      std::vector<GossipUpdate> datagram;
      for (int ms = 0; ms < kSpanMs; ++ms) {
        g.observedLocally({static_cast<std::uint64_t>(ms % 60), kNow + ms, GossipRole::Replica, 0, 1},
                          kNow + ms);
        while (g.takeDatagram(kNow + ms, datagram)) ++sent;
      }
      // Each of the n peers sends at this rate, and receivers/n of its datagrams reach one proxy.
      const double received = sent * static_cast<double>(receivers) / (kSpanMs / 1000.0);
      EXPECT_LE(received, 1.15 * cluster::kReceivedPerSecond) << n << " peers, broadcast " << broadcast;
      EXPECT_GT(received, 0.5 * cluster::kReceivedPerSecond) << n << " peers, broadcast " << broadcast;
    }
}

TEST(GossipScheduler, StoresABoundedNumberOfEndpointStatuses) {
  GossipScheduler g({1, 200, true, 1});
  for (std::uint64_t k = 0; k < 20000; ++k) g.receivedFromPeer({k, kNow, GossipRole::Replica, -1, 0}, kNow);
  EXPECT_LE(g.knownEndpoints(), 4096u);
  g.receivedFromPeer({1u << 20, kNow, GossipRole::Replica, -1, 0}, kNow + 120000);
  EXPECT_EQ(g.knownEndpoints(), 1u) << "expired statuses are removed";
}

TEST(RelaySelectionTest, APeerThatLeavesUpdatesUnansweredIsSuspectedForAWhile) {
  cluster::RelaySelection relays({4, 2}, 6);
  EXPECT_EQ(relays.relay(kNow), 4u);
  EXPECT_EQ(relays.relay(kNow + 10000), 4u) << "nothing was sent to it";
  relays.sentTo(4, kNow + 10000);
  relays.sentTo(4, kNow + 10200);
  EXPECT_EQ(relays.relay(kNow + 10300), 4u);
  EXPECT_EQ(relays.relay(kNow + 10301), 2u);
  relays.sentTo(2, kNow + 10301);
  EXPECT_EQ(relays.relay(kNow + 10700), std::nullopt) << "both are suspected, so this proxy is the relay";
  EXPECT_EQ(relays.relay(kNow + 13301), 4u) << "tried again";
}

TEST(RelaySelectionTest, AnyDatagramShowsThatAPeerIsAlive) {
  cluster::RelaySelection relays({4, 2}, 6);
  relays.sentTo(4, kNow);
  relays.receivedFrom(4);
  EXPECT_EQ(relays.relay(kNow + 1000), 4u);
  relays.sentTo(4, kNow + 1000);
  EXPECT_EQ(relays.relay(kNow + 1400), 2u);
  relays.receivedFrom(3);  // ranked after this proxy
  EXPECT_EQ(relays.relay(kNow + 1400), 2u);
  relays.receivedFrom(4);
  EXPECT_EQ(relays.relay(kNow + 1400), 4u);
}

TEST(GossipScheduler, TheRelayBroadcastsUpdatesOfOtherProxiesOnce) {
  std::vector<std::size_t> none;
  GossipScheduler relay({299, 200, true, 1, none});
  GossipScheduler other({299, 200, true, 2, std::vector<std::size_t>{7}});
  other.receivedFromPeer({1, kNow - 100, GossipRole::Replica, -1, 0}, kNow - 100);
  relay.receivedFromPeer({1, kNow - 100, GossipRole::Replica, -1, 0}, kNow - 100);
  EXPECT_FALSE(sentAt(relay, kNow - 80).empty())
      << "the first update about an endpoint is new to all proxies";
  std::vector<GossipUpdate> datagram;
  other.observedLocally({1, kNow, GossipRole::Replica, 0, 1}, kNow);
  EXPECT_TRUE(sentAt(other, kNow).empty()) << "a proxy that is not the relay does not broadcast";
  EXPECT_EQ(other.takeForRelay(kNow, datagram), 7u);
  ASSERT_EQ(datagram.size(), 1u);
  EXPECT_EQ(other.takeForRelay(kNow + 1, datagram), std::nullopt) << "sent once only";
  for (int k = 0; k < 3; ++k) relay.receivedFromPeer({1, kNow, GossipRole::Replica, 0, 1}, kNow + 20);
  relay.receivedFromPeer({2, kNow, GossipRole::Replica, 0, 1}, kNow + 20);
  EXPECT_EQ(relay.takeForRelay(kNow + 20, datagram), std::nullopt);
  EXPECT_EQ(sentAt(relay, kNow + 20).size(), 2u);
  EXPECT_EQ(relay.relayAtMs(kNow + 20), std::nullopt) << "nothing is left to send";
  relay.receivedFromPeer({1, kNow, GossipRole::Replica, 0, 1}, kNow + 60);
  EXPECT_TRUE(sentAt(relay, kNow + 60).empty());
}

// Links of proxies on loopback.
struct PeerLinkTest : testing::Test {
  static Address own() {
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);
    Address a = *Address::parse("127.0.0.1:1");
    sockaddr_in in = *reinterpret_cast<const sockaddr_in*>(a.data());
    in.sin_port = 0;
    socklen_t length = sizeof in;
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&in), length), 0);
    getsockname(fd, reinterpret_cast<sockaddr*>(&in), &length);
    close(fd);
    return Address::fromSocket(reinterpret_cast<sockaddr*>(&in));
  }
  static Config config(const Address& listen, const std::vector<Address>& peers) {
    Config c = parseConfig(test::configuration({}, 1, {11, 12}));
    c.peerListen = listen;
    c.peers = peers;
    return c;
  }
};

TEST_F(PeerLinkTest, UpdatesOfPeersAreAcceptedAndThoseOfUnknownSendersIgnored) {
  const EventBase base(event_base_new());
  const Address a = own(), b = own(), s = own();
  const Config ca = config(a, {a, b}), cb = config(b, {a, b}), cs = config(s, {a, b});
  Engine ea(base.get(), ca), eb(base.get(), cb), es(base.get(), cs);
  PeerLink la(base.get(), ea, ca), lb(base.get(), eb, cb), unknown(base.get(), es, cs);
  const GossipUpdate h{cluster::endpointTag("s-1"), ea.now().count() / 1000, GossipRole::Replica, 0, 1000};
  unknown.statusObserved(h);
  unknown.flush();
  for (int k = 0; k < 20; ++k) event_base_loop(base.get(), EVLOOP_NONBLOCK);
  EXPECT_FALSE(eb.hasPendingEvents());
  la.statusObserved(h);
  la.flush();
  for (int k = 0; k < 1000 && !eb.hasPendingEvents(); ++k) event_base_loop(base.get(), EVLOOP_NONBLOCK);
  EXPECT_TRUE(eb.hasPendingEvents());
  EXPECT_FALSE(ea.hasPendingEvents()) << "a proxy does not receive its own update";
}

TEST_F(PeerLinkTest, RunsWithoutGossipIfTheAddressIsInUse) {
  const EventBase base(event_base_new());
  const Address a = own();
  const Config c = config(a, {a});
  Engine engine(base.get(), c);
  const PeerLink first(base.get(), engine, c);
  PeerLink second(base.get(), engine, c);
  second.statusObserved({1, engine.now().count() / 1000, GossipRole::Replica, 0, 1});
  second.flush();
  EXPECT_FALSE(engine.hasPendingEvents());
}

// Replaces the datagram system calls, so that tests can make them fail.
struct DatagramFaults : PeerLinkTest {
  static inline int receiveErrors, receiveErrno, receiveCalls, sendErrors, sendErrno, sendCalls;
  const DatagramCalls real = datagramCalls();

  DatagramFaults() {
    receiveErrors = receiveErrno = receiveCalls = sendErrors = sendErrno = sendCalls = 0;
    datagramCalls().receive = [](int fd, void* b, std::size_t n, int f, sockaddr* a,
                                 socklen_t* l) -> ssize_t {
      ++receiveCalls;
      if (receiveErrors-- <= 0) return recvfrom(fd, b, n, f, a, l);
      errno = receiveErrno;
      return -1;
    };
    datagramCalls().send = [](int fd, const void* b, std::size_t n, int f, const sockaddr* a,
                              socklen_t l) -> ssize_t {
      ++sendCalls;
      if (sendErrors-- <= 0) return sendto(fd, b, n, f, a, l);
      errno = sendErrno;
      return -1;
    };
  }
  ~DatagramFaults() override { datagramCalls() = real; }

  const EventBase base{event_base_new()};
  const Address a = own(), b = own();
  const Config ca = config(a, {a, b}), cb = config(b, {a, b});
  Engine ea{base.get(), ca}, eb{base.get(), cb};
  PeerLink la{base.get(), ea, ca}, lb{base.get(), eb, cb};

  void sendUpdate(std::uint64_t tag) {
    la.statusObserved({tag, ea.now().count() / 1000, GossipRole::Replica, 0, 1000});
    la.flush();
  }
  void passes(int n) {
    for (int k = 0; k < n; ++k) event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }
  // Runs blocking passes, which wait for the link's own timer, until link b has received an update.
  void waitUntilReceived() {
    for (int k = 0; k < 100 && !eb.hasPendingEvents(); ++k) event_base_loop(base.get(), EVLOOP_ONCE);
  }
};

TEST_F(DatagramFaults, ReceivingContinuesInTheSamePassAfterATransientError) {
  for (const int error : {EINTR, ECONNREFUSED, EHOSTUNREACH, ENETUNREACH}) {
    sendUpdate(static_cast<std::uint64_t>(error));
    receiveErrors = 3, receiveErrno = error;
    passes(1);
    EXPECT_TRUE(eb.hasPendingEvents()) << error;
    eb.runTurn();
  }
}

TEST_F(DatagramFaults, PersistentReceiveErrorsNeitherSpinNorCloseTheLink) {
  for (const int error : {ENOMEM, ENOBUFS, EIO}) {
    receiveErrors = 1 << 30, receiveErrno = error, receiveCalls = 0;
    sendUpdate(static_cast<std::uint64_t>(error));
    passes(50);
    EXPECT_LE(receiveCalls, 2) << error;
    receiveErrors = 0;
    waitUntilReceived();
    EXPECT_TRUE(eb.hasPendingEvents()) << error;
    eb.runTurn();
  }
}

TEST_F(DatagramFaults, PersistentReceiveInterruptsNeitherSpinNorCloseTheLink) {
  receiveErrors = 1 << 30, receiveErrno = EINTR;
  sendUpdate(1);
  passes(50);
  EXPECT_LE(receiveCalls, 64);
  receiveErrors = 0;
  waitUntilReceived();
  EXPECT_TRUE(eb.hasPendingEvents());
}

TEST_F(DatagramFaults, ASendThatReturnsAnEarlierDatagramsErrorIsRetriedOnce) {
  for (const int error : {EINTR, ECONNREFUSED}) {
    sendErrors = 1, sendErrno = error;
    sendUpdate(static_cast<std::uint64_t>(error));
    passes(2);
    EXPECT_TRUE(eb.hasPendingEvents()) << error;
    eb.runTurn();
  }
}

TEST_F(DatagramFaults, AFailedDatagramIsDroppedAndTheNextOneIsSent) {
  for (const int error : {EAGAIN, ENOBUFS, ENETUNREACH, EMSGSIZE, EPERM, ECONNREFUSED, EINTR}) {
    sendErrors = 1 << 30, sendErrno = error, sendCalls = 0;
    sendUpdate(static_cast<std::uint64_t>(error));
    passes(2);
    EXPECT_FALSE(eb.hasPendingEvents()) << error;
    EXPECT_LE(sendCalls, 2) << error;
    sendErrors = 0;
    sendUpdate(static_cast<std::uint64_t>(error) + 1000);
    passes(2);
    EXPECT_TRUE(eb.hasPendingEvents()) << error;
    eb.runTurn();
  }
}

TEST_F(DatagramFaults, AChangeOfRoleIsSentByItsTimerWithoutATurnAndWithoutSpinning) {
  std::vector<Address> peers{a, b};
  for (int k = 0; k < 398; ++k) peers.push_back(*Address::parse("127.0.1.1:" + std::to_string(2000 + k)));
  const Address c = own();
  Config many = config(c, peers);
  many.peersAll = b;
  Engine engine(base.get(), many);
  PeerLink link(base.get(), engine, many);
  const std::int64_t now = engine.now().count() / 1000;
  for (std::uint64_t tag = 1; tag <= 3; ++tag) link.statusObserved({tag, now, GossipRole::Primary, 0, 1000});
  link.flush();
  int loops = 0;
  while (sendCalls < 2 && ++loops < 1000) event_base_loop(base.get(), EVLOOP_ONCE);
  EXPECT_EQ(sendCalls, 2);
  EXPECT_LE(loops, 40);
}

TEST_F(DatagramFaults, AllProxiesOfALargeFleetChooseTheSameRelayAndOnlyItBroadcasts) {
  static std::vector<std::string> receivers;
  receivers.clear();
  datagramCalls().send = [](int, const void*, std::size_t n, int, const sockaddr* to, socklen_t) -> ssize_t {
    receivers.push_back(Address::fromSocket(to).text());
    return static_cast<ssize_t>(n);
  };
  std::vector<Address> peers;
  for (int k = 0; k < 30; ++k) peers.push_back(*Address::parse("127.0.1.1:" + std::to_string(2000 + k)));
  std::map<std::string, int> sent;
  for (const Address& peer : peers) {
    Config many = config(own(), peers);
    many.ownPeerAddress = peer;  // the address under which the other proxies know this one
    many.peersAll = a;
    Engine engine(base.get(), many);
    PeerLink link(base.get(), engine, many);
    EXPECT_EQ(link.peerCount(), peers.size() - 1) << "all proxies but this one";
    link.statusObserved({1, engine.now().count() / 1000, GossipRole::Replica, 0, 1000});
    link.flush();
    ASSERT_EQ(receivers.size(), 1u);
    ++sent[receivers.back()];
    receivers.clear();
  }
  EXPECT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[a.text()], 1) << "the relay broadcasts its own update";
}

TEST_F(DatagramFaults, SendingStopsAtTheFirstPeerIfTheMachineCannotSend) {
  std::vector<Address> peers{a};
  for (int k = 0; k < 10; ++k) peers.push_back(*Address::parse("127.0.0.1:" + std::to_string(2000 + k)));
  const Address c = own();
  const Config many = config(c, peers);
  Engine engine(base.get(), many);
  PeerLink link(base.get(), engine, many);
  sendErrors = 1 << 30, sendErrno = ENOBUFS;
  link.statusObserved({1, engine.now().count() / 1000, GossipRole::Replica, 0, 1000});
  link.flush();
  EXPECT_EQ(sendCalls, 1);
}

}  // namespace
}  // namespace sablespur
