// What proxies tell each other: the datagram, what is worth telling, and two links on loopback.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peers/gossip.hpp"
#include "peers/udp/link.hpp"
#include "scenario.hpp"

namespace sablespur {
namespace {

using peers::Gossip;
using peers::Hint;
using peers::HintRole;

constexpr std::int64_t kNow = 1767225600123;

TEST(PeersDatagram, CarriesPositionRoleClassAndLatency) {
  const std::vector<Hint> told{{peers::tagOf("s-5be2a07c"), kNow - 40, HintRole::Primary, 1, 36000},
                               {peers::tagOf("s-1"), kNow - 60000, HintRole::Replica, -1, 0}};
  const auto got = peers::decode(peers::encode(told), kNow + 25);
  ASSERT_EQ(got.size(), 2u);
  for (std::size_t k = 0; k < 2; ++k) {
    EXPECT_EQ(got[k].tag, told[k].tag);
    EXPECT_EQ(got[k].positionMs, told[k].positionMs);
    EXPECT_EQ(got[k].role, told[k].role);
    EXPECT_EQ(got[k].cls, told[k].cls);
  }
  EXPECT_NEAR(static_cast<double>(got[0].latencyUs), 36000, 36000 * 0.05);
}

TEST(PeersDatagram, PositionsNeverLookNewerThanTheyAreAcrossTheWrap) {
  for (std::int64_t now = kNow; now < kNow + (std::int64_t{1} << 22) + 5000; now += 4999)
    for (const std::int64_t age : {std::int64_t{0}, std::int64_t{199}, std::int64_t{3600000}}) {
      const auto got = peers::decode(peers::encode({{1, now - age, HintRole::Replica, 0, 1}}), now);
      ASSERT_EQ(got.size(), 1u);
      EXPECT_EQ(got[0].positionMs, now - age);
    }
}

TEST(PeersDatagram, TurnsAwayWhatIsNone) {
  const std::string good = peers::encode({{7, kNow, HintRole::Replica, 0, 1000}});
  EXPECT_EQ(peers::decode(good, kNow).size(), 1u);
  for (std::size_t n = 0; n < good.size(); ++n) EXPECT_TRUE(peers::decode(good.substr(0, n), kNow).empty());
  EXPECT_TRUE(peers::decode(good + "x", kNow).empty());
  std::string other = good;
  other[0] = 9;
  EXPECT_TRUE(peers::decode(other, kNow).empty());
  other = good;
  other[6] = static_cast<char>(other[6] | 0xc0);  // a role that there is not
  EXPECT_TRUE(peers::decode(other, kNow).empty());
  EXPECT_TRUE(peers::decode(std::string(300, '\x01'), kNow).empty());
}

TEST(PeersDatagram, HoldsAtMostWhatThePlatformTakes) {
  const std::vector<Hint> many(100, Hint{1, kNow, HintRole::Replica, 0, 1});
  EXPECT_LE(peers::encode(many).size(), peers::kLongestDatagram);
  EXPECT_EQ(peers::decode(peers::encode(many), kNow).size(), peers::kHintsPerDatagram);
  EXPECT_EQ(peers::decode(peers::encode(many, 90), kNow).size(), 10u);
}

TEST(PeersGossip, TellsProgressAndRolesOnce) {
  Gossip g({4, 200});
  EXPECT_TRUE(g.learned({1, kNow, HintRole::Replica, 0, 1}, kNow));
  EXPECT_FALSE(g.learned({1, kNow + 10, HintRole::Replica, 0, 1}, kNow + 10)) << "no progress to speak of";
  EXPECT_TRUE(g.learned({1, kNow + 60, HintRole::Replica, 0, 1}, kNow + 60));
  EXPECT_TRUE(g.learned({1, kNow + 61, HintRole::Primary, 0, 1}, kNow + 61)) << "another role is news";
  EXPECT_FALSE(g.learned({1, kNow + 2000, HintRole::Primary, 0, 1}, kNow + 4000)) << "too old for any read";
}

TEST(PeersGossip, WhatAPeerToldIsNotToldAgain) {
  Gossip g({4, 200});
  g.heard({1, kNow, HintRole::Replica, -1, 0}, kNow);
  EXPECT_FALSE(g.learned({1, kNow + 20, HintRole::Replica, 0, 1}, kNow + 20));
  g.heard({1, kNow - 5000, HintRole::Replica, -1, 0}, kNow + 30);  // out of order
  EXPECT_FALSE(g.learned({1, kNow + 30, HintRole::Replica, 0, 1}, kNow + 30));
}

TEST(PeersGossip, ThePriceOfAnAnswerIsTheSameAtAnySize) {
  for (const std::size_t n : {5u, 100u, 1000u, 10000u}) {
    Gossip g({n, 200});
    double delivered = 0;
    for (int k = 0; k < 20000; ++k)
      if (g.learned({static_cast<std::uint64_t>(k % 60), kNow + 100 * k, HintRole::Replica, 0, 1},
                    kNow + 100 * k))
        delivered += static_cast<double>(n * (peers::kHintBytes + 1));
    EXPECT_LE(delivered, 20000 * 512 + 64 * 1024 + static_cast<double>(n) * 11) << n;
    EXPECT_GT(delivered, 0) << n;
  }
}

TEST(PeersGossip, RemembersABoundedNumberOfMembers) {
  Gossip g({1, 200});
  for (std::uint64_t k = 0; k < 20000; ++k) g.heard({k, kNow, HintRole::Replica, -1, 0}, kNow);
  EXPECT_LE(g.known(), 4096u);
  g.heard({1u << 20, kNow, HintRole::Replica, -1, 0}, kNow + 120000);
  EXPECT_EQ(g.known(), 1u) << "what is old makes room";
}

// Two proxies on loopback, and a stranger.
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

TEST_F(PeerLinkTest, APeerHearsAndAStrangerIsNotBelieved) {
  const EventBase base(event_base_new());
  const Address a = own(), b = own(), s = own();
  const Config ca = config(a, {a, b}), cb = config(b, {a, b}), cs = config(s, {a, b});
  Engine ea(base.get(), ca), eb(base.get(), cb), es(base.get(), cs);
  PeerLink la(base.get(), ea, ca), lb(base.get(), eb, cb), stranger(base.get(), es, cs);
  const Hint h{peers::tagOf("s-1"), ea.now().count() / 1000, HintRole::Replica, 0, 1000};
  stranger.learned(h);
  stranger.flush();
  for (int k = 0; k < 20; ++k) event_base_loop(base.get(), EVLOOP_NONBLOCK);
  EXPECT_FALSE(eb.pending());
  la.learned(h);
  la.flush();
  for (int k = 0; k < 1000 && !eb.pending(); ++k) event_base_loop(base.get(), EVLOOP_NONBLOCK);
  EXPECT_TRUE(eb.pending());
  EXPECT_FALSE(ea.pending()) << "its own word does not come back";
}

TEST_F(PeerLinkTest, AnAddressThatIsTakenIsNoReasonToEnd) {
  const EventBase base(event_base_new());
  const Address a = own();
  const Config c = config(a, {a});
  Engine engine(base.get(), c);
  const PeerLink first(base.get(), engine, c);
  PeerLink second(base.get(), engine, c);
  second.learned({1, engine.now().count() / 1000, HintRole::Replica, 0, 1});
  second.flush();
  EXPECT_FALSE(engine.pending());
}

}  // namespace
}  // namespace sablespur
