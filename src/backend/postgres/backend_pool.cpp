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
struct BackendPool::Job {
  RequestId id = 0;  // 0: a probe
  int attempt = 0;
  EndpointId member = 0;
  Time until{};
  std::shared_ptr<const RequestMessage> message;
  Connection* on = nullptr;              // null: it waits for a connection
  bool written = false;                  // a byte of it may have gone out
  std::optional<AttemptResult> givenUp;  // a CancelRequest is out for it; how it ends unless it is answered
  int broken = 0;                        // probes: connections that ended under it
  BackendPool* owner = nullptr;
  Event timer;
  bool probe() const { return id == 0; }
};

// A connection belongs to its Upstream, which frees it; a job on it is only pointed at.
class BackendPool::Connection {
 public:
  // `fd`: a socket with a connect under way; -1: the endpoint has turned it away already.
  Connection(BackendPool& owner, EndpointId to, const Address& address, int minor, evutil_socket_t fd)
      : owner_(owner),
        descriptor_(owner.account_, DescriptorHolder::Servers),
        address_(address),
        member(to),
        minor_(minor),
        login_(openServerLogin(owner.config_)),
        timer(event_new(
            owner.base_, -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<Connection*>(self)->late(); }, this)) {
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
        [](bufferevent*, void* self) { static_cast<Connection*>(self)->drained(); },
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
  bool clean() {
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
  bool badStatement() const { return job && badStatement_; }
  void begin(Job& j) {
    job = &j;
    j.on = this;
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
  bool callOff() {
    if (!key_ || call_) return false;
    callDescriptor_ = ResourceBudget::DescriptorPermit(owner_.account_, DescriptorHolder::Servers);
    call_ = std::make_unique<CancelCall>(owner_.base_, address_, postgres::cancel(*key_),
                                         owner_.config_.giveUpWait, [this](bool taken) {
                                           const auto ended = std::move(call_);
                                           callDescriptor_ = ResourceBudget::DescriptorPermit();
                                           owner_.giveUpEnded(*this, taken);
                                         });
    return true;
  }
  // The password is salted for a challenge; if it is this one's, the login goes on.
  void salted(const std::string& challenge, const std::string& result) {
    if (login_ && dialing && login_->challenge() == challenge)
      append(output(), login_->salted(result).messages);
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
    if (classify(call, error) == SocketFault::OwnResource) return owner_.ranOut(*this, error);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) owner_.lost(*this, failure_);
  }
  void drained() {
    if (!flushing_) return;
    flushing_ = false;
    event_del(timer.get());
  }
  void
  late() {  // dialing, idle for long enough, amid a query that the server does not take, or amid an answer
    if (job && flushing_) return owner_.lost(*this, AttemptResult::Reset);
    if (job) return owner_.spoilt(*this, "an answer that does not end");
    owner_.lost(*this, failure_);
  }

  void read() {
    evbuffer* const in = bufferevent_get_input(bev_.get());
    while (evbuffer_get_length(in) > 0) {
      if (!dialing && !(job && job->written && flushed()))
        return owner_.spoilt(*this, "what nobody asked for");
      char bytes[postgres::kHead];
      if (evbuffer_copyout(in, bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) break;
      const auto head = postgres::parseHead(bytes);
      // Judged by its head, before the rest is read: it may promise gigabytes.
      if (!head || !due(head->type) || head->body > longest(head->type))
        return owner_.spoilt(*this, "a message that is none");
      const std::size_t whole = sizeof bytes + head->body;
      if (!dialing && evbuffer_get_length(answer_.get()) + whole > kLongestAnswer)
        return owner_.tooLong(*this);
      if (evbuffer_get_length(in) < whole) break;
      // Only the answer's own messages go on to the client. A row is moved, its value unread, but for a
      // probe's.
      if (head->type == 'D' && !job->probe()) {
        if (!(strict() ? isValue(in, head->body) : isRow(in, head->body)))
          return owner_.spoilt(*this, "a malformed row");
        stage_ = Stage::Row;
        evbuffer_remove_buffer(in, answer_.get(), whole);
        continue;
      }
      const char* const at =
          reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(whole)));
      const std::string_view body(at + sizeof bytes, head->body);
      if (!take(head->type, body)) return;  // this connection is no more
      if (head->type == 'T' || head->type == 'C')
        evbuffer_remove_buffer(in, answer_.get(), whole);
      else
        evbuffer_drain(in, whole);
      if (head->type != 'Z') continue;
      if (call_ && !dialing) continue;  // until the server is done with the CancelRequest
      if (!clean() && !dialing)
        return owner_.drop(*this);  // the answer is good; its connection is of no more use
      if (!owner_.stands(*this)) return;
    }
    if (job && job->written && (stage_ != Stage::Start || evbuffer_get_length(in) > 0) &&
        !event_pending(timer.get(), EV_TIMEOUT, nullptr))
      startTimer(timer.get(), kWhole);
  }

  // One row of one column, no more and no less.
  bool strict() const { return job->probe() || !owner_.config_.anyRows; }
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
  bool due(char type) const {
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
    owner_.spoilt(*this, what);
    return false;
  }

  // False: the connection has ended.
  bool take(char type, std::string_view body) {
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
        if (result_ == AttemptResult::Error && e.code != "XX000" && !(job && job->givenUp))
          logEvent(LogLevel::Warning, "server_error", {{"code", e.code}, {"text", e.text}});
        failure_ = result_;
        // A server from before versions were negotiated: it is spoken to in 3.0 from now on.
        if (dialing && minor_ > 0 && e.code == "0A000") {
          owner_.dialOlder(*this);
          return false;
        }
        if (!dialing && badStatement_ && owner_.config_.tellStatementErrors) {
          evbuffer_drain(answer_.get(), evbuffer_get_length(answer_.get()));
          append(answer_.get(), postgres::message('E', body));
        }
        if (!dialing && e.severity != "FATAL") return true;
        owner_.lost(*this, result_);
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
        if (!postgres::isTag(body, strict() && !job->probe())) return malformed("a malformed completion");
        stage_ = Stage::Complete;
        return true;
      case 'v': {
        const auto spoken = postgres::parseNegotiate(body);
        if (!spoken || *spoken > minor_) return malformed("a malformed negotiation");
        owner_.endpoints_[member].minor = minor_ = *spoken;
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
      owner_.lost(*this, AttemptResult::ConnectFailed);
      return false;
    };
    if (code == postgres::kAuthOk) {
      if (login_ && !login_->mayEnter()) return out("it lets us in without having proved itself");
      login_.reset();
      return true;
    }
    if (!login_) return out("it wants a password, and there is none in the settings");
    const ServerLogin::Said s = login_->request(code, data);
    if (s.next == ServerLogin::Next::Out) return out(s.why);
    append(output(), s.messages);
    if (s.next != ServerLogin::Next::Salt) return true;
    // The same password with the same salt is the same at each dial.
    if (const auto known = owner_.salted_.find(login_->challenge()); known != owner_.salted_.end()) {
      append(output(), login_->salted(known->second).messages);
      return true;
    }
    return owner_.salt(login_->challenge(), login_->slow()) ? true : out("too many logins at once");
  }
  bool described(std::string_view body) {
    std::vector<translation::Column> columns;
    if (!postgres::readColumns(body, columns)) return false;
    columns_ = columns.size();
    return true;
  }

  void conclude() {
    Job& j = *job;
    job = nullptr;
    j.on = nullptr;
    event_del(timer.get());
    if (j.probe()) return owner_.finishProbe(j, report_.has_value(), report_.value_or(""));
    AttemptEnd e;
    e.result = stage_ == Stage::Failed ? result_ : AttemptResult::Ok;
    if (j.givenUp && cancelled_) e.result = *j.givenUp;  // the answer that crossed the cancel counts as it is
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
  const EndpointId member;

 private:
  int minor_;                           // of version 3, as asked for, then as agreed
  std::unique_ptr<ServerLogin> login_;  // until it lets us in
  std::optional<postgres::Key> key_;
  ResourceBudget::DescriptorPermit callDescriptor_;
  std::unique_ptr<CancelCall> call_;

 public:
  bool dialing = true;  // no ReadyForQuery has come yet
  Job* job = nullptr;
  Event timer;  // of the dial, then of idleness
};

BackendPool::BackendPool(event_base* base, Engine& engine, WorkerPool& workers, ResourceBudget& account,
                         const Config& config)
    : base_(base),
      engine_(engine),
      workers_(workers),
      config_(config),
      account_(account),
      upkeep_(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<BackendPool*>(self)->keepWarm(); }, this)),
      again_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<BackendPool*>(self)->dialWaiting(); }, this)) {
  startTimer(upkeep_.get(), kUpkeep);
}
BackendPool::~BackendPool() = default;

