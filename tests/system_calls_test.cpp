// Classification and handling of failed system calls. Injects the errors that Linux documents into
// real loopback connections. Only failures of the endpoint may be counted against it.
#include "engine/system_calls.hpp"

#include <dlfcn.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <functional>
#include <list>
#include <set>

#include "admin/listener.hpp"
#include "backend/postgres/backend_pool.hpp"
#include "backend/postgres/query.hpp"
#include "discovery/dnssd/resolver.hpp"
#include "discovery/registry/watch.hpp"
#include "engine/acceptor.hpp"
#include "protocol/postgres/messages.hpp"
#include "scenario.hpp"
#include "translation/settings.hpp"

namespace sablespur::test {
namespace {

using namespace std::chrono_literals;

// Faults injected into the C library's calls on the descriptors that the proxy opened. Calls on
// other descriptors are passed through.
struct CallFaults {
  std::set<int> descriptors;
  std::function<int(int fd)> onRead, onWrite;           // return an errno, or 0 to make the call
  std::function<void(const std::string&)> beforeWrite;  // called with the bytes before each write
  int connectSoError = 0;                               // replaces SO_ERROR; 0: not replaced
  std::size_t maxTransfer = 0;                          // bytes per read or write; 0: no limit
  int connectError = 0;                                 // errno of connect(2) itself; 0: none
  int connects = 0;
  int datagrams = 0, datagramErrors = 0;  // sent; number of next sends to fail (ENOBUFS)
};
CallFaults* activeFaults = nullptr;

CallFaults* faultsOf(int fd) {
  return activeFaults && activeFaults->descriptors.count(fd) > 0 ? activeFaults : nullptr;
}
template <typename Function>
Function* libraryFunction(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}
std::string bytesOf(const iovec* parts, int count) {
  std::string all;
  for (int k = 0; k < count; ++k) all.append(static_cast<const char*>(parts[k].iov_base), parts[k].iov_len);
  return all;
}
// Returns the first non-empty part, truncated to `maxTransfer` bytes.
iovec firstPart(const iovec* parts, int count, std::size_t maxTransfer) {
  for (int k = 0; k < count; ++k)
    if (parts[k].iov_len > 0) return {parts[k].iov_base, std::min(parts[k].iov_len, maxTransfer)};
  return {nullptr, 0};
}

}  // namespace
}  // namespace sablespur::test

// These definitions take precedence over the C library's in this program, also for libevent's
// calls.
extern "C" ssize_t readv(int fd, const iovec* parts, int count) {
  using namespace sablespur::test;
  static auto* const real = libraryFunction<ssize_t(int, const iovec*, int)>("readv");
  CallFaults* const faults = faultsOf(fd);
  if (!faults) return real(fd, parts, count);
  if (const int error = faults->onRead ? faults->onRead(fd) : 0) {
    errno = error;
    return -1;
  }
  if (faults->maxTransfer == 0) return real(fd, parts, count);
  const iovec part = firstPart(parts, count, faults->maxTransfer);
  return read(fd, part.iov_base, part.iov_len);
}
extern "C" ssize_t writev(int fd, const iovec* parts, int count) {
  using namespace sablespur::test;
  static auto* const real = libraryFunction<ssize_t(int, const iovec*, int)>("writev");
  CallFaults* const faults = faultsOf(fd);
  if (!faults) return real(fd, parts, count);
  if (const int error = faults->onWrite ? faults->onWrite(fd) : 0) {
    errno = error;
    return -1;
  }
  if (faults->beforeWrite) faults->beforeWrite(bytesOf(parts, count));
  if (faults->maxTransfer == 0) return real(fd, parts, count);
  const iovec part = firstPart(parts, count, faults->maxTransfer);
  return write(fd, part.iov_base, part.iov_len);
}
extern "C" ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  using namespace sablespur::test;
  static auto* const real = libraryFunction<ssize_t(int, const void*, size_t, int)>("send");
  int type = 0;
  socklen_t length = sizeof type;
  if (!activeFaults || getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0 || type != SOCK_DGRAM)
    return real(fd, bytes, size, flags);
  ++activeFaults->datagrams;
  if (activeFaults->datagramErrors == 0) return real(fd, bytes, size, flags);
  --activeFaults->datagramErrors;
  errno = ENOBUFS;
  return -1;
}
extern "C" int getsockopt(int fd, int level, int name, void* value, socklen_t* size) noexcept {
  using namespace sablespur::test;
  static auto* const real = libraryFunction<int(int, int, int, void*, socklen_t*)>("getsockopt");
  CallFaults* const faults = faultsOf(fd);
  const int result = real(fd, level, name, value, size);
  if (faults && level == SOL_SOCKET && name == SO_ERROR && faults->connectSoError != 0)
    *static_cast<int*>(value) = faults->connectSoError;
  return result;
}

