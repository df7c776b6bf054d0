// System calls that fail as Linux documents, on real connections over loopback: whose fault each failure is,
// and that only the endpoint's own is held against it.
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

// What the C library's calls do on the descriptors that the proxy has opened; all others go through.
struct CallFaults {
  std::set<int> descriptors;
  std::function<int(int fd)> onRead, onWrite;           // an errno, or 0: the call goes on
  std::function<void(const std::string&)> beforeWrite;  // sees the bytes just before the kernel gets them
  int connectOutcome = 0;                               // SO_ERROR in place of the true one; 0: the true one
  std::size_t longest = 0;                              // bytes that one read or write moves; 0: no limit
  int connectError = 0;                                 // of connect(2) itself; 0: none
  int connects = 0;
  int datagrams = 0, datagramErrors = 0;  // sent, and how many of the next fail with ENOBUFS
};
CallFaults* active = nullptr;

CallFaults* faultsOf(int fd) { return active && active->descriptors.count(fd) > 0 ? active : nullptr; }
template <typename Function>
Function* original(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}
std::string bytesOf(const iovec* parts, int count) {
  std::string all;
  for (int k = 0; k < count; ++k) all.append(static_cast<const char*>(parts[k].iov_base), parts[k].iov_len);
  return all;
}
// The first part of a vector that is not empty, cut to what one call may move.
iovec cut(const iovec* parts, int count, std::size_t longest) {
  for (int k = 0; k < count; ++k)
    if (parts[k].iov_len > 0) return {parts[k].iov_base, std::min(parts[k].iov_len, longest)};
  return {nullptr, 0};
}

}  // namespace
}  // namespace sablespur::test

// These definitions come before the C library's in this program, so libevent's calls arrive here too.
extern "C" ssize_t readv(int fd, const iovec* parts, int count) {
  using namespace sablespur::test;
  static auto* const real = original<ssize_t(int, const iovec*, int)>("readv");
  CallFaults* const faults = faultsOf(fd);
  if (!faults) return real(fd, parts, count);
  if (const int error = faults->onRead ? faults->onRead(fd) : 0) {
    errno = error;
    return -1;
  }
  if (faults->longest == 0) return real(fd, parts, count);
  const iovec part = cut(parts, count, faults->longest);
  return read(fd, part.iov_base, part.iov_len);
}
extern "C" ssize_t writev(int fd, const iovec* parts, int count) {
  using namespace sablespur::test;
  static auto* const real = original<ssize_t(int, const iovec*, int)>("writev");
  CallFaults* const faults = faultsOf(fd);
  if (!faults) return real(fd, parts, count);
  if (const int error = faults->onWrite ? faults->onWrite(fd) : 0) {
    errno = error;
    return -1;
  }
  if (faults->beforeWrite) faults->beforeWrite(bytesOf(parts, count));
  if (faults->longest == 0) return real(fd, parts, count);
  const iovec part = cut(parts, count, faults->longest);
  return write(fd, part.iov_base, part.iov_len);
}
extern "C" ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  using namespace sablespur::test;
  static auto* const real = original<ssize_t(int, const void*, size_t, int)>("send");
  int type = 0;
  socklen_t length = sizeof type;
  if (!active || getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0 || type != SOCK_DGRAM)
    return real(fd, bytes, size, flags);
  ++active->datagrams;
  if (active->datagramErrors == 0) return real(fd, bytes, size, flags);
  --active->datagramErrors;
  errno = ENOBUFS;
  return -1;
}
extern "C" int getsockopt(int fd, int level, int name, void* value, socklen_t* size) noexcept {
  using namespace sablespur::test;
  static auto* const real = original<int(int, int, int, void*, socklen_t*)>("getsockopt");
  CallFaults* const faults = faultsOf(fd);
  const int result = real(fd, level, name, value, size);
  if (faults && level == SOL_SOCKET && name == SO_ERROR && faults->connectOutcome != 0)
    *static_cast<int*>(value) = faults->connectOutcome;
  return result;
}

namespace sablespur::test {
namespace {

// A data server in the test's own loop.
class DataServer {
 public:
  explicit DataServer(event_base* base) : base_(base) {
    const Address any = *Address::parse("127.0.0.1:0");
    listener_.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<DataServer*>(self)->take(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE, 16, any.data(), static_cast<int>(any.size())));
    sockaddr_storage at{};
    socklen_t size = sizeof at;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
    address = Address::fromSocket(reinterpret_cast<const sockaddr*>(&at));
  }
  void answerAll() {
    answers = true;
    for (const auto& c : connections_) serve(*c);
  }
  void greetAll() {
    greets = true;
    for (const auto& c : connections_) serve(*c);
  }
  // What has come to the kernel on any connection, and that this loop has not read.
  std::string unread() const {
    std::string all(1 << 16, '\0');
    for (const auto& c : connections_) {
      const ssize_t n =
          recv(bufferevent_getfd(c->stream.get()), all.data(), all.size(), MSG_PEEK | MSG_DONTWAIT);
      if (n > 0) return all.substr(0, static_cast<std::size_t>(n));
    }
    return {};
  }
  std::size_t greeted() const {
    std::size_t n = 0;
    for (const auto& c : connections_) n += c->greeted;
    return n;
  }