void BackendPool::endpointListed(EndpointId id, const Address& address, bool ready, Time warmAt) {
  Endpoint& e = endpoints_[id];
  // Another process since: connections to the one before may stand there silent, if its machine vanished.
  const bool restarted = warmAt > e.warmAt;
  e.warmAt = warmAt;
  const bool moved = !address.none() && address != e.address;
  if (moved) e.dialAgain = engine_.now() + turnOf(id);
  if (moved) e.address = address;
  e.ready = ready;
  if (moved || restarted || !ready) dropIdle(e);
  if (moved) {  // what is still being dialed would lead to where it was
    std::vector<Connection*> dialing;
    for (const auto& [c, owned] : connections_)
      if (c->member == id && c->dialing) dialing.push_back(c);
    for (Connection* c : dialing) drop(*c);
    while (static_cast<std::size_t>(e.dialing) < e.waiting.size())
      if (!dial(id, e)) break;
  }
  keepWarm();
}

// Another number for each member and each start of a proxy (splitmix64).
std::uint64_t BackendPool::pickAt(EndpointId id) const {
  std::uint64_t x = config_.seed + 0x9e3779b97f4a7c15ull * (id + 1);
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ x >> 27) * 0x94d049bb133111ebull;
  return x ^ x >> 31;
}

