// Tests of RegistryWatch within one process: exhaustion of file descriptors, which scenarios of the
// whole program cannot force.
#include "discovery/registry/watch.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <thread>
#include <utility>

namespace sablespur {
namespace {

using namespace std::chrono_literals;

struct RecordingConsumer : EndpointListConsumer {
  std::vector<EndpointList> lists;
  int failures = 0;
  std::optional<Clock::Time> usableUntil;
  void endpointsListed(EndpointList l) override { lists.push_back(std::move(l)); }
  void listLimited(std::optional<Clock::Time> until, ListLimit) override { usableUntil = until; }
  void discoveryFailed(const std::string&) override { ++failures; }
  std::uint64_t generation() const override { return 7; }
};

constexpr std::uint64_t kSeed = 1;

struct WatchTest : testing::Test {
  EventBase base{event_base_new()};
  Clock clock;
  RecordingConsumer consumer;
  int listener = -1;
  std::unique_ptr<RegistryWatch> watch;
  rlimit originalLimit{};
  std::vector<int> descriptors;

  void SetUp() override {
    getrlimit(RLIMIT_NOFILE, &originalLimit);
    listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const Address any = *Address::parse("127.0.0.1:0");
    ASSERT_EQ(bind(listener, any.data(), any.size()), 0);
    ASSERT_EQ(listen(listener, 16), 0);
    sockaddr_storage a{};
    socklen_t n = sizeof a;
    getsockname(listener, reinterpret_cast<sockaddr*>(&a), &n);
    Config config;
    config.discovery = Address::fromSocket(reinterpret_cast<const sockaddr*>(&a));
    config.seed = kSeed;
    watch = std::make_unique<RegistryWatch>(base.get(), clock, consumer, config);
  }
  void TearDown() override {
    closeDescriptors();
    setrlimit(RLIMIT_NOFILE, &originalLimit);
    if (listener >= 0) close(listener);
  }
  void closeDescriptors() {
    for (const int fd : descriptors) close(fd);
    descriptors.clear();
  }
  void exhaustDescriptors() {
    const rlimit reducedLimit{std::min<rlim_t>(originalLimit.rlim_cur, 512), originalLimit.rlim_max};
    setrlimit(RLIMIT_NOFILE, &reducedLimit);
    for (int fd; (fd = dup(listener)) >= 0;) descriptors.push_back(fd);
    ASSERT_EQ(errno, EMFILE);
  }
  void runLoopOnce() { event_base_loop(base.get(), EVLOOP_NONBLOCK | EVLOOP_ONCE); }
  template <typename Condition>
  bool until(Condition c) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    bool is = false;
    while (!(is = c()) && std::chrono::steady_clock::now() < end) {
      runLoopOnce();
      std::this_thread::sleep_for(1ms);
    }
    return is;
  }
};

// Guards against a failed call for lack of a descriptor: clients use up all descriptors while
// discovery is down, even in the event loop pass in which the watch ends. The next call must
// still be made.
TEST_F(WatchTest, DescriptorIsReservedBetweenCalls) {
  watch->watch(7);
  const int first = accept(listener, nullptr, nullptr);
  ASSERT_GE(first, 0);
  exhaustDescriptors();
  close(first);
  exhaustDescriptors();
  ASSERT_TRUE(until([&] { return consumer.failures == 1; }));
  exhaustDescriptors();  // takes any descriptor that the end of the watch has freed
  for (int k = 0; k < 3; ++k) runLoopOnce();
  exhaustDescriptors();
  ASSERT_TRUE(until([&] { return watch->view().calls == 2; }));
  for (int k = 0; k < 3; ++k) runLoopOnce();
  EXPECT_EQ(consumer.failures, 1) << "no descriptor for a socket";
  closeDescriptors();
  const int second = accept(listener, nullptr, nullptr);
  ASSERT_GE(second, 0);
  char bytes[64]{};
  ASSERT_TRUE(until([&] { return recv(second, bytes, sizeof bytes - 1, MSG_DONTWAIT | MSG_PEEK) > 0; }));
  EXPECT_EQ(std::string(bytes).rfind("GET /registry/instances?watch=1&after=7", 0), 0u) << bytes;
  // The response of the second call is read, though it gives no content length.
  const std::string answer =
      "HTTP/1.1 200 OK\r\n\r\n{\"generation\":8,\n\"reset\":true,\n\"instances\":[]\n}";
  ASSERT_EQ(send(second, answer.data(), answer.size(), MSG_NOSIGNAL), static_cast<ssize_t>(answer.size()));
  ASSERT_TRUE(until([&] { return consumer.lists.size() == 1; }));
  EXPECT_EQ(consumer.lists[0].generation, 8u);
  // A connection reset within the next list does not complete that list.
  ASSERT_EQ(send(second, "{\"generation\":9", 15, MSG_NOSIGNAL), 15);
  const linger hard{1, 0};
  setsockopt(second, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close(second);
  ASSERT_TRUE(until([&] { return consumer.failures == 2; }));
  EXPECT_EQ(consumer.lists.size(), 1u);
}

// The first call falls silent and no descriptor is left: the second call takes over that of the
// first.
TEST_F(WatchTest, SecondCallReusesTheDescriptorOfASilentOne) {
  watch->watch(7);
  const int first = accept(listener, nullptr, nullptr);
  ASSERT_GE(first, 0);
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\n{\"generation\":8,\"reset\":true,\"instances\":[]}\n";
  ASSERT_EQ(send(first, answer.data(), answer.size(), MSG_NOSIGNAL), static_cast<ssize_t>(answer.size()));
  ASSERT_TRUE(until([&] { return consumer.lists.size() == 1; }));
  exhaustDescriptors();
  ASSERT_TRUE(until([&] { return watch->view().calls == 2; }));
  ASSERT_EQ(watch->view().failures, 0u) << "no descriptor for a socket";
  ASSERT_EQ(watch->view().openCalls, 1u) << "the silent call was closed for its descriptor";
  closeDescriptors();
  const int second = accept(listener, nullptr, nullptr);
  EXPECT_GE(second, 0);
  close(first);
  close(second);
}

// Guards against a list that is used without end while the registry accepts calls and lets them wait.
TEST_F(WatchTest, ACallThatWaitsShowsThatTheRegistryCanBeReached) {
  watch->watch(7);
  const int call = accept(listener, nullptr, nullptr);
  const Clock::Time accepted = clock.now();
  EXPECT_FALSE(consumer.usableUntil);
  ASSERT_TRUE(until([&] { return consumer.usableUntil.has_value(); }));
  EXPECT_LE(*consumer.usableUntil, accepted + ListValidity::kToldAfterChange);
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\n{\"generation\":8,\"reset\":true,\"instances\":[]}\n";
  ASSERT_EQ(send(call, answer.data(), answer.size(), MSG_NOSIGNAL), static_cast<ssize_t>(answer.size()));
  EXPECT_TRUE(until([&] { return !consumer.usableUntil; })) << "the list is confirmed";
  close(call);
}

// Guards against requests refused while discovery is down: it has nothing to tell then.
TEST_F(WatchTest, ARegistryThatIsDownLimitsNothing) {
  watch->watch(7);
  const int call = accept(listener, nullptr, nullptr);
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\n{\"generation\":8,\"reset\":true,\"instances\":[]}\n";
  ASSERT_EQ(send(call, answer.data(), answer.size(), MSG_NOSIGNAL), static_cast<ssize_t>(answer.size()));
  ASSERT_TRUE(until([&] { return consumer.lists.size() == 1; }));
  close(std::exchange(listener, -1));
  close(call);
  ASSERT_TRUE(until([&] { return consumer.failures >= 5; }));
  EXPECT_FALSE(consumer.usableUntil);
}

}  // namespace
}  // namespace sablespur