  Address address;
  bool greets = true, answers = true;
  std::vector<std::string> statements;

 private:
  struct Client {
    BufferEvent stream;
    bool greeted = false;
    std::size_t owed = 0;
    DataServer* server = nullptr;
  };
  void take(evutil_socket_t fd) {
    connections_.push_back(std::make_unique<Client>());
    Client& c = *connections_.back();
    c.server = this;
    c.stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        c.stream.get(),
        [](bufferevent*, void* of) { static_cast<Client*>(of)->server->serve(*static_cast<Client*>(of)); },
        nullptr, [](bufferevent*, short, void*) {}, &c);
    bufferevent_enable(c.stream.get(), EV_READ | EV_WRITE);
  }
  static std::string row(const std::string& text) {
    std::string cell("\0\1\0\0\0", 5);
    cell += static_cast<char>(text.size());
    return postgres::message('T', std::string("\0\1blob\0", 7) + std::string(18, '\0')) +
           postgres::message('D', cell + text);
  }
  void serve(Client& c) {
    evbuffer* const in = bufferevent_get_input(c.stream.get());
    evbuffer* const out = bufferevent_get_output(c.stream.get());
    for (;;) {
      char head[postgres::kHeaderSize];
      if (evbuffer_copyout(in, head, sizeof head) < static_cast<ev_ssize_t>(sizeof head)) break;
      const std::size_t whole = c.greeted ? 1 + postgres::readInt32(head + 1) : postgres::readInt32(head);
      if (evbuffer_get_length(in) < whole || (!c.greeted && !greets)) break;
      std::string message(whole, '\0');
      evbuffer_remove(in, message.data(), whole);
      if (!c.greeted) {
        c.greeted = true;
        append(out, postgres::greeting());
      } else if (message == postgres::query("SHOW load")) {
        append(out, row("x0=1.0,x1=1,inflight=0") + postgres::message('C', std::string("SHOW\0", 5)) +
                        postgres::readyForQuery());
      } else {
        statements.push_back(
            message.substr(postgres::kHeaderSize, message.size() - postgres::kHeaderSize - 1));
        ++c.owed;
      }
    }
    for (; answers && c.owed > 0; --c.owed)
      append(out,
             row("value") + postgres::message('C', std::string("SELECT 1\0", 9)) + postgres::readyForQuery());
  }

  event_base* const base_;
  Listener listener_;
  std::list<std::unique_ptr<Client>> connections_;
};

struct Outcomes : AttemptObserver {
  struct Ended {
    RequestId id;
    AttemptResult result;
  };
  std::vector<Ended> all;
  int sends = 0;
  void attemptSent(RequestId, int, const std::string&) override { ++sends; }
  void attemptEnded(RequestId id, int, const AttemptEnd& e) override { all.push_back({id, e.result}); }
  std::vector<AttemptResult> results() const {
    std::vector<AttemptResult> r;
    for (const Ended& e : all) r.push_back(e.result);
    return r;
  }
};
// A statement that ends in the time left; `backslashes`: they escape in its literals.
RequestMessage messageOf(const std::string& beforeTimeLeft, bool backslashes) {
  translation::SessionSettings settings;
  settings.backslashes = backslashes;
  RequestMessage m{
      newBuffer(), newBuffer(), std::make_shared<const translation::SessionSettings>(settings), {}, {}};
  append(m.before.get(), beforeTimeLeft);
  append(m.after.get(), std::string_view(" */\0", 4));
  return m;
}
struct Client : ResponseHandler {
  std::string got;
  void served(Answer a) override {
    got += "served ";
    got.append(reinterpret_cast<const char*>(evbuffer_pullup(a.messages.get(), -1)),
               evbuffer_get_length(a.messages.get()));
  }
  void rejected(Time) override { got += "refused"; }
  void failed() override { got += "failed"; }
};
struct NoLists : DiscoverySource {
  void watch(std::uint64_t) override {}
};

