// What the decision module, the engine and the list reader cost as endpoints become more: CPU time and memory
// at 120, 800 and 3,200 endpoints. No absolute time is asserted, only how cost grows; each figure is the
// least of several repeats, so that a busy machine does not count.
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#if defined(__SANITIZE_ADDRESS__)
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();  // its header is not everywhere
#endif

#include "discovery/endpoint_list.hpp"
#include "engine/engine.hpp"
#include "harness.hpp"
#include "scenario.hpp"

namespace sablespur::balancer::test {
namespace {

constexpr int kEndpoints[] = {120, 800, 3200};
constexpr int kGroupSize = 6;
constexpr int kRepeats = 5;
constexpr double kMostGrowth = 3;  // of what one request, change or endpoint costs, from 120 to 3,200

double cpuMicroseconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}
double allocatedBytes() {
#if defined(__SANITIZE_ADDRESS__)
  return static_cast<double>(__sanitizer_get_current_allocated_bytes());
#else
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
#endif
}

// The least CPU time that `work` takes, `prepare` not counted.
template <typename Prepare, typename Work>
double leastMicroseconds(Prepare prepare, Work work) {
  double least = std::numeric_limits<double>::infinity();
  for (int k = 0; k < kRepeats; ++k) {
    auto subject = prepare();
    const double before = cpuMicroseconds();
    work(*subject);
    least = std::min(least, cpuMicroseconds() - before);
  }
  return least;
}

// Cost of one unit of work at each number of endpoints; fails where it grows with them.
void expectFlat(const char* what, const std::function<double(int endpoints)>& microsecondsEach) {
  double first = 0;
  for (const int endpoints : kEndpoints) {
    const double each = microsecondsEach(endpoints);
    std::printf("cost: %s, %d endpoints: %.3f us each\n", what, endpoints, each);
    if (first == 0) first = each;
    EXPECT_LE(each, kMostGrowth * first) << what << " at " << endpoints << " endpoints against 120";
  }
}

// One proxy's decision module before many endpoints, each of which answers after 30 ms.
class Proxy : ActionSink {
 public:
  Proxy(int endpoints, bool halfWarmingUp) : endpoints_(endpoints) {
    settings_ = settings();
    settings_.warmUpPeriod = seconds(60);
    settings_.proxyCount = 300;
    balancer_ = std::make_unique<balancer::Balancer>(settings_, 1, static_cast<ActionSink&>(*this));
    for (int k = 0; k < endpoints; ++k) {
      const bool warmingUp = halfWarmingUp && k % 2 == 1;
      list_.push_back(entry(k, Lifecycle::Ready, warmingUp ? now_ - seconds(1) : Time(0)));
    }
    balancer_->endpointsListed(now_, ListKind::Cached, list_);
  }
  ListedEndpoint entry(int index, Lifecycle state, Time started) const {
    ListedEndpoint m = Bench::entry(static_cast<EndpointId>(index + 1), state, started);
    m.group = static_cast<GroupId>(index / kGroupSize);
    return m;
  }
  // Requests of a small proxy, with all timers and probes in between.
  void serve(int requests) {
    for (int k = 0; k < requests; ++k) {
      runUntil(now_ + milliseconds(50));
      Request q;
      q.id = ++lastId_;
      q.classIndex = k % 5 == 0 ? kWrite : kAny;
      q.group = static_cast<GroupId>(static_cast<unsigned>(k) * 7919u %
                                     static_cast<unsigned>(endpoints_ / kGroupSize));
      q.deadline = now_ + settings_.classes[static_cast<std::size_t>(q.classIndex)].deadline;
      balancer_->request(now_, q);
    }
  }
  void listWhole() { balancer_->endpointsListed(now_, ListKind::Full, list_); }
  void listOneChangeAtATime(int changes) {
    for (int k = 0; k < changes; ++k)
      balancer_->endpointsListed(now_, ListKind::Delta, {entry(k, Lifecycle::Ready, now_)});
  }
  void housekeep(int times) {
    for (int k = 0; k < times; ++k) balancer_->removeExpiredEndpoints(now_);
  }
  int served() const { return served_; }

