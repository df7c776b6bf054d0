// Recovery's decisions: what a snapshot's bytes are worth, what is trusted, whose word is taken, in which
// order service returns. All in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "recovery/peer_state_exchange.hpp"
#include "recovery/recovery_admission.hpp"
#include "recovery/snapshot.hpp"
#include "recovery/snapshot_validation.hpp"

namespace sablespur::recovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kNowMs = 1796000000000;

Snapshot snapshot(int members = 6) {
  Snapshot s;
  s.epoch = 4;
  s.sequence = 17;
  s.wallMs = kNowMs - 1000;
  for (int k = 0; k < members; ++k) {
    EndpointRecord m;
    m.name = "s-" + std::to_string(k);
    m.address = "127.0.1." + std::to_string(k + 1) + ":5432";
    m.zone = "ruwi";
    m.group = static_cast<std::uint32_t>(k / 3);
    m.startedMs = kNowMs - 60000;
    m.latencyUs = 40000 + 1000 * k;
    m.perSecond = 5;
    m.positionMs = kNowMs - 1100;
    s.members.push_back(m);
  }
  s.primaries = {{0, "s-0", kNowMs - 1200}, {1, "s-3", kNowMs - 1300}};
  return s;
}

// ---- the file --------------------------------------------------------------------------------------------
TEST(Snapshot, ReadsBackWhatWasWritten) {
  const Snapshot s = snapshot(), r = decode(encode(s));
  EXPECT_EQ(r.epoch, 4u);
  EXPECT_EQ(r.sequence, 17u);
  EXPECT_EQ(r.wallMs, s.wallMs);
  ASSERT_EQ(r.members.size(), 6u);
  EXPECT_EQ(r.members[4].name, "s-4");
  EXPECT_EQ(r.members[4].address, "127.0.1.5:5432");
  EXPECT_EQ(r.members[4].group, 1u);
  EXPECT_DOUBLE_EQ(r.members[4].latencyUs, 44000);
  ASSERT_EQ(r.primaries.size(), 2u);
  EXPECT_EQ(r.primaries[1].member, "s-3");
}
TEST(Snapshot, ACutAtAnyByteIsNoticed) {
  const std::string whole = encode(snapshot());
  for (std::size_t n = 0; n < whole.size(); ++n)
    EXPECT_THROW(decode(std::string_view(whole).substr(0, n)), Damaged) << n;
  EXPECT_THROW(decode(whole + "x"), Damaged);
}
TEST(Snapshot, ABitFlippedAnywhereIsNoticed) {
  const std::string whole = encode(snapshot(2));
  for (std::size_t bit = 0; bit < 8 * whole.size(); ++bit) {
    std::string spoilt = whole;
    spoilt[bit / 8] = static_cast<char>(spoilt[bit / 8] ^ 1 << bit % 8);
    EXPECT_THROW(decode(spoilt), Damaged) << bit;
  }
}
TEST(Snapshot, ALaterVersionIsTurnedDownRatherThanMisread) {
  std::string later = encode(snapshot());
  later.replace(later.find(" 01 "), 4, " 02 ");
  try {
    decode(later);
    FAIL();
  } catch (const Damaged& e) {
    EXPECT_NE(std::string(e.what()).find("later version"), std::string::npos);
  }
}

