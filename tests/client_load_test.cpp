// Clients that send more than their share, beside others: one party's work must not hold back the
// requests of the others, nor the end of the process.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "engine/engine.hpp"
#include "engine_fakes.hpp"
#include "frontend/postgres/clients.hpp"
#include "frontend/postgres/input_scheduler.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/startup.hpp"
#include "scenario.hpp"

namespace sablespur {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kEmptyQueryResponse("I\0\0\0\4", 5);

int connectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const Address to = *Address::parse("127.0.0.1:" + std::to_string(port));
  EXPECT_EQ(connect(fd, to.data(), to.size()), 0);
  return fd;
}
std::string repeated(const std::string& text, int times) {
  std::string all;
  for (int k = 0; k < times; ++k) all += text;
  return all;
}
std::size_t countOf(std::string_view part, const std::string& in) {
  std::size_t count = 0;
  for (std::size_t at = in.find(part); at != std::string::npos; at = in.find(part, at + part.size())) ++count;
  return count;
}

// The clients of an engine whose backend keeps all attempts.
struct ClientLoad : testing::Test {
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  Engine engine{base.get(), config};
  WorkerPool workers{base.get(), 1};
  ResourceBudget budget{config};
  ReservedDescriptor reserved;
  test::RecordingBackend backend;
  test::RecordingDiscovery discovery;
  Clients clients{base.get(), engine, engine, workers, budget, reserved, nullptr, config};

