// Tests of CallSchedule in simulated time: one proxy with slow, failing and lost calls, and fleets
// that call a registry which serves its calls one at a time.
#include "discovery/call_schedule.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <string>

namespace sablespur {
namespace {

using namespace std::chrono_literals;
using Time = CallSchedule::Time;
using CallId = CallSchedule::CallId;

constexpr Time kStep = 10ms;
// Latest confirmation of the list: 6 s after the last line of a silent watch, 1 s of grace and
// 50 ms of tolerance. A process may be delayed by kProcessDelay.
constexpr Time kTimeLimit = 7050ms;
constexpr Time kProcessDelay = 150ms;

// The outcome of one call.
struct CallOutcome {
  enum class Kind { List, Failure, Silence } kind = Kind::List;
  Time after{};
};

// One proxy whose watch delivers its last line at 0 and is silent from then on.
struct SilentWatch {
  explicit SilentWatch(std::uint64_t seed) : schedule(seed) {
    schedule.start(0ms);
    EXPECT_EQ(schedule.decide(0ms).open, CallReason::FirstCall);
    schedule.opened(0ms, ++last);
    schedule.confirmed(0ms, last);
    schedule.decide(0ms);
  }

  // Returns when the list is confirmed again, with calls that end as given by `callOutcomes`; any
  // further call is answered at once.
  Time confirmedAgain(const std::vector<CallOutcome>& callOutcomes, Time until = 60s) {
    std::map<CallId, std::pair<Time, CallOutcome>> outstanding;
    for (Time now = kStep; now < until; now += kStep) {
      for (auto at = outstanding.begin(); at != outstanding.end();) {
        const auto [opened, outcome] = at->second;
        const bool isDue = outcome.kind != CallOutcome::Kind::Silence && now >= opened + outcome.after;
        if (isDue && outcome.kind == CallOutcome::Kind::List) return now;
        if (isDue) schedule.ended(now, at->first, {true, std::nullopt});
        at = isDue ? outstanding.erase(at) : std::next(at);
      }
      const CallSchedule::Decision decision = schedule.decide(now);
      for (const auto& closing : decision.close) outstanding.erase(closing.call);
      mostOpen = std::max(mostOpen, schedule.openCalls());
      if (!decision.open) continue;
      const std::size_t index = calls++;
      schedule.opened(now, ++last);
      outstanding[last] = {now, index < callOutcomes.size() ? callOutcomes[index] : CallOutcome{}};
    }
    return until;
  }

  CallSchedule schedule;
  CallId last = 0;
  std::size_t calls = 0;
  std::size_t mostOpen = 0;
};

constexpr CallOutcome answeredAfter(Time time) { return {CallOutcome::Kind::List, time}; }
constexpr CallOutcome failedAfter(Time time) { return {CallOutcome::Kind::Failure, time}; }
constexpr CallOutcome neverAnswered() { return {CallOutcome::Kind::Silence, 0ms}; }

// The watch falls silent right after a line, so that detecting it takes longest.
TEST(CallSchedule, ConfirmsTheListInTimeDespiteSlowFailedOrLostCalls) {
  const std::vector<std::pair<std::string, std::vector<CallOutcome>>> rows{
      {"at once", {answeredAfter(0ms)}},
      {"after 2.2 s", {answeredAfter(2200ms), neverAnswered(), neverAnswered()}},
      {"after 2.8 s", {answeredAfter(2800ms), answeredAfter(2800ms), answeredAfter(2800ms)}},
      {"after 3.0 s", {answeredAfter(3000ms), answeredAfter(3000ms), answeredAfter(3000ms)}},
      {"after 4.0 s", {answeredAfter(4000ms), answeredAfter(4000ms), answeredAfter(4000ms)}},
      {"two 503 after 1.4 s", {failedAfter(1400ms), failedAfter(1400ms), answeredAfter(1400ms)}},
      {"two lost", {neverAnswered(), neverAnswered(), answeredAfter(0ms)}},
      {"one lost, one slow", {neverAnswered(), answeredAfter(2300ms)}},
  };
  for (const auto& [name, callOutcomes] : rows) {
    SCOPED_TRACE(name);
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      SilentWatch watch(seed);
      EXPECT_LE(watch.confirmedAgain(callOutcomes), kTimeLimit - kProcessDelay) << "seed " << seed;
    }
  }
}

// 2.4 s until the silence is detected and 5 s for the answer exceed the time limit, but the list is
// still accepted.
TEST(CallSchedule, AnswerBeyondTheTimeLimitIsStillAccepted) {
  SilentWatch watch(1);
  EXPECT_EQ(watch.confirmedAgain({answeredAfter(5s), answeredAfter(5s), answeredAfter(5s)}), 7400ms);
  EXPECT_LE(watch.mostOpen, CallSchedule::kMaxCalls);
}

// Random delays, failures and losses that leave enough time for one answer: their sum must stay
// within the time limit.
TEST(CallSchedule, RandomFailuresStayWithinTheTimeLimit) {
  const char* const seedsText = std::getenv("CALL_SCHEDULE_SEEDS");
  const std::uint64_t seeds = seedsText ? std::strtoull(seedsText, nullptr, 10) : 200;
  constexpr Time kLongestAnswer[] = {4400ms, 2300ms, 800ms};  // by number of failing calls
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&random](Time time) {
      return Time(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(time.count() + 1)));
    };
    const std::size_t failures = random() % 3;
    std::vector<CallOutcome> callOutcomes;
    for (std::size_t k = 0; k < failures; ++k)
      callOutcomes.push_back(random() % 2 ? neverAnswered() : failedAfter(below(1400ms)));
    for (int k = 0; k < 4; ++k) callOutcomes.push_back(answeredAfter(below(kLongestAnswer[failures])));
    SilentWatch watch(seed);
    ASSERT_LE(watch.confirmedAgain(callOutcomes), kTimeLimit - kProcessDelay) << "seed " << seed;
    ASSERT_LE(watch.mostOpen, CallSchedule::kMaxCalls) << "seed " << seed;
  }
}