Time BackendPool::turnOf(EndpointId id) const {
  if (dialTurn_) return dialTurn_(id);
  if (config_.settings.proxyCount <= kFewProxies) return Time(0);
  return config_.settings.proxyCount * kStagger * (pickAt(id) % 1000) / 1000;
}

void BackendPool::keepWarm() {
  const Time now = engine_.now();
  const bool large = config_.settings.proxyCount > kFewProxies;
  for (auto& [id, e] : endpoints_) {
    if (!e.ready || now < e.dialAgain) continue;
    const std::size_t ahead = !large ? kWarm : now < e.warmAt && !dialTurn_ ? 0 : 1;
    while (e.idle.size() + static_cast<std::size_t>(e.dialing) < ahead + e.waiting.size() &&
           account_.share(DescriptorHolder::Servers).held <
               account_.share(DescriptorHolder::Servers).most / 2)
      if (!dial(id, e)) {
        if (short_) return;
        e.dialAgain = now + kDialAgain;
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

bool BackendPool::makeRoom() {
  if (account_.hasRoom(DescriptorHolder::Servers)) return true;
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
    shortOf(e, started.error);
    return false;
  }
  if (short_) logEvent(LogLevel::Info, "connect_recovered");
  short_ = false;
  auto c =
      std::make_unique<Connection>(*this, id, e.address, std::min(e.minor, config_.serverMinor), started.fd);
  ++e.dialing;
  if (tracing())
    logEvent(LogLevel::Trace, "connect_started", {{"to", e.address.text()}, {"waiting", e.waiting.size()}});
  connections_.emplace(c.get(), std::move(c));
  return true;
}

// Guards against holding the proxy's own want against the data server: nothing is reported, what waits goes
// on waiting, and room is made. An idle connection to another server serves nobody now.
void BackendPool::shortOf(Endpoint& e, int error) {
  const ResourceExhaustion what = resourceExhaustionOf(error);
  account_.recordExhaustion(what);
  if (!short_ && !e.starved)
    logEvent(LogLevel::Warning, "connect_failed",
             {{"why", std::strerror(error)}, {"of", resourceExhaustionName(what)}});
  e.starved = true;
  short_ = what == ResourceExhaustion::Descriptors ||
           what == ResourceExhaustion::Memory;  // ports and routes are a destination's
  if (what == ResourceExhaustion::Descriptors) {
    const auto idlest = std::max_element(
        endpoints_.begin(), endpoints_.end(),
        [](const auto& a, const auto& b) { return a.second.idle.size() < b.second.idle.size(); });
    if (idlest != endpoints_.end() && !idlest->second.idle.empty())
      drop(*idlest->second.idle.front());
    else if (shortage_)
      shortage_();
  }
  if (!event_pending(again_.get(), EV_TIMEOUT, nullptr)) startTimer(again_.get(), kShortPause);
}

void BackendPool::dialWaiting() {
  for (auto& [id, e] : endpoints_)
    while (static_cast<std::size_t>(e.dialing) < e.waiting.size())
      if (!dial(id, e)) {
        if (short_) return;
        break;
      }
}

// ---- jobs ------------------------------------------------------------------------------------------------
void BackendPool::send(RequestId id, int attempt, EndpointId member, Time until,
                       std::shared_ptr<const RequestMessage> message) {
  auto j = std::make_unique<Job>();
  j->id = id;
  j->attempt = attempt;
  j->member = member;
  j->until = until;
  j->message = std::move(message);
  run(*attempts_.emplace(AttemptKey(id, attempt), std::move(j)).first->second);
}

void BackendPool::startHealthCheck(EndpointId member) {
  Endpoint& e = endpoints_[member];
  e.probe = std::make_unique<Job>();
  e.probe->member = member;
  e.probe->until = engine_.now() + config_.dialTimeout;
  run(*e.probe);
}

void BackendPool::removeEndpoint(EndpointId id) {
  std::vector<Connection*> all;
  for (const auto& [c, owned] : connections_)
    if (c->member == id) all.push_back(c);
  for (Connection* c : all) drop(*c);
  endpoints_.erase(id);
}

void BackendPool::run(Job& j) {
  j.owner = this;
  j.timer.reset(event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* of) {
        static_cast<Job*>(of)->owner->timedOut(*static_cast<Job*>(of));
      },
      &j));
  startTimer(j.timer.get(), j.until - engine_.now());
  Endpoint& e = endpoints_[j.member];
  while (!e.idle.empty()) {
    Connection& c = *e.idle.back();
    e.idle.pop_back();
    if (!c.clean()) {
      drop(c);
      continue;
    }
    c.begin(j);
    return write(j);
  }
  if (!makeRoom()) {  // by the limits on clients there is room for all that they can ask at once
    logEvent(LogLevel::Warning, "server_connections_full",
             {{"most", account_.share(DescriptorHolder::Servers).most}});
    AttemptEnd none;
    none.result = AttemptResult::NotSent;
    return j.probe() ? finishProbe(j, false) : finish(j, std::move(none));
  }
  e.waiting.push_back(&j);
  if (static_cast<std::size_t>(e.dialing) < e.waiting.size()) dial(j.member, e);
}