// The engine with its way to two data servers, and the calls between them.
struct ServerCallsTest : testing::Test {
  static constexpr EndpointId kFirst = 1, kSecond = 2;
  static constexpr int kRead = 0, kWrite = 1;  // classes
  const SystemCalls kept = systemCalls();
  CallFaults faults;
  Time heldUp{};     // time that has passed on the process's clock beside the real one
  Time clockRead{};  // what the process's clock showed when it was last read
  EventBase base{event_base_new()};
  DataServer first{base.get()}, second{base.get()};
  Config config = parseConfig(configuration({}, 1, {first.address.port(), second.address.port()}));
  ResourceBudget account{config};
  Outcomes outcomes;
  Client client;
  NoLists lists;
  std::unique_ptr<Engine> engine;
  std::unique_ptr<WorkerPool> workers;
  std::unique_ptr<BackendPool> upstream;

  void SetUp() override {
    signal(SIGPIPE, SIG_IGN);
    active = &faults;
    systemCalls().socket = [](int family) {
      const int fd = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      active->descriptors.insert(fd);
      return fd;
    };
    systemCalls().connect = [](int fd, const sockaddr* to, socklen_t size) {
      ++active->connects;
      if (active->connectError == 0) return connect(fd, to, size);
      errno = active->connectError;
      return -1;
    };
    engine = std::make_unique<Engine>(base.get(), config, stallingClock());
    workers = std::make_unique<WorkerPool>(base.get(), 1);
    upstream = std::make_unique<BackendPool>(base.get(), *engine, *workers, account, config);
    engine->setAttemptObserver(&outcomes);
  }
  void TearDown() override {
    upstream.reset();
    engine.reset();
    workers.reset();
    active = nullptr;
    systemCalls() = kept;
  }
  ClockSource stallingClock() {
    const ClockSource real;
    ClockSource stalling;
    stalling.wall = [this, real] { return real.wall() + heldUp; };
    stalling.steady = [this, real] { return clockRead = real.steady() + heldUp; };
    return stalling;
  }
  void startEngine() {
    engine->start(*upstream, lists);
    engine->runTurn();
    for (const EndpointId m : {kFirst, kSecond})
      engine->healthCheckEnded(
          m, true, {static_cast<double>(engine->now().count()) / 1e6, m == kFirst ? 1.0 : 0.0, 0.0});
    engine->runTurn();
  }
  RequestMessage statement() const {
    RequestMessage m{newBuffer(), newBuffer(), nullptr, {}, {}};
    append(m.before.get(), "SELECT 1 /* d=");
    append(m.after.get(), std::string_view(" */\0", 4));
    return m;
  }
  void ask() { ask(kRead, engine->now() + 9s); }
  void ask(int cls, Time deadline) { ask(cls, deadline, statement()); }
  void ask(int cls, Time deadline, RequestMessage message) {
    balancer::Request q;
    q.classIndex = cls;
    q.group = 3;
    q.deadline = deadline;
    engine->request(client, q, std::move(message));
    engine->runTurn();
  }
  void pass() {
    const timeval tick{0, 5000};
    event_base_loopexit(base.get(), &tick);
    event_base_loop(base.get(), EVLOOP_ONCE);
    engine->runTurn();
  }
  static long long timeTold(const std::string& statement) {
    const std::size_t at = statement.find("d=");
    return at == std::string::npos ? -1 : std::atoll(statement.c_str() + at + 2);
  }
  bool until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!done() && std::chrono::steady_clock::now() < end) pass();
    return done();
  }
};

