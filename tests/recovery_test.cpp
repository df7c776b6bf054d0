// Tests of recovery in simulated time: decoding and validating snapshots, exchanging state with
// peers, admitting requests, and connect delays.
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

Snapshot snapshot(int endpointCount = 6) {
  Snapshot s;
  s.epoch = 4;
  s.sequence = 17;
  s.wallMs = kNowMs - 1000;
  for (int k = 0; k < endpointCount; ++k) {
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

// ---- Snapshot encoding --------------------------------------------------------------------------
TEST(Snapshot, DecodesWhatWasEncoded) {
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
TEST(Snapshot, RejectsTruncationAtAnyByteAndTrailingBytes) {
  const std::string whole = encode(snapshot());
  for (std::size_t n = 0; n < whole.size(); ++n)
    EXPECT_THROW(decode(std::string_view(whole).substr(0, n)), SnapshotError) << n;
  EXPECT_THROW(decode(whole + "x"), SnapshotError);
}
TEST(Snapshot, RejectsAnyFlippedBit) {
  const std::string whole = encode(snapshot(2));
  for (std::size_t bit = 0; bit < 8 * whole.size(); ++bit) {
    std::string corrupt = whole;
    corrupt[bit / 8] = static_cast<char>(corrupt[bit / 8] ^ 1 << bit % 8);
    EXPECT_THROW(decode(corrupt), SnapshotError) << bit;
  }
}
TEST(Snapshot, RejectsALaterVersion) {
  std::string later = encode(snapshot());
  later.replace(later.find(" 01 "), 4, " 02 ");
  try {
    decode(later);
    FAIL();
  } catch (const SnapshotError& e) {
    EXPECT_NE(std::string(e.what()).find("later version"), std::string::npos);
  }
}

// ---- Snapshot validation ------------------------------------------------------------------------
TEST(SnapshotValidation, KeepsNamesAndPrimaryCandidatesAndDropsPositions) {
  const RecoveredState b = validateSnapshot(snapshot(), kNowMs, {});
  ASSERT_EQ(b.endpoints.size(), 6u);
  for (const EndpointRecord& m : b.endpoints) EXPECT_EQ(m.positionMs, 0) << m.name;
  EXPECT_EQ(b.endpoints[2].address, "127.0.1.3:5432");
  ASSERT_EQ(b.primaryCandidates.size(), 2u);
  EXPECT_EQ(b.epoch, 4u);
  EXPECT_FALSE(b.fromFuture);
}
TEST(SnapshotValidation, OlderFiguresMoveTowardTheGroupMean) {
  Snapshot s = snapshot();
  s.endpoints[0].latencyUs = 400000;  // ten times the others of its group
  double previousUs = 400000;
  for (const auto age : {seconds(1), seconds(600), seconds(3600), seconds(36000)}) {
    s.wallMs = kNowMs - std::chrono::duration_cast<milliseconds>(age).count();
    const double latencyUs = validateSnapshot(s, kNowMs, {}).endpoints[0].latencyUs;
    EXPECT_LT(latencyUs, previousUs);
    previousUs = latencyUs;
  }
  const double groupMean = std::cbrt(400000.0 * 41000 * 42000);
  EXPECT_NEAR(previousUs, groupMean, groupMean / 100) << "after ten hours the own figure has no weight left";
}
TEST(SnapshotValidation, ASnapshotFromTheFutureHasNoAgeAndUsesGroupMeans) {
  Snapshot s = snapshot();
  s.wallMs = kNowMs + 3600000;
  s.endpoints[0].latencyUs = 400000;
  s.endpoints[1].startedMs = kNowMs + 3500000;
  const RecoveredState b = validateSnapshot(s, kNowMs, {});
  EXPECT_TRUE(b.fromFuture);
  EXPECT_DOUBLE_EQ(b.endpoints[0].latencyUs, b.endpoints[2].latencyUs);
  EXPECT_EQ(b.endpoints[1].startedMs, kNowMs) << "counts as just started, not as warm";
  EXPECT_EQ(b.endpoints.size(), 6u) << "names are kept nevertheless";
}
TEST(SnapshotValidation, AnEndpointWithoutFiguresGetsTheGroupMean) {
  Snapshot s = snapshot();
  s.endpoints[0].latencyUs = 0;
  const RecoveredState b = validateSnapshot(s, kNowMs, {});
  EXPECT_GT(b.endpoints[0].latencyUs, 40000);
  EXPECT_LT(b.endpoints[0].latencyUs, 43000);
}
// For random snapshots and clocks, figures stay within the range that was measured and positions
// are dropped.
TEST(SnapshotValidation, FiguresStayWithinTheMeasuredRangeForRandomSnapshots) {
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

// ---- Snapshot headers and the exchange with peers -----------------------------------------------
SnapshotHeader headerWith(std::uint64_t epoch, std::uint64_t primaryOf0, bool serving = false,
                          std::int64_t wallMs = kNowMs) {
  SnapshotHeader h;
  h.epoch = epoch;
  h.serving = serving;
  h.wallMs = wallMs;
  h.primaries = {{0, primaryOf0}};
  return h;
}
PeerStateExchangePolicy policyWithPeers(std::size_t peers) {
  PeerStateExchangePolicy p;
  p.peers = peers;
  return p;
}
bool respond(PeerStateExchange& q, std::size_t peer, SnapshotHeader h) {
  h.nonce = q.nonce();
  return q.responseReceived(peer, h, kNowMs);
}

TEST(SnapshotHeader, DecodesWhatWasEncodedAndRejectsMalformedDatagrams) {
  SnapshotHeader h = headerWith(9, 0x1234567890, true);
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
        << n;  // valid only with or without the whole primary
  EXPECT_FALSE(decodeSnapshotHeader(std::string(1, 1) + d.substr(1))) << "a gossip datagram";
  for (int k = 0; k < 100; ++k) h.primaries.push_back({1, 2});
  EXPECT_LE(encode(h).size(), kMaxSnapshotHeaderBytes);
  EXPECT_TRUE(decodeSnapshotHeader(encode(h)));
}
TEST(PeerStateExchange, QueriesAFewOtherPeersInEachRoundAndThenStops) {
  PeerStateExchange q(policyWithPeers(20), 5, Time(0), headerWith(1, 1));
  std::set<std::size_t> queried;
  std::size_t requests = 0;
  for (Time now{}; now < seconds(5); now += milliseconds(1))
    for (const std::size_t p : q.duePeers(now)) queried.insert(p), ++requests;
  EXPECT_EQ(requests, 9u);
  EXPECT_EQ(queried.size(), 9u);
  EXPECT_TRUE(q.finished(seconds(5)));
}
TEST(PeerStateExchange, WithoutPeersItFinishesAtOnceWithANewEpoch) {
  PeerStateExchange q(policyWithPeers(0), 5, seconds(3), headerWith(4, 1));
  EXPECT_TRUE(q.duePeers(seconds(3)).empty());
  EXPECT_TRUE(q.finished(seconds(3)));
  EXPECT_EQ(q.epoch(), 5u);
  EXPECT_EQ(q.primaryClaims(0), (std::vector<std::uint64_t>{1}));
}
TEST(PeerStateExchange, RejectsOlderEpochsFutureHeadersOtherNoncesAndRepeatedResponses) {
  PeerStateExchange q(policyWithPeers(5), 5, Time(0), headerWith(4, 1));
  EXPECT_FALSE(respond(q, 0, headerWith(3, 2))) << "older epoch";
  EXPECT_FALSE(respond(q, 1, headerWith(9, 2, true, kNowMs + 3600000))) << "from the future";
  SnapshotHeader h = headerWith(9, 2);
  h.nonce = q.nonce() + 1;
  EXPECT_FALSE(q.responseReceived(2, h, kNowMs)) << "nonce of another request";
  EXPECT_TRUE(respond(q, 2, headerWith(4, 3)));
  EXPECT_FALSE(respond(q, 2, headerWith(9, 4))) << "second response of the same peer";
  EXPECT_FALSE(respond(q, 7, headerWith(9, 4))) << "index beyond the peers";
  EXPECT_EQ(q.rejectedResponses(), 2u);
  EXPECT_EQ(q.epoch(), 5u);
  EXPECT_EQ(q.primaryClaims(0), (std::vector<std::uint64_t>{1, 3}));
}
TEST(PeerStateExchange, ASingleRestartJoinsTheEpochOfServingPeers) {
  PeerStateExchange q(policyWithPeers(5), 5, Time(0), headerWith(4, 1));
  respond(q, 0, headerWith(6, 2, true));
  respond(q, 1, headerWith(7, 2));  // recovering as well
  EXPECT_TRUE(q.joined());
  EXPECT_EQ(q.epoch(), 6u);
}
TEST(PeerStateExchange, TheNewestClaimConfirmedByAnEndpointWins) {
  PeerStateExchange q(policyWithPeers(5), 5, Time(0), headerWith(4, 1));
  respond(q, 0, headerWith(5, 2));
  respond(q, 1, headerWith(6, 3));
  EXPECT_EQ(q.primaryClaims(0), (std::vector<std::uint64_t>{3, 2, 1})) << "sorted from newest to oldest";
  EXPECT_FALSE(q.confirmedPrimary(0)) << "a claim alone confirms no primary";
  EXPECT_EQ(q.confirmPrimary(0, 2), std::optional<std::uint64_t>(5));
  EXPECT_EQ(q.confirmedPrimary(0), std::optional<std::uint64_t>(2));
  EXPECT_EQ(q.confirmPrimary(0, 1), std::optional<std::uint64_t>(4));
  EXPECT_EQ(q.confirmedPrimary(0), std::optional<std::uint64_t>(2))
      << "an older claim does not replace a newer one";
  EXPECT_EQ(q.confirmPrimary(0, 3), std::optional<std::uint64_t>(6));
  EXPECT_EQ(q.confirmedPrimary(0), std::optional<std::uint64_t>(3));
  EXPECT_EQ(q.confirmPrimary(1, 8), std::nullopt) << "no claim named this endpoint";
  EXPECT_EQ(q.confirmedPrimary(1), std::optional<std::uint64_t>(8))
      << "the endpoint's own response is sufficient";
}
// All proxies of a fleet restart at once after a power loss, with 20% of the datagrams lost: the
// requests per second stay bounded, and all proxies enter the same epoch.
TEST(PeerStateExchange, AFleetThatStartsAtOnceBoundsItsRequestsAndAgreesOnTheEpoch) {
  for (const std::size_t n : {2u, 20u, 300u, 1000u})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      std::mt19937_64 random(seed);
      std::vector<PeerStateExchange> fleet;
      std::vector<SnapshotHeader> own;
      for (std::size_t k = 0; k < n; ++k) {
        own.push_back(headerWith(6, 1 + random() % 2));  // their snapshots may disagree on the primary
        fleet.emplace_back(policyWithPeers(n - 1), seed * 100000 + k, Time(0), own.back());
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
      for (const auto& [second, requests] : perSecond)
        EXPECT_LE(requests, 1000 * 6 / 5) << n << " proxies, second " << second;
      for (const PeerStateExchange& q : fleet) {
        EXPECT_TRUE(q.finished(seconds(20)));
        EXPECT_EQ(q.epoch(), 7u) << n;
      }
    }
}

// ---- Admission during recovery ------------------------------------------------------------------
TEST(RecoveryAdmission, PhasesAdvanceWithResponsesOfEndpoints) {
  RecoveryAdmission o({}, 1, Time(0));
  EXPECT_EQ(o.phase(3), RecoveryPhase::AwaitingEndpoints);
  for (int k = 0; k < 4; ++k)
    EXPECT_TRUE(o.admit(Time(0), 3, false).admitted) << "the initial window admits four";
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
    const int inFlight = static_cast<int>(o.window(3));
    for (int k = 0; k < inFlight; ++k) o.requestEnded(now, 3, false, RequestEnd::Served);
  }
  EXPECT_EQ(o.phase(3), RecoveryPhase::Complete);
  EXPECT_LE(rounds, 8) << "the window doubles per round trip";
  for (int k = 0; k < 1000; ++k) EXPECT_TRUE(o.admit(seconds(2), 3, k % 2 == 0).admitted);
  EXPECT_TRUE(o.finished(seconds(2)));
  std::vector<RecoveryPhase> phases;
  for (const RecoveryAdmission::PhaseChange& c : o.takePhaseChanges()) phases.push_back(c.phase);
  EXPECT_EQ(phases, (std::vector<RecoveryPhase>{RecoveryPhase::Reading, RecoveryPhase::Writing,
                                                RecoveryPhase::Complete}));
}
TEST(RecoveryAdmission, OnlyOccasionalWritesAreAdmittedBeforeThePrimaryResponds) {
  RecoveryAdmissionPolicy p;
  p.proxies = 20;
  RecoveryAdmission o(p, 1, Time(0));
  o.endpointResponded(Time(0), 3);
  int admitted = 0;
  for (Time now{}; now < seconds(4); now += milliseconds(5))
    if (o.admit(now, 3, true).admitted) ++admitted, o.requestEnded(now, 3, true, RequestEnd::Rejected);
  EXPECT_GE(admitted, 8);
  EXPECT_LE(admitted, 34) << "about one per 240 ms";
  EXPECT_EQ(o.phase(3), RecoveryPhase::Reading);
  o.primaryResponded(seconds(4), 3);
  EXPECT_TRUE(o.admit(seconds(4), 3, true).admitted);
}
TEST(RecoveryAdmission, FailuresDecreaseTheWindowOncePerIntervalAndNeverBelowTheMinimum) {
  RecoveryAdmission o({}, 1, Time(0));
  o.endpointResponded(Time(0), 3);
  for (int k = 0; k < 30; ++k)
    o.admit(Time(0), 3, false), o.requestEnded(Time(0), 3, false, RequestEnd::Served);
  const double before = o.window(3);
  for (int k = 0; k < 5; ++k) o.requestEnded(milliseconds(10), 3, false, RequestEnd::Failed);
  EXPECT_DOUBLE_EQ(o.window(3), 0.7 * before) << "five failures of one fault";
  for (int k = 1; k < 60; ++k) o.requestEnded(milliseconds(500) * k, 3, false, RequestEnd::Rejected);
  EXPECT_DOUBLE_EQ(o.window(3), 4);
  o.requestEnded(seconds(40), 3, false, RequestEnd::ClientDisconnected);
  EXPECT_DOUBLE_EQ(o.window(3), 4);
}
TEST(RecoveryAdmission, TheUsualConcurrencySetsTheFirstWindowAndTheWindowThatCompletes) {
  RecoveryAdmission o({}, 1, Time(0));
  o.setUsualConcurrency(3, 24);
  EXPECT_DOUBLE_EQ(o.window(3), 6);
  o.primaryResponded(Time(0), 3);
  int served = 0;
  while (o.phase(3) != RecoveryPhase::Complete && served < 100)
    o.admit(Time(0), 3, false), o.requestEnded(Time(0), 3, false, RequestEnd::Served), ++served;
  EXPECT_EQ(served, 46) << "the window grows from 6 to twice the usual concurrency plus the initial window";
}
TEST(RecoveryAdmission, EveryRequestIsAdmittedAfterTheTimeout) {
  RecoveryAdmission o({}, 1, Time(0));
  for (int k = 0; k < 10; ++k) o.admit(Time(0), 3, true);
  int admitted = 0;
  for (int k = 0; k < 10; ++k) admitted += o.admit(seconds(19), 3, false).admitted;
  EXPECT_LE(admitted, 4);
  for (int k = 0; k < 10; ++k) EXPECT_TRUE(o.admit(seconds(20), 3, k % 2 == 0).admitted) << k;
  EXPECT_TRUE(o.finished(seconds(20)));
}
// Random events in random order: retry delays stay within their bounds, the window never shrinks
// below the minimum, and phases only advance.
TEST(RecoveryAdmission, BoundsHoldForRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    RecoveryAdmission o({}, seed, Time(0));
    std::map<std::uint32_t, int> inFlight;
    std::map<std::uint32_t, RecoveryPhase> previous;
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
          if (inFlight[group] > 0)
            --inFlight[group], o.requestEnded(now, group, write, static_cast<RequestEnd>(random() % 4));
          break;
        default: {
          const RecoveryPhase phase = o.phase(group);
          const RecoveryAdmission::Decision d = o.admit(now, group, write);
          if (!d.admitted) {
            EXPECT_GE(d.retryAfter, milliseconds(40));
            EXPECT_LE(d.retryAfter, seconds(1));
          } else if (phase != RecoveryPhase::Complete && now < seconds(20)) {
            ++inFlight[group];
          }
          EXPECT_GE(o.window(group), 4);
        }
      }
      EXPECT_GE(o.phase(group), previous[group]);
      previous[group] = o.phase(group);
    }
  }
}