namespace sablespur::test {
namespace {

// A data server that runs in the test's event loop.
class DataServer {
 public:
  explicit DataServer(event_base* base) : base_(base) {
    const Address any = *Address::parse("127.0.0.1:0");
    listener_.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<DataServer*>(self)->addConnection(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE, 16, any.data(), static_cast<int>(any.size())));
    sockaddr_storage at{};
    socklen_t size = sizeof at;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
    address = Address::fromSocket(reinterpret_cast<const sockaddr*>(&at));
  }
  void answerQueries() {
    answersQueries = true;
    for (const auto& c : connections_) processInput(*c);
  }
  void answerLogins() {
    answersLogins = true;
    for (const auto& c : connections_) processInput(*c);
  }
  // Returns bytes in the socket buffer of a connection that the event loop has not read yet.
  std::string unreadBytes() const {
    std::string all(1 << 16, '\0');
    for (const auto& c : connections_) {
      const ssize_t n =
          recv(bufferevent_getfd(c->stream.get()), all.data(), all.size(), MSG_PEEK | MSG_DONTWAIT);
      if (n > 0) return all.substr(0, static_cast<std::size_t>(n));
    }
    return {};
  }
  std::size_t loginCount() const {
    std::size_t n = 0;
    for (const auto& c : connections_) n += c->loggedIn;
    return n;
  }

  Address address;
  bool answersLogins = true, answersQueries = true;
  std::vector<std::string> statements;

 private:
  struct Connection {
    BufferEvent stream;
    bool loggedIn = false;
    std::size_t pendingAnswers = 0;
    DataServer* server = nullptr;
  };
  void addConnection(evutil_socket_t fd) {
    connections_.push_back(std::make_unique<Connection>());
    Connection& c = *connections_.back();
    c.server = this;
    c.stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        c.stream.get(),
        [](bufferevent*, void* of) {
          static_cast<Connection*>(of)->server->processInput(*static_cast<Connection*>(of));
        },
        nullptr, [](bufferevent*, short, void*) {}, &c);
    bufferevent_enable(c.stream.get(), EV_READ | EV_WRITE);
  }
  static std::string row(const std::string& text) {
    std::string cell("\0\1\0\0\0", 5);
    cell += static_cast<char>(text.size());
    return postgres::message('T', std::string("\0\1blob\0", 7) + std::string(18, '\0')) +
           postgres::message('D', cell + text);
  }
  void processInput(Connection& c) {
    evbuffer* const in = bufferevent_get_input(c.stream.get());
    evbuffer* const out = bufferevent_get_output(c.stream.get());
    for (;;) {
      char head[postgres::kHeaderSize];
      if (evbuffer_copyout(in, head, sizeof head) < static_cast<ev_ssize_t>(sizeof head)) break;
      const std::size_t whole = c.loggedIn ? 1 + postgres::readInt32(head + 1) : postgres::readInt32(head);
      if (evbuffer_get_length(in) < whole || (!c.loggedIn && !answersLogins)) break;
      std::string message(whole, '\0');
      evbuffer_remove(in, message.data(), whole);
      if (!c.loggedIn) {
        c.loggedIn = true;
        append(out, postgres::greeting());
      } else if (message == postgres::query("SHOW load")) {
        append(out, row("x0=1.0,x1=1,inflight=0") + postgres::message('C', std::string("SHOW\0", 5)) +
                        postgres::readyForQuery());
      } else {
        statements.push_back(
            message.substr(postgres::kHeaderSize, message.size() - postgres::kHeaderSize - 1));
        ++c.pendingAnswers;
      }
    }
    for (; answersQueries && c.pendingAnswers > 0; --c.pendingAnswers)
      append(out,
             row("value") + postgres::message('C', std::string("SELECT 1\0", 9)) + postgres::readyForQuery());
  }

  event_base* const base_;
  Listener listener_;
  std::list<std::unique_ptr<Connection>> connections_;
};

struct RecordingObserver : AttemptObserver {
  struct Ended {
    RequestId id;
    AttemptResult result;
  };
  std::vector<Ended> ended;
  int sends = 0;
  void attemptSent(RequestId, int, const std::string&) override { ++sends; }
  void attemptEnded(RequestId id, int, const AttemptEnd& e) override { ended.push_back({id, e.result}); }
  std::vector<AttemptResult> results() const {
    std::vector<AttemptResult> r;
    for (const Ended& e : ended) r.push_back(e.result);
    return r;
  }
};
// Returns a message whose statement ends with the remaining time. `backslashes`: backslashes in its
// literals are escapes.
RequestMessage messageOf(const std::string& beforeTimeLeft, bool backslashes) {
  translation::SessionSettings settings;
  settings.backslashes = backslashes;
  RequestMessage message{
      newBuffer(), newBuffer(), std::make_shared<const translation::SessionSettings>(settings), {}, {}};
  append(message.before.get(), beforeTimeLeft);
  append(message.after.get(), std::string_view(" */\0", 4));
  return message;
}
struct RecordingHandler : ResponseHandler {
  std::string outcome;
  void served(Answer a) override {
    outcome += "served ";
    outcome.append(reinterpret_cast<const char*>(evbuffer_pullup(a.messages.get(), -1)),
                   evbuffer_get_length(a.messages.get()));
  }
  void rejected(Time) override { outcome += "rejected"; }
  void failed() override { outcome += "failed"; }
};
struct NoDiscovery : DiscoverySource {
  void watch(std::uint64_t) override {}
};

