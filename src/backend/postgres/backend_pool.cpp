#include "backend/postgres/backend_pool.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <optional>

#include "backend/postgres/cancel_request.hpp"
#include "backend/postgres/login.hpp"
#include "engine/system_calls.hpp"
#include "logging/log.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/login.hpp"
#include "protocol/postgres/startup.hpp"
#include "translation/settings.hpp"
#include "translation/values.hpp"

namespace sablespur {
namespace {

// Connections kept idle for each member that is ready. Guards against probes and first requests that pay for
// a dial: the Balancer takes a probe that is not answered within some ms for silence.
constexpr std::size_t kWarm = 2;
// Guards against what all proxies of a large fleet do at once at a member's start or their own: with more of
// them than this each keeps one connection, and dials it in advance at a moment of its own, this much later
// for each proxy; to a member that has just started, none in advance (herd+mass: the dials of all proxies
// came on top of what it was sent). What is needed is dialed at once.
constexpr int kFewProxies = 16;
constexpr Time kStagger = std::chrono::milliseconds(20);
constexpr Time kUpkeep = std::chrono::milliseconds(250);
constexpr Time kDialAgain = std::chrono::seconds(1);
// After a want of descriptors: closed ones are free in the loop's next pass.
constexpr Time kShortPause = std::chrono::milliseconds(10);
// Guards against the race with the data server's own idle limit: what is written to a connection that it has
// closed ends as a reset. So much of the limit is used.
constexpr double kIdleShare = 0.7;
// An answer whose first byte has come is whole by then: a data server writes it in one go. Guards against
// lengths that promise more than comes.
constexpr Time kWhole = std::chrono::milliseconds(250);
// A query tells how much time is left, and servers may be told of 0.15 s too much at most: a process that is
// held up takes its part of that, and so does a server that does not read.
constexpr Time kFlushWithin = std::chrono::milliseconds(100);
// Guards the memory: answers of any number of rows are held whole until they are complete.
constexpr std::size_t kLongestAnswer = 256 << 10;
// Salted passwords that are kept: as many as there are data servers with a salt of their own, within reason.
constexpr std::size_t kMostSalted = 256;
constexpr int kProbeTries = 4;        // connections that a probe may lose
constexpr double kMostHeld = 100000;  // requests that a data server may say it holds

// An item of a load report: "x0=1767225600.123,x1=1,inflight=7".
bool figure(std::string_view report, std::string_view name, double& value) {
  for (std::size_t at = 0; at < report.size();) {
    const std::size_t end = std::min(report.find(',', at), report.size());
    const std::string_view item = report.substr(at, end - at);
    at = end + 1;
    const std::size_t eq = item.find('=');
    if (eq == std::string_view::npos || item.substr(0, eq) != name) continue;
    const std::string_view text = item.substr(eq + 1);
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && stop == text.data() + text.size();
  }
  return false;
}

}  // namespace

// One attempt or one probe.
struct BackendPool::Operation {
  RequestId requestId = 0;  // 0: a probe
  int attemptNumber = 0;
  EndpointId endpoint = 0;
  Time deadline{};
  std::shared_ptr<const Message> message;
  Connection* connection = nullptr;  // null: it waits for a connection
  bool written = false;              // a byte of it may have gone out
  std::optional<AttemptResult>
      cancelledAs;          // a CancelRequest is out for it; how it ends unless it is answered
  int connectionsLost = 0;  // probes: connections that ended under it
  BackendPool* owner = nullptr;
  Event timer;
  bool isHealthCheck() const { return requestId == 0; }
};

// A connection belongs to its Upstream, which frees it; a job on it is only pointed at.
class BackendPool::Connection {
 public:
  // `fd`: a socket with a connect under way; -1: the endpoint has turned it away already.
  Connection(BackendPool& owner, EndpointId to, const Address& address, int minor, evutil_socket_t fd)
      : owner_(owner),
        descriptor_(owner.resources_, DescriptorHolder::Servers),
        address_(address),
        endpoint(to),
        minor_(minor),
        login_(openServerLogin(owner.config_)),
        timer(event_new(
            owner.base_, -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<Connection*>(self)->timedOut(); }, this)) {
    bev_.reset(bufferevent_socket_new(owner.base_, fd, BEV_OPT_CLOSE_ON_FREE));
    postgres::Startup hello;
    hello.minor = minor;
    hello.user = owner.config_.serverUser;
    hello.database = owner.config_.serverDatabase;
    append(output(), postgres::startup(hello));
    // A connect that fails at once is told by the timer: this call's own caller is not done yet.
    startTimer(timer.get(), fd < 0 ? Time(0) : owner.config_.dialTimeout);
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->read(); },
        [](bufferevent*, void* self) { static_cast<Connection*>(self)->outputDrained(); },
        [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->event(what); }, this);
    if (fd < 0) return;
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev_.get(), nullptr, 0);  // it is under way: this waits for its end
  }
  ~Connection() {
    // bufferevent_free closes the descriptor only in the loop's next pass; the end of an attempt has to show
    // before the next one goes out.
    const evutil_socket_t fd = bufferevent_getfd(bev_.get());
    if (fd >= 0) shutdown(fd, SHUT_RDWR);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  evbuffer* output() { return bufferevent_get_output(bev_.get()); }
  bool flushed() { return evbuffer_get_length(output()) == 0; }
  // Nothing has come that nobody asked for. Guards against taking what stands behind an answer (a second
  // copy, noise) for the next one; the peek sees what libevent has not read yet, and an end as well.
  bool quiet() {
    char byte;
    return evbuffer_get_length(bufferevent_get_input(bev_.get())) == 0 &&
           recv(bufferevent_getfd(bev_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  // A query, as far as the kernel takes it now. What it does not take within kFlushWithin of `composed`, when
  // the time that it tells was right, never goes out: the connection ends.
  void writeAtOnce(evbuffer* query, Time composed) {
    if (flushed()) evbuffer_write(query, bufferevent_getfd(bev_.get()));  // an error comes back as an event
    evbuffer_add_buffer(output(), query);
    if (flushed()) return;
    flushing_ = true;
    const Time left = composed + kFlushWithin - owner_.engine_.now();
    if (left <= Time(0))
      bufferevent_disable(bev_.get(), EV_WRITE);  // nothing more of it, in this pass either
    startTimer(timer.get(), left);
  }
  bool badStatement() const { return operation && badStatement_; }
  void start(Operation& j) {
    operation = &j;
    j.connection = this;
    event_del(timer.get());
    answer_ = newBuffer();
    result_ = AttemptResult::Reset;
    stage_ = Stage::Start;
    badStatement_ = cancelled_ = flushing_ = false;
    role_ = Role::Unknown;
    positionMs_ = 0;
    report_.reset();
    columns_ = 0;
  }
  bool backslashes() const { return backslashes_; }
  int minor() const { return minor_; }
  const Address& address() const { return address_; }
  // A CancelRequest for what runs here. False: the server has told no key.
  bool sendCancelRequest() {
    if (!key_ || cancelRequest_) return false;
    cancelDescriptor_ = ResourceBudget::DescriptorPermit(owner_.resources_, DescriptorHolder::Servers);
    cancelRequest_ = std::make_unique<CancelRequest>(owner_.base_, address_, postgres::cancel(*key_),
                                                     owner_.config_.giveUpWait, [this](bool taken) {
                                                       const auto ended = std::move(cancelRequest_);
                                                       cancelDescriptor_ = ResourceBudget::DescriptorPermit();
                                                       owner_.cancelRequestEnded(*this, taken);
                                                     });
    return true;
  }
  // The password is salted for a challenge; if it is this one's, the login goes on.
  void salted(const std::string& challenge, const std::string& result) {
    if (login_ && dialing && login_->challenge() == challenge)
      append(output(), login_->keyDerived(result).messages);
  }

 private:
  void event(short what) {
    const int error = what & BEV_EVENT_ERROR ? EVUTIL_SOCKET_ERROR() : 0;  // first: any call may change it
    if (what & BEV_EVENT_CONNECTED) {
      connected_ = true;
      const int on = 1;
      setsockopt(bufferevent_getfd(bev_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    const SocketCall call = connected_ ? SocketCall::Transfer : SocketCall::Connecting;
    if (classify(call, error) == SocketFault::OwnResource) return owner_.resourceExhausted(*this, error);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) owner_.connectionLost(*this, failure_);
  }
  void outputDrained() {
    if (!flushing_) return;
    flushing_ = false;
    event_del(timer.get());
  }
  void timedOut() {  // dialing, idle for long enough, amid a query that the server does not take, or amid an
                     // answer
    if (operation && flushing_) return owner_.connectionLost(*this, AttemptResult::Reset);
    if (operation) return owner_.protocolError(*this, "an answer that does not end");
    owner_.connectionLost(*this, failure_);
  }

  void read() {
    evbuffer* const in = bufferevent_get_input(bev_.get());
    while (evbuffer_get_length(in) > 0) {
      if (!dialing && !(operation && operation->written && flushed()))
        return owner_.protocolError(*this, "what nobody asked for");
      char bytes[postgres::kHead];
      if (evbuffer_copyout(in, bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) break;
      const auto head = postgres::parseHead(bytes);
      // Judged by its head, before the rest is read: it may promise gigabytes.
      if (!head || !expects(head->type) || head->body > longest(head->type))
        return owner_.protocolError(*this, "a message that is none");
      const std::size_t whole = sizeof bytes + head->body;
      if (!dialing && evbuffer_get_length(answer_.get()) + whole > kLongestAnswer)
        return owner_.answerTooLong(*this);
      if (evbuffer_get_length(in) < whole) break;
      // Only the answer's own messages go on to the client. A row is moved, its value unread, but for a
      // probe's.
      if (head->type == 'D' && !operation->isHealthCheck()) {
        if (!(strict() ? isValue(in, head->body) : isRow(in, head->body)))
          return owner_.protocolError(*this, "a malformed row");
        stage_ = Stage::Row;
        evbuffer_remove_buffer(in, answer_.get(), whole);
        continue;
      }
      const char* const at =
          reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(whole)));
      const std::string_view body(at + sizeof bytes, head->body);
      if (!handleMessage(head->type, body)) return;  // this connection is no more
      if (head->type == 'T' || head->type == 'C')
        evbuffer_remove_buffer(in, answer_.get(), whole);
      else
        evbuffer_drain(in, whole);
      if (head->type != 'Z') continue;
      if (cancelRequest_ && !dialing) continue;  // until the server is done with the CancelRequest
      if (!quiet() && !dialing)
        return owner_.drop(*this);  // the answer is good; its connection is of no more use
      if (!owner_.connectionReady(*this)) return;
    }
    if (operation && operation->written && (stage_ != Stage::Start || evbuffer_get_length(in) > 0) &&
        !event_pending(timer.get(), EV_TIMEOUT, nullptr))
      startTimer(timer.get(), kWhole);
  }

  // One row of one column, no more and no less.
  bool strict() const { return operation->isHealthCheck() || !owner_.config_.anyRows; }
  std::size_t longest(char type) const {
    const bool any = !dialing && !strict();
    if (type == 'D') return any ? postgres::kLongestMessage : postgres::kRowHead + postgres::kLongestValue;
    return any && type == 'T' ? postgres::kLongestMessage : postgres::kLongestNote;
  }
  static bool isValue(evbuffer* in, std::size_t body) {
    char row[postgres::kHead + postgres::kRowHead];
    char columns[postgres::kRowHead];
    const bool enough = evbuffer_copyout(in, row, sizeof row) == static_cast<ev_ssize_t>(sizeof row);
    std::copy(row + postgres::kHead, row + sizeof row, columns);
    return enough && postgres::isRowHead(columns, body);
  }
  // Whether the lengths within a row fit; the values are not looked at.
  bool isRow(evbuffer* in, std::size_t body) const {
    evbuffer_ptr at;
    char n[4];
    if (body < 2 || evbuffer_ptr_set(in, &at, postgres::kHead, EVBUFFER_PTR_SET) != 0 ||
        evbuffer_copyout_from(in, &at, n, 2) != 2 ||
        (static_cast<unsigned char>(n[0]) << 8 | static_cast<unsigned char>(n[1])) !=
            static_cast<int>(columns_))
      return false;
    std::size_t left = body - 2, skip = 2;
    for (std::size_t k = 0; k < columns_; ++k) {
      if (left < 4 || evbuffer_ptr_set(in, &at, skip, EVBUFFER_PTR_ADD) != 0 ||
          evbuffer_copyout_from(in, &at, n, 4) != 4)
        return false;
      const std::uint32_t length = postgres::readInt32(n);
      const std::size_t value = length == 0xffffffff ? 0 : length;  // null
      left -= 4;
      if (value > left) return false;
      left -= value;
      skip = 4 + value;
    }
    return left == 0;
  }

  // Whether a message of this type may come now: an answer is a description, a row, its completion, or an
  // error instead, and then ReadyForQuery.
  bool expects(char type) const {
    switch (type) {
      case 'S':
      case 'N':
        return true;
      case 'R':
      case 'K':
        return dialing;
      case 'v':
        return dialing && minor_ > 0;
      case 'T':
        return !dialing && stage_ == Stage::Start;
      case 'D':
        return !dialing && (stage_ == Stage::Described || (stage_ == Stage::Row && !strict()));
      case 'C':
        return !dialing && (stage_ == Stage::Row || (stage_ < Stage::Row && !strict()));
      case 'E':
        return dialing || stage_ < Stage::Complete;
      case 'Z':
        return dialing || stage_ >= Stage::Complete;
      default:
        return false;
    }
  }
  bool malformed(const char* what) {
    owner_.protocolError(*this, what);
    return false;
  }

  // False: the connection has ended.
  bool handleMessage(char type, std::string_view body) {
    switch (type) {
      case 'E': {
        const postgres::ErrorFields e = postgres::parseError(body);
        if (e.code.empty()) return malformed("a malformed error");
        stage_ = Stage::Failed;
        // Syntax, data, protocol: the statement is at fault.
        cancelled_ = e.code == "57014";
        badStatement_ = e.code.substr(0, 2) == "42" || e.code.substr(0, 2) == "22" || e.code == "08P01";
        result_ = e.code == "53300"                        ? AttemptResult::Rejected
                  : dialing                                ? AttemptResult::ConnectFailed
                  : e.code == "25006" || e.code == "72000" ? AttemptResult::TooStale
                                                           : AttemptResult::Error;
        if (result_ == AttemptResult::Error && e.code != "XX000" && !(operation && operation->cancelledAs))
          logEvent(LogLevel::Warning, "server_error", {{"code", e.code}, {"text", e.text}});
        failure_ = result_;
        // A server from before versions were negotiated: it is spoken to in 3.0 from now on.
        if (dialing && minor_ > 0 && e.code == "0A000") {
          owner_.dialOlderVersion(*this);
          return false;
        }
        if (!dialing && badStatement_ && owner_.config_.tellStatementErrors) {
          evbuffer_drain(answer_.get(), evbuffer_get_length(answer_.get()));
          append(answer_.get(), postgres::message('E', body));
        }
        if (!dialing && e.severity != "FATAL") return true;
        owner_.connectionLost(*this, result_);
        return false;
      }
      case 'S': {
        const auto [name, value] = postgres::parseParameter(body);
        if (name.empty()) return malformed("a malformed parameter");
        if (name == "role")
          role_ = value == "primary" ? Role::Primary : value == "replica" ? Role::Replica : Role::Unknown;
        if (name == "standard_conforming_strings") backslashes_ = value == "off";
        if (name == "applied_ms") {
          const char* const end = value.data() + value.size();
          const auto [stop, error] = std::from_chars(value.data(), end, positionMs_);
          if (error != std::errc() || stop != end) positionMs_ = 0;
        }
        return true;
      }
      case 'R':
        if (body.size() < 4) return malformed("a malformed request for a login");
        return authenticate(postgres::readInt32(body.data()), body.substr(4));
      case 'K':
        key_ = postgres::parseKeyData(body);  // of another length: there is no cancelling then
        return true;
      case 'T':
        if (strict() ? !postgres::isRowDescription(body) : !described(body))
          return malformed("a malformed description");
        stage_ = Stage::Described;
        return true;
      case 'D':
        if (const auto column = postgres::parseColumn(body)) report_ = std::string(*column);
        stage_ = Stage::Row;
        return true;
      case 'C':
        if (!postgres::isTag(body, strict() && !operation->isHealthCheck()))
          return malformed("a malformed completion");
        stage_ = Stage::Complete;
        return true;
      case 'v': {
        const auto spoken = postgres::parseNegotiate(body);
        if (!spoken || *spoken > minor_) return malformed("a malformed negotiation");
        owner_.endpoints_[endpoint].minorVersion = minor_ = *spoken;
        return true;
      }
      case 'Z':
        if (body.size() != 1 || std::string_view("ITE").find(body[0]) == std::string_view::npos)
          return malformed("a malformed end");
        failure_ = AttemptResult::Reset;
        if (!dialing) conclude();
        return true;
      default:
        return true;
    }
  }

  // False: the connection has ended.
  bool authenticate(std::uint32_t code, std::string_view data) {
    const auto out = [&](const std::string& why) {
      logEvent(LogLevel::Warning, "server_login_failed", {{"why", why}});
      owner_.connectionLost(*this, AttemptResult::ConnectFailed);
      return false;
    };
    if (code == postgres::kAuthOk) {
      if (login_ && !login_->acceptsAuthenticationOk())
        return out("it lets us in without having proved itself");
      login_.reset();
      return true;
    }
    if (!login_) return out("it wants a password, and there is none in the settings");
    const ServerLogin::Step s = login_->request(code, data);
    if (s.action == ServerLogin::Action::Fail) return out(s.reason);
    append(output(), s.messages);
    if (s.action != ServerLogin::Action::DeriveKey) return true;
    // The same password with the same salt is the same at each dial.
    if (const auto known = owner_.salted_.find(login_->challenge()); known != owner_.salted_.end()) {
      append(output(), login_->keyDerived(known->second).messages);
      return true;
    }
    return owner_.salt(login_->challenge(), login_->keyDerivation()) ? true : out("too many logins at once");
  }
  bool described(std::string_view body) {
    std::vector<translation::Column> columns;
    if (!postgres::readColumns(body, columns)) return false;
    columns_ = columns.size();
    return true;
  }

  void conclude() {
    Operation& j = *operation;
    operation = nullptr;
    j.connection = nullptr;
    event_del(timer.get());
    if (j.isHealthCheck()) return owner_.finishHealthCheck(j, report_.has_value(), report_.value_or(""));
    AttemptEnd e;
    e.result = stage_ == Stage::Failed ? result_ : AttemptResult::Ok;
    if (j.cancelledAs && cancelled_)
      e.result = *j.cancelledAs;  // the answer that crossed the cancel counts as it is
    e.invalidStatement = badStatement_;
    e.role = role_;
    e.positionMs = positionMs_;
    if (e.result == AttemptResult::Ok || evbuffer_get_length(answer_.get()) > 0)
      e.answer = {std::move(answer_), &postgres::reader(), e.result != AttemptResult::Ok};
    owner_.finish(j, std::move(e));
  }

  BackendPool& owner_;
  const ResourceBudget::DescriptorPermit descriptor_;
  const Address address_;
  BufferEvent bev_;
  bool connected_ = false;
  AttemptResult failure_ = AttemptResult::ConnectFailed;  // what its end means now
  AttemptResult result_ = AttemptResult::Reset;           // of the job, once told by an ErrorResponse
  Buffer answer_;
  enum class Stage { Start, Described, Row, Complete, Failed } stage_ = Stage::Start;  // of the answer
  bool badStatement_ = false, cancelled_ = false;
  bool flushing_ = false;  // the timer runs for what the kernel has not taken of the query
  Role role_ = Role::Unknown;
  std::int64_t positionMs_ = 0;
  std::optional<std::string> report_;
  std::size_t columns_ = 0;   // as described
  bool backslashes_ = false;  // by its own word

 public:
  const EndpointId endpoint;

 private:
  int minor_;                           // of version 3, as asked for, then as agreed
  std::unique_ptr<ServerLogin> login_;  // until it lets us in
  std::optional<postgres::Key> key_;
  ResourceBudget::DescriptorPermit cancelDescriptor_;
  std::unique_ptr<CancelRequest> cancelRequest_;

 public:
  bool dialing = true;  // no ReadyForQuery has come yet
  Operation* operation = nullptr;
  Event timer;  // of the dial, then of idleness
};

BackendPool::BackendPool(event_base* base, Engine& engine, WorkerPool& workers, ResourceBudget& account,
                         const Config& config)
    : base_(base),
      engine_(engine),
      workers_(workers),
      config_(config),
      resources_(account),
      maintenanceTimer_(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* self) {
            static_cast<BackendPool*>(self)->maintainWarmConnections();
          },
          this)),
      retryTimer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<BackendPool*>(self)->dialForWaiting(); },
          this)) {
  startTimer(maintenanceTimer_.get(), kUpkeep);
}
BackendPool::~BackendPool() = default;