bool BackendPool::stands(Connection& c) {
  Endpoint& e = endpoints_[c.member];
  if (c.dialing) e.dialing -= 1;
  c.dialing = false;
  e.starved = false;
  if (!e.waiting.empty() && c.address() == e.address) {
    Job& j = *e.waiting.front();
    e.waiting.pop_front();
    if (j.probe() && !e.ready) {  // it has begun to leave while this was dialed: nobody asks any more
      finishProbe(j, false);
      return stands(c);
    }
    c.begin(j);
    // An attempt that had to wait is looked at again: drains and the data's age count from the bytes sent.
    if (j.probe())
      write(j);
    else
      engine_.connectionReady(j.id, j.attempt);
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
  if (it == attempts_.end() || !it->second->on || it->second->written) return;
  Job& j = *it->second;
  fit ? write(j) : withdraw(j);
}

// The clock is read last, and the bytes go to the kernel within the same call: the time that they tell is
// right but for how long this process is held up in between.
void BackendPool::write(Job& j) {
  if (j.probe()) {
    j.written = true;
    return append(j.on->output(), postgres::query("SHOW load"));
  }
  const bool backslashes = j.message->from && j.message->from->backslashes;
  if (backslashes != j.on->backslashes()) return rewrite(j);
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
  j.on->writeAtOnce(query.get(), now);
}

// For a server that reads string literals otherwise than who wrote them.
void BackendPool::rewrite(Job& j) {
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
      translation::rewriteLiterals(statement, !j.on->backslashes(), j.on->backslashes());
  if (there.size() + 1 > postgres::kLongestMessage) return tooLong(*j.on);
  const Buffer query = newBuffer();
  append(query.get(), postgres::query(there));
  j.on->writeAtOnce(query.get(), now);
}

// Rounded down, so that no server is told of time that the client does not have.
std::int64_t BackendPool::wholeMillisecondsLeft(const Job& j, Time now) {
  return std::chrono::floor<std::chrono::milliseconds>(j.until - now).count();
}

// The attempt never goes out; its connection is free for others.
void BackendPool::withdraw(Job& j) {
  Connection& c = *j.on;
  c.job = nullptr;
  j.on = nullptr;
  AttemptEnd none;
  none.result = AttemptResult::NotSent;
  finish(j, std::move(none));
  stands(c);
}

// By no fault of the server: the statement, or what it asks for, has no room here.
void BackendPool::tooLong(Connection& c) {
  Job& j = *c.job;
  c.job = nullptr;
  j.on = nullptr;
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
  Job& j = *it->second;
  if (j.givenUp || giveUp(j, AttemptResult::Cancelled)) return;
  AttemptEnd e;
  e.result = j.written ? AttemptResult::Cancelled : AttemptResult::NotSent;
  if (Connection* const c = j.on) {
    j.on = nullptr;
    c->job = nullptr;
    if (j.written)
      drop(*c);
    else
      stands(*c);
  }
  finish(j, std::move(e));
}

// The attempt is over once the server has answered, or not in time: no second one goes out before.
bool BackendPool::giveUp(Job& j, AttemptResult how) {
  if (!config_.cancelServers || j.probe() || !j.written || !j.on || !j.on->flushed() || !makeRoom() ||
      !j.on->callOff())
    return false;
  j.givenUp = how;
  startTimer(j.timer.get(), config_.giveUpWait);
  return true;
}

void BackendPool::giveUpEnded(Connection& c, bool taken) {
  if (c.job) {
    if (!taken) timedOut(*c.job);  // it cannot be told, so its connection ends
    return;
  }
  if (!taken || !c.clean()) return drop(c);
  stands(c);
}

void BackendPool::timedOut(Job& j) {
  if (!j.givenUp && giveUp(j, AttemptResult::Timeout)) return;
  AttemptEnd e;
  e.result = j.givenUp   ? *j.givenUp
             : j.written ? AttemptResult::Timeout
                         : AttemptResult::NotSent;  // what never left did not run
  if (Connection* const c = j.on) {
    j.on = nullptr;
    c->job = nullptr;
    drop(*c);
  }
  if (!j.probe()) return finish(j, std::move(e));
  // Guards against the silent connections of a machine that is cut off: a probe is answered at once or not at
  // all, so the other idle ones are no better. A send that has to dial fails without having run, and soon; on
  // a silent connection it is lost until its deadline, and may have run.
  Endpoint& endpoint = endpoints_[j.member];
  // A probe that had nothing here to go out on tells nothing of its member; by this word it lives, unheard.
  if ((short_ || endpoint.starved) && !j.written) return finishProbe(j, true);
  dropIdle(endpoint);
  endpoint.dialAgain = engine_.now() + kDialAgain;
  finishProbe(j, false);
}

void BackendPool::finish(Job& j, AttemptEnd e) {
  auto& waiting = endpoints_[j.member].waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), &j), waiting.end());
  engine_.attemptEnded(j.id, j.attempt, j.member, std::move(e));
  attempts_.erase({j.id, j.attempt});
}

