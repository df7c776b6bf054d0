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
    m.responsesPerSecond = 5;
    m.positionMs = kNowMs - 1100;
    s.endpoints.push_back(m);
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
  ASSERT_EQ(r.endpoints.size(), 6u);
  EXPECT_EQ(r.endpoints[4].name, "s-4");
  EXPECT_EQ(r.endpoints[4].address, "127.0.1.5:5432");
  EXPECT_EQ(r.endpoints[4].group, 1u);
  EXPECT_DOUBLE_EQ(r.endpoints[4].latencyUs, 44000);
  ASSERT_EQ(r.primaries.size(), 2u);
  EXPECT_EQ(r.primaries[1].endpoint, "s-3");
}
TEST(Snapshot, ACutAtAnyByteIsNoticed) {
  const std::string whole = encode(snapshot());
  for (std::size_t n = 0; n < whole.size(); ++n)
    EXPECT_THROW(decode(std::string_view(whole).substr(0, n)), SnapshotError) << n;
  EXPECT_THROW(decode(whole + "x"), SnapshotError);
}
TEST(Snapshot, ABitFlippedAnywhereIsNoticed) {
  const std::string whole = encode(snapshot(2));
  for (std::size_t bit = 0; bit < 8 * whole.size(); ++bit) {
    std::string spoilt = whole;
    spoilt[bit / 8] = static_cast<char>(spoilt[bit / 8] ^ 1 << bit % 8);
    EXPECT_THROW(decode(spoilt), SnapshotError) << bit;
  }
}
TEST(Snapshot, ALaterVersionIsTurnedDownRatherThanMisread) {
  std::string later = encode(snapshot());
  later.replace(later.find(" 01 "), 4, " 02 ");
  try {
    decode(later);
    FAIL();
  } catch (const SnapshotError& e) {
    EXPECT_NE(std::string(e.what()).find("later version"), std::string::npos);
  }
}

// ---- trust -----------------------------------------------------------------------------------------------
TEST(Trust, NamesAreKeptPositionsNeverAndPrimariesOnlyToBeAskedFirst) {
  const RecoveredState b = validateSnapshot(snapshot(), kNowMs, {});
  ASSERT_EQ(b.endpoints.size(), 6u);
  for (const EndpointRecord& m : b.endpoints) EXPECT_EQ(m.positionMs, 0) << m.name;
  EXPECT_EQ(b.endpoints[2].address, "127.0.1.3:5432");
  ASSERT_EQ(b.primaryCandidates.size(), 2u);
  EXPECT_EQ(b.epoch, 4u);
  EXPECT_FALSE(b.fromFuture);
}
TEST(Trust, FiguresDrawTowardsTheirKinAsTheyAge) {
  Snapshot s = snapshot();
  s.endpoints[0].latencyUs = 400000;  // ten times its kin
  double was = 400000;
  for (const auto age : {seconds(1), seconds(600), seconds(3600), seconds(36000)}) {
    s.wallMs = kNowMs - std::chrono::duration_cast<milliseconds>(age).count();
    const double now = validateSnapshot(s, kNowMs, {}).endpoints[0].latencyUs;
    EXPECT_LT(now, was);
    was = now;
  }
  const double kin = std::cbrt(400000.0 * 41000 * 42000);
  EXPECT_NEAR(was, kin, kin / 100) << "after ten hours nothing of its own is left";
}
TEST(Trust, ASnapshotFromTheFutureHasNoAgeAndItsFiguresCountAsTheirKins) {
  Snapshot s = snapshot();
  s.wallMs = kNowMs + 3600000;
  s.endpoints[0].latencyUs = 400000;
  s.endpoints[1].startedMs = kNowMs + 3500000;
  const RecoveredState b = validateSnapshot(s, kNowMs, {});
  EXPECT_TRUE(b.fromFuture);
  EXPECT_DOUBLE_EQ(b.endpoints[0].latencyUs, b.endpoints[2].latencyUs);
  EXPECT_EQ(b.endpoints[1].startedMs, kNowMs) << "counts as just started: cold, not warm since tomorrow";
  EXPECT_EQ(b.endpoints.size(), 6u) << "names are kept all the same";
}
TEST(Trust, AMemberWithoutFiguresHasItsKins) {
  Snapshot s = snapshot();
  s.endpoints[0].latencyUs = 0;
  const RecoveredState b = validateSnapshot(s, kNowMs, {});
  EXPECT_GT(b.endpoints[0].latencyUs, 40000);
  EXPECT_LT(b.endpoints[0].latencyUs, 43000);
}
// Any snapshot, any clock: figures stay within what was measured, and nothing of a position is left.
TEST(Trust, ForAnySnapshotNothingIsMadeUp) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 500; ++round) {
    Snapshot s = snapshot(1 + static_cast<int>(random() % 12));
    double least = 1e18, most = 0;
    for (EndpointRecord& m : s.endpoints) {
      m.latencyUs = random() % 4 == 0 ? 0 : 100 + static_cast<double>(random() % 1000000);
      m.group = static_cast<std::uint32_t>(random() % 3);
      if (m.latencyUs > 0) least = std::min(least, m.latencyUs), most = std::max(most, m.latencyUs);
    }
    s.wallMs = kNowMs + static_cast<std::int64_t>(random() % 20000000) - 10000000;
    const RecoveredState b = validateSnapshot(s, kNowMs, {});
    EXPECT_GE(b.ownWeight, 0);
    EXPECT_LE(b.ownWeight, 1);
    for (const EndpointRecord& m : b.endpoints) {
      EXPECT_EQ(m.positionMs, 0);
      if (m.latencyUs == 0) continue;
      EXPECT_GE(m.latencyUs, least * 0.999);
      EXPECT_LE(m.latencyUs, most * 1.001);
    }
  }
}