void BackendPool::endpointListed(EndpointId id, const Address& address, bool ready, Time warmAt) {
  Endpoint& e = endpoints_[id];
  // Another process since: connections to the one before may stand there silent, if its machine vanished.
  const bool restarted = warmAt > e.warmAt;
  e.warmAt = warmAt;
  const bool moved = !address.none() && address != e.address;
  if (moved) e.nextDial = engine_.now() + dialDelayOf(id);
  if (moved) e.address = address;
  e.ready = ready;
  if (moved || restarted || !ready) dropIdle(e);
  if (moved) {  // what is still being dialed would lead to where it was
    std::vector<Connection*> dialing;
    for (const auto& [c, owned] : connections_)
      if (c->endpoint == id && c->dialing) dialing.push_back(c);
    for (Connection* c : dialing) drop(*c);
    while (static_cast<std::size_t>(e.dialing) < e.waiting.size())
      if (!dial(id, e)) break;
  }
  maintainWarmConnections();
}

// Another number for each member and each start of a proxy (splitmix64).
std::uint64_t BackendPool::dialHash(EndpointId id) const {
  std::uint64_t x = config_.seed + 0x9e3779b97f4a7c15ull * (id + 1);
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ x >> 27) * 0x94d049bb133111ebull;
  return x ^ x >> 31;
}