// While the registry is unreachable, calls are made often enough to find it within 6 s of its
// recovery, and not more often.
TEST(CallSchedule, KeepsCallingAtABoundedRateWhileNothingIsAnswered) {
  SilentWatch watch(3);
  const std::vector<CallOutcome> lost(1000, neverAnswered());
  EXPECT_EQ(watch.confirmedAgain(lost, 120s), 120s);
  EXPECT_GE(watch.calls, 30u);
  EXPECT_LE(watch.calls, 40u);
  EXPECT_LE(watch.mostOpen, CallSchedule::kMaxCalls);
}

TEST(CallSchedule, HonoursRetryAfterUpToTheDeadlineOfTheList) {
  const auto openedAgainAfter = [](Time confirmedAgo, std::optional<Time> retryAfter) {
    SilentWatch watch(1);
    watch.schedule.decide(2400ms);
    watch.schedule.opened(2400ms, ++watch.last);
    watch.schedule.ended(confirmedAgo, watch.last, {true, retryAfter});
    return *watch.schedule.nextDeadline() - confirmedAgo;
  };
  EXPECT_LE(openedAgainAfter(2400ms, std::nullopt), 300ms);
  EXPECT_EQ(openedAgainAfter(2400ms, 1s), 1s);
  EXPECT_EQ(openedAgainAfter(2400ms, 60s), 1600ms) << "the second call is due at 4 s";
  EXPECT_EQ(openedAgainAfter(20s, 60s), CallSchedule::kLateCallSpacing);
}

TEST(CallSchedule, StalledListIsClosedAndAGrowingOneIsNot) {
  SilentWatch watch(1);
  CallSchedule& schedule = watch.schedule;
  schedule.decide(2400ms);
  const CallId call = ++watch.last;
  schedule.opened(2400ms, call);
  for (Time now = 2500ms; now <= 12s; now += 500ms) {
    schedule.progressed(now, call);
    for (const auto& closing : schedule.decide(now).close) EXPECT_NE(closing.call, call);
  }
  bool isClosed = false;
  for (const auto& closing : schedule.decide(12s + CallSchedule::kResponseSilence).close)
    isClosed = isClosed || (closing.call == call && closing.reason == CloseReason::Silent);
  EXPECT_TRUE(isClosed);
}