// ---- whose word is taken ---------------------------------------------------------------------------------
SnapshotHeader encodeFirstLine(std::uint64_t epoch, std::uint64_t primaryOf0, bool serving = false,
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
  return q.responseReceived(peer, h, kNowMs);
}

TEST(Head, ReadsBackAndTurnsAwayWhatIsNone) {
  SnapshotHeader h = encodeFirstLine(9, 0x1234567890, true);
  h.isRequest = true;
  h.nonce = 77;
  h.sequence = 3;
  const auto r = decodeSnapshotHeader(encode(h));
  ASSERT_TRUE(r);
  EXPECT_TRUE(r->isRequest && r->serving);
  EXPECT_EQ(r->nonce, 77u);
  EXPECT_EQ(r->epoch, 9u);
  EXPECT_EQ(r->wallMs, kNowMs);
  ASSERT_EQ(r->primaries.size(), 1u);
  EXPECT_EQ(r->primaries[0].tag, 0x1234567890u);
  const std::string d = encode(h);
  for (std::size_t n = 0; n < d.size(); ++n)
    EXPECT_EQ(decodeSnapshotHeader(d.substr(0, n)).has_value(), n == d.size() - 9)
        << n;  // a head without a primary
  EXPECT_FALSE(decodeSnapshotHeader(std::string(1, 1) + d.substr(1))) << "a hint";
  for (int k = 0; k < 100; ++k) h.primaries.push_back({1, 2});
  EXPECT_LE(encode(h).size(), kMaxSnapshotHeaderBytes);
  EXPECT_TRUE(decodeSnapshotHeader(encode(h)));
}
TEST(Inquiry, AsksAFewOthersInEachRoundAndThenNoMore) {
  PeerStateExchange q(among(20), 5, Time(0), encodeFirstLine(1, 1));
  std::set<std::size_t> asked;
  std::size_t questions = 0;
  for (Time now{}; now < seconds(5); now += milliseconds(1))
    for (const std::size_t p : q.duePeers(now)) asked.insert(p), ++questions;
  EXPECT_EQ(questions, 9u);
  EXPECT_EQ(asked.size(), 9u);
  EXPECT_TRUE(q.finished(seconds(5)));
}
TEST(Inquiry, WithoutPeersItIsOverAtOnceInANewEpoch) {
  PeerStateExchange q(among(0), 5, seconds(3), encodeFirstLine(4, 1));
  EXPECT_TRUE(q.duePeers(seconds(3)).empty());
  EXPECT_TRUE(q.finished(seconds(3)));
  EXPECT_EQ(q.epoch(), 5u);
  EXPECT_EQ(q.primaryClaims(0), (std::vector<std::uint64_t>{1}));
}
TEST(Inquiry, AnOlderEpochTheFutureAnotherNonceAndASecondAnswerAreNotBelieved) {
  PeerStateExchange q(among(5), 5, Time(0), encodeFirstLine(4, 1));
  EXPECT_FALSE(answer(q, 0, encodeFirstLine(3, 2))) << "older";
  EXPECT_FALSE(answer(q, 1, encodeFirstLine(9, 2, true, kNowMs + 3600000))) << "from the future";
  SnapshotHeader h = encodeFirstLine(9, 2);
  h.nonce = q.nonce() + 1;
  EXPECT_FALSE(q.responseReceived(2, h, kNowMs)) << "nobody asked that";
  EXPECT_TRUE(answer(q, 2, encodeFirstLine(4, 3)));
  EXPECT_FALSE(answer(q, 2, encodeFirstLine(9, 4))) << "again";
  EXPECT_FALSE(answer(q, 7, encodeFirstLine(9, 4))) << "no peer";
  EXPECT_EQ(q.rejectedResponses(), 2u);
  EXPECT_EQ(q.epoch(), 5u);
  EXPECT_EQ(q.primaryClaims(0), (std::vector<std::uint64_t>{1, 3}));
}
TEST(Inquiry, WhoComesBackAloneJoinsTheEpochOfThoseThatServe) {
  PeerStateExchange q(among(5), 5, Time(0), encodeFirstLine(4, 1));
  answer(q, 0, encodeFirstLine(6, 2, true));
  answer(q, 1, encodeFirstLine(7, 2));  // itself coming back
  EXPECT_TRUE(q.joined());
  EXPECT_EQ(q.epoch(), 6u);
}
TEST(Inquiry, TheNewestClaimThatADataServerConfirmsWins) {
  PeerStateExchange q(among(5), 5, Time(0), encodeFirstLine(4, 1));
  answer(q, 0, encodeFirstLine(5, 2));
  answer(q, 1, encodeFirstLine(6, 3));
  EXPECT_EQ(q.primaryClaims(0), (std::vector<std::uint64_t>{3, 2, 1})) << "the newest first";
  EXPECT_FALSE(q.confirmedPrimary(0)) << "a claim makes no primary";
  EXPECT_EQ(q.confirmPrimary(0, 2), std::optional<std::uint64_t>(5));
  EXPECT_EQ(q.confirmedPrimary(0), std::optional<std::uint64_t>(2));
  EXPECT_EQ(q.confirmPrimary(0, 1), std::optional<std::uint64_t>(4));
  EXPECT_EQ(q.confirmedPrimary(0), std::optional<std::uint64_t>(2)) << "an older claim does not replace it";
  EXPECT_EQ(q.confirmPrimary(0, 3), std::optional<std::uint64_t>(6));
  EXPECT_EQ(q.confirmedPrimary(0), std::optional<std::uint64_t>(3));
  EXPECT_EQ(q.confirmPrimary(1, 8), std::nullopt) << "nobody had named it";
  EXPECT_EQ(q.confirmedPrimary(1), std::optional<std::uint64_t>(8)) << "its own word is enough";
}
// All proxies of a fleet that lost power at once: questions a second stay bounded, and all end in one epoch.
TEST(Inquiry, AFleetThatStartsAtOnceIsBoundedAndAgreesOnItsEpoch) {
  for (const std::size_t n : {2u, 20u, 300u, 1000u})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      std::mt19937_64 random(seed);
      std::vector<PeerStateExchange> fleet;
      std::vector<SnapshotHeader> own;
      for (std::size_t k = 0; k < n; ++k) {
        own.push_back(encodeFirstLine(6, 1 + random() % 2));  // their snapshots may disagree on the primary
        fleet.emplace_back(among(n - 1), seed * 100000 + k, Time(0), own.back());
      }
      std::map<std::int64_t, std::size_t> perSecond;
      for (Time now{}; now < seconds(20); now += milliseconds(1))
        for (std::size_t k = 0; k < n; ++k)
          for (const std::size_t p : fleet[k].duePeers(now)) {
            ++perSecond[now.count() / 1000000];
            const std::size_t peer = p < k ? p : p + 1;
            if (random() % 5 == 0) continue;  // lost
            SnapshotHeader h = own[peer];
            h.nonce = fleet[k].nonce();
            fleet[k].responseReceived(p, h, kNowMs);
          }
      for (const auto& [second, questions] : perSecond)
        EXPECT_LE(questions, 1000 * 6 / 5) << n << " proxies, second " << second;
      for (const PeerStateExchange& q : fleet) {
        EXPECT_TRUE(q.finished(seconds(20)));
        EXPECT_EQ(q.epoch(), 7u) << n;
      }
    }
}