Time BackendPool::dialDelayOf(EndpointId id) const {
  if (dialDelay_) return dialDelay_(id);
  if (config_.settings.proxyCount <= kFewProxies) return Time(0);
  return config_.settings.proxyCount * kStagger * (dialHash(id) % 1000) / 1000;
}

void BackendPool::maintainWarmConnections() {
  const Time now = engine_.now();
  const bool large = config_.settings.proxyCount > kFewProxies;
  for (auto& [id, e] : endpoints_) {
    if (!e.ready || now < e.nextDial) continue;
    const std::size_t ahead = !large ? kWarm : now < e.warmAt && !dialDelay_ ? 0 : 1;
    while (e.idle.size() + static_cast<std::size_t>(e.dialing) < ahead + e.waiting.size() &&
           resources_.share(DescriptorHolder::Servers).held <
               resources_.share(DescriptorHolder::Servers).most / 2)
      if (!dial(id, e)) {
        if (processShortage_) return;
        e.nextDial = now + kDialAgain;
        break;
      }
  }
}

// Once for all connections that get the same challenge, and to its end even if those that asked are gone: a
// server may ask for more than there is time for at one dial.
bool BackendPool::salt(const std::string& challenge, std::function<std::string()> work) {
  if (salting_.count(challenge) > 0) return true;
  auto ticket = workers_.run(std::move(work), [this, challenge](const std::string& result) {
    salting_.erase(challenge);
    if (salted_.size() >= kMostSalted) salted_.clear();
    salted_[challenge] = result;
    for (const auto& [c, owned] : connections_) c->salted(challenge, result);
  });
  if (!ticket) return false;
  salting_.emplace(challenge, std::move(ticket));
  return true;
}