// An engine with a backend pool and two data servers, with fault injection into the proxy's system
// calls.
struct ServerCallsTest : testing::Test {
  static constexpr EndpointId kFirst = 1, kSecond = 2;
  static constexpr int kRead = 0, kWrite = 1;  // classes
  const SystemCalls originalCalls = systemCalls();
  CallFaults faults;
  Time stalledFor{};        // added to the real time by the process's clock
  Time lastClockReading{};  // last reading of the process's monotonic clock
  EventBase base{event_base_new()};
  DataServer first{base.get()}, second{base.get()};
  Config config = parseConfig(configuration({}, 1, {first.address.port(), second.address.port()}));
  ResourceBudget budget{config};
  RecordingObserver observer;
  RecordingHandler handler;
  NoDiscovery discovery;
  std::unique_ptr<Engine> engine;
  std::unique_ptr<WorkerPool> workers;
  std::unique_ptr<BackendPool> backend;

  void SetUp() override {
    signal(SIGPIPE, SIG_IGN);
    activeFaults = &faults;
    systemCalls().socket = [](int family) {
      const int fd = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      activeFaults->descriptors.insert(fd);
      return fd;
    };
    systemCalls().connect = [](int fd, const sockaddr* to, socklen_t size) {
      ++activeFaults->connects;
      if (activeFaults->connectError == 0) return connect(fd, to, size);
      errno = activeFaults->connectError;
      return -1;
    };
    engine = std::make_unique<Engine>(base.get(), config, stallingClock());
    workers = std::make_unique<WorkerPool>(base.get(), 1);
    backend = std::make_unique<BackendPool>(base.get(), *engine, *workers, budget, config);
    engine->setAttemptObserver(&observer);
  }
  void TearDown() override {
    backend.reset();
    engine.reset();
    workers.reset();
    activeFaults = nullptr;
    systemCalls() = originalCalls;
  }
  ClockSource stallingClock() {
    const ClockSource real;
    ClockSource stalling;
    stalling.wall = [this, real] { return real.wall() + stalledFor; };
    stalling.steady = [this, real] { return lastClockReading = real.steady() + stalledFor; };
    return stalling;
  }
  void startEngine() {
    engine->start(*backend, discovery);
    engine->runTurn();
    for (const EndpointId endpoint : {kFirst, kSecond})
      engine->healthCheckEnded(
          endpoint, true,
          {static_cast<double>(engine->now().count()) / 1e6, endpoint == kFirst ? 1.0 : 0.0, 0.0});
    engine->runTurn();
  }
  RequestMessage statement() const {
    RequestMessage message{newBuffer(), newBuffer(), nullptr, {}, {}};
    append(message.before.get(), "SELECT 1 /* d=");
    append(message.after.get(), std::string_view(" */\0", 4));
    return message;
  }
  void sendRequest() { sendRequest(kRead, engine->now() + 9s); }
  void sendRequest(int classIndex, Time deadline) { sendRequest(classIndex, deadline, statement()); }
  void sendRequest(int classIndex, Time deadline, RequestMessage message) {
    balancer::Request request;
    request.classIndex = classIndex;
    request.group = 3;
    request.deadline = deadline;
    engine->request(handler, request, std::move(message));
    engine->runTurn();
  }
  void runLoop() {
    const timeval tick{0, 5000};
    event_base_loopexit(base.get(), &tick);
    event_base_loop(base.get(), EVLOOP_ONCE);
    engine->runTurn();
  }
  static long long timeLeftIn(const std::string& statement) {
    const std::size_t at = statement.find("d=");
    return at == std::string::npos ? -1 : std::atoll(statement.c_str() + at + 2);
  }
  bool runUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!done() && std::chrono::steady_clock::now() < end) runLoop();
    return done();
  }
};

// ---- the classification -----------------------------------------------------------------------------------
TEST(SocketFaults, AreClassifiedByErrorAndCall) {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    for (const SocketCall call : {SocketCall::Accept, SocketCall::Open, SocketCall::Connect,
                                  SocketCall::Connecting, SocketCall::Transfer})
      EXPECT_EQ(classify(call, error), SocketFault::OwnResource) << error;
  }
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, ENETDOWN, EACCES, EPERM, EAGAIN})
    EXPECT_EQ(classify(SocketCall::Connect, error), SocketFault::OwnResource) << error;
  for (const int error : {ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH})
    for (const SocketCall call : {SocketCall::Connect, SocketCall::Connecting, SocketCall::Transfer})
      EXPECT_EQ(classify(call, error), SocketFault::Peer) << error;
  EXPECT_EQ(classify(SocketCall::Connecting, ENETUNREACH), SocketFault::Peer)
      << "reported by a router through ICMP";
  EXPECT_EQ(classify(SocketCall::Connecting, EADDRNOTAVAIL), SocketFault::OwnResource);
  for (const int error :
       {EINTR, ECONNABORTED, EPROTO, ENETDOWN, ENETUNREACH, EHOSTUNREACH, EOPNOTSUPP, EPERM})
    EXPECT_EQ(classify(SocketCall::Accept, error), SocketFault::Transient) << error;
  for (const int error : {EBADF, ENOTSOCK, EINVAL})
    EXPECT_EQ(classify(SocketCall::Accept, error), SocketFault::BadDescriptor) << error;
  for (const int error : {EINPROGRESS, EINTR, EALREADY})
    EXPECT_EQ(classify(SocketCall::Connect, error), SocketFault::None) << error;
  EXPECT_EQ(classify(SocketCall::Accept, EAGAIN), SocketFault::None);
  EXPECT_EQ(classify(SocketCall::Transfer, EINTR), SocketFault::Transient);
}