// ---- trust -----------------------------------------------------------------------------------------------
TEST(Trust, NamesAreKeptPositionsNeverAndPrimariesOnlyToBeAskedFirst) {
  const RecoveredState b = validateSnapshot(snapshot(), kNowMs, {});
  ASSERT_EQ(b.members.size(), 6u);
  for (const EndpointRecord& m : b.members) EXPECT_EQ(m.positionMs, 0) << m.name;
  EXPECT_EQ(b.members[2].address, "127.0.1.3:5432");
  ASSERT_EQ(b.candidates.size(), 2u);
  EXPECT_EQ(b.epoch, 4u);
  EXPECT_FALSE(b.future);
}
TEST(Trust, FiguresDrawTowardsTheirKinAsTheyAge) {
  Snapshot s = snapshot();
  s.members[0].latencyUs = 400000;  // ten times its kin
  double was = 400000;
  for (const auto age : {seconds(1), seconds(600), seconds(3600), seconds(36000)}) {
    s.wallMs = kNowMs - std::chrono::duration_cast<milliseconds>(age).count();
    const double now = validateSnapshot(s, kNowMs, {}).members[0].latencyUs;
    EXPECT_LT(now, was);
    was = now;
  }
  const double kin = std::cbrt(400000.0 * 41000 * 42000);
  EXPECT_NEAR(was, kin, kin / 100) << "after ten hours nothing of its own is left";
}
TEST(Trust, ASnapshotFromTheFutureHasNoAgeAndItsFiguresCountAsTheirKins) {
  Snapshot s = snapshot();
  s.wallMs = kNowMs + 3600000;
  s.members[0].latencyUs = 400000;
  s.members[1].startedMs = kNowMs + 3500000;
  const RecoveredState b = validateSnapshot(s, kNowMs, {});
  EXPECT_TRUE(b.future);
  EXPECT_DOUBLE_EQ(b.members[0].latencyUs, b.members[2].latencyUs);
  EXPECT_EQ(b.members[1].startedMs, kNowMs) << "counts as just started: cold, not warm since tomorrow";
  EXPECT_EQ(b.members.size(), 6u) << "names are kept all the same";
}
TEST(Trust, AMemberWithoutFiguresHasItsKins) {
  Snapshot s = snapshot();
  s.members[0].latencyUs = 0;
  const RecoveredState b = validateSnapshot(s, kNowMs, {});
  EXPECT_GT(b.members[0].latencyUs, 40000);
  EXPECT_LT(b.members[0].latencyUs, 43000);
}
// Any snapshot, any clock: figures stay within what was measured, and nothing of a position is left.
TEST(Trust, ForAnySnapshotNothingIsMadeUp) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 500; ++round) {
    Snapshot s = snapshot(1 + static_cast<int>(random() % 12));
    double least = 1e18, most = 0;
    for (EndpointRecord& m : s.members) {
      m.latencyUs = random() % 4 == 0 ? 0 : 100 + static_cast<double>(random() % 1000000);
      m.group = static_cast<std::uint32_t>(random() % 3);
      if (m.latencyUs > 0) least = std::min(least, m.latencyUs), most = std::max(most, m.latencyUs);
    }
    s.wallMs = kNowMs + static_cast<std::int64_t>(random() % 20000000) - 10000000;
    const RecoveredState b = validateSnapshot(s, kNowMs, {});
    EXPECT_GE(b.weight, 0);
    EXPECT_LE(b.weight, 1);
    for (const EndpointRecord& m : b.members) {
      EXPECT_EQ(m.positionMs, 0);
      if (m.latencyUs == 0) continue;
      EXPECT_GE(m.latencyUs, least * 0.999);
      EXPECT_LE(m.latencyUs, most * 1.001);
    }
  }
}

// ---- whose word is taken ---------------------------------------------------------------------------------
SnapshotHeader head(std::uint64_t epoch, std::uint64_t primaryOf0, bool serving = false,
                    std::int64_t wallMs = kNowMs) {
  SnapshotHeader h;
  h.epoch = epoch;
  h.serving = serving;
  h.wallMs = wallMs;
  h.primaries = {{0, primaryOf0}};
  return h;
}
PeerStateExchangePolicy among(std::size_t peers) {
  PeerStateExchangePolicy p;
  p.peers = peers;
  return p;
}
bool answer(PeerStateExchange& q, std::size_t peer, SnapshotHeader h) {
  h.nonce = q.nonce();
  return q.answered(peer, h, kNowMs);
}