// A registry that rejects calls late is overloaded, and further calls would only add to its load:
// the wait before a second call grows with the answer times observed.
TEST(CallSchedule, WaitForASecondCallGrowsWithAnswerTimes) {
  SilentWatch watch(1);
  CallSchedule& schedule = watch.schedule;
  ASSERT_EQ(schedule.decide(2400ms).open, CallReason::WatchSilent);
  schedule.opened(2400ms, ++watch.last);
  EXPECT_EQ(*schedule.nextDeadline(), 2400ms + CallSchedule::kMinAnswerWait);
  schedule.ended(4400ms, watch.last, {true, std::nullopt});  // after 2 s
  const Time again = *schedule.nextDeadline();
  EXPECT_LE(again, 4600ms);
  ASSERT_EQ(schedule.decide(again).open, CallReason::Retry);
  schedule.opened(again, ++watch.last);
  EXPECT_GE(*schedule.nextDeadline(), again + 2200ms) << "a tenth longer than the answer took";
}

TEST(CallSchedule, NoEarlyThirdCallIfTheRegistryHasAnswered) {
  SilentWatch unanswered(1);
  SilentWatch rejecting(1);
  for (SilentWatch* const watch : {&unanswered, &rejecting}) {
    CallSchedule& schedule = watch->schedule;
    schedule.opened(2400ms, ++watch->last);
    if (watch == &rejecting) {
      schedule.ended(2500ms, watch->last, {true, std::nullopt});
      schedule.opened(2600ms, ++watch->last);
    }
    schedule.opened(4800ms, ++watch->last);
  }
  EXPECT_EQ(*unanswered.schedule.nextDeadline(), 4800ms + CallSchedule::kCallSpacing);
  EXPECT_GE(*rejecting.schedule.nextDeadline(), 4800ms + CallSchedule::kLateCallSpacing * 9 / 10);
}

// Changes reported at the former address are applied until the new one has delivered a list.
TEST(CallSchedule, WatchAtAFormerAddressStaysOpenUntilTheNewOneAnswers) {
  SilentWatch watch(1);
  CallSchedule& schedule = watch.schedule;
  schedule.addressChanged(1s);
  EXPECT_EQ(schedule.decide(1s).open, CallReason::AddressChanged);
  schedule.opened(1s, ++watch.last);
  const CallId former = watch.last - 1;
  for (Time now = 1s; now < 7s; now += kStep)
    for (const auto& closing : schedule.decide(now).close) EXPECT_NE(closing.call, former);
  schedule.confirmed(7s, watch.last);
  const CallSchedule::Decision decision = schedule.decide(7s);
  ASSERT_EQ(decision.close.size(), 1u);
  EXPECT_EQ(decision.close[0].call, former);
  EXPECT_EQ(decision.close[0].reason, CloseReason::Superseded);
}

TEST(CallSchedule, OlderListIsFollowedByARetry) {
  CallSchedule schedule(1);
  schedule.start(0ms);
  schedule.opened(0ms, 1);
  schedule.outdated(100ms, 1);
  EXPECT_FALSE(schedule.confirmedAt());
  ASSERT_TRUE(schedule.nextDeadline());
  EXPECT_LE(*schedule.nextDeadline(), 500ms);
  EXPECT_EQ(schedule.decide(500ms).open, CallReason::Retry);
}

// Proxies and a registry that serves its calls one at a time, first come, first served, and does
// not detect that a caller has disconnected. Calls that have waited longer than `maxWait` are
// rejected at no cost.
class CallingFleet {
 public:
  struct Outcome {
    Time slowest{};  // until every proxy has its list
    std::size_t calls = 0;
    std::size_t mostOpen = 0;  // at one proxy
  };

  CallingFleet(std::size_t proxies, Time serviceTime, std::optional<Time> maxWait)
      : serviceTime_(serviceTime), maxWait_(maxWait) {
    for (std::size_t k = 0; k < proxies; ++k) {
      proxies_.push_back(std::make_unique<SilentWatch>(k + 1));
      const Time phase = 2000ms * static_cast<std::int64_t>(k) / static_cast<std::int64_t>(proxies);
      starts_.push_back(phase);  // last line of its watch; the zero of its clock
    }
  }

  Outcome run(Time until) {
    Outcome outcome;
    std::size_t unconfirmed = proxies_.size();
    confirmed_.assign(proxies_.size(), false);
    for (Time now{}; now < until && unconfirmed > 0; now += kStep) {
      rejectExpired(now);
      unconfirmed -= serve(now, outcome);
      for (std::size_t k = 0; k < proxies_.size(); ++k) call(now, k, outcome);
    }
    if (unconfirmed > 0) outcome.slowest = until;
    return outcome;
  }