void BackendPool::finishProbe(Job& j, bool ok, std::string_view report) {
  Endpoint& e = endpoints_[j.member];
  e.waiting.erase(std::remove(e.waiting.begin(), e.waiting.end(), &j), e.waiting.end());
  engine_.healthCheckEnded(j.member, ok, ok ? believed(report) : std::vector<double>());
  e.probe.reset();
}

// The figures of a report, or none where one of them cannot be: a spoilt report is no fact. A data server
// that has nothing to report yet answers all the same, with an empty row: it is no silence.
std::vector<double> BackendPool::believed(std::string_view report) const {
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
void BackendPool::lost(Connection& c, AttemptResult how) {
  Endpoint& e = endpoints_[c.member];
  Job* const j = c.job;
  const bool dialing = c.dialing, badStatement = c.badStatement();
  // Written to the last byte it may have run; before that it never has.
  if (j && how == AttemptResult::Reset && (!j->written || !c.flushed())) how = AttemptResult::ConnectFailed;
  if (j && j->givenUp) how = *j->givenUp;
  if (j) {
    j->on = nullptr;
    c.job = nullptr;
  }
  drop(c);
  // Guards against taking the end of a kept connection for that of its member: the probe goes out on another.
  if (j && j->probe() && ++j->broken < kProbeTries) {
    j->written = false;
    return run(*j);
  }
  if (j && j->probe()) return finishProbe(*j, false);
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
void BackendPool::ranOut(Connection& c, int error) {
  Endpoint& e = endpoints_[c.member];
  Job* const j = c.job;
  const bool wanted = j || c.dialing, sent = j && j->written && c.flushed();
  if (j) {
    j->on = nullptr;
    c.job = nullptr;
  }
  drop(c);
  if (wanted) shortOf(e, error);
  if (!j) return;
  if (!j->givenUp && (!sent || j->probe())) {
    j->written = false;
    e.waiting.push_back(j);
    return;
  }
  AttemptEnd ending;
  ending.result = j->givenUp ? *j->givenUp : AttemptResult::Cancelled;
  finish(*j, std::move(ending));
}

// What cannot be an answer, or stands where none is due. An attempt that was written may have run; a probe
// was answered, however badly: its member lives.
void BackendPool::spoilt(Connection& c, const char* what) {
  logEvent(LogLevel::Warning, "server_protocol_error", {{"what", what}});
  Endpoint& e = endpoints_[c.member];
  Job* const j = c.job;
  const bool dialing = c.dialing, ran = j && j->written && c.flushed();
  if (j) {
    j->on = nullptr;
    c.job = nullptr;
  }
  drop(c);
  if (!j) {
    if (dialing) dialFailed(e, AttemptResult::ConnectFailed);
    return;
  }
  if (j->probe()) return finishProbe(*j, true);
  AttemptEnd ending;
  ending.result = j->givenUp ? *j->givenUp : ran ? AttemptResult::Error : AttemptResult::NotSent;
  finish(*j, std::move(ending));
}

void BackendPool::dialOlder(Connection& c) {
  const EndpointId id = c.member;
  Endpoint& e = endpoints_[id];
  e.minor = 0;
  drop(c);
  dial(id, e);
}

void BackendPool::dialFailed(Endpoint& e, AttemptResult how) {
  e.starved = false;
  e.dialAgain = engine_.now() + kDialAgain;
  if (tracing())
    logEvent(LogLevel::Trace, "connect_failed",
             {{"to", e.address.text()}, {"how", static_cast<int>(how)}, {"waiting", e.waiting.size()}});
  if (e.waiting.size() <= static_cast<std::size_t>(e.dialing)) return;
  Job& j = *e.waiting.front();
  if (j.probe()) return finishProbe(j, false);
  AttemptEnd ending;
  ending.result = how;
  finish(j, std::move(ending));
}

void BackendPool::dropIdle(Endpoint& e) {
  const std::vector<Connection*> idle = e.idle;
  for (Connection* c : idle) drop(*c);
}

void BackendPool::drop(Connection& c) {
  Endpoint& e = endpoints_[c.member];
  if (c.dialing) e.dialing -= 1;
  e.idle.erase(std::remove(e.idle.begin(), e.idle.end(), &c), e.idle.end());
  connections_.erase(&c);
}

}  // namespace sablespur