TEST(Head, ReadsBackAndTurnsAwayWhatIsNone) {
  SnapshotHeader h = head(9, 0x1234567890, true);
  h.question = true;
  h.nonce = 77;
  h.sequence = 3;
  const auto r = decodeHead(encode(h));
  ASSERT_TRUE(r);
  EXPECT_TRUE(r->question && r->serving);
  EXPECT_EQ(r->nonce, 77u);
  EXPECT_EQ(r->epoch, 9u);
  EXPECT_EQ(r->wallMs, kNowMs);
  ASSERT_EQ(r->primaries.size(), 1u);
  EXPECT_EQ(r->primaries[0].tag, 0x1234567890u);
  const std::string d = encode(h);
  for (std::size_t n = 0; n < d.size(); ++n)
    EXPECT_EQ(decodeHead(d.substr(0, n)).has_value(), n == d.size() - 9) << n;  // a head without a primary
  EXPECT_FALSE(decodeHead(std::string(1, 1) + d.substr(1))) << "a hint";
  for (int k = 0; k < 100; ++k) h.primaries.push_back({1, 2});
  EXPECT_LE(encode(h).size(), kLongestHead);
  EXPECT_TRUE(decodeHead(encode(h)));
}
TEST(Inquiry, AsksAFewOthersInEachRoundAndThenNoMore) {
  PeerStateExchange q(among(20), 5, Time(0), head(1, 1));
  std::set<std::size_t> asked;
  std::size_t questions = 0;
  for (Time now{}; now < seconds(5); now += milliseconds(1))
    for (const std::size_t p : q.due(now)) asked.insert(p), ++questions;
  EXPECT_EQ(questions, 9u);
  EXPECT_EQ(asked.size(), 9u);
  EXPECT_TRUE(q.over(seconds(5)));
}
TEST(Inquiry, WithoutPeersItIsOverAtOnceInANewEpoch) {
  PeerStateExchange q(among(0), 5, seconds(3), head(4, 1));
  EXPECT_TRUE(q.due(seconds(3)).empty());
  EXPECT_TRUE(q.over(seconds(3)));
  EXPECT_EQ(q.epoch(), 5u);
  EXPECT_EQ(q.claims(0), (std::vector<std::uint64_t>{1}));
}
TEST(Inquiry, AnOlderEpochTheFutureAnotherNonceAndASecondAnswerAreNotBelieved) {
  PeerStateExchange q(among(5), 5, Time(0), head(4, 1));
  EXPECT_FALSE(answer(q, 0, head(3, 2))) << "older";
  EXPECT_FALSE(answer(q, 1, head(9, 2, true, kNowMs + 3600000))) << "from the future";
  SnapshotHeader h = head(9, 2);
  h.nonce = q.nonce() + 1;
  EXPECT_FALSE(q.answered(2, h, kNowMs)) << "nobody asked that";
  EXPECT_TRUE(answer(q, 2, head(4, 3)));
  EXPECT_FALSE(answer(q, 2, head(9, 4))) << "again";
  EXPECT_FALSE(answer(q, 7, head(9, 4))) << "no peer";
  EXPECT_EQ(q.turnedAway(), 2u);
  EXPECT_EQ(q.epoch(), 5u);
  EXPECT_EQ(q.claims(0), (std::vector<std::uint64_t>{1, 3}));
}
TEST(Inquiry, WhoComesBackAloneJoinsTheEpochOfThoseThatServe) {
  PeerStateExchange q(among(5), 5, Time(0), head(4, 1));
  answer(q, 0, head(6, 2, true));
  answer(q, 1, head(7, 2));  // itself coming back
  EXPECT_TRUE(q.joined());
  EXPECT_EQ(q.epoch(), 6u);
}
TEST(Inquiry, TheNewestClaimThatADataServerConfirmsWins) {
  PeerStateExchange q(among(5), 5, Time(0), head(4, 1));
  answer(q, 0, head(5, 2));
  answer(q, 1, head(6, 3));
  EXPECT_EQ(q.claims(0), (std::vector<std::uint64_t>{3, 2, 1})) << "the newest first";
  EXPECT_FALSE(q.primary(0)) << "a claim makes no primary";
  EXPECT_EQ(q.confirmed(0, 2), std::optional<std::uint64_t>(5));
  EXPECT_EQ(q.primary(0), std::optional<std::uint64_t>(2));
  EXPECT_EQ(q.confirmed(0, 1), std::optional<std::uint64_t>(4));
  EXPECT_EQ(q.primary(0), std::optional<std::uint64_t>(2)) << "an older claim does not replace it";
  EXPECT_EQ(q.confirmed(0, 3), std::optional<std::uint64_t>(6));
  EXPECT_EQ(q.primary(0), std::optional<std::uint64_t>(3));
  EXPECT_EQ(q.confirmed(1, 8), std::nullopt) << "nobody had named it";
  EXPECT_EQ(q.primary(1), std::optional<std::uint64_t>(8)) << "its own word is enough";
}
// All proxies of a fleet that lost power at once: questions a second stay bounded, and all end in one epoch.
TEST(Inquiry, AFleetThatStartsAtOnceIsBoundedAndAgreesOnItsEpoch) {
  for (const std::size_t n : {2u, 20u, 300u, 1000u})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      std::mt19937_64 random(seed);
      std::vector<PeerStateExchange> fleet;
      std::vector<SnapshotHeader> own;
      for (std::size_t k = 0; k < n; ++k) {
        own.push_back(head(6, 1 + random() % 2));  // their snapshots may disagree on the primary
        fleet.emplace_back(among(n - 1), seed * 100000 + k, Time(0), own.back());
      }
      std::map<std::int64_t, std::size_t> perSecond;
      for (Time now{}; now < seconds(20); now += milliseconds(1))
        for (std::size_t k = 0; k < n; ++k)
          for (const std::size_t p : fleet[k].due(now)) {
            ++perSecond[now.count() / 1000000];
            const std::size_t peer = p < k ? p : p + 1;
            if (random() % 5 == 0) continue;  // lost
            SnapshotHeader h = own[peer];
            h.nonce = fleet[k].nonce();
            fleet[k].answered(p, h, kNowMs);
          }
      for (const auto& [second, questions] : perSecond)
        EXPECT_LE(questions, 1000 * 6 / 5) << n << " proxies, second " << second;
      for (const PeerStateExchange& q : fleet) {
        EXPECT_TRUE(q.over(seconds(20)));
        EXPECT_EQ(q.epoch(), 7u) << n;
      }
    }
}