// ---- the classification -----------------------------------------------------------------------------------
TEST(SocketFaults, AreToldApartByTheCallThatFailed) {
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
  EXPECT_EQ(classify(SocketCall::Connecting, ENETUNREACH), SocketFault::Peer) << "a router's word, by ICMP";
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
  static inline int error = 0, failures = 0,
                    calls = 0;    // what accept(2) fails with, how often; all its calls
  static inline int opened = -1;  // the last socket where a test notes it
  const SystemCalls kept = systemCalls();
  EventBase base{event_base_new()};
  Config config = parseConfig(configuration({}, 1, {11, 12}));
  ResourceBudget account{config};
  ReservedDescriptor spare;
  const Clock clock;
  int taken = 0;

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
  void TearDown() override { systemCalls() = kept; }
  Acceptor::ConnectionHandler taker() {
    Acceptor::ConnectionHandler t;
    t.accepted = [this](evutil_socket_t fd, const sockaddr*) {
      ++taken;
      close(fd);
    };
    t.hasRoom = [] { return true; };
    t.onExhaustion = [] {};
    t.reject = [](evutil_socket_t) {};
    return t;
  }
  static int portOf(int fd) {
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
// The listener stays ready, so each pass of the loop would call again: without a pause this is a whole core.
TEST_F(AcceptTest, AnErrorThatStaysPausesTheListenerAfterOneBurst) {
  for (const int lasting : {EPERM, ENETDOWN, ECONNABORTED}) {
    Acceptor acceptor(base.get(), clock, *Address::parse("127.0.0.1:0"), account, spare, taker());
    const int fd = connectTo(acceptor.port());
    error = lasting;
    failures = 1 << 20;
    calls = 0;
    event_base_loop(base.get(), EVLOOP_ONCE);
    const int burst = calls;
    EXPECT_GT(burst, 0);
    EXPECT_GT(acceptor.backoff().count(), 0) << lasting;
    event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    EXPECT_EQ(calls, burst) << lasting << ": not before the pause is over";
    failures = 0;
    taken = 0;
    event_base_loop(base.get(), EVLOOP_ONCE);
    while (taken == 0) ASSERT_EQ(event_base_loop(base.get(), EVLOOP_ONCE), 0);
    EXPECT_EQ(acceptor.backoff().count(), 0);
    close(fd);
  }
}
TEST_F(AcceptTest, TheRestOfTheBacklogIsTakenPastConnectionsThatAreGone) {
  for (const int passing : {ECONNABORTED, EINTR, EPROTO}) {
    Acceptor acceptor(base.get(), clock, *Address::parse("127.0.0.1:0"), account, spare, taker());
    const int one = connectTo(acceptor.port()), two = connectTo(acceptor.port());
    error = passing;
    failures = 3;
    taken = 0;
    acceptor.drainBacklog();
    EXPECT_EQ(taken, 2) << passing;
    close(one);
    close(two);
  }
}

// The listener of admin commands: its socket stays readable, too, while accept(2) fails.
TEST_F(AcceptTest, AnErrorOfAcceptPausesTheListenerOfAdminCommands) {
  struct NoCommands : admin::CommandHandler {
    admin::CommandResult execute(const admin::Command&) override { return {true, "done"}; }
  } commands;
  systemCalls().socket = [](int family) { return opened = openNonBlockingTcpSocket(family); };
  for (const int lasting : {EMFILE, ENOBUFS, EPERM}) {
    admin::Listener listener(base.get(), *Address::parse("127.0.0.1:0"), commands);
    const int fd = connectTo(portOf(opened));
    error = lasting;
    failures = 1 << 20;
    calls = 0;
    event_base_loop(base.get(), EVLOOP_ONCE);
    EXPECT_EQ(calls, 1) << lasting;
    event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    EXPECT_EQ(calls, 1) << lasting << ": not before the pause is over";
    failures = 0;
    while (calls < 2) ASSERT_EQ(event_base_loop(base.get(), EVLOOP_ONCE), 0);
    ASSERT_EQ(write(fd, "STATUS\n", 7), 7);
    char answer[256];
    ssize_t got = 0;
    while ((got = recv(fd, answer, sizeof answer, MSG_DONTWAIT)) < 0)
      ASSERT_EQ(event_base_loop(base.get(), EVLOOP_ONCE), 0);
    EXPECT_NE(std::string(answer, static_cast<std::size_t>(got)).find("done"), std::string::npos) << lasting;
    close(fd);
  }
}

// ---- connections to data servers ----------------------------------------------------------------------
TEST_F(ServerCallsTest, AConnectThatFailsForWantOfSomethingHereIsHeldAgainstNoServer) {
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ENOMEM, EAGAIN, EPERM}) {
    TearDown();
    SetUp();
    outcomes = Outcomes();
    client.got.clear();
    faults.connectError = error;
    startEngine();
    ask();
    const int before = faults.connects;
    ASSERT_TRUE(until([&] { return faults.connects >= before + 6; })) << error << ": it is dialed again";
    EXPECT_TRUE(outcomes.all.empty()) << error << ": nothing was reported of a server";
    EXPECT_EQ(client.got, "") << error;
    faults.connectError = 0;
    ASSERT_TRUE(until([&] { return !client.got.empty(); })) << error;
    EXPECT_EQ(client.got.substr(0, 7), "served ") << error;
    EXPECT_EQ(outcomes.results(), std::vector<AttemptResult>{AttemptResult::Ok}) << error;
  }
}
TEST_F(ServerCallsTest, AConnectThatTheServerTurnsAwayIsToldAtOnce) {
  config.dialTimeout = 1h;  // what waited for that would not end here
  faults.connectError = ECONNREFUSED;
  startEngine();
  ask();
  ASSERT_TRUE(until([&] { return !outcomes.all.empty(); }));
  EXPECT_EQ(outcomes.all[0].result, AttemptResult::ConnectFailed);
}
TEST_F(ServerCallsTest, AConnectThatFailsLaterIsJudgedByItsOwnError) {
  for (const int error : {ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH}) {
    TearDown();
    SetUp();
    outcomes = Outcomes();
    config.dialTimeout = 1h;
    faults.connectOutcome = error;
    startEngine();
    ask();
    ASSERT_TRUE(until([&] { return !outcomes.all.empty(); })) << error;
    EXPECT_EQ(outcomes.all[0].result, AttemptResult::ConnectFailed) << error;
    client.got.clear();
  }
  for (const int error : {EADDRNOTAVAIL, ENOBUFS, ENOMEM}) {
    TearDown();
    SetUp();
    outcomes = Outcomes();
    client.got.clear();
    faults.connectOutcome = error;
    startEngine();
    ask();
    const int before = faults.connects;
    ASSERT_TRUE(until([&] { return faults.connects >= before + 6; })) << error;
    EXPECT_TRUE(outcomes.all.empty()) << error;
    faults.connectOutcome = 0;
    ASSERT_TRUE(until([&] { return !client.got.empty(); })) << error;
    EXPECT_EQ(outcomes.results(), std::vector<AttemptResult>{AttemptResult::Ok}) << error;
  }
}
TEST_F(ServerCallsTest, AnInterruptedConnectGoesOn) {
  systemCalls().connect = [](int fd, const sockaddr* to, socklen_t size) {
    connect(fd, to, size);
    errno = EINTR;
    return -1;
  };
  startEngine();
  ask();
  ASSERT_TRUE(until([&] { return !client.got.empty(); }));
  EXPECT_EQ(outcomes.results(), std::vector<AttemptResult>{AttemptResult::Ok});
}
TEST_F(ServerCallsTest, AWriteThatFindsNoBufferIsHeldAgainstNoServer) {
  for (const int error : {ENOBUFS, ENOMEM}) {
    TearDown();
    SetUp();
    outcomes = Outcomes();
    client.got.clear();
    startEngine();
    ASSERT_TRUE(until([&] { return first.greeted() >= 2 && second.greeted() >= 2; }));
    int failures = 0;
    faults.onWrite = [&failures, error](int) { return ++failures <= 3 ? error : 0; };
    ask();
    ASSERT_TRUE(until([&] { return !client.got.empty(); })) << error;
    EXPECT_GE(failures, 3);
    EXPECT_EQ(client.got.substr(0, 7), "served ") << error;
    EXPECT_EQ(outcomes.results(), std::vector<AttemptResult>{AttemptResult::Ok}) << error;
    faults.onWrite = nullptr;
  }
}
TEST_F(ServerCallsTest, AReadThatFindsNoBufferMayHaveRunAndIsHeldAgainstNoServer) {
  startEngine();
  ASSERT_TRUE(until([&] { return first.greeted() >= 2 && second.greeted() >= 2; }));
  first.answers = second.answers = false;
  ask();
  ASSERT_TRUE(until([&] { return first.statements.size() + second.statements.size() == 1; }));
  int failures = 0;
  faults.onRead = [&](int) { return ++failures == 1 ? ENOMEM : 0; };
  first.answerAll();
  second.answerAll();
  ASSERT_TRUE(until([&] { return !client.got.empty(); }));
  EXPECT_EQ(outcomes.results(), (std::vector<AttemptResult>{AttemptResult::Cancelled, AttemptResult::Ok}));
}
// ETIMEDOUT: nothing was acknowledged for too long (tcp(7)); EHOSTUNREACH: by ICMP.
TEST_F(ServerCallsTest, AnErrorOnAnOpenConnectionEndsThatConnectionAlone) {
  for (const int error : {ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
    TearDown();
    SetUp();
    outcomes = Outcomes();
    client.got.clear();
    startEngine();
    ASSERT_TRUE(until([&] { return account.share(DescriptorHolder::Servers).held == 4; }));
    ASSERT_TRUE(until([&] { return first.greeted() >= 2 && second.greeted() >= 2; }));
    first.answers = second.answers = false;
    ask();
    const std::size_t asked = first.statements.size() + second.statements.size();
    ASSERT_TRUE(until([&] { return first.statements.size() + second.statements.size() > asked; }));
    int failures = 0;
    faults.onRead = [&failures, error](int) { return ++failures == 1 ? error : 0; };
    first.answerAll();
    second.answerAll();
    ASSERT_TRUE(until([&] { return !client.got.empty(); })) << error;
    EXPECT_EQ(outcomes.results(), (std::vector<AttemptResult>{AttemptResult::Reset, AttemptResult::Ok}))
        << error;
    EXPECT_EQ(client.got.substr(0, 7), "served ") << error;
    faults.onRead = nullptr;
  }
}
TEST_F(ServerCallsTest, ShortReadsAndWritesAndInterruptionsLoseNothing) {
  faults.longest = 1;
  int calls = 0;
  faults.onRead = faults.onWrite = [&](int) { return ++calls % 2 ? EINTR : 0; };
  startEngine();
  ask();
  ASSERT_TRUE(until([&] { return !client.got.empty(); }));
  EXPECT_EQ(outcomes.results(), std::vector<AttemptResult>{AttemptResult::Ok});
  EXPECT_NE(client.got.find("value"), std::string::npos);
  EXPECT_EQ((first.statements.empty() ? second : first).statements[0].substr(0, 14), "SELECT 1 /* d=");
}

// ---- the time that a server is told -------------------------------------------------------------------
struct TimeLeftTest : ServerCallsTest {
  static constexpr RequestId kRequest = 77;  // the engine knows of none: the outcome is the witness's alone
  void SetUp() override {
    ServerCallsTest::SetUp();
    startEngine();
    first.answers = false;
    ASSERT_TRUE(until([&] { return first.greeted() >= 2 && second.greeted() >= 2; }));
    for (int k = 0; k < 3; ++k) pass();  // the greetings are read
  }
  void send(Time end, RequestMessage m) {
    upstream->send(kRequest, 0, kFirst, end, std::make_shared<const RequestMessage>(std::move(m)));
  }
};
// Bytes that wait for the loop's next pass tell of time that has gone by since.
TEST_F(TimeLeftTest, IsWrittenToTheKernelInTheCallThatReadTheClock) {
  const Time end = engine->now() + 3s;
  send(end, statement());
  const std::string query = first.unread();
  EXPECT_NE(query.find(" */"), std::string::npos) << "whole, with no pass of the loop";
  EXPECT_GT(timeTold(query), 0);
  EXPECT_LE(timeTold(query), 3000);
}
TEST_F(TimeLeftTest, OfLessThanAMillisecondIsNotSent) {
  const std::size_t held = account.share(DescriptorHolder::Servers).held;
  for (const Time left : {Time(999), Time(1), Time(0), Time(-1), Time(-500000)}) {
    outcomes = Outcomes();
    send(engine->now() + left, statement());
    EXPECT_EQ(first.unread(), "") << left.count();
    ASSERT_TRUE(until([&] { return !outcomes.all.empty(); }));
    EXPECT_EQ(outcomes.results(), std::vector<AttemptResult>{AttemptResult::NotSent}) << left.count();
  }
  EXPECT_EQ(account.share(DescriptorHolder::Servers).held, held) << "its connection serves on";
  EXPECT_TRUE(first.statements.empty());
}
TEST_F(ServerCallsTest, TheTimeLeftOfAnAttemptThatWaitedForItsConnectionCountsFromThen) {
  config.dialTimeout = 1h;
  first.greets = second.greets = false;
  startEngine();
  const Time deadline = engine->now() + 9s;
  ask(kWrite, deadline);
  ASSERT_TRUE(until([&] { return outcomes.sends == 1 && deadline - engine->now() < 8950ms; }));
  const Time released = engine->now();
  first.greetAll();
  second.greetAll();
  ASSERT_TRUE(until([&] { return first.statements.size() == 1; }));
  EXPECT_GT(timeTold(first.statements[0]), 0);
  EXPECT_LE(timeTold(first.statements[0]), (deadline - released) / 1ms);
}
// A server that does not read: what is left of the query would tell of time long gone.
TEST_F(TimeLeftTest, GoesNoMoreWhereTheServerDoesNotTakeTheQueryInTime) {
  int blocked = 0;
  faults.onWrite = [&](int) { return ++blocked, EAGAIN; };
  send(engine->now() + 1h, statement());
  ASSERT_TRUE(until([&] { return !outcomes.all.empty(); }));
  EXPECT_EQ(outcomes.results(), std::vector<AttemptResult>{AttemptResult::ConnectFailed}) << "it never ran";
  EXPECT_GT(blocked, 0);
  faults.onWrite = nullptr;
  for (int k = 0; k < 5; ++k) pass();
  EXPECT_TRUE(first.statements.empty());
}
TEST_F(TimeLeftTest, AQueryThatGoesOutInPiecesIsAnsweredInItsTime) {
  int calls = 0;
  faults.longest = 16;
  faults.onWrite = [&](int) { return ++calls % 2 ? 0 : EAGAIN; };
  send(engine->now() + 3s, statement());
  ASSERT_TRUE(until([&] { return first.statements.size() == 1; }));
  first.answerAll();
  ASSERT_TRUE(until([&] { return !outcomes.all.empty(); }));
  EXPECT_EQ(outcomes.results(), std::vector<AttemptResult>{AttemptResult::Ok});
}

// Whoever writes looks at the clock first: the loop may find that the server takes bytes again long after the
// query was composed, before any timer is looked at.
TEST_F(TimeLeftTest, TheRestOfAQueryGoesNoMoreAfterAStall) {
  faults.longest = 16;
  send(engine->now() + 1h, statement());
  heldUp += 250ms;  // the server took nothing for 100 ms, then the process was held up
  faults.longest = 0;
  ASSERT_TRUE(until([&] { return !outcomes.all.empty(); }));
  EXPECT_EQ(outcomes.results(), std::vector<AttemptResult>{AttemptResult::ConnectFailed}) << "it never ran";
  for (int k = 0; k < 5; ++k) pass();
  EXPECT_TRUE(first.statements.empty());
}

// The process is held up between reading the clock and the write: what a server is told may exceed what the
// client has left by that, and by nothing else. The proxy sends no hedged requests; an attempt that takes
// another's place is a retry.
struct StallTest : ServerCallsTest {
  static constexpr Time kMostTooMuch = 150ms;
  struct WrittenQuery {
    std::chrono::milliseconds told;
    Time left;  // of the client's time as the kernel gets the query
  };
  std::vector<WrittenQuery> queries;
  Time deadline{};

  // Exactly `stall` lies between the process's last look at its clock and each query's way to the kernel.
  void holdUpQueries(Time stall) {
    queries.clear();
    faults.beforeWrite = [this, stall](const std::string& bytes) {
      const long long told = timeTold(bytes);
      if (told < 0) return;
      const Time lastRead = clockRead;
      const Time now = engine->now();
      const Time written = now - (clockRead - lastRead) + stall;
      heldUp += written - now;
      queries.push_back({std::chrono::milliseconds(told), deadline - written});
    };
  }
  void expectTold(std::size_t count) const {
    ASSERT_EQ(queries.size(), count);
    for (const WrittenQuery& query : queries) {
      EXPECT_LE(query.told, query.left + kMostTooMuch);
      EXPECT_GT(query.told, query.left) << "the stall lies behind the last look at the clock";
    }
  }
  void start() {
    startEngine();
    ASSERT_TRUE(until([&] { return first.greeted() >= 2 && second.greeted() >= 2; }));
    holdUpQueries(kMostTooMuch);
    deadline = engine->now() + 5s;
  }
};
TEST_F(StallTest, AFirstAttemptIsToldNoMoreThanTheStallTooMuch) {
  start();
  ask(kRead, deadline);
  ASSERT_TRUE(until([&] { return !client.got.empty(); }));
  expectTold(1);
}
TEST_F(StallTest, ARetryIsToldNoMoreThanTheStallTooMuch) {
  start();
  first.answers = second.answers = false;
  ask(kRead, deadline);
  ASSERT_TRUE(until([&] { return first.statements.size() + second.statements.size() == 1; }));
  int failures = 0;
  faults.onRead = [&failures](int) { return ++failures == 1 ? ECONNRESET : 0; };
  first.answerAll();
  second.answerAll();
  ASSERT_TRUE(until([&] { return !client.got.empty(); }));
  EXPECT_EQ(outcomes.results(), (std::vector<AttemptResult>{AttemptResult::Reset, AttemptResult::Ok}));
  expectTold(2);
}
TEST_F(StallTest, AnAttemptThatWaitedForItsConnectionIsToldNoMoreThanTheStallTooMuch) {
  config.dialTimeout = 1h;
  first.greets = second.greets = false;
  startEngine();
  deadline = engine->now() + 5s;
  holdUpQueries(kMostTooMuch);
  ask(kWrite, deadline);
  ASSERT_TRUE(until([&] { return outcomes.sends == 1; }));
  heldUp += 1s;  // that it waits
  first.greetAll();
  second.greetAll();
  ASSERT_TRUE(until([&] { return !client.got.empty(); }));
  expectTold(1);
}
TEST_F(StallTest, ARewrittenStatementIsToldNoMoreThanTheStallTooMuch) {
  start();
  ask(kRead, deadline, messageOf("SELECT 'it\\'s' /* d=", true));
  ASSERT_TRUE(until([&] { return !client.got.empty(); }));
  expectTold(1);
  const std::string& sent = (first.statements.empty() ? second : first).statements.at(0);
  EXPECT_EQ(sent.substr(0, sent.find("d=")), "SELECT E'it\\'s' /* ");
}

// ---- statements rewritten for a server that reads backslashes differently -----------------------------
using namespace std::string_literals;

std::string statementOf(const std::optional<Buffer>& query) {
  if (!query) return "none";
  std::string bytes(evbuffer_get_length(query->get()), '\0');
  evbuffer_copyout(query->get(), bytes.data(), bytes.size());
  EXPECT_EQ(bytes.substr(0, postgres::kHeaderSize),
            postgres::queryHeader(bytes.size() - postgres::kHeaderSize));
  return bytes.substr(postgres::kHeaderSize);
}
TEST(RewrittenQuery, TellsTheTimeLeftBetweenLiteralsThatReadAlike) {
  const RequestMessage standard = messageOf("SELECT 'a\\b' /* d=", false);
  EXPECT_EQ(statementOf(composeRewrittenQuery(standard, 250ms, true)), "SELECT E'a\\\\b' /* d=250 */\0"s);
  const RequestMessage escaping = messageOf("SELECT 'it\\'s' /* d=", true);
  EXPECT_EQ(statementOf(composeRewrittenQuery(escaping, 1ms, false)), "SELECT E'it\\'s' /* d=1 */\0"s);
}
// A retry tells its own time: the first attempt has left the message as it was.
TEST(RewrittenQuery, LeavesTheMessageForTheNextAttempt) {
  const RequestMessage message = messageOf("SELECT 'a\\b' /* d=", false);
  EXPECT_EQ(statementOf(composeRewrittenQuery(message, 2500ms, true)), "SELECT E'a\\\\b' /* d=2500 */\0"s);
  EXPECT_EQ(statementOf(composeRewrittenQuery(message, 90ms, true)), "SELECT E'a\\\\b' /* d=90 */\0"s);
}
TEST(RewrittenQuery, TellsNoTimeWhereTheStatementDoesNot) {
  RequestMessage message{newBuffer(), newBuffer(), nullptr, {}, {}};
  append(message.after.get(), "SELECT 'a\\b'\0"s);
  EXPECT_EQ(statementOf(composeRewrittenQuery(message, 250ms, true)), "SELECT E'a\\\\b'\0"s);
}
TEST(RewrittenQuery, IsNoneWhereTheRewritingMakesItTooLong) {
  const std::string backslashes(postgres::kMaxMessage * 2 / 3, '\\');
  const RequestMessage message = messageOf("SELECT '" + backslashes + "' /* d=", false);
  EXPECT_EQ(composeRewrittenQuery(message, 250ms, true), std::nullopt);
}

// ---- discovery ------------------------------------------------------------------------------------------
struct DiscoveryCallsTest : testing::Test {
  CallFaults faults;
  EventBase base{event_base_new()};
  void SetUp() override { active = &faults; }
  void TearDown() override { active = nullptr; }
  static Address nameOf(int fd) {
    sockaddr_storage at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return Address::fromSocket(reinterpret_cast<const sockaddr*>(&at));
  }
  static int bound(int type) {
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const Address any = *Address::parse("127.0.0.1:0");
    EXPECT_EQ(bind(fd, any.data(), any.size()), 0);
    return fd;
  }
};
// Loopback refuses within connect(2): there is no later event to wait for.
TEST_F(DiscoveryCallsTest, AWatchThatIsRefusedAtOnceIsToldAtOnce) {
  struct Taker : EndpointListConsumer {
    int failures = 0;
    void endpointsListed(EndpointList) override {}
    void discoveryFailed(const std::string&) override { ++failures; }
    std::uint64_t generation() const override { return 1; }
  } taker;
  const int nobodyListens = bound(SOCK_STREAM);
  const Clock clock;
  RegistryWatch watch(base.get(), clock, taker, nameOf(nobodyListens), 1);
  watch.watch(1);
  for (int k = 0; k < 3; ++k) event_base_loop(base.get(), EVLOOP_NONBLOCK);
  EXPECT_EQ(taker.failures, 1);
  close(nobodyListens);
}
TEST_F(DiscoveryCallsTest, AQuestionThatFindsNoBufferIsNotHeldAgainstItsNameServer) {
  const int first = bound(SOCK_DGRAM), second = bound(SOCK_DGRAM);
  DnsSdSettings settings;
  settings.servers = {nameOf(first), nameOf(second)};
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
  EXPECT_EQ(arrived(second), 1) << "the question goes on to the next";
  resolver.query(dns::Question{"example.org.", dns::Type::Ptr}, false);
  ASSERT_TRUE(asked(3));
  EXPECT_EQ(arrived(first), 1) << "the next one starts with the first again";
  EXPECT_EQ(arrived(second), 0);
  close(first);
  close(second);
}

}  // namespace
}  // namespace sablespur::test