// ---- the order of return ---------------------------------------------------------------------------------
TEST(Order, GoesFromWakingToReturnedByWhatDataServersAnswer) {
  RecoveryAdmission o({}, 1, Time(0));
  EXPECT_EQ(o.phase(3), RecoveryPhase::AwaitingEndpoints);
  for (int k = 0; k < 4; ++k) EXPECT_TRUE(o.admit(Time(0), 3, false).admitted) << "four go on to find out";
  const RecoveryAdmission::Decision fifth = o.admit(Time(0), 3, false);
  EXPECT_FALSE(fifth.admitted);
  EXPECT_GE(fifth.retryAfter, milliseconds(40));
  EXPECT_LE(fifth.retryAfter, seconds(1));
  o.endpointResponded(milliseconds(30), 3);
  EXPECT_EQ(o.phase(3), RecoveryPhase::Reading);
  o.primaryResponded(milliseconds(60), 3);
  EXPECT_EQ(o.phase(3), RecoveryPhase::Writing);
  int rounds = 0;
  for (Time now = milliseconds(60); o.phase(3) != RecoveryPhase::Complete && rounds < 20;
       now += milliseconds(50), ++rounds) {
    for (int k = 0; k < 200; ++k) o.admit(now, 3, false);
    const int out = static_cast<int>(o.window(3));
    for (int k = 0; k < out; ++k) o.requestEnded(now, 3, false, RequestEnd::Served);
  }
  EXPECT_EQ(o.phase(3), RecoveryPhase::Complete);
  EXPECT_LE(rounds, 8) << "doubles with each answer time";
  for (int k = 0; k < 1000; ++k) EXPECT_TRUE(o.admit(seconds(2), 3, k % 2 == 0).admitted);
  EXPECT_TRUE(o.finished(seconds(2)));
  std::vector<RecoveryPhase> steps;
  for (const RecoveryAdmission::PhaseChange& c : o.takePhaseChanges()) steps.push_back(c.phase);
  EXPECT_EQ(steps, (std::vector<RecoveryPhase>{RecoveryPhase::Reading, RecoveryPhase::Writing,
                                               RecoveryPhase::Complete}));
}
TEST(Order, WritesWaitForADataServersWordButForAScout) {
  RecoveryAdmissionPolicy p;
  p.proxies = 20;
  RecoveryAdmission o(p, 1, Time(0));
  o.endpointResponded(Time(0), 3);
  int went = 0;
  for (Time now{}; now < seconds(4); now += milliseconds(5))
    if (o.admit(now, 3, true).admitted) ++went, o.requestEnded(now, 3, true, RequestEnd::Rejected);
  EXPECT_GE(went, 8);
  EXPECT_LE(went, 34) << "about one in 240 ms";
  EXPECT_EQ(o.phase(3), RecoveryPhase::Reading);
  o.primaryResponded(seconds(4), 3);
  EXPECT_TRUE(o.admit(seconds(4), 3, true).admitted);
}
TEST(Order, TroubleShrinksTheWindowOnceAndNeverBelowItsLeast) {
  RecoveryAdmission o({}, 1, Time(0));
  o.endpointResponded(Time(0), 3);
  for (int k = 0; k < 30; ++k)
    o.admit(Time(0), 3, false), o.requestEnded(Time(0), 3, false, RequestEnd::Served);
  const double was = o.window(3);
  for (int k = 0; k < 5; ++k) o.requestEnded(milliseconds(10), 3, false, RequestEnd::Failed);
  EXPECT_DOUBLE_EQ(o.window(3), 0.7 * was) << "one trouble, told five times";
  for (int k = 1; k < 60; ++k) o.requestEnded(milliseconds(500) * k, 3, false, RequestEnd::Rejected);
  EXPECT_DOUBLE_EQ(o.window(3), 4);
  o.requestEnded(seconds(40), 3, false, RequestEnd::ClientDisconnected);
  EXPECT_DOUBLE_EQ(o.window(3), 4);
}
TEST(Order, WhatWasUsualIsWhereItBeginsAndWhereItEnds) {
  RecoveryAdmission o({}, 1, Time(0));
  o.setUsualConcurrency(3, 24);
  EXPECT_DOUBLE_EQ(o.window(3), 6);
  o.primaryResponded(Time(0), 3);
  int served = 0;
  while (o.phase(3) != RecoveryPhase::Complete && served < 100)
    o.admit(Time(0), 3, false), o.requestEnded(Time(0), 3, false, RequestEnd::Served), ++served;
  EXPECT_EQ(served, 46) << "to twice the usual and what any start may have";
}
TEST(Order, NothingIsHeldBackBeyondTheLongestTime) {
  RecoveryAdmission o({}, 1, Time(0));
  for (int k = 0; k < 10; ++k) o.admit(Time(0), 3, true);
  int went = 0;
  for (int k = 0; k < 10; ++k) went += o.admit(seconds(19), 3, false).admitted;
  EXPECT_LE(went, 4);
  for (int k = 0; k < 10; ++k) EXPECT_TRUE(o.admit(seconds(20), 3, k % 2 == 0).admitted) << k;
  EXPECT_TRUE(o.finished(seconds(20)));
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
          if (random() % 10 == 0) o.endpointResponded(now, group);
          break;
        case 1:
          if (random() % 20 == 0) o.primaryResponded(now, group);
          break;
        case 2:
          if (out[group] > 0)
            --out[group], o.requestEnded(now, group, write, static_cast<RequestEnd>(random() % 4));
          break;
        default: {
          const RecoveryPhase step = o.phase(group);
          const RecoveryAdmission::Decision d = o.admit(now, group, write);
          if (!d.admitted) {
            EXPECT_GE(d.retryAfter, milliseconds(40));
            EXPECT_LE(d.retryAfter, seconds(1));
          } else if (step != RecoveryPhase::Complete && now < seconds(20)) {
            ++out[group];
          }
          EXPECT_GE(o.window(group), 4);
        }
      }
      EXPECT_GE(o.phase(group), was[group]);
      was[group] = o.phase(group);
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
      const Time t = connectDelay("s-" + std::to_string(m), p, proxies, 50);
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
    const Time was = connectDelay("s-1", p, proxies, 50), is = connectDelay("s-1", p, fewer, 50);
    EXPECT_TRUE(is == was || is == was - milliseconds(20)) << p;
  }
}

}  // namespace
}  // namespace sablespur::recovery
