// Scalability of the Balancer, the engine and the endpoint list parser: CPU time and memory at 120,
// 800 and 3,200 endpoints. Asserts growth, not absolute times; each figure is the minimum of
// several repeats, so that other load on the machine matters little.
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
// Declared here since some compilers do not ship the header.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
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
// Limit of the cost of a request, change or endpoint, relative to 120 endpoints.
constexpr double kMaxGrowth = 3;

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

// Returns the minimum CPU time of `work` over kRepeats runs, without `prepare`.
template <typename Prepare, typename Work>
double minMicroseconds(Prepare prepare, Work work) {
  double minimum = std::numeric_limits<double>::infinity();
  for (int k = 0; k < kRepeats; ++k) {
    auto subject = prepare();
    const double before = cpuMicroseconds();
    work(*subject);
    minimum = std::min(minimum, cpuMicroseconds() - before);
  }
  return minimum;
}

// Measures the cost of one unit of work at each number of endpoints; fails if the cost grows with
// them.
void expectConstantCost(const char* what, const std::function<double(int endpoints)>& microsecondsEach) {
  double first = 0;
  for (const int endpoints : kEndpoints) {
    const double each = microsecondsEach(endpoints);
    std::printf("cost: %s, %d endpoints: %.3f us each\n", what, endpoints, each);
    if (first == 0) first = each;
    EXPECT_LE(each, kMaxGrowth * first) << what << " at " << endpoints << " endpoints against 120";
  }
}

// A Balancer in front of many endpoints, each of which answers after 30 ms.
class SimulatedProxy : ActionSink {
 public:
  SimulatedProxy(int endpoints, bool halfWarmingUp) : endpoints_(endpoints) {
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
    ListedEndpoint m = BalancerFixture::entry(static_cast<EndpointId>(index + 1), state, started);
    m.group = static_cast<GroupId>(index / kGroupSize);
    return m;
  }
  // Runs one request every 50 ms, with all timers and health checks in between.
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
  void listAll() { balancer_->endpointsListed(now_, ListKind::Full, list_); }
  void listOneChangeAtATime(int changes) {
    for (int k = 0; k < changes; ++k)
      balancer_->endpointsListed(now_, ListKind::Delta, {entry(k, Lifecycle::Ready, now_)});
  }
  void removeExpired(int times) {
    for (int k = 0; k < times; ++k) balancer_->removeExpiredEndpoints(now_);
  }
  int served() const { return served_; }