// ---- accept(2) ------------------------------------------------------------------------------------------
struct AcceptTest : testing::Test {
  // errno of accept(2); number of calls that will fail; number of all calls.
  static inline int error = 0, failures = 0, calls = 0;
  static inline int lastSocket = -1;  // last socket opened, if the test records it
  const SystemCalls originalCalls = systemCalls();
  EventBase base{event_base_new()};
  Config config = parseConfig(configuration({}, 1, {11, 12}));
  ResourceBudget budget{config};
  ReservedDescriptor reservedDescriptor;
  const Clock clock;
  int acceptedCount = 0;

  void SetUp() override {
    error = failures = calls = 0;
    systemCalls().accept = [](int listener, sockaddr* from, socklen_t* size) {
      ++calls;
      if (failures == 0) return accept4(listener, from, size, SOCK_NONBLOCK | SOCK_CLOEXEC);
      --failures;
      errno = error;
      return -1;
    };
  }
  void TearDown() override { systemCalls() = originalCalls; }
  Acceptor::ConnectionHandler connectionHandler() {
    Acceptor::ConnectionHandler handler;
    handler.accepted = [this](evutil_socket_t fd, const sockaddr*) {
      ++acceptedCount;
      close(fd);
    };
    handler.hasRoom = [] { return true; };
    handler.onExhaustion = [] {};
    handler.reject = [](evutil_socket_t) {};
    return handler;
  }
  static int listeningPort(int fd) {
    sockaddr_storage at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return Address::fromSocket(reinterpret_cast<const sockaddr*>(&at)).port();
  }
  static int connectTo(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const Address to = *Address::parse("127.0.0.1:" + std::to_string(port));
    EXPECT_EQ(connect(fd, to.data(), to.size()), 0);
    return fd;
  }
};
// While accept(2) fails, the listener stays readable. Without a pause the event loop would spin and
// use a whole core.
TEST_F(AcceptTest, PausesAfterOneBurstOfPersistentErrors) {
  for (const int lasting : {EPERM, ENETDOWN, ECONNABORTED}) {
    Acceptor acceptor(base.get(), clock, *Address::parse("127.0.0.1:0"), budget, reservedDescriptor,
                      connectionHandler());
    const int fd = connectTo(acceptor.port());
    error = lasting;
    failures = 1 << 20;
    calls = 0;
    event_base_loop(base.get(), EVLOOP_ONCE);
    const int burst = calls;
    EXPECT_GT(burst, 0);
    EXPECT_GT(acceptor.backoff().count(), 0) << lasting;
    event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    EXPECT_EQ(calls, burst) << lasting << ": paused";
    failures = 0;
    acceptedCount = 0;
    event_base_loop(base.get(), EVLOOP_ONCE);
    while (acceptedCount == 0) ASSERT_EQ(event_base_loop(base.get(), EVLOOP_ONCE), 0);
    EXPECT_EQ(acceptor.backoff().count(), 0);
    close(fd);
  }
}
TEST_F(AcceptTest, DrainsBacklogPastAbortedConnections) {
  for (const int passing : {ECONNABORTED, EINTR, EPROTO}) {
    Acceptor acceptor(base.get(), clock, *Address::parse("127.0.0.1:0"), budget, reservedDescriptor,
                      connectionHandler());
    const int one = connectTo(acceptor.port()), two = connectTo(acceptor.port());
    error = passing;
    failures = 3;
    acceptedCount = 0;
    acceptor.drainBacklog();
    EXPECT_EQ(acceptedCount, 2) << passing;
    close(one);
    close(two);
  }
}

// The socket of the admin listener, too, stays readable while accept(2) fails.
TEST_F(AcceptTest, PausesAdminListenerAfterAcceptError) {
  struct NoCommands : admin::CommandHandler {
    admin::CommandResult execute(const admin::Command&) override { return {true, "done"}; }
  } commands;
  systemCalls().socket = [](int family) { return lastSocket = openNonBlockingTcpSocket(family); };
  for (const int lasting : {EMFILE, ENOBUFS, EPERM}) {
    admin::Listener listener(base.get(), *Address::parse("127.0.0.1:0"), commands);
    const int fd = connectTo(listeningPort(lastSocket));
    error = lasting;
    failures = 1 << 20;
    calls = 0;
    event_base_loop(base.get(), EVLOOP_ONCE);
    EXPECT_EQ(calls, 1) << lasting;
    event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    EXPECT_EQ(calls, 1) << lasting << ": paused";
    failures = 0;
    while (calls < 2) ASSERT_EQ(event_base_loop(base.get(), EVLOOP_ONCE), 0);
    ASSERT_EQ(write(fd, "STATUS\n", 7), 7);
    char answer[256];
    ssize_t received = 0;
    while ((received = recv(fd, answer, sizeof answer, MSG_DONTWAIT)) < 0)
      ASSERT_EQ(event_base_loop(base.get(), EVLOOP_ONCE), 0);
    EXPECT_NE(std::string(answer, static_cast<std::size_t>(received)).find("done"), std::string::npos)
        << lasting;
    close(fd);
  }
}