 private:
  struct Event {
    Time due;
    std::uint64_t turn;
    std::function<void()> act;
    bool operator<(const Event& o) const { return due != o.due ? due > o.due : turn > o.turn; }
  };
  void after(Time in, std::function<void()> act) { events_.push({now_ + in, ++turn_, std::move(act)}); }
  void runUntil(Time end) {
    while (!events_.empty() && events_.top().due <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.due;
      event.act();
    }
    now_ = end;
  }
  void send(RequestId id, EndpointId member, Time) override {
    after(milliseconds(30), [this, id, member, attempt = attempts_[id]++] {
      AttemptOutcome o;
      o.request = id;
      o.attempt = attempt;
      o.endpoint = member;
      const bool primary = (member - 1) % kGroupSize == 0;
      o.replicationStatus =
          static_cast<std::uint32_t>((now_ - settings_.positionEpoch) / milliseconds(1)) * 4 +
          (primary ? 1 : 2);
      o.clientAnswered = true;
      ++served_;
      balancer_->attemptEnded(now_, o);
    });
  }
  void reject(RequestId, Time) override {}
  void fail(RequestId) override {}
  void cancel(RequestId, int) override {}
  void scheduleTimer(Time in, std::uint64_t token) override {
    after(in, [this, token] { balancer_->timerFired(now_, token); });
  }
  void startHealthCheck(EndpointId member) override {
    after(milliseconds(3), [this, member] {
      HealthCheckResult p;
      p.endpoint = member;
      p.ok = true;
      p.report = {static_cast<float>((now_ - settings_.positionEpoch).count()) / 1e6f,
                  (member - 1) % kGroupSize == 0 ? 1.f : 0.f};
      balancer_->healthCheckEnded(now_, p);
    });
  }
  void subscribe() override {}

  const int endpoints_;
  Settings settings_;
  Time now_ = seconds(1100);
  std::vector<ListedEndpoint> list_;
  std::unique_ptr<balancer::Balancer> balancer_;
  std::priority_queue<Event> events_;
  std::map<RequestId, int> attempts_;
  std::uint64_t turn_ = 0;
  RequestId lastId_ = 0;
  int served_ = 0;
};

TEST(Cost, ARequestCostsTheSameHoweverManyEndpointsAreListed) {
  constexpr int kRequests = 600;
  for (const bool halfWarmingUp : {false, true})
    expectFlat(halfWarmingUp ? "a request, half of the endpoints warming up" : "a request",
               [&](int endpoints) {
                 return leastMicroseconds([&] { return std::make_unique<Proxy>(endpoints, halfWarmingUp); },
                                          [&](Proxy& p) {
                                            p.serve(kRequests);
                                            EXPECT_GT(p.served(), kRequests / 2);
                                          }) /
                        kRequests;
               });
}

TEST(Cost, AWholeListCostsInProportionToItsEndpoints) {
  constexpr int kLists = 4;
  expectFlat("an endpoint of a whole list", [](int endpoints) {
    return leastMicroseconds([&] { return std::make_unique<Proxy>(endpoints, false); },
                             [](Proxy& p) {
                               for (int k = 0; k < kLists; ++k) p.listWhole();
                             }) /
           (kLists * endpoints);
  });
}

TEST(Cost, OneChangeOfTheListCostsTheSameHoweverManyEndpointsAreListed) {
  constexpr int kChanges = 120;
  expectFlat("a change of one endpoint", [](int endpoints) {
    return leastMicroseconds([&] { return std::make_unique<Proxy>(endpoints, false); },
                             [](Proxy& p) { p.listOneChangeAtATime(kChanges); }) /
           kChanges;
  });
}

TEST(Cost, TheModuleHoldsTheSameBytesForEachEndpoint) {
  double first = 0;
  for (const int endpoints : kEndpoints) {
    const double before = allocatedBytes();
    const Proxy p(endpoints, false);
    const double each = (allocatedBytes() - before) / endpoints;
    std::printf("cost: the module, %d endpoints: %.0f bytes each\n", endpoints, each);
    if (first == 0) first = each;
    EXPECT_GT(each, 0);
    EXPECT_LE(each, 1.5 * first);
    EXPECT_LE(each, 4096) << "the page grants 4 MB for a thousand servers, to the whole proxy";
  }
}

}  // namespace
}  // namespace sablespur::balancer::test