bool BackendPool::ensureRoom() {
  if (resources_.hasRoom(DescriptorHolder::Servers)) return true;
  for (auto& [id, e] : endpoints_)
    if (!e.idle.empty()) {
      drop(*e.idle.front());
      return true;
    }
  return false;
}

bool BackendPool::dial(EndpointId id, Endpoint& e) {
  const StartedConnect started = startConnect(e.address);
  if (started.fault != SocketFault::None && started.fault != SocketFault::Peer) {
    handleShortage(e, started.error);
    return false;
  }
  if (processShortage_) logEvent(LogLevel::Info, "connect_recovered");
  processShortage_ = false;
  auto c = std::make_unique<Connection>(*this, id, e.address, std::min(e.minorVersion, config_.serverMinor),
                                        started.fd);
  ++e.dialing;
  if (tracing())
    logEvent(LogLevel::Trace, "connect_started", {{"to", e.address.text()}, {"waiting", e.waiting.size()}});
  connections_.emplace(c.get(), std::move(c));
  return true;
}

// Guards against holding the proxy's own want against the data server: nothing is reported, what waits goes
// on waiting, and room is made. An idle connection to another server serves nobody now.
void BackendPool::handleShortage(Endpoint& e, int error) {
  const ResourceExhaustion what = resourceExhaustionOf(error);
  resources_.recordExhaustion(what);
  if (!processShortage_ && !e.localShortage)
    logEvent(LogLevel::Warning, "connect_failed",
             {{"why", std::strerror(error)}, {"of", resourceExhaustionName(what)}});
  e.localShortage = true;
  processShortage_ = what == ResourceExhaustion::Descriptors ||
                     what == ResourceExhaustion::Memory;  // ports and routes are a destination's
  if (what == ResourceExhaustion::Descriptors) {
    const auto idlest = std::max_element(
        endpoints_.begin(), endpoints_.end(),
        [](const auto& a, const auto& b) { return a.second.idle.size() < b.second.idle.size(); });
    if (idlest != endpoints_.end() && !idlest->second.idle.empty())
      drop(*idlest->second.idle.front());
    else if (onShortage_)
      onShortage_();
  }
  if (!event_pending(retryTimer_.get(), EV_TIMEOUT, nullptr)) startTimer(retryTimer_.get(), kShortPause);
}