 private:
  struct Event {
    Time due;
    std::uint64_t sequence;
    std::function<void()> act;
    bool operator<(const Event& o) const { return due != o.due ? due > o.due : sequence > o.sequence; }
  };
  void after(Time in, std::function<void()> act) { events_.push({now_ + in, ++sequence_, std::move(act)}); }
  void runUntil(Time end) {
    while (!events_.empty() && events_.top().due <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.due;
      event.act();
    }
    now_ = end;
  }
  void send(RequestId id, EndpointId endpoint, Time) override {
    after(milliseconds(30), [this, id, endpoint, attempt = attempts_[id]++] {
      AttemptOutcome o;
      o.request = id;
      o.attempt = attempt;
      o.endpoint = endpoint;
      const bool primary = (endpoint - 1) % kGroupSize == 0;
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
  void startHealthCheck(EndpointId endpoint) override {
    after(milliseconds(3), [this, endpoint] {
      HealthCheckResult p;
      p.endpoint = endpoint;
      p.ok = true;
      p.report = {static_cast<float>((now_ - settings_.positionEpoch).count()) / 1e6f,
                  (endpoint - 1) % kGroupSize == 0 ? 1.f : 0.f};
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
  std::uint64_t sequence_ = 0;
  RequestId lastId_ = 0;
  int served_ = 0;
};

TEST(Cost, ARequestCostsTheSameHoweverManyEndpointsAreListed) {
  constexpr int kRequests = 600;
  for (const bool halfWarmingUp : {false, true})
    expectConstantCost(
        halfWarmingUp ? "a request, half of the endpoints warming up" : "a request", [&](int endpoints) {
          return minMicroseconds([&] { return std::make_unique<SimulatedProxy>(endpoints, halfWarmingUp); },
                                 [&](SimulatedProxy& p) {
                                   p.serve(kRequests);
                                   EXPECT_GT(p.served(), kRequests / 2);
                                 }) /
                 kRequests;
        });
}

TEST(Cost, AWholeListCostsInProportionToItsEndpoints) {
  constexpr int kLists = 4;
  expectConstantCost("an endpoint of a full list", [](int endpoints) {
    return minMicroseconds([&] { return std::make_unique<SimulatedProxy>(endpoints, false); },
                           [](SimulatedProxy& p) {
                             for (int k = 0; k < kLists; ++k) p.listAll();
                           }) /
           (kLists * endpoints);
  });
}

TEST(Cost, OneChangeOfTheListCostsTheSameHoweverManyEndpointsAreListed) {
  constexpr int kChanges = 120;
  expectConstantCost("a change of one endpoint", [](int endpoints) {
    return minMicroseconds([&] { return std::make_unique<SimulatedProxy>(endpoints, false); },
                           [](SimulatedProxy& p) { p.listOneChangeAtATime(kChanges); }) /
           kChanges;
  });
}

TEST(Cost, TheBalancerUsesTheSameMemoryForEachEndpoint) {
  double first = 0;
  for (const int endpoints : kEndpoints) {
    const double before = allocatedBytes();
    const SimulatedProxy p(endpoints, false);
    const double each = (allocatedBytes() - before) / endpoints;
    std::printf("cost: the balancer, %d endpoints: %.0f bytes each\n", endpoints, each);
    if (first == 0) first = each;
    EXPECT_GT(each, 0);
    EXPECT_LE(each, 1.5 * first);
    EXPECT_LE(each, 4096) << "the documented limit is 4 MB per thousand servers for the whole proxy";
  }
}

}  // namespace
}  // namespace sablespur::balancer::test

namespace sablespur {
namespace {

using balancer::test::allocatedBytes;
using balancer::test::expectConstantCost;
using balancer::test::kEndpoints;
using balancer::test::minMicroseconds;

std::string fullList(int endpoints) {
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
  std::vector<std::string> complete;
  for (std::size_t at = 0; at < text.size(); at += kPiece)
    EXPECT_TRUE(stream.feed(std::string_view(text).substr(at, kPiece), complete));
  EXPECT_EQ(complete.size(), 1u);
  return parseEndpointList(complete.at(0));
}

TEST(Cost, ParsingAListCostsInProportionToItsEndpoints) {
  expectConstantCost("an endpoint of a parsed list", [](int endpoints) {
    return minMicroseconds([&] { return std::make_unique<std::string>(fullList(endpoints)); },
                           [&](const std::string& text) {
                             EXPECT_EQ(readInPieces(text).instances.size(),
                                       static_cast<std::size_t>(endpoints));
                           }) /
           endpoints;
  });
}

TEST(Cost, AParsedListUsesTheSameMemoryForEachEndpoint) {
  double first = 0;
  for (const int endpoints : kEndpoints) {
    const std::string text = fullList(endpoints);
    const double before = allocatedBytes();
    const EndpointList list = readInPieces(text);
    const double each = (allocatedBytes() - before) / endpoints;
    std::printf("cost: a parsed list, %d endpoints: %.0f bytes each\n", endpoints, each);
    if (first == 0) first = each;
    EXPECT_GT(each, 0);
    EXPECT_LE(each, 1.5 * first);
  }
}

// An engine with a backend that does nothing and a discovery source without lists.
struct NullBackend : Backend {
  int removed = 0;
  void endpointListed(EndpointId, const Address&, bool, Time) override {}
  void send(RequestId, int, EndpointId, Time, std::shared_ptr<const RequestMessage>) override {}
  void continueAttempt(RequestId, int, bool) override {}
  void cancel(RequestId, int) override {}
  void startHealthCheck(EndpointId) override {}
  void removeEndpoint(EndpointId) override { ++removed; }
};
struct NullDiscovery : DiscoverySource {
  void watch(std::uint64_t) override {}
};
struct ListedEngine {
  explicit ListedEngine(const EndpointList& list) {
    engine.start(backend, discovery);
    engine.runTurn();
    receive(list);
  }
  void receive(const EndpointList& list) {
    engine.endpointsListed(list);
    engine.runTurn();
  }
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  Engine engine{base.get(), config};
  NullBackend backend;
  NullDiscovery discovery;
};

TEST(Cost, AWholeListCostsTheEngineInProportionToItsEndpoints) {
  expectConstantCost("an endpoint of a full list in the engine", [](int endpoints) {
    const EndpointList list = parseEndpointList(fullList(endpoints));
    return minMicroseconds([&] { return std::make_unique<ListedEngine>(list); },
                           [&](ListedEngine& e) { e.receive(list); }) /
           endpoints;
  });
}

TEST(Cost, RemovingEndpointsCostsTheEngineInProportionToTheirNumber) {
  expectConstantCost("an endpoint that is removed", [](int endpoints) {
    const EndpointList list = parseEndpointList(fullList(endpoints));
    return minMicroseconds(
               [&] {
                 auto e = std::make_unique<ListedEngine>(list);
                 EndpointList none;
                 none.generation = list.generation + 1;
                 none.reset = true;
                 e->receive(none);
                 return e;
               },
               [&](ListedEngine& e) {
                 e.engine.removeExpired(e.engine.now() + std::chrono::seconds(20));
                 e.engine.runTurn();
                 EXPECT_GE(e.backend.removed, endpoints);
               }) /
           endpoints;
  });
}

}  // namespace
}  // namespace sablespur