// ---- Connect delays -----------------------------------------------------------------------------
TEST(ConnectDelay, AllProxiesTogetherConnectAtTheConfiguredRateWithoutCommunication) {
  std::vector<std::string> proxies;
  for (int k = 0; k < 100; ++k) proxies.push_back("127.0.0.1:" + std::to_string(7000 + k));
  std::map<std::string, Time> sums;
  for (int m = 0; m < 20; ++m) {
    std::set<Time> delays;
    for (const std::string& p : proxies) {
      const Time t = connectDelay("s-" + std::to_string(m), p, proxies, 50);
      delays.insert(t);
      sums[p] += t;
    }
    ASSERT_EQ(delays.size(), 100u) << "each proxy has a different delay";
    EXPECT_EQ(*delays.begin(), Time(0));
    EXPECT_EQ(*delays.rbegin(), milliseconds(1980));
  }
  for (const auto& [p, sum] : sums) EXPECT_NEAR(static_cast<double>(sum.count()) / 20e6, 1, 0.5) << p;
  // Without one of the proxies, the others move forward by at most one rank.
  std::vector<std::string> fewer(proxies.begin() + 1, proxies.end());
  for (const std::string& p : fewer) {
    const Time before = connectDelay("s-1", p, proxies, 50), after = connectDelay("s-1", p, fewer, 50);
    EXPECT_TRUE(after == before || after == before - milliseconds(20)) << p;
  }
}

}  // namespace
}  // namespace sablespur::recovery