void BackendPool::dialForWaiting() {
  for (auto& [id, e] : endpoints_)
    while (static_cast<std::size_t>(e.dialing) < e.waiting.size())
      if (!dial(id, e)) {
        if (processShortage_) return;
        break;
      }
}

// ---- jobs ------------------------------------------------------------------------------------------------
void BackendPool::send(RequestId id, int attempt, EndpointId member, Time until,
                       std::shared_ptr<const Message> message) {
  auto j = std::make_unique<Operation>();
  j->requestId = id;
  j->attemptNumber = attempt;
  j->endpoint = member;
  j->deadline = until;
  j->message = std::move(message);
  start(*attempts_.emplace(AttemptKey(id, attempt), std::move(j)).first->second);
}

void BackendPool::startHealthCheck(EndpointId member) {
  Endpoint& e = endpoints_[member];
  e.healthCheck = std::make_unique<Operation>();
  e.healthCheck->endpoint = member;
  e.healthCheck->deadline = engine_.now() + config_.dialTimeout;
  start(*e.healthCheck);
}

void BackendPool::removeEndpoint(EndpointId id) {
  std::vector<Connection*> all;
  for (const auto& [c, owned] : connections_)
    if (c->endpoint == id) all.push_back(c);
  for (Connection* c : all) drop(*c);
  endpoints_.erase(id);
}