  void SetUp() override {
    engine.start(backend, discovery);
    engine.runTurn();
    const double position = static_cast<double>(engine.now().count()) / 1e6;
    for (const EndpointId id : {1u, 2u})
      engine.healthCheckEnded(id, true, {position, id == 1 ? 1.0 : 0.0, 0.0});
    engine.runTurn();
  }
  void runPass() {
    event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    engine.runTurn();
  }
  struct Client {
    int fd = -1;
    std::string received;
    void send(const std::string& bytes) const {
      EXPECT_EQ(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    void receive() {
      char bytes[1 << 16];
      for (ssize_t n = 0; (n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
        received.append(bytes, static_cast<std::size_t>(n));
    }
  };
  std::vector<Client> connectClients(int count) {
    std::vector<Client> all(static_cast<std::size_t>(count));
    for (Client& client : all) {
      client.fd = connectTo(clients.port());
      client.send(postgres::startup("api", "ledger"));
    }
    const auto end = std::chrono::steady_clock::now() + 10s;
    for (Client& client : all) {
      while (countOf("Z", client.received) == 0 && std::chrono::steady_clock::now() < end) {
        runPass();
        client.receive();
      }
      client.received.clear();
    }
    return all;
  }
  // Sends `flood` from each of `bad` and a read from `usual`. Returns how many bytes the bad ones
  // have been answered when the read reaches a data server, and at the end.
  struct Answered {
    std::size_t beforeRead = 0;
    std::size_t atEnd = 0;
  };
  Answered answeredToFlood(const std::string& flood) {
    auto bad = connectClients(kFloodingClients);
    auto usual = connectClients(1);
    for (const Client& client : bad) client.send(flood);
    usual[0].send(postgres::query("SELECT 1 /* id=1,c=read,d=7000,cluster=3 */"));
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (backend.sent.empty() && std::chrono::steady_clock::now() < end) runPass();
    EXPECT_EQ(backend.sent.size(), 1u);
    Answered answered;
    answered.beforeRead = received(bad);
    std::size_t before = 0;
    do {
      before = received(bad);
      for (int k = 0; k < 100; ++k) runPass();
      answered.atEnd = received(bad);
    } while (answered.atEnd > before);
    for (const Client& client : bad) close(client.fd);
    close(usual[0].fd);
    return answered;
  }
  static std::size_t received(std::vector<Client>& all) {
    std::size_t sum = 0;
    for (Client& client : all) {
      client.receive();
      sum += client.received.size();
    }
    return sum;
  }
  // More than the 32 deferred callbacks that libevent runs in a row.
  static constexpr int kFloodingClients = 64;
};

// 112 clients sent 300 empty queries at once, again and again, and no other client got an answer.
TEST_F(ClientLoad, EmptyQueriesOfManyClientsHoldBackNoOtherRequest) {
  const int perClient = 8000;
  const Answered answered = answeredToFlood(repeated(postgres::query(""), perClient));
  const std::size_t answerLength = kEmptyQueryResponse.size() + 6;  // and ReadyForQuery
  EXPECT_EQ(answered.atEnd, answerLength * perClient * kFloodingClients);
  EXPECT_LT(answered.beforeRead, answered.atEnd / 2) << "the read waited for the flood";
}
TEST_F(ClientLoad, SettingsOfManyClientsHoldBackNoOtherRequest) {
  const Answered answered =
      answeredToFlood(repeated(postgres::query("SET standard_conforming_strings = on"), 1200));
  EXPECT_LT(answered.beforeRead, answered.atEnd / 2) << "the read waited for the flood";
}

struct CountingSource : InputSource {
  InputScheduler* scheduler = nullptr;
  int left = 0;       // slices until its input is used up
  int processed = 0;  // slices
  Clock::Time slice{0};
  void processInput() override {
    ++processed;
    const auto end = std::chrono::steady_clock::now() + slice;
    while (std::chrono::steady_clock::now() < end) {
    }
    if (--left > 0) scheduler->schedule(*this);
  }
};
struct InputSchedulerTest : testing::Test {
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  Engine engine{base.get(), config};
  test::RecordingBackend backend;
  test::RecordingDiscovery discovery;
  InputScheduler scheduler{base.get(), engine};
  std::vector<CountingSource> sources;
  void SetUp() override { engine.start(backend, discovery); }
  void add(int count, int slices, Clock::Time slice = Clock::Time(0)) {
    sources.resize(static_cast<std::size_t>(count));
    for (CountingSource& source : sources) {
      source.scheduler = &scheduler;
      source.left = slices;
      source.slice = slice;
      scheduler.schedule(source);
    }
  }
  int pass() {
    int before = 0;
    for (const CountingSource& source : sources) before += source.processed;
    event_base_loop(base.get(), EVLOOP_ONCE);
    int after = 0;
    for (const CountingSource& source : sources) after += source.processed;
    engine.runTurn();
    return after - before;
  }
};
TEST_F(InputSchedulerTest, EachSourceGetsOneSliceInAPass) {
  add(100, 3);
  for (int k = 0; k < 3; ++k) EXPECT_EQ(pass(), 100);
  for (const CountingSource& source : sources) EXPECT_FALSE(source.isScheduled());
}
TEST_F(InputSchedulerTest, APassEndsWhenItsTimeIsUsedUpAndTheRestGoesFirstInTheNext) {
  add(3, 1, InputScheduler::kTimePerPass);
  EXPECT_EQ(pass(), 1);
  EXPECT_EQ(sources[0].processed, 1);
  CountingSource late;
  late.scheduler = &scheduler;
  scheduler.schedule(late);
  EXPECT_EQ(pass(), 1);
  EXPECT_EQ(sources[1].processed, 1);
  EXPECT_EQ(late.processed, 0);
  scheduler.remove(late);
  EXPECT_EQ(pass(), 1);
  EXPECT_EQ(sources[2].processed, 1);
}
// What one slice brings about, such as the rejection of a request, may at once schedule the next.
TEST_F(InputSchedulerTest, SourcesThatWakeEachOtherWaitForTheTurn) {
  struct Waker : InputSource {
    Event again;
    int processed = 0;
    void processInput() override {
      ++processed;
      event_active(again.get(), EV_TIMEOUT, 0);
    }
  } waker;
  struct Both {
    InputScheduler& scheduler;
    Waker& waker;
  } both{scheduler, waker};
  const auto wake = [](evutil_socket_t, short, void* given) {
    const auto* both = static_cast<Both*>(given);
    if (both->waker.processed < 100) both->scheduler.schedule(both->waker);
  };
  waker.again.reset(event_new(base.get(), -1, 0, wake, &both));
  scheduler.schedule(waker);
  for (int turns = 1; turns <= 3; ++turns) {
    pass();
    EXPECT_EQ(waker.processed, turns);
  }
  scheduler.remove(waker);
}
// A client that had begun a batch was evicted for one whose connection came right behind its message.
TEST_F(InputSchedulerTest, ASourceIsProcessedAtOnceWhileNobodyWaitsAndThereIsTime) {
  std::vector<CountingSource> three(3);
  for (CountingSource& source : three) source.scheduler = &scheduler;
  three[0].slice = InputScheduler::kTimePerPass;
  scheduler.processOrSchedule(three[0]);
  EXPECT_EQ(three[0].processed, 1);
  scheduler.processOrSchedule(three[1]);
  EXPECT_EQ(three[1].processed, 0) << "the time is used up";
  engine.runTurn();
  scheduler.processOrSchedule(three[2]);
  EXPECT_EQ(three[2].processed, 0) << "another one waits";
  pass();
  EXPECT_EQ(three[1].processed + three[2].processed, 2);
}
TEST_F(InputSchedulerTest, ARemovedSourceIsNotCalled) {
  add(2, 1);
  scheduler.remove(sources[0]);
  EXPECT_EQ(pass(), 1);
  EXPECT_EQ(sources[0].processed, 0);
}

// Sends empty queries on many connections, hundreds at once and again as soon as they are answered,
// until the proxy ends the connections.
class Flood {
 public:
  Flood(int port, int connections) {
    for (int k = 0; k < kThreads; ++k)
      threads_.emplace_back([this, port, connections] { run(port, connections / kThreads); });
  }
  ~Flood() {
    stopped_ = true;
    for (std::thread& thread : threads_) thread.join();
  }

 private:
  static constexpr int kThreads = 4;
  static constexpr int kQueriesAtOnce = 300;
  static constexpr std::size_t kAnswerBytes = 11;  // EmptyQueryResponse and ReadyForQuery
  struct Connection {
    std::size_t awaited = 1;  // bytes; at first any part of the answer to the startup message
    std::size_t received = 0;
  };
  void run(int port, int count) {
    const std::string startup = postgres::startup("api", "ledger");
    const std::string flood = repeated(postgres::query(""), kQueriesAtOnce);
    std::vector<pollfd> sockets;
    std::vector<Connection> connections(static_cast<std::size_t>(count));
    for (int k = 0; k < count; ++k) {
      sockets.push_back({connectTo(port), POLLIN, 0});
      send(sockets.back().fd, startup.data(), startup.size(), MSG_NOSIGNAL);
    }
    while (!stopped_) {
      poll(sockets.data(), sockets.size(), 100);
      for (std::size_t k = 0; k < sockets.size(); ++k)
        if (sockets[k].revents != 0) receive(sockets[k], connections[k], flood);
    }
    for (const pollfd& socket : sockets) close(socket.fd);
  }
  static void receive(pollfd& socket, Connection& connection, const std::string& flood) {
    char bytes[1 << 14];
    const ssize_t got = recv(socket.fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got <= 0) {
      socket.events = 0;
      if (got == 0) shutdown(socket.fd, SHUT_WR);
      return;
    }
    connection.received += static_cast<std::size_t>(got);
    if (connection.received < connection.awaited) return;
    connection = {kQueriesAtOnce * kAnswerBytes, 0};
    send(socket.fd, flood.data(), flood.size(), MSG_NOSIGNAL);
  }
  std::atomic<bool> stopped_{false};
  std::vector<std::thread> threads_;
};
// The end of the process must not depend on clients that pause.
TEST(ClientLoadOfAProcess, SigtermEndsTheProcessInTime) {
  test::Scenario t;
  t.run("s2 serves v");
  const Flood flood(t.port(), 112);
  t.serveFor(500ms);
  const auto began = std::chrono::steady_clock::now();
  t.run("proxy send TERM\nproxy expect exit 0");
  // The longest deadline that counts, the time until SIGKILL and that for reading answers.
  EXPECT_LT(std::chrono::steady_clock::now() - began, 3000ms + 700ms + 1000ms);
}

}  // namespace
}  // namespace sablespur