namespace sablespur {
namespace {

using balancer::test::allocatedBytes;
using balancer::test::expectFlat;
using balancer::test::kEndpoints;
using balancer::test::leastMicroseconds;

std::string wholeList(int endpoints) {
  std::string text = "{\"generation\": 7, \"reset\": true, \"instances\": [";
  for (int k = 0; k < endpoints; ++k) {
    const std::string n = std::to_string(k);
    text += std::string(k > 0 ? "," : "") + "\n  {\"instanceId\": \"data-server-" + n +
            "\", \"hostPort\": \"10.1." + std::to_string(k / 250) + "." + std::to_string(k % 250 + 1) +
            ":5432\", \"zone\": \"north\", \"machineType\": \"m5\", \"cell\": " + std::to_string(k / 6) +
            ", \"lifecycle\": \"active\", \"weight\": 1.0, \"startedAtMs\": 1700000000000}";
  }
  return text + "]}\n";
}

EndpointList readInPieces(const std::string& text) {
  constexpr std::size_t kPiece = 4096;
  EndpointListStream stream;
  std::vector<std::string> whole;
  for (std::size_t at = 0; at < text.size(); at += kPiece)
    EXPECT_TRUE(stream.feed(std::string_view(text).substr(at, kPiece), whole));
  EXPECT_EQ(whole.size(), 1u);
  return parseEndpointList(whole.at(0));
}

TEST(Cost, ReadingAListCostsInProportionToItsEndpoints) {
  expectFlat("an endpoint of a list that is read", [](int endpoints) {
    return leastMicroseconds([&] { return std::make_unique<std::string>(wholeList(endpoints)); },
                             [&](const std::string& text) {
                               EXPECT_EQ(readInPieces(text).instances.size(),
                                         static_cast<std::size_t>(endpoints));
                             }) /
           endpoints;
  });
}

TEST(Cost, AListThatWasReadHoldsTheSameBytesForEachEndpoint) {
  double first = 0;
  for (const int endpoints : kEndpoints) {
    const std::string text = wholeList(endpoints);
    const double before = allocatedBytes();
    const EndpointList list = readInPieces(text);
    const double each = (allocatedBytes() - before) / endpoints;
    std::printf("cost: a list that was read, %d endpoints: %.0f bytes each\n", endpoints, each);
    if (first == 0) first = each;
    EXPECT_GT(each, 0);
    EXPECT_LE(each, 1.5 * first);
  }
}

// The engine between a way to the members that does nothing and no source of lists.
struct NoMembers : Backend {
  int forgotten = 0;
  void endpointListed(EndpointId, const Address&, bool, Time) override {}
  void send(RequestId, int, EndpointId, Time, std::shared_ptr<const RequestMessage>) override {}
  void continueAttempt(RequestId, int, bool) override {}
  void cancel(RequestId, int) override {}
  void startHealthCheck(EndpointId) override {}
  void removeEndpoint(EndpointId) override { ++forgotten; }
};
struct NoLists : DiscoverySource {
  void watch(std::uint64_t) override {}
};
struct ListedEngine {
  explicit ListedEngine(const EndpointList& list) {
    engine.start(members, lists);
    engine.runTurn();
    take(list);
  }
  void take(const EndpointList& list) {
    engine.endpointsListed(list);
    engine.runTurn();
  }
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  Engine engine{base.get(), config};
  NoMembers members;
  NoLists lists;
};

TEST(Cost, TheEngineTakesAWholeListInProportionToItsEndpoints) {
  expectFlat("an endpoint of a whole list at the engine", [](int endpoints) {
    const EndpointList list = parseEndpointList(wholeList(endpoints));
    return leastMicroseconds([&] { return std::make_unique<ListedEngine>(list); },
                             [&](ListedEngine& e) { e.take(list); }) /
           endpoints;
  });
}

TEST(Cost, TheEngineForgetsEndpointsInProportionToTheirNumber) {
  expectFlat("an endpoint that is forgotten", [](int endpoints) {
    const EndpointList list = parseEndpointList(wholeList(endpoints));
    return leastMicroseconds(
               [&] {
                 auto e = std::make_unique<ListedEngine>(list);
                 EndpointList none;
                 none.generation = list.generation + 1;
                 none.reset = true;
                 e->take(none);
                 return e;
               },
               [&](ListedEngine& e) {
                 e.engine.removeExpired(e.engine.now() + std::chrono::seconds(20));
                 e.engine.runTurn();
                 EXPECT_GE(e.members.forgotten, endpoints);
               }) /
           endpoints;
  });
}

}  // namespace
}  // namespace sablespur