// ---- connections to data servers ----------------------------------------------------------------------
TEST_F(ServerCallsTest, LocalConnectErrorsAreRetriedAndNotReported) {
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ENOMEM, EAGAIN, EPERM}) {
    TearDown();
    SetUp();
    observer = RecordingObserver();
    handler.outcome.clear();
    faults.connectError = error;
    startEngine();
    sendRequest();
    const int before = faults.connects;
    ASSERT_TRUE(runUntil([&] { return faults.connects >= before + 6; })) << error << ": connects are retried";
    EXPECT_TRUE(observer.ended.empty()) << error << ": no attempt has ended";
    EXPECT_EQ(handler.outcome, "") << error;
    faults.connectError = 0;
    ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); })) << error;
    EXPECT_EQ(handler.outcome.substr(0, 7), "served ") << error;
    EXPECT_EQ(observer.results(), std::vector<AttemptResult>{AttemptResult::Ok}) << error;
  }
}
TEST_F(ServerCallsTest, RefusedConnectIsReportedAtOnce) {
  config.dialTimeout = 1h;  // longer than the test's timeout: the report must not wait for it
  faults.connectError = ECONNREFUSED;
  startEngine();
  sendRequest();
  ASSERT_TRUE(runUntil([&] { return !observer.ended.empty(); }));
  EXPECT_EQ(observer.ended[0].result, AttemptResult::ConnectFailed);
}
TEST_F(ServerCallsTest, AsynchronousConnectErrorIsClassifiedBySoError) {
  for (const int error : {ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH}) {
    TearDown();
    SetUp();
    observer = RecordingObserver();
    config.dialTimeout = 1h;
    faults.connectSoError = error;
    startEngine();
    sendRequest();
    ASSERT_TRUE(runUntil([&] { return !observer.ended.empty(); })) << error;
    EXPECT_EQ(observer.ended[0].result, AttemptResult::ConnectFailed) << error;
    handler.outcome.clear();
  }
  for (const int error : {EADDRNOTAVAIL, ENOBUFS, ENOMEM}) {
    TearDown();
    SetUp();
    observer = RecordingObserver();
    handler.outcome.clear();
    faults.connectSoError = error;
    startEngine();
    sendRequest();
    const int before = faults.connects;
    ASSERT_TRUE(runUntil([&] { return faults.connects >= before + 6; })) << error;
    EXPECT_TRUE(observer.ended.empty()) << error;
    faults.connectSoError = 0;
    ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); })) << error;
    EXPECT_EQ(observer.results(), std::vector<AttemptResult>{AttemptResult::Ok}) << error;
  }
}
TEST_F(ServerCallsTest, InterruptedConnectContinues) {
  systemCalls().connect = [](int fd, const sockaddr* to, socklen_t size) {
    connect(fd, to, size);
    errno = EINTR;
    return -1;
  };
  startEngine();
  sendRequest();
  ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); }));
  EXPECT_EQ(observer.results(), std::vector<AttemptResult>{AttemptResult::Ok});
}
TEST_F(ServerCallsTest, WriteWithoutBufferIsRetriedAndNotReported) {
  for (const int error : {ENOBUFS, ENOMEM}) {
    TearDown();
    SetUp();
    observer = RecordingObserver();
    handler.outcome.clear();
    startEngine();
    ASSERT_TRUE(runUntil([&] { return first.loginCount() >= 2 && second.loginCount() >= 2; }));
    int failures = 0;
    faults.onWrite = [&failures, error](int) { return ++failures <= 3 ? error : 0; };
    sendRequest();
    ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); })) << error;
    EXPECT_GE(failures, 3);
    EXPECT_EQ(handler.outcome.substr(0, 7), "served ") << error;
    EXPECT_EQ(observer.results(), std::vector<AttemptResult>{AttemptResult::Ok}) << error;
    faults.onWrite = nullptr;
  }
}
TEST_F(ServerCallsTest, ReadWithoutBufferCancelsAttemptAndRetries) {
  startEngine();
  ASSERT_TRUE(runUntil([&] { return first.loginCount() >= 2 && second.loginCount() >= 2; }));
  first.answersQueries = second.answersQueries = false;
  sendRequest();
  ASSERT_TRUE(runUntil([&] { return first.statements.size() + second.statements.size() == 1; }));
  int failures = 0;
  faults.onRead = [&](int) { return ++failures == 1 ? ENOMEM : 0; };
  first.answerQueries();
  second.answerQueries();
  ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); }));
  EXPECT_EQ(observer.results(), (std::vector<AttemptResult>{AttemptResult::Cancelled, AttemptResult::Ok}));
}
// ETIMEDOUT: data were not acknowledged in time (tcp(7)); EHOSTUNREACH: reported through ICMP.
TEST_F(ServerCallsTest, ErrorOnOpenConnectionResetsAttemptAndRetries) {
  for (const int error : {ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
    TearDown();
    SetUp();
    observer = RecordingObserver();
    handler.outcome.clear();
    startEngine();
    ASSERT_TRUE(runUntil([&] { return budget.share(DescriptorHolder::Servers).held == 4; }));
    ASSERT_TRUE(runUntil([&] { return first.loginCount() >= 2 && second.loginCount() >= 2; }));
    first.answersQueries = second.answersQueries = false;
    sendRequest();
    const std::size_t asked = first.statements.size() + second.statements.size();
    ASSERT_TRUE(runUntil([&] { return first.statements.size() + second.statements.size() > asked; }));
    int failures = 0;
    faults.onRead = [&failures, error](int) { return ++failures == 1 ? error : 0; };
    first.answerQueries();
    second.answerQueries();
    ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); })) << error;
    EXPECT_EQ(observer.results(), (std::vector<AttemptResult>{AttemptResult::Reset, AttemptResult::Ok}))
        << error;
    EXPECT_EQ(handler.outcome.substr(0, 7), "served ") << error;
    faults.onRead = nullptr;
  }
}
TEST_F(ServerCallsTest, ShortAndInterruptedTransfersLoseNoBytes) {
  faults.maxTransfer = 1;
  int calls = 0;
  faults.onRead = faults.onWrite = [&](int) { return ++calls % 2 ? EINTR : 0; };
  startEngine();
  sendRequest();
  ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); }));
  EXPECT_EQ(observer.results(), std::vector<AttemptResult>{AttemptResult::Ok});
  EXPECT_NE(handler.outcome.find("value"), std::string::npos);
  EXPECT_EQ((first.statements.empty() ? second : first).statements[0].substr(0, 14), "SELECT 1 /* d=");
}