void BackendPool::start(Operation& j) {
  j.owner = this;
  j.timer.reset(event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* of) {
        static_cast<Operation*>(of)->owner->timedOut(*static_cast<Operation*>(of));
      },
      &j));
  startTimer(j.timer.get(), j.deadline - engine_.now());
  Endpoint& e = endpoints_[j.endpoint];
  while (!e.idle.empty()) {
    Connection& c = *e.idle.back();
    e.idle.pop_back();
    if (!c.quiet()) {
      drop(c);
      continue;
    }
    c.start(j);
    return write(j);
  }
  if (!ensureRoom()) {  // by the limits on clients there is room for all that they can ask at once
    logEvent(LogLevel::Warning, "server_connections_full",
             {{"most", resources_.share(DescriptorHolder::Servers).most}});
    AttemptEnd none;
    none.result = AttemptResult::NotSent;
    return j.isHealthCheck() ? finishHealthCheck(j, false) : finish(j, std::move(none));
  }
  e.waiting.push_back(&j);
  if (static_cast<std::size_t>(e.dialing) < e.waiting.size()) dial(j.endpoint, e);
}

bool BackendPool::connectionReady(Connection& c) {
  Endpoint& e = endpoints_[c.endpoint];
  if (c.dialing) e.dialing -= 1;
  c.dialing = false;
  e.localShortage = false;
  if (!e.waiting.empty() && c.address() == e.address) {
    Operation& j = *e.waiting.front();
    e.waiting.pop_front();
    if (j.isHealthCheck() && !e.ready) {  // it has begun to leave while this was dialed: nobody asks any more
      finishHealthCheck(j, false);
      return connectionReady(c);
    }
    c.start(j);
    // An attempt that had to wait is looked at again: drains and the data's age count from the bytes sent.
    if (j.isHealthCheck())
      write(j);
    else
      engine_.connectionReady(j.requestId, j.attemptNumber);
    return true;
  }
  if (!e.ready || c.address() != e.address) {
    drop(c);
    return false;
  }
  e.idle.push_back(&c);
  startTimer(c.timer.get(),
             Time(static_cast<std::int64_t>(static_cast<double>(config_.idleClose.count()) * kIdleShare)));
  return true;
}

void BackendPool::continueAttempt(RequestId id, int attempt, bool fit) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end() || !it->second->connection || it->second->written) return;
  Operation& j = *it->second;
  fit ? write(j) : withdraw(j);
}

// The clock is read last, and the bytes go to the kernel within the same call: the time that they tell is
// right but for how long this process is held up in between.
void BackendPool::write(Operation& j) {
  if (j.isHealthCheck()) {
    j.written = true;
    return append(j.connection->output(), postgres::query("SHOW load"));
  }
  const bool backslashes = j.message->from && j.message->from->backslashes;
  if (backslashes != j.connection->backslashes()) return writeRewritten(j);
  const Time now = engine_.now();
  const std::int64_t left = wholeMillisecondsLeft(j, now);
  if (left < 1) return withdraw(j);
  j.written = true;
  // The statement goes on as it came, by reference, but for the time that is left.
  const std::string digits = std::to_string(left);
  const std::size_t before = evbuffer_get_length(j.message->before.get()),
                    length = before + (before > 0 ? digits.size() : 0) +
                             evbuffer_get_length(j.message->after.get());
  const Buffer query = newBuffer();
  append(query.get(), postgres::queryHead(length));
  evbuffer_add_buffer_reference(query.get(), j.message->before.get());
  if (before > 0) append(query.get(), digits);  // else the statement does not say how long it waits
  evbuffer_add_buffer_reference(query.get(), j.message->after.get());
  j.connection->writeAtOnce(query.get(), now);
}

