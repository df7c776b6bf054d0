// The registry's watch in one process: what the scenarios of the whole program cannot force.
#include "discovery/registry/watch.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <thread>

namespace sablespur {
namespace {

using namespace std::chrono_literals;

struct Taken : EndpointListConsumer {
  std::vector<EndpointList> lists;
  int failures = 0;
  void endpointsListed(EndpointList l) override { lists.push_back(std::move(l)); }
  void discoveryFailed(const std::string&) override { ++failures; }
  std::uint64_t generation() const override { return 7; }
};

constexpr std::uint64_t kSeed = 1;

struct WatchTest : testing::Test {
  EventBase base{event_base_new()};
  Clock clock;
  Taken taken;
  int listener = -1;
  std::unique_ptr<RegistryWatch> watch;
  rlimit before{};
  std::vector<int> fill;

  void SetUp() override {
    getrlimit(RLIMIT_NOFILE, &before);
    listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const Address any = *Address::parse("127.0.0.1:0");
    ASSERT_EQ(bind(listener, any.data(), any.size()), 0);
    ASSERT_EQ(listen(listener, 16), 0);
    sockaddr_storage a{};
    socklen_t n = sizeof a;
    getsockname(listener, reinterpret_cast<sockaddr*>(&a), &n);
    watch = std::make_unique<RegistryWatch>(
        base.get(), clock, taken, Address::fromSocket(reinterpret_cast<const sockaddr*>(&a)), kSeed);
  }
  void TearDown() override {
    empty();
    setrlimit(RLIMIT_NOFILE, &before);
    close(listener);
  }
  void empty() {
    for (const int fd : fill) close(fd);
    fill.clear();
  }
  void fillTable() {
    const rlimit less{std::min<rlim_t>(before.rlim_cur, 512), before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &less);
    for (int fd; (fd = dup(listener)) >= 0;) fill.push_back(fd);
    ASSERT_EQ(errno, EMFILE);
  }
  void pass() { event_base_loop(base.get(), EVLOOP_NONBLOCK | EVLOOP_ONCE); }
  template <typename Condition>
  bool until(Condition c) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    bool is = false;
    while (!(is = c()) && std::chrono::steady_clock::now() < end) {
      pass();
      std::this_thread::sleep_for(1ms);
    }
    return is;
  }
};

// Clients fill the table while discovery is down, also in the pass in which the watch ends: the next call
// goes out all the same.
TEST_F(WatchTest, ItsDescriptorIsKeptFromOneCallToTheNext) {
  watch->watch(7);
  const int first = accept(listener, nullptr, nullptr);
  ASSERT_GE(first, 0);
  fillTable();
  close(first);
  fillTable();
  ASSERT_TRUE(until([&] { return taken.failures == 1; }));
  fillTable();  // whatever the end of the watch has left
  for (int k = 0; k < 3; ++k) pass();
  fillTable();
  ASSERT_TRUE(until([&] { return watch->view().calls == 2; }));
  for (int k = 0; k < 3; ++k) pass();
  EXPECT_EQ(taken.failures, 1) << "no socket was to be had";
  empty();
  const int second = accept(listener, nullptr, nullptr);
  ASSERT_GE(second, 0);
  char bytes[64]{};
  ASSERT_TRUE(until([&] { return recv(second, bytes, sizeof bytes - 1, MSG_DONTWAIT | MSG_PEEK) > 0; }));
  EXPECT_EQ(std::string(bytes).rfind("GET /registry/instances?watch=1&after=7", 0), 0u) << bytes;
  // And it still reads what comes there.
  const std::string answer =
      "HTTP/1.1 200 OK\r\n\r\n{\"generation\":8,\n\"reset\":true,\n\"instances\":[]\n}";  // no length, no end
  ASSERT_EQ(send(second, answer.data(), answer.size(), MSG_NOSIGNAL), static_cast<ssize_t>(answer.size()));
  ASSERT_TRUE(until([&] { return taken.lists.size() == 1; }));
  EXPECT_EQ(taken.lists[0].generation, 8u);
  // A reset amid the next list is no end of it.
  ASSERT_EQ(send(second, "{\"generation\":9", 15, MSG_NOSIGNAL), 15);
  const linger hard{1, 0};
  setsockopt(second, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close(second);
  ASSERT_TRUE(until([&] { return taken.failures == 2; }));
  EXPECT_EQ(taken.lists.size(), 1u);
}

// The first call is silent and no descriptor is left: a further call takes the one of the first.
TEST_F(WatchTest, AFurtherCallFindsADescriptorInAFullTable) {
  watch->watch(7);
  const int first = accept(listener, nullptr, nullptr);
  ASSERT_GE(first, 0);
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\n{\"generation\":8,\"reset\":true,\"instances\":[]}\n";
  ASSERT_EQ(send(first, answer.data(), answer.size(), MSG_NOSIGNAL), static_cast<ssize_t>(answer.size()));
  ASSERT_TRUE(until([&] { return taken.lists.size() == 1; }));
  fillTable();
  ASSERT_TRUE(until([&] { return watch->view().calls == 2; }));
  ASSERT_EQ(watch->view().failures, 0u) << "no socket was to be had";
  ASSERT_EQ(watch->view().openCalls, 1u) << "the silent one made room";
  empty();
  const int second = accept(listener, nullptr, nullptr);
  EXPECT_GE(second, 0);
  close(first);
  close(second);
}

}  // namespace
}  // namespace sablespur