// ---- the remaining time sent to servers -------------------------------------------------------------------
struct TimeLeftTest : ServerCallsTest {
  static constexpr RequestId kRequest = 77;  // unknown to the engine, seen only by the observer
  void SetUp() override {
    ServerCallsTest::SetUp();
    startEngine();
    first.answersQueries = false;
    ASSERT_TRUE(runUntil([&] { return first.loginCount() >= 2 && second.loginCount() >= 2; }));
    for (int k = 0; k < 3; ++k) runLoop();  // the pool reads the startup answers
  }
  void send(Time end, RequestMessage message) {
    backend->send(kRequest, 0, kFirst, end, std::make_shared<const RequestMessage>(std::move(message)));
  }
};
// If the bytes waited for the next event loop iteration, the remaining time in them would be too
// long.
TEST_F(TimeLeftTest, IsWrittenWithoutWaitingForEventLoop) {
  const Time end = engine->now() + 3s;
  send(end, statement());
  const std::string query = first.unreadBytes();
  EXPECT_NE(query.find(" */"), std::string::npos) << "complete, without an event loop iteration";
  EXPECT_GT(timeLeftIn(query), 0);
  EXPECT_LE(timeLeftIn(query), 3000);
}
TEST_F(TimeLeftTest, BelowOneMillisecondIsNotSent) {
  const std::size_t held = budget.share(DescriptorHolder::Servers).held;
  for (const Time left : {Time(999), Time(1), Time(0), Time(-1), Time(-500000)}) {
    observer = RecordingObserver();
    send(engine->now() + left, statement());
    EXPECT_EQ(first.unreadBytes(), "") << left.count();
    ASSERT_TRUE(runUntil([&] { return !observer.ended.empty(); }));
    EXPECT_EQ(observer.results(), std::vector<AttemptResult>{AttemptResult::NotSent}) << left.count();
  }
  EXPECT_EQ(budget.share(DescriptorHolder::Servers).held, held) << "the connection stays open";
  EXPECT_TRUE(first.statements.empty());
}
TEST_F(ServerCallsTest, RemainingTimeIsComputedAfterWaitForConnection) {
  config.dialTimeout = 1h;
  first.answersLogins = second.answersLogins = false;
  startEngine();
  const Time deadline = engine->now() + 9s;
  sendRequest(kWrite, deadline);
  ASSERT_TRUE(runUntil([&] { return observer.sends == 1 && deadline - engine->now() < 8950ms; }));
  const Time released = engine->now();
  first.answerLogins();
  second.answerLogins();
  ASSERT_TRUE(runUntil([&] { return first.statements.size() == 1; }));
  EXPECT_GT(timeLeftIn(first.statements[0]), 0);
  EXPECT_LE(timeLeftIn(first.statements[0]), (deadline - released) / 1ms);
}
// If the server does not read, the rest of the query would be sent with an outdated remaining time.
TEST_F(TimeLeftTest, QueryIsAbandonedIfServerDoesNotReadIt) {
  int blocked = 0;
  faults.onWrite = [&](int) { return ++blocked, EAGAIN; };
  send(engine->now() + 1h, statement());
  ASSERT_TRUE(runUntil([&] { return !observer.ended.empty(); }));
  EXPECT_EQ(observer.results(), std::vector<AttemptResult>{AttemptResult::ConnectFailed})
      << "the query did not run";
  EXPECT_GT(blocked, 0);
  faults.onWrite = nullptr;
  for (int k = 0; k < 5; ++k) runLoop();
  EXPECT_TRUE(first.statements.empty());
}
TEST_F(TimeLeftTest, QueryWrittenInPartsIsAnswered) {
  int calls = 0;
  faults.maxTransfer = 16;
  faults.onWrite = [&](int) { return ++calls % 2 ? 0 : EAGAIN; };
  send(engine->now() + 3s, statement());
  ASSERT_TRUE(runUntil([&] { return first.statements.size() == 1; }));
  first.answerQueries();
  ASSERT_TRUE(runUntil([&] { return !observer.ended.empty(); }));
  EXPECT_EQ(observer.results(), std::vector<AttemptResult>{AttemptResult::Ok});
}

