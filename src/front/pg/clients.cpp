#include "front/pg/clients.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "log/log.hpp"
#include "wire/pg/pg.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kTail = 512;   // the comment at a statement's end is shorter
constexpr std::size_t kStart = 256;  // the quoted key at its start comes before
constexpr Time kPause = std::chrono::milliseconds(20);
// New connections may keep coming for 0.4 s after SIGTERM.
constexpr Time kLastCall = std::chrono::milliseconds(500);
// After the last call, what is taken is finished within the longest deadline and this.
constexpr Time kFinish = std::chrono::seconds(1);
constexpr timeval kWriteTimeout{10, 0};  // a client that takes nothing of its answer
// How often all clients are looked at for what takes too long.
constexpr Time kRound = std::chrono::milliseconds(100);
// A client that has not asked anything by then, or not sent the rest of what it began, is given up.
constexpr Time kFirstAsk = std::chrono::milliseconds(2000), kHalfMessage = std::chrono::milliseconds(1500);
// So long a new client is left to say who it is, however many others come.
constexpr Time kNewcomer = std::chrono::milliseconds(25);
// After its last word to a client that still sends, so much is read and thrown away before the close: closing
// on unread input would reset the connection, and the error in it would be lost.
constexpr Time kLinger = std::chrono::milliseconds(500);
constexpr std::size_t kLingerBytes = 1 << 20;
constexpr std::size_t kReadAhead = 16 << 10;  // read of a client before it is known what is coming
constexpr std::size_t kUnread = 16 << 10;     // answers that a client has not read yet: no more is taken then
constexpr std::uint32_t kLongestWaitMs = 3600 * 1000;

std::uint64_t fnv1a(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const unsigned char c : text) h = (h ^ c) * 0x100000001b3ull;
  return h;
}

}  // namespace