// For a server that reads string literals otherwise than who wrote them.
void BackendPool::writeRewritten(Operation& j) {
  std::string statement;
  const auto copy = [&](evbuffer* part) {
    const std::size_t at = statement.size(), n = evbuffer_get_length(part);
    statement.resize(at + n);
    evbuffer_copyout(part, statement.data() + at, n);
  };
  const Time now = engine_.now();
  const std::int64_t left = wholeMillisecondsLeft(j, now);
  if (left < 1) return withdraw(j);
  j.written = true;
  copy(j.message->before.get());
  if (!statement.empty()) statement += std::to_string(left);
  copy(j.message->after.get());
  statement.pop_back();  // its NUL
  const std::string there =
      translation::rewriteLiterals(statement, !j.connection->backslashes(), j.connection->backslashes());
  if (there.size() + 1 > postgres::kLongestMessage) return answerTooLong(*j.connection);
  const Buffer query = newBuffer();
  append(query.get(), postgres::query(there));
  j.connection->writeAtOnce(query.get(), now);
}

// Rounded down, so that no server is told of time that the client does not have.
std::int64_t BackendPool::wholeMillisecondsLeft(const Operation& j, Time now) {
  return std::chrono::floor<std::chrono::milliseconds>(j.deadline - now).count();
}

// The attempt never goes out; its connection is free for others.
void BackendPool::withdraw(Operation& j) {
  Connection& c = *j.connection;
  c.operation = nullptr;
  j.connection = nullptr;
  AttemptEnd none;
  none.result = AttemptResult::NotSent;
  finish(j, std::move(none));
  connectionReady(c);
}

// By no fault of the server: the statement, or what it asks for, has no room here.
void BackendPool::answerTooLong(Connection& c) {
  Operation& j = *c.operation;
  c.operation = nullptr;
  j.connection = nullptr;
  drop(c);
  AttemptEnd e;
  e.result = AttemptResult::Error;
  e.invalidStatement = true;
  e.answer = {newBuffer(), &postgres::reader(), true};
  append(e.answer.messages.get(),
         postgres::error("ERROR", "54000", "a statement or an answer that is too long to be passed on"));
  finish(j, std::move(e));
}

void BackendPool::cancel(RequestId id, int attempt) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end()) return;  // its end is on the way already
  Operation& j = *it->second;
  if (j.cancelledAs || requestCancel(j, AttemptResult::Cancelled)) return;
  AttemptEnd e;
  e.result = j.written ? AttemptResult::Cancelled : AttemptResult::NotSent;
  if (Connection* const c = j.connection) {
    j.connection = nullptr;
    c->operation = nullptr;
    if (j.written)
      drop(*c);
    else
      connectionReady(*c);
  }
  finish(j, std::move(e));
}

// The attempt is over once the server has answered, or not in time: no second one goes out before.
bool BackendPool::requestCancel(Operation& j, AttemptResult how) {
  if (!config_.cancelServers || j.isHealthCheck() || !j.written || !j.connection ||
      !j.connection->flushed() || !ensureRoom() || !j.connection->sendCancelRequest())
    return false;
  j.cancelledAs = how;
  startTimer(j.timer.get(), config_.giveUpWait);
  return true;
}

void BackendPool::cancelRequestEnded(Connection& c, bool taken) {
  if (c.operation) {
    if (!taken) timedOut(*c.operation);  // it cannot be told, so its connection ends
    return;
  }
  if (!taken || !c.quiet()) return drop(c);
  connectionReady(c);
}

void BackendPool::timedOut(Operation& j) {
  if (!j.cancelledAs && requestCancel(j, AttemptResult::Timeout)) return;
  AttemptEnd e;
  e.result = j.cancelledAs ? *j.cancelledAs
             : j.written   ? AttemptResult::Timeout
                           : AttemptResult::NotSent;  // what never left did not run
  if (Connection* const c = j.connection) {
    j.connection = nullptr;
    c->operation = nullptr;
    drop(*c);
  }
  if (!j.isHealthCheck()) return finish(j, std::move(e));
  // Guards against the silent connections of a machine that is cut off: a probe is answered at once or not at
  // all, so the other idle ones are no better. A send that has to dial fails without having run, and soon; on
  // a silent connection it is lost until its deadline, and may have run.
  Endpoint& endpoint = endpoints_[j.endpoint];
  // A probe that had nothing here to go out on tells nothing of its member; by this word it lives, unheard.
  if ((processShortage_ || endpoint.localShortage) && !j.written) return finishHealthCheck(j, true);
  dropIdle(endpoint);
  endpoint.nextDial = engine_.now() + kDialAgain;
  finishHealthCheck(j, false);
}

void BackendPool::finish(Operation& j, AttemptEnd e) {
  auto& waiting = endpoints_[j.endpoint].waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), &j), waiting.end());
  engine_.attemptEnded(j.requestId, j.attemptNumber, j.endpoint, std::move(e));
  attempts_.erase({j.requestId, j.attemptNumber});
}

void BackendPool::finishHealthCheck(Operation& j, bool ok, std::string_view report) {
  Endpoint& e = endpoints_[j.endpoint];
  e.waiting.erase(std::remove(e.waiting.begin(), e.waiting.end(), &j), e.waiting.end());
  engine_.healthCheckEnded(j.endpoint, ok, ok ? parseReport(report) : std::vector<double>());
  e.healthCheck.reset();
}