// The clock must be read before each write: after a stall the event loop may find the socket
// writable, long after the query was composed, before it checks timers.
TEST_F(TimeLeftTest, RestOfQueryIsAbandonedAfterStall) {
  faults.maxTransfer = 16;
  send(engine->now() + 1h, statement());
  stalledFor += 250ms;  // no read by the server for 100 ms, then a stall of the process
  faults.maxTransfer = 0;
  ASSERT_TRUE(runUntil([&] { return !observer.ended.empty(); }));
  EXPECT_EQ(observer.results(), std::vector<AttemptResult>{AttemptResult::ConnectFailed})
      << "the query did not run";
  for (int k = 0; k < 5; ++k) runLoop();
  EXPECT_TRUE(first.statements.empty());
}

// The process stalls between reading the clock and the write. The remaining time sent to a server
// may exceed the client's remaining time by the duration of the stall, but not by more. The proxy
// sends no hedged requests; every further attempt is a retry.
struct StallTest : ServerCallsTest {
  static constexpr Time kStall = 150ms;
  struct WrittenQuery {
    std::chrono::milliseconds sentTimeLeft;
    Time timeLeft;  // until the client's deadline, at the time of the write
  };
  std::vector<WrittenQuery> queries;
  Time deadline{};

  // Makes exactly `stall` pass between the last reading of the clock and the write of each query.
  void stallBeforeQueries(Time stall) {
    queries.clear();
    faults.beforeWrite = [this, stall](const std::string& bytes) {
      const long long sentTimeLeft = timeLeftIn(bytes);
      if (sentTimeLeft < 0) return;
      const Time lastRead = lastClockReading;
      const Time now = engine->now();
      const Time written = now - (lastClockReading - lastRead) + stall;
      stalledFor += written - now;
      queries.push_back({std::chrono::milliseconds(sentTimeLeft), deadline - written});
    };
  }
  void expectExcessAtMostStall(std::size_t count) const {
    ASSERT_EQ(queries.size(), count);
    for (const WrittenQuery& query : queries) {
      EXPECT_LE(query.sentTimeLeft, query.timeLeft + kStall);
      EXPECT_GT(query.sentTimeLeft, query.timeLeft) << "the stall comes after the last reading of the clock";
    }
  }
  void startWithStalls() {
    startEngine();
    ASSERT_TRUE(runUntil([&] { return first.loginCount() >= 2 && second.loginCount() >= 2; }));
    stallBeforeQueries(kStall);
    deadline = engine->now() + 5s;
  }
};
TEST_F(StallTest, FirstAttemptExceedsRemainingTimeAtMostByStall) {
  startWithStalls();
  sendRequest(kRead, deadline);
  ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); }));
  expectExcessAtMostStall(1);
}
TEST_F(StallTest, RetryExceedsRemainingTimeAtMostByStall) {
  startWithStalls();
  first.answersQueries = second.answersQueries = false;
  sendRequest(kRead, deadline);
  ASSERT_TRUE(runUntil([&] { return first.statements.size() + second.statements.size() == 1; }));
  int failures = 0;
  faults.onRead = [&failures](int) { return ++failures == 1 ? ECONNRESET : 0; };
  first.answerQueries();
  second.answerQueries();
  ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); }));
  EXPECT_EQ(observer.results(), (std::vector<AttemptResult>{AttemptResult::Reset, AttemptResult::Ok}));
  expectExcessAtMostStall(2);
}
TEST_F(StallTest, AttemptAfterDialExceedsRemainingTimeAtMostByStall) {
  config.dialTimeout = 1h;
  first.answersLogins = second.answersLogins = false;
  startEngine();
  deadline = engine->now() + 5s;
  stallBeforeQueries(kStall);
  sendRequest(kWrite, deadline);
  ASSERT_TRUE(runUntil([&] { return observer.sends == 1; }));
  stalledFor += 1s;  // wait for the connection
  first.answerLogins();
  second.answerLogins();
  ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); }));
  expectExcessAtMostStall(1);
}
TEST_F(StallTest, RewrittenStatementExceedsRemainingTimeAtMostByStall) {
  startWithStalls();
  sendRequest(kRead, deadline, messageOf("SELECT 'it\\'s' /* d=", true));
  ASSERT_TRUE(runUntil([&] { return !handler.outcome.empty(); }));
  expectExcessAtMostStall(1);
  const std::string& sent = (first.statements.empty() ? second : first).statements.at(0);
  EXPECT_EQ(sent.substr(0, sent.find("d=")), "SELECT E'it\\'s' /* ");
}

// ---- statements rewritten for a server with other backslash rules --------------------------------------
using namespace std::string_literals;