// ---- the order of return ---------------------------------------------------------------------------------
TEST(Order, GoesFromWakingToReturnedByWhatDataServersAnswer) {
  RecoveryAdmission o({}, 1, Time(0));
  EXPECT_EQ(o.step(3), RecoveryPhase::Waking);
  for (int k = 0; k < 4; ++k) EXPECT_TRUE(o.ask(Time(0), 3, false).go) << "four go on to find out";
  const RecoveryAdmission::Decision fifth = o.ask(Time(0), 3, false);
  EXPECT_FALSE(fifth.go);
  EXPECT_GE(fifth.back, milliseconds(40));
  EXPECT_LE(fifth.back, seconds(1));
  o.answered(milliseconds(30), 3);
  EXPECT_EQ(o.step(3), RecoveryPhase::Reading);
  o.primary(milliseconds(60), 3);
  EXPECT_EQ(o.step(3), RecoveryPhase::Writing);
  int rounds = 0;
  for (Time now = milliseconds(60); o.step(3) != RecoveryPhase::Returned && rounds < 20;
       now += milliseconds(50), ++rounds) {
    for (int k = 0; k < 200; ++k) o.ask(now, 3, false);
    const int out = static_cast<int>(o.window(3));
    for (int k = 0; k < out; ++k) o.ended(now, 3, false, End::Served);
  }
  EXPECT_EQ(o.step(3), RecoveryPhase::Returned);
  EXPECT_LE(rounds, 8) << "doubles with each answer time";
  for (int k = 0; k < 1000; ++k) EXPECT_TRUE(o.ask(seconds(2), 3, k % 2 == 0).go);
  EXPECT_TRUE(o.over(seconds(2)));
  std::vector<RecoveryPhase> steps;
  for (const RecoveryAdmission::Change& c : o.changes()) steps.push_back(c.step);
  EXPECT_EQ(steps, (std::vector<RecoveryPhase>{RecoveryPhase::Reading, RecoveryPhase::Writing,
                                               RecoveryPhase::Returned}));
}
TEST(Order, WritesWaitForADataServersWordButForAScout) {
  RecoveryAdmissionPolicy p;
  p.proxies = 20;
  RecoveryAdmission o(p, 1, Time(0));
  o.answered(Time(0), 3);
  int went = 0;
  for (Time now{}; now < seconds(4); now += milliseconds(5))
    if (o.ask(now, 3, true).go) ++went, o.ended(now, 3, true, End::TurnedAway);
  EXPECT_GE(went, 8);
  EXPECT_LE(went, 34) << "about one in 240 ms";
  EXPECT_EQ(o.step(3), RecoveryPhase::Reading);
  o.primary(seconds(4), 3);
  EXPECT_TRUE(o.ask(seconds(4), 3, true).go);
}
TEST(Order, TroubleShrinksTheWindowOnceAndNeverBelowItsLeast) {
  RecoveryAdmission o({}, 1, Time(0));
  o.answered(Time(0), 3);
  for (int k = 0; k < 30; ++k) o.ask(Time(0), 3, false), o.ended(Time(0), 3, false, End::Served);
  const double was = o.window(3);
  for (int k = 0; k < 5; ++k) o.ended(milliseconds(10), 3, false, End::Failed);
  EXPECT_DOUBLE_EQ(o.window(3), 0.7 * was) << "one trouble, told five times";
  for (int k = 1; k < 60; ++k) o.ended(milliseconds(500) * k, 3, false, End::TurnedAway);
  EXPECT_DOUBLE_EQ(o.window(3), 4);
  o.ended(seconds(40), 3, false, End::Left);
  EXPECT_DOUBLE_EQ(o.window(3), 4);
}
TEST(Order, WhatWasUsualIsWhereItBeginsAndWhereItEnds) {
  RecoveryAdmission o({}, 1, Time(0));
  o.usual(3, 24);
  EXPECT_DOUBLE_EQ(o.window(3), 6);
  o.primary(Time(0), 3);
  int served = 0;
  while (o.step(3) != RecoveryPhase::Returned && served < 100)
    o.ask(Time(0), 3, false), o.ended(Time(0), 3, false, End::Served), ++served;
  EXPECT_EQ(served, 46) << "to twice the usual and what any start may have";
}
TEST(Order, NothingIsHeldBackBeyondTheLongestTime) {
  RecoveryAdmission o({}, 1, Time(0));
  for (int k = 0; k < 10; ++k) o.ask(Time(0), 3, true);
  int went = 0;
  for (int k = 0; k < 10; ++k) went += o.ask(seconds(19), 3, false).go;
  EXPECT_LE(went, 4);
  for (int k = 0; k < 10; ++k) EXPECT_TRUE(o.ask(seconds(20), 3, k % 2 == 0).go) << k;
  EXPECT_TRUE(o.over(seconds(20)));
}
// Whatever comes, in whatever order: no more out than the window, never below the least, steps only forward.
TEST(Order, ForAnyRunOfEventsItsBoundsHold) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    RecoveryAdmission o({}, seed, Time(0));
    std::map<std::uint32_t, int> out;
    std::map<std::uint32_t, RecoveryPhase> was;
    Time now{};
    for (int k = 0; k < 800; ++k) {
      now += Time(static_cast<std::int64_t>(random() % 20000));
      const auto group = static_cast<std::uint32_t>(random() % 3);
      const bool write = random() % 4 == 0;
      switch (random() % 6) {
        case 0:
          if (random() % 10 == 0) o.answered(now, group);
          break;
        case 1:
          if (random() % 20 == 0) o.primary(now, group);
          break;
        case 2:
          if (out[group] > 0) --out[group], o.ended(now, group, write, static_cast<End>(random() % 4));
          break;
        default: {
          const RecoveryPhase step = o.step(group);
          const RecoveryAdmission::Decision d = o.ask(now, group, write);
          if (!d.go) {
            EXPECT_GE(d.back, milliseconds(40));
            EXPECT_LE(d.back, seconds(1));
          } else if (step != RecoveryPhase::Returned && now < seconds(20)) {
            ++out[group];
          }
          EXPECT_GE(o.window(group), 4);
        }
      }
      EXPECT_GE(o.step(group), was[group]);
      was[group] = o.step(group);
    }
  }
}