// The figures of a report, or none where one of them cannot be: a spoilt report is no fact. A data server
// that has nothing to report yet answers all the same, with an empty row: it is no silence.
std::vector<double> BackendPool::parseReport(std::string_view report) const {
  const double now = static_cast<double>(engine_.now().count()) / 1e6;
  std::vector<double> figures(config_.reportNames.size());
  for (std::size_t k = 0; k < figures.size(); ++k) {
    double& v = figures[k];
    if (!figure(report, config_.reportNames[k], v) || !std::isfinite(v)) return {};
    switch (config_.settings.reportFields[k]) {
      case balancer::ReportField::Position:
        if (v < 0 || v > now + 1) return {};
        break;
      case balancer::ReportField::Primary:
        if (v != 0 && v != 1) return {};
        break;
      default:
        if (v < 0 || v > kMostHeld) return {};
    }
  }
  return figures;
}

// ---- the end of connections ------------------------------------------------------------------------------
void BackendPool::connectionLost(Connection& c, AttemptResult how) {
  Endpoint& e = endpoints_[c.endpoint];
  Operation* const j = c.operation;
  const bool dialing = c.dialing, badStatement = c.badStatement();
  // Written to the last byte it may have run; before that it never has.
  if (j && how == AttemptResult::Reset && (!j->written || !c.flushed())) how = AttemptResult::ConnectFailed;
  if (j && j->cancelledAs) how = *j->cancelledAs;
  if (j) {
    j->connection = nullptr;
    c.operation = nullptr;
  }
  drop(c);
  // Guards against taking the end of a kept connection for that of its member: the probe goes out on another.
  if (j && j->isHealthCheck() && ++j->connectionsLost < kProbeTries) {
    j->written = false;
    return start(*j);
  }
  if (j && j->isHealthCheck()) return finishHealthCheck(*j, false);
  if (j) {
    AttemptEnd ending;
    ending.result = how;
    ending.invalidStatement = badStatement;
    return finish(*j, std::move(ending));
  }
  if (dialing) dialFailed(e, how);
}

// A connection that ended for want of something here. Guards against holding that against the endpoint: what
// has not gone out whole never ran and waits for another connection; what has may have run.
void BackendPool::resourceExhausted(Connection& c, int error) {
  Endpoint& e = endpoints_[c.endpoint];
  Operation* const j = c.operation;
  const bool wanted = j || c.dialing, sent = j && j->written && c.flushed();
  if (j) {
    j->connection = nullptr;
    c.operation = nullptr;
  }
  drop(c);
  if (wanted) handleShortage(e, error);
  if (!j) return;
  if (!j->cancelledAs && (!sent || j->isHealthCheck())) {
    j->written = false;
    e.waiting.push_back(j);
    return;
  }
  AttemptEnd ending;
  ending.result = j->cancelledAs ? *j->cancelledAs : AttemptResult::Cancelled;
  finish(*j, std::move(ending));
}

// What cannot be an answer, or stands where none is due. An attempt that was written may have run; a probe
// was answered, however badly: its member lives.
void BackendPool::protocolError(Connection& c, const char* what) {
  logEvent(LogLevel::Warning, "server_protocol_error", {{"what", what}});
  Endpoint& e = endpoints_[c.endpoint];
  Operation* const j = c.operation;
  const bool dialing = c.dialing, ran = j && j->written && c.flushed();
  if (j) {
    j->connection = nullptr;
    c.operation = nullptr;
  }
  drop(c);
  if (!j) {
    if (dialing) dialFailed(e, AttemptResult::ConnectFailed);
    return;
  }
  if (j->isHealthCheck()) return finishHealthCheck(*j, true);
  AttemptEnd ending;
  ending.result = j->cancelledAs ? *j->cancelledAs : ran ? AttemptResult::Error : AttemptResult::NotSent;
  finish(*j, std::move(ending));
}

void BackendPool::dialOlderVersion(Connection& c) {
  const EndpointId id = c.endpoint;
  Endpoint& e = endpoints_[id];
  e.minorVersion = 0;
  drop(c);
  dial(id, e);
}

void BackendPool::dialFailed(Endpoint& e, AttemptResult how) {
  e.localShortage = false;
  e.nextDial = engine_.now() + kDialAgain;
  if (tracing())
    logEvent(LogLevel::Trace, "connect_failed",
             {{"to", e.address.text()}, {"how", static_cast<int>(how)}, {"waiting", e.waiting.size()}});
  if (e.waiting.size() <= static_cast<std::size_t>(e.dialing)) return;
  Operation& j = *e.waiting.front();
  if (j.isHealthCheck()) return finishHealthCheck(j, false);
  AttemptEnd ending;
  ending.result = how;
  finish(j, std::move(ending));
}

void BackendPool::dropIdle(Endpoint& e) {
  const std::vector<Connection*> idle = e.idle;
  for (Connection* c : idle) drop(*c);
}

void BackendPool::drop(Connection& c) {
  Endpoint& e = endpoints_[c.endpoint];
  if (c.dialing) e.dialing -= 1;
  e.idle.erase(std::remove(e.idle.begin(), e.idle.end(), &c), e.idle.end());
  connections_.erase(&c);
}

}  // namespace sablespur