// One client connection. Queries are taken one at a time; what is pipelined behind waits in the input, which
// is bounded.
class Clients::Session final : public Requester {
 public:
  Session(Clients& owner, evutil_socket_t fd)
      : owner_(owner), bev_(bufferevent_socket_new(owner.base_, fd, BEV_OPT_CLOSE_ON_FREE)) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Session*>(self)->read(); },
        [](bufferevent*, void* self) { static_cast<Session*>(self)->flushed(); },
        [](bufferevent*, short what, void* self) { static_cast<Session*>(self)->event(what); }, this);
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
    bufferevent_set_timeouts(bev_.get(), nullptr, &kWriteTimeout);
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    lastActive_ = owner_.engine_.now();
  }
  ~Session() override {
    if (request_ != 0) owner_.engine_.left(request_);
    owner_.asking_ -= asked_;
    forget();
    release();
  }

  void served(Buffer answer) override {
    request_ = 0;
    evbuffer_add_buffer(output(), answer.get());
    answered();
  }
  void refused(Time retryAfter) override {
    request_ = 0;
    const auto ms = (retryAfter.count() + 999) / 1000;
    append(output(), pg::error("ERROR", "53300", "no data server can take this request now",
                               ms > 0 ? std::to_string(ms) : std::string()));
    answered();
  }
  void failed() override {
    request_ = 0;
    append(output(), pg::error("ERROR", "40003", "the request may have run; its outcome is unknown"));
    answered();
  }
  bool idle() { return request_ == 0 && !ending_ && evbuffer_get_length(input()) == 0; }
  // How readily this client gives up its place to a new one; 0: not at all.
  int spare(Time now) {
    if (lingering_) return 3;
    if (request_ != 0 || ending_) return 0;
    if (!asked_) return now - lastActive_ >= kNewcomer ? 2 : 0;
    return idle() && evbuffer_get_length(output()) == 0 ? 1 : 0;
  }
  Time lastActive() const { return lastActive_; }
  // Closes once all that was written has gone out; the object may be gone after this.
  void end() {
    ending_ = true;
    bufferevent_disable(bev_.get(), EV_READ);
    if (evbuffer_get_length(output()) == 0) owner_.closed(*this);
  }
  // Guards against clients that hold a place and do not ask: they are owed an end within 3 s. False: this one
  // is to be closed.
  bool looksAlive(Time now) {
    if (paused_ && !ending_ && evbuffer_get_length(input()) > 0) readSoon();
    paused_ = false;
    if (lingering_) return now - lastActive_ < kLinger;
    if (request_ != 0 || ending_ || evbuffer_get_length(output()) > 0) return true;
    if (!asked_ && now - lastActive_ >= kFirstAsk) return false;
    return halfSince_ == Time(0) || now - halfSince_ < kHalfMessage;
  }

 private:
  evbuffer* input() { return bufferevent_get_input(bev_.get()); }
  evbuffer* output() { return bufferevent_get_output(bev_.get()); }

  void event(short what) {
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) owner_.closed(*this);
  }
  void flushed() {
    if (lingering_) {
      shutdown(bufferevent_getfd(bev_.get()), SHUT_WR);
      return;
    }
    if (ending_) return owner_.closed(*this);
    read();  // what was left while the client did not read its answers
  }
  void answered() {
    forget();
    release();
    lastActive_ = owner_.engine_.now();
    halfSince_ = Time(0);  // what waits behind is looked at next
    append(output(), pg::readyForQuery());
    settle();
  }
  void readSoon() {
    bufferevent_trigger(bev_.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
  // After an answer. What was pipelined behind comes next, but not within this answer: the turn is not over.
  void settle() {
    if (evbuffer_get_length(input()) > 0)
      readSoon();
    else if (owner_.draining_ && !owner_.listener_)
      end();
  }
  // What cannot be read to its end is fatal. Otherwise nothing more is taken before the next round: guards
  // against a client that sends the same again at full speed and keeps the loop from the others.
  void reject(const char* code, const char* text, bool fatal) {
    append(output(), pg::error(fatal ? "FATAL" : "ERROR", code, text));
    paused_ = true;
    if (!fatal) return answered();
    release();
    ending_ = lingering_ = true;
    lastActive_ = owner_.engine_.now();
    bufferevent_enable(bev_.get(), EV_READ);
    discard();
  }
  void discard() {
    const std::size_t n = evbuffer_get_length(input());
    evbuffer_drain(input(), n);
    discarded_ += n;
    if (discarded_ > kLingerBytes) owner_.closed(*this);
  }

  // Guards against clients that fill the memory together: a statement longer than what is read ahead takes
  // its part of what the configuration leaves for all such, from its head to its answer.
  bool reserve(std::size_t whole) {
    if (whole <= kReadAhead || reserved_ > 0) return true;
    if (whole > owner_.config_.largeStatements - owner_.reserved_) return false;
    owner_.reserved_ += reserved_ = whole;
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, whole);
    return true;
  }
  void release() {
    if (reserved_ == 0) return;
    owner_.reserved_ -= reserved_;
    reserved_ = 0;
    bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
  }

  void read() {
    if (lingering_) return discard();
    while (request_ == 0 && !ending_ && !paused_ && evbuffer_get_length(output()) < kUnread) {
      // Each takes one message, or leaves it for when the rest has come.
      if (!(started_ ? takeMessage() : takeStartup())) break;
      halfSince_ = Time(0);
    }
    if (ending_) return;
    const std::size_t left = evbuffer_get_length(input());
    if (halfSince_ == Time(0) && left > 0) halfSince_ = owner_.engine_.now();
    // Guards against spinning: libevent calls back time and again while the input stands at its high
    // watermark.
    const bool room = left < std::max(kReadAhead, reserved_);
    if (room != reading_) (room ? bufferevent_enable : bufferevent_disable)(bev_.get(), EV_READ);
    reading_ = room;
  }

  bool takeStartup() {
    char head[8];
    if (evbuffer_copyout(input(), head, sizeof head) < static_cast<ev_ssize_t>(sizeof head)) return false;
    const std::uint32_t length = pg::readInt32(head), code = pg::readInt32(head + 4);
    if (length < sizeof head || length > pg::kLongestStartup) {
      reject("08P01", "malformed startup message", true);
      return false;
    }
    if (evbuffer_get_length(input()) < length) return false;
    evbuffer_drain(input(), length);
    if (code == pg::kSslRequest || code == pg::kGssEncRequest) {
      append(output(), "N");
      return true;
    }
    if (code == pg::kCancelRequest) {  // an attempt is given up when its client leaves
      end();
      return false;
    }
    if (code >> 16 != 3) {
      reject("0A000", "only version 3 of the protocol is spoken here", true);
      return false;
    }
    append(output(), pg::greeting());
    started_ = true;
    bufferevent_set_timeouts(bev_.get(), nullptr, &kWriteTimeout);
    settle();
    return true;
  }

  bool takeMessage() {
    char bytes[pg::kHead];
    if (evbuffer_copyout(input(), bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) return false;
    const auto head = pg::parseHead(bytes);
    if (!head) {
      reject("08P01", "a message's length is out of range", true);
      return false;
    }
    if (bytes[0] != 'Q' && bytes[0] != 'X') {
      reject("0A000", "only simple queries are spoken here", true);
      return false;
    }
    if (!reserve(sizeof bytes + head->body)) {
      reject("53200", "too many long statements at once", true);
      return false;
    }
    if (evbuffer_get_length(input()) < sizeof bytes + head->body) return false;
    evbuffer_drain(input(), sizeof bytes);
    if (!asked_) owner_.firstAsked(*this);
    asked_ = true;
    if (bytes[0] == 'X') {
      end();
      return false;
    }
    Buffer statement = newBuffer();
    evbuffer_remove_buffer(input(), statement.get(), head->body);
    takeStatement(std::move(statement));
    return true;
  }

  // The statement is moved on whole, NUL included; only its ends are looked at.
  void takeStatement(Buffer statement) {
    const std::size_t length = evbuffer_get_length(statement.get());
    char tail[kTail];
    const std::size_t n = std::min(length, kTail);
    evbuffer_ptr from;
    evbuffer_ptr_set(statement.get(), &from, length - n, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(statement.get(), &from, tail, n);
    // Guards the data servers, which close on what they cannot read: the one NUL is the last byte.
    if (n == 0 || evbuffer_search(statement.get(), "", 1, nullptr).pos != static_cast<ev_ssize_t>(length) - 1)
      return reject("08P01", "a query's end is not where its length says", true);
    const std::string_view text(tail, n - 1);
    if (n == length && text.find_first_not_of(" \t\r\n;") == std::string_view::npos) {
      append(output(), pg::message('I', {}));  // EmptyQueryResponse
      return answered();
    }
    const pg::Comment comment = pg::parseComment(text);
    if (comment.fault) return reject("42601", comment.fault, false);
    // Guards the one final answer that an id stands for: data servers know a request by it.
    std::string id(comment.id);
    if (owner_.openIds_.count(id) > 0) return reject("42710", "this id is that of an open request", false);
    const auto& classes = owner_.config_.classes;
    const auto cls = std::find(classes.begin(), classes.end(), comment.cls);
    if (cls == classes.end()) return reject("42704", "unknown class", false);

    const Time now = owner_.engine_.now();
    knotstack::Request q;
    q.cls = static_cast<int>(cls - classes.begin());
    q.group = comment.cluster;
    const auto& settings = owner_.config_.settings.classes[static_cast<std::size_t>(q.cls)];
    q.deadline = now + (comment.waitLength > 0
                            ? Time(std::chrono::milliseconds(std::min(comment.waitMs, kLongestWaitMs)))
                            : settings.deadline);
    if (comment.after > 0)
      q.tokenMs = std::max(0.001f, static_cast<float>(static_cast<double>(now.count()) / 1e3 -
                                                      static_cast<double>(comment.after)));
    if (owner_.config_.sessions) {
      char start[kStart];
      const auto got = evbuffer_copyout(statement.get(), start, sizeof start);
      const std::string_view key =
          pg::parseKey({start, static_cast<std::size_t>(std::max<ev_ssize_t>(got, 0))});
      if (!key.empty()) q.session = std::max<std::uint64_t>(fnv1a(key), 1);
    }
    Message message{newBuffer(), std::move(statement)};
    if (comment.waitLength > 0) {
      evbuffer_remove_buffer(message.after.get(), message.before.get(), length - n + comment.waitAt);
      evbuffer_drain(message.after.get(), comment.waitLength);
    }
    owner_.openIds_.insert(id);
    id_ = std::move(id);
    request_ = owner_.engine_.request(*this, q, std::move(message));
  }
  void forget() {
    if (!id_.empty()) owner_.openIds_.erase(id_);
    id_.clear();
  }

  Clients& owner_;
  BufferEvent bev_;
  bool started_ = false, asked_ = false, ending_ = false;
  bool lingering_ = false;    // its last word is said; what still comes is thrown away
  bool paused_ = false;       // until the next round
  bool reading_ = true;       // EV_READ is enabled
  std::string id_;            // of the request that is out
  RequestId request_ = 0;     // that is out; 0: none
  std::size_t reserved_ = 0;  // of Clients::reserved_
  std::size_t discarded_ = 0;
  Time lastActive_{};  // when it came, or had its last answer
  Time halfSince_{};   // since when there is input that makes no whole message; 0: there is none
};

Clients::Clients(event_base* base, Engine& engine, const Config& config)
    : base_(base), engine_(engine), config_(config), most_(config.clientConnections) {
  const auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<Clients*>(self)->accepted(fd);
  };
  listener_.reset(evconnlistener_new_bind(base, accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024,
                                          config.listen.data(), static_cast<int>(config.listen.size())));
  if (!listener_) throw std::runtime_error(std::string("key listen: ") + std::strerror(errno));
  evconnlistener_set_error_cb(
      listener_.get(), [](evconnlistener*, void* self) { static_cast<Clients*>(self)->acceptFailed(); });
  pause_.reset(event_new(
      base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->acceptAgain(); },
      this));
  round_.reset(event_new(
      base, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->round(); },
      this));
  startTimer(round_.get(), kRound);
  lastCall_.reset(event_new(
      base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->stopListening(); },
      this));
}
Clients::~Clients() = default;