// ---- dials -----------------------------------------------------------------------------------------------
TEST(DialTurn, AllProxiesTogetherDialAMemberAtItsRateWithNoWordAmongThem) {
  std::vector<std::string> proxies;
  for (int k = 0; k < 100; ++k) proxies.push_back("127.0.0.1:" + std::to_string(7000 + k));
  std::map<std::string, Time> sums;
  for (int m = 0; m < 20; ++m) {
    std::set<Time> turns;
    for (const std::string& p : proxies) {
      const Time t = dialTurn("s-" + std::to_string(m), p, proxies, 50);
      turns.insert(t);
      sums[p] += t;
    }
    ASSERT_EQ(turns.size(), 100u) << "each has a turn of its own";
    EXPECT_EQ(*turns.begin(), Time(0));
    EXPECT_EQ(*turns.rbegin(), milliseconds(1980));
  }
  for (const auto& [p, sum] : sums) EXPECT_NEAR(static_cast<double>(sum.count()) / 20e6, 1, 0.5) << p;
  // One that is gone moves the others forward by one place at the most.
  std::vector<std::string> fewer(proxies.begin() + 1, proxies.end());
  for (const std::string& p : fewer) {
    const Time was = dialTurn("s-1", p, proxies, 50), is = dialTurn("s-1", p, fewer, 50);
    EXPECT_TRUE(is == was || is == was - milliseconds(20)) << p;
  }
}

}  // namespace
}  // namespace sablespur::recovery