 private:
  struct Queued {
    std::size_t proxy;
    CallId call;
    Time at;
  };
  Time local(std::size_t proxy, Time now) const { return std::max(now - starts_[proxy], Time(0)); }

  void rejectExpired(Time now) {
    while (maxWait_ && !queue_.empty() && now - queue_.front().at > *maxWait_) {
      const Queued first = queue_.front();
      queue_.pop_front();
      proxies_[first.proxy]->schedule.ended(local(first.proxy, now), first.call, {true, std::nullopt});
    }
  }

  std::size_t serve(Time now, Outcome& outcome) {
    std::size_t newlyConfirmed = 0;
    while (!queue_.empty() && std::max(busyUntil_, queue_.front().at) + serviceTime_ <= now) {
      const Queued first = queue_.front();
      queue_.pop_front();
      busyUntil_ = std::max(busyUntil_, first.at) + serviceTime_;
      proxies_[first.proxy]->schedule.confirmed(local(first.proxy, now), first.call);
      if (confirmed_[first.proxy]) continue;
      confirmed_[first.proxy] = true;
      outcome.slowest = std::max(outcome.slowest, now);
      ++newlyConfirmed;
    }
    return newlyConfirmed;
  }

  void call(Time now, std::size_t proxy, Outcome& outcome) {
    if (confirmed_[proxy]) return;
    SilentWatch& watch = *proxies_[proxy];
    if (!watch.schedule.decide(local(proxy, now)).open) return;
    watch.schedule.opened(local(proxy, now), ++watch.last);
    queue_.push_back({proxy, watch.last, now});
    ++outcome.calls;
    outcome.mostOpen = std::max(outcome.mostOpen, watch.schedule.openCalls());
  }

  const Time serviceTime_;
  const std::optional<Time> maxWait_;
  std::vector<std::unique_ptr<SilentWatch>> proxies_;
  std::vector<Time> starts_;
  std::vector<bool> confirmed_;
  std::deque<Queued> queue_;
  Time busyUntil_{};
};

constexpr std::size_t kFleets[] = {6, 60, 350, 900};

// All watches fall silent at once, and one call of each proxy keeps the registry busy for 2 s.
TEST(OverloadedRegistry, SimultaneousCallsOfAFleetAreServedInTimeWithOneCallEach) {
  for (const std::size_t proxies : kFleets) {
    SCOPED_TRACE(proxies);
    CallingFleet fleet(proxies, Time(2s) / static_cast<std::int64_t>(proxies), std::nullopt);
    const CallingFleet::Outcome outcome = fleet.run(60s);
    EXPECT_LE(outcome.slowest, kTimeLimit - kProcessDelay);
    EXPECT_LE(outcome.calls, proxies * 5 / 4);
  }
}

// One call of each proxy keeps the registry busy for 10 s, too long to be in time. Each proxy
// retains its place in the queue, so the overload ends after these 10 s, and further calls queue up
// behind them.
TEST(OverloadedRegistry, SlowRegistryRecoversFromOverload) {
  for (const std::size_t proxies : kFleets) {
    SCOPED_TRACE(proxies);
    CallingFleet fleet(proxies, Time(10s) / static_cast<std::int64_t>(proxies), std::nullopt);
    const CallingFleet::Outcome outcome = fleet.run(120s);
    EXPECT_LE(outcome.slowest, 30s);
    EXPECT_LE(outcome.calls, proxies * 4);
  }
}

// As above, but a call that has waited for 2 s is rejected and repeated after a pause.
TEST(OverloadedRegistry, RejectedFleetRetriesAtABoundedRate) {
  for (const std::size_t proxies : kFleets) {
    SCOPED_TRACE(proxies);
    CallingFleet fleet(proxies, Time(10s) / static_cast<std::int64_t>(proxies), 2s);
    const CallingFleet::Outcome outcome = fleet.run(120s);
    EXPECT_LE(outcome.slowest, 30s);
    EXPECT_LE(outcome.calls, proxies * 8);
    EXPECT_LE(outcome.mostOpen, 2u) << "the silent watch and one call";
  }
}

}  // namespace
}  // namespace sablespur