int Clients::port() const {
  sockaddr_storage a{};
  socklen_t length = sizeof a;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&a), &length);
  return Address::fromSocket(reinterpret_cast<const sockaddr*>(&a)).port();
}

void Clients::accepted(evutil_socket_t fd) {
  auto session = std::make_unique<Session>(*this, fd);
  sessions_.emplace(session.get(), std::move(session));
  acceptAgain();
}

// Accepts while there is room, or someone to make it; the rest waits in the listener's backlog.
void Clients::acceptAgain() {
  if (!listener_) return;
  if (sessions_.size() < most_ || makeRoom()) {
    evconnlistener_enable(listener_.get());
  } else {
    evconnlistener_disable(listener_.get());
    startTimer(pause_.get(), kPause);
  }
}

// Guards against connections that nobody uses keeping out those that ask: first what is being closed, then
// what has never asked, then what has been idle longest.
bool Clients::makeRoom() {
  const Time now = engine_.now();
  Session* best = nullptr;
  int most = 0;
  for (const auto& [s, owned] : sessions_) {
    const int spare = s->spare(now);
    if (spare > most || (spare > 0 && spare == most && s->lastActive() < best->lastActive())) {
      best = s;
      most = spare;
    }
  }
  if (best) sessions_.erase(best);
  return best != nullptr;
}