std::string statementOf(const std::optional<Buffer>& query) {
  if (!query) return "none";
  std::string bytes(evbuffer_get_length(query->get()), '\0');
  evbuffer_copyout(query->get(), bytes.data(), bytes.size());
  EXPECT_EQ(bytes.substr(0, postgres::kHeaderSize),
            postgres::queryHeader(bytes.size() - postgres::kHeaderSize));
  return bytes.substr(postgres::kHeaderSize);
}
TEST(RewrittenQuery, KeepsLiteralsAndInsertsRemainingTime) {
  const RequestMessage standard = messageOf("SELECT 'a\\b' /* d=", false);
  EXPECT_EQ(statementOf(composeRewrittenQuery(standard, 250ms, true)), "SELECT E'a\\\\b' /* d=250 */\0"s);
  const RequestMessage escaping = messageOf("SELECT 'it\\'s' /* d=", true);
  EXPECT_EQ(statementOf(composeRewrittenQuery(escaping, 1ms, false)), "SELECT E'it\\'s' /* d=1 */\0"s);
}
// A retry inserts its own remaining time, so the first attempt must not change the message.
TEST(RewrittenQuery, DoesNotChangeTheMessage) {
  const RequestMessage message = messageOf("SELECT 'a\\b' /* d=", false);
  EXPECT_EQ(statementOf(composeRewrittenQuery(message, 2500ms, true)), "SELECT E'a\\\\b' /* d=2500 */\0"s);
  EXPECT_EQ(statementOf(composeRewrittenQuery(message, 90ms, true)), "SELECT E'a\\\\b' /* d=90 */\0"s);
}
TEST(RewrittenQuery, HasNoRemainingTimeIfTheStatementHasNone) {
  RequestMessage message{newBuffer(), newBuffer(), nullptr, {}, {}};
  append(message.after.get(), "SELECT 'a\\b'\0"s);
  EXPECT_EQ(statementOf(composeRewrittenQuery(message, 250ms, true)), "SELECT E'a\\\\b'\0"s);
}
TEST(RewrittenQuery, IsNulloptIfRewritingMakesItTooLong) {
  const std::string backslashes(postgres::kMaxMessage * 2 / 3, '\\');
  const RequestMessage message = messageOf("SELECT '" + backslashes + "' /* d=", false);
  EXPECT_EQ(composeRewrittenQuery(message, 250ms, true), std::nullopt);
}

// ---- discovery ------------------------------------------------------------------------------------------
struct DiscoveryCallsTest : testing::Test {
  CallFaults faults;
  EventBase base{event_base_new()};
  void SetUp() override { activeFaults = &faults; }
  void TearDown() override { activeFaults = nullptr; }
  static Address localAddress(int fd) {
    sockaddr_storage at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return Address::fromSocket(reinterpret_cast<const sockaddr*>(&at));
  }
  static int openBoundSocket(int type) {
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const Address any = *Address::parse("127.0.0.1:0");
    EXPECT_EQ(bind(fd, any.data(), any.size()), 0);
    return fd;
  }
};
// On loopback connect(2) itself returns ECONNREFUSED, so that no later event reports the failure.
TEST_F(DiscoveryCallsTest, RefusedWatchIsReportedAtOnce) {
  struct RecordingConsumer : EndpointListConsumer {
    int failures = 0;
    void endpointsListed(EndpointList) override {}
    void discoveryFailed(const std::string&) override { ++failures; }
    std::uint64_t generation() const override { return 1; }
  } consumer;
  const int nobodyListens = openBoundSocket(SOCK_STREAM);
  const Clock clock;
  Config config;
  config.discovery = localAddress(nobodyListens);
  RegistryWatch watch(base.get(), clock, consumer, config);
  watch.watch(1);
  for (int k = 0; k < 3; ++k) event_base_loop(base.get(), EVLOOP_NONBLOCK);
  EXPECT_EQ(consumer.failures, 1);
  close(nobodyListens);
}
TEST_F(DiscoveryCallsTest, QueryWithoutBufferIsNotCountedAgainstNameServer) {
  const int first = openBoundSocket(SOCK_DGRAM), second = openBoundSocket(SOCK_DGRAM);
  DnsSdSettings settings;
  settings.servers = {localAddress(first), localAddress(second)};
  settings.attemptTimeout = 1h;
  const Clock clock;
  Resolver resolver(base.get(), clock, settings, [](const dns::Question&, const Resolver::Reply&) {});
  const auto arrived = [](int fd) {
    char bytes[512];
    int n = 0;
    while (recv(fd, bytes, sizeof bytes, 0) > 0) ++n;
    return n;
  };
  const auto asked = [&](int datagrams) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (faults.datagrams < datagrams && std::chrono::steady_clock::now() < end)
      event_base_loop(base.get(), EVLOOP_ONCE);
    return faults.datagrams == datagrams;
  };
  faults.datagramErrors = 1;
  resolver.query(dns::Question{"example.org.", dns::Type::Ptr}, false);
  ASSERT_TRUE(asked(2));
  EXPECT_EQ(arrived(first), 0);
  EXPECT_EQ(arrived(second), 1) << "the query is sent to the next server";
  resolver.query(dns::Question{"example.org.", dns::Type::Ptr}, false);
  ASSERT_TRUE(asked(3));
  EXPECT_EQ(arrived(first), 1) << "the next query starts with the first server again";
  EXPECT_EQ(arrived(second), 0);
  close(first);
  close(second);
}

}  // namespace
}  // namespace sablespur::test