// Guards against clients that ask once and keep their connections: the longest idle one makes way for each
// that asks for the first time, lest their side has none left to ask on, while the table here is not even
// full.
void Clients::firstAsked(const Session& by) {
  if (++asking_ <= config_.askingClients) return;
  const Time now = engine_.now();
  Session* longest = nullptr;
  for (const auto& [s, owned] : sessions_)
    if (s != &by && s->spare(now) == 1 && (!longest || s->lastActive() < longest->lastActive())) longest = s;
  if (longest) closed(*longest);
}

void Clients::round() {
  const Time now = engine_.now();
  std::vector<Session*> over;
  for (const auto& [s, owned] : sessions_)
    if (!s->looksAlive(now)) over.push_back(s);
  for (Session* s : over) closed(*s);
}

// Guards against spinning on a full descriptor table: the listener stays ready while nothing can be accepted.
void Clients::acceptFailed() {
  logEvent(LogLevel::Warning, "accept_failed", {{"why", std::strerror(EVUTIL_SOCKET_ERROR())}});
  evconnlistener_disable(listener_.get());
  startTimer(pause_.get(), kPause);
}

void Clients::closed(Session& s) {
  sessions_.erase(&s);
  acceptAgain();
  if (draining_ && !listener_ && sessions_.empty()) done_();
}

void Clients::drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  done_ = std::move(done);
  startTimer(lastCall_.get(), kLastCall);
}

// At the last call, and once more when what was taken should be finished.
void Clients::stopListening() {
  if (!listener_) return done_();
  listener_.reset();
  std::vector<Session*> all;
  for (const auto& [s, owned] : sessions_) all.push_back(s);
  for (Session* s : all)
    if (s->idle()) s->end();
  if (sessions_.empty()) return done_();
  Time longest{};
  for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline);
  startTimer(lastCall_.get(), longest + kFinish);
}

}  // namespace sablespur
