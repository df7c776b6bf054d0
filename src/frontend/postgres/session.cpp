#include "frontend/postgres/session.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "frontend/postgres/clients.hpp"
#include "logging/log.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/pg.hpp"
#include "protocol/postgres2/codec.hpp"
#include "protocol/postgres2/pg2.hpp"
#include "protocol/proxy_protocol/header.hpp"

namespace sablespur {
namespace {

constexpr std::size_t kTail = 512;   // the comment at a statement's end is shorter
constexpr std::size_t kStart = 256;  // the quoted key at its start comes before
// So long a new client is left to say who it is, however many others come.
constexpr Time kNewcomer = std::chrono::milliseconds(25);
constexpr Time kGreeting = std::chrono::milliseconds(100);  // the same when the program ends
// After its last word to a client that still sends, so much is read and thrown away before the close: closing
// on unread input would reset the connection, and the error in it would be lost.
constexpr Time kLinger = std::chrono::milliseconds(500);
constexpr std::size_t kLingerBytes = 1 << 20;
constexpr Time kRestOfMessage = std::chrono::milliseconds(500);
constexpr std::size_t kReadAhead = 16 << 10;  // read of a client before it is known what is coming
constexpr std::size_t kUnread = 16 << 10;     // answers that a client has not read yet: no more is taken then
constexpr std::uint32_t kLongestWaitMs = 3600 * 1000;
constexpr std::size_t kGrowth =
    64 << 10;  // of small answers, when their form changes; long ones at most double
constexpr std::size_t kLongestSet = 1024, kLongestName = 63;

const postgres::Codec kVersion30(0), kVersion32(2);
const pg2::Codec kVersion20;

std::uint64_t fnv1a(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const unsigned char c : text) h = (h ^ c) * 0x100000001b3ull;
  return h;
}
translation::Problem problem(const char* severity, const char* code, std::string_view text) {
  translation::Problem p;
  p.severity = severity;
  p.code = code;
  p.text = std::string(text);
  return p;
}

}  // namespace

Session::Session(Clients& owner, evutil_socket_t fd, const Address& from, bool hidden)
    : owner_(owner),
      descriptor_(owner.account_, DescriptorHolder::Clients),
      bev_(bufferevent_socket_new(owner.base_, fd, BEV_OPT_CLOSE_ON_FREE)),
      from_(from),
      hidden_(hidden),
      codec_(&kVersion30) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<Session*>(self)->read(); },
      [](bufferevent*, void* self) { static_cast<Session*>(self)->flushed(); },
      [](bufferevent*, short what, void* self) { static_cast<Session*>(self)->event(what); }, this);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
  evbuffer_add_cb(input(), inputChanged, this);
  const auto us = owner_.config_.unreadAnswer.count();
  const timeval unread{static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
  bufferevent_set_timeouts(bev_.get(), nullptr, &unread);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  lastActive_ = owner_.engine_.now();
  if (hidden) outside(true);
}
Session::~Session() {
  evbuffer_remove_cb(input(), inputChanged, this);
  owner_.watchEnd(*this, false);
  if (request_ != 0) owner_.left(request_);
  outside(false);
  if (owner_.gate_) owner_.gate_->connectionClosed(place_);
  owner_.asking_ -= asked_;
  owner_.account_.releaseBytes(held_);
  owner_.keys_.erase(key_.process);
  forget();
  release();
}

// ---- the door -----------------------------------------------------------------------------------------
void Session::outside(bool is) {
  owner_.outside_ += is;
  owner_.outside_ -= outside_;
  outside_ = is;
}
void Session::enterDoor() {
  const AdmissionDecision a = owner_.gate_->connectionArrived(*this, from_);
  place_ = a.place;
  comeBack_ = a.comeBack;
  outside(place_ == 0);
}
bool Session::admitted() {
  if (!owner_.gate_) return true;
  if (!user_.empty() || place_ != 0) {
    const AdmissionDecision a = owner_.gate_->userAuthenticated(*this, place_, from_, user_);
    place_ = a.place;
    if (a.comeBack > Time(0)) comeBack_ = a.comeBack;
    outside(place_ == 0);
  }
  if (place_ != 0) return true;
  translation::Problem p = problem("FATAL", "53300", "too many connections of this client's group");
  p.comeBackMs = static_cast<std::uint32_t>(std::max<std::int64_t>((comeBack_.count() + 999) / 1000, 1));
  tell(p);
  lingers();
  return false;
}
void Session::evict() {
  place_ = 0;
  outside(true);
  retire();  // a request may have come just now
}

// ---- answers ------------------------------------------------------------------------------------------
void Session::served(Answer answer) {
  request_ = 0;
  if (owner_.gate_) owner_.gate_->served(place_);
  write(std::move(answer));
  answered();
}
void Session::rejected(Time retryAfter) {
  request_ = 0;
  translation::Problem p = problem("ERROR", "53300", "no data server can take this request now");
  const auto ms = (retryAfter.count() + 999) / 1000;
  if (ms > 0) p.comeBackMs = static_cast<std::uint32_t>(ms);
  tell(p);
  answered();
}
void Session::failed() {
  request_ = 0;
  tell(problem("ERROR", "40003", "the request may have run; its outcome is unknown"));
  answered();
}
void Session::cancelled() {
  if (request_ == 0) return;  // its answer is out: there is nothing to give up
  owner_.left(request_);
  request_ = 0;
  tell(problem("ERROR", "57014", "canceling statement due to user request"));
  answered();
}

void Session::tell(const translation::Problem& p) {
  append(output(), codec_->problem(p));
  skipping_ = extended_;
}

// Where client and data server speak the same form, and nothing else was asked for, buffers are moved on
// unread.
void Session::write(Answer answer) {
  evbuffer* const from = answer.messages.get();
  const std::size_t length = evbuffer_get_length(from);
  const auto whole = [&] {
    return std::string_view(reinterpret_cast<const char*>(evbuffer_pullup(from, -1)), length);
  };
  if (answer.problem) return tell(answer.reader->problem(whole()));
  const bool same = speaks_ == Speaks::Version3 && answer.reader == &postgres::reader() && wanted_.plain() &&
                    mostRows_ == 0;
  if (same && !extended_) {
    evbuffer_add_buffer(output(), from);
    return;
  }
  std::string columns;
  if (extended_ && answer.reader == &postgres::reader()) {
    char bytes[postgres::kHead];
    if (evbuffer_copyout(from, bytes, sizeof bytes) == sizeof bytes && bytes[0] == 'T') {
      const auto head = postgres::parseHead(bytes);
      const auto* const at = evbuffer_pullup(from, static_cast<ev_ssize_t>(sizeof bytes + head->body));
      columns.assign(reinterpret_cast<const char*>(at) + sizeof bytes, head->body);
      if (same && !described_) evbuffer_drain(from, sizeof bytes + head->body);
    }
  }
  if (extended_ && described_ && columns.empty()) append(output(), postgres::noData());
  if (same) {
    evbuffer_add_buffer(output(), from);
    return prepared_->executed(columns, false);
  }
  translation::Conversion conversion(*codec_, wanted_, described_, 2 * length + kGrowth, mostRows_);
  if (!answer.reader->answer(whole(), conversion)) {
    const std::string why = conversion.why().empty() ? "a malformed answer" : conversion.why();
    logEvent(LogLevel::Warning, "answer_not_translated", {{"why", why}});
    return tell(problem("ERROR", "22P03", "the answer cannot be told: " + why));
  }
  std::string told = conversion.take();
  told.size() > kReadAhead ? appendByReference(output(), std::move(told)) : append(output(), told);
  if (!extended_) return;
  if (conversion.suspended()) append(output(), postgres::portalSuspended());
  prepared_->executed(columns, conversion.suspended());
}

void Session::answered() {
  forget();
  release();
  lastActive_ = owner_.engine_.now();
  halfSince_ = Time(0);  // what waits behind is looked at next
  if (!extended_) append(output(), codec_->ready());
  extended_ = false;
  wanted_ = {};
  if (side_.bytea) wanted_.bytea = side_.bytea;
  described_ = true;
  mostRows_ = 0;
  // Amid a batch it is not: a Sync and its ReadyForQuery are still to come.
  if (owner_.gate_ && !batch_) owner_.gate_->idle(place_);
  settle();
}

// ---- the connection -----------------------------------------------------------------------------------
int Session::spare(Time now) {
  if (lingering_) return evbuffer_get_length(output()) == 0 ? 3 : 0;  // answers may stand before its error
  if (request_ != 0 || ending_) return 0;
  if (!asked_) return now - lastActive_ >= kNewcomer ? 2 : 0;
  return idle() && evbuffer_get_length(output()) == 0 ? 1 : 0;
}
void Session::end() {
  if (ending_) return;
  ending_ = true;
  watchReading(true);
  if (evbuffer_get_length(output()) == 0) endSending();  // else flushed() does
}
void Session::retire() {
  retiring_ = true;
  if (request_ != 0 || batch_ || ending_ || evbuffer_get_length(output()) > 0) return;
  // One that has only just come has not had the time to say anything; looksAlive() comes back to it.
  if (!asked_ && owner_.engine_.now() - lastActive_ < kGreeting) return;
  // A request that crosses the end and was not read is sent again by its client; this one has come before.
  if (owner_.answersOver() ? evbuffer_get_length(input()) > 0 : unread())
    readSoon();
  else
    end();
}
void Session::finish() {
  if (ending_) return;
  retiring_ = true;
  watchReading(false);
  if (request_ == 0) return readSoon();
  owner_.left(request_);
  failed();
}
bool Session::unread() {
  char byte;
  return evbuffer_get_length(input()) > 0 ||
         recv(bufferevent_getfd(bev_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
bool Session::clientGone() const {
  pollfd asked{socket(), POLLRDHUP, 0};
  return poll(&asked, 1, 0) > 0;
}
// Guards what was written against our own close: on unread bytes that would reset the connection.
void Session::endSending() {
  lingering_ = true;
  lastActive_ = owner_.engine_.now();
  shutdown(bufferevent_getfd(bev_.get()), SHUT_WR);
}
// Guards against requests of a client that has gone: with reading off libevent does not see its end.
void Session::watchReading(bool on) {
  if (on == reading_) return;
  reading_ = on;
  (on ? bufferevent_enable : bufferevent_disable)(bev_.get(), EV_READ);
  owner_.watchEnd(*this, !on);
}
evutil_socket_t Session::socket() const { return bufferevent_getfd(bev_.get()); }
bool Session::looksAlive(Time now) {
  if (paused_ && !ending_ && evbuffer_get_length(input()) > 0) readSoon();
  paused_ = false;
  // What stands before its last word is still owed; one that does not read it is ended by unread_answer.
  if (lingering_ && evbuffer_get_length(output()) == 0) return now - lastActive_ < kLinger;
  if (request_ != 0 || ending_ || evbuffer_get_length(output()) > 0) return true;
  if (retiring_ && !batch_ && now - lastActive_ >= kGreeting && !unread()) return false;
  if (!asked_ && now - lastActive_ >= owner_.config_.firstQuery) return false;
  return halfSince_ == Time(0) || now - halfSince_ < owner_.config_.halfMessage;
}
void Session::timedOut() {
  if (lingering_) return owner_.closed(*this);
  if (halfSince_ == Time(0) || evbuffer_get_length(input()) == 0) return end();
  reject("08P01", "a message that was begun and not finished in time", true);
}
void Session::event(short what) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) owner_.closed(*this);
}
void Session::flushed() {
  if (ending_) return endSending();
  read();  // what was left while the client did not read its answers
  if (retiring_) retire();
}
void Session::readSoon() {
  bufferevent_trigger(bev_.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}
// After an answer. What was pipelined behind comes next, but not within this answer: the turn is not over.
void Session::settle() {
  if (evbuffer_get_length(input()) > 0 || owner_.answersOver())
    readSoon();
  else if (retiring_ || (owner_.draining_ && !owner_.acceptor_))
    retire();
}
// What cannot be read to its end is fatal. Otherwise nothing more is taken before the next round: guards
// against a client that sends the same again at full speed and keeps the loop from the others.
void Session::reject(const char* code, std::string_view text, bool fatal) {
  tell(problem(fatal ? "FATAL" : "ERROR", code, text));
  // A failed login has a line of its own.
  if (std::string_view(code) != "28P01") owner_.logRejection(code, text, from_);
  paused_ = true;
  if (!fatal) return answered();
  lingers();
}
void Session::lingers() {
  release();
  login_.reset();
  ending_ = lingering_ = true;
  lastActive_ = owner_.engine_.now();
  watchReading(true);
  discard();
}
void Session::discard() {
  const std::size_t n = evbuffer_get_length(input());
  evbuffer_drain(input(), n);
  discarded_ += n;
  if (discarded_ > kLingerBytes) owner_.closed(*this);
}

// Guards against clients that fill the memory together: a statement longer than what is read ahead takes
// its part of what the configuration leaves for all such, from its head to its answer.
bool Session::reserve(std::size_t whole) {
  if (whole <= kReadAhead || reserved_ > 0) return true;
  if (!owner_.account_.reserveBytes(whole)) return false;
  reserved_ = whole;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, whole);
  return true;
}
void Session::release() {
  if (reserved_ == 0) return;
  owner_.account_.releaseBytes(reserved_);
  reserved_ = 0;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
}
bool Session::hold(std::size_t bytes) {
  if (bytes > held_ && !owner_.account_.reserveBytes(bytes - held_)) return false;
  if (bytes < held_) owner_.account_.releaseBytes(held_ - bytes);
  held_ = bytes;
  return true;
}

void Session::inputChanged(evbuffer*, const evbuffer_cb_info* change, void* of) {
  auto& s = *static_cast<Session*>(of);
  s.arrivals_.taken(change->n_deleted);
  const bool full = change->orig_size + change->n_added >= std::max(kReadAhead, s.reserved_);
  if (change->n_added > 0) s.arrivals_.came(change->n_added, s.owner_.engine_.now(), full);
}

void Session::read() {
  if (ending_) return discard();
  while (request_ == 0 && !ending_ && !paused_ && evbuffer_get_length(output()) < kUnread) {
    const bool took = hidden_                       ? takeHeader()
                      : speaks_ == Speaks::Nothing  ? takeStartup()
                      : login_                      ? takeLogin()
                      : speaks_ == Speaks::Version3 ? takeMessage()
                                                    : takeMessage2();
    if (!took) break;
    halfSince_ = Time(0);
  }
  if (ending_) return;
  const std::size_t left = evbuffer_get_length(input());
  if (owner_.answersOver()) return readLast(left);
  // Guards against spinning: libevent calls back time and again while the input stands at its high
  // watermark.
  const bool room = left < std::max(kReadAhead, reserved_);
  if (halfSince_ == Time(0) && left > 0) halfSince_ = room ? halfMessageSince() : owner_.engine_.now();
  watchReading(room);
}

// What is left when no more is read is no whole message, unless the session waits for something else.
void Session::readLast(std::size_t left) {
  watchReading(false);
  if (request_ != 0 || paused_ || evbuffer_get_length(output()) >= kUnread) return;
  left > 0 ? reject("57P01", "the proxy is shutting down", true) : end();
}

// When the message at the input's front was begun, which may have been behind a request that was out. What of
// it may still be on its way through the system has kRestOfMessage to be read.
Time Session::halfMessageSince() const {
  const Time allowed = std::max(owner_.config_.halfMessage - kRestOfMessage, Time(0));
  return std::max(arrivals_.of(1), owner_.engine_.now() - allowed);
}

std::string_view Session::pull(std::size_t n) {
  return {reinterpret_cast<const char*>(evbuffer_pullup(input(), static_cast<ev_ssize_t>(n))), n};
}

// ---- the startup --------------------------------------------------------------------------------------
bool Session::takeHeader() {
  const std::size_t have = std::min(evbuffer_get_length(input()), proxy_protocol::kLongestV2);
  if (have == 0) return false;
  const proxy_protocol::Header h = proxy_protocol::parse(pull(have));
  if (h.bad) {
    reject("08P01", "expected a PROXY header", true);
    return false;
  }
  if (h.length == 0) return false;
  evbuffer_drain(input(), h.length);
  hidden_ = false;
  if (h.client) from_ = *h.client;
  outside(false);
  enterDoor();
  return true;
}

bool Session::takeStartup() {
  char head[8];
  // Guards against a TLS client that waits for a handshake: it reads no ErrorResponse, but an alert
  // (RFC 8446, 6: fatal, handshake_failure).
  if (evbuffer_copyout(input(), head, 2) == 2 && head[0] == 0x16 && head[1] == 0x03) {
    append(output(), std::string_view("\x15\x03\x01\x00\x02\x02\x28", 7));
    lingers();
    return false;
  }
  if (evbuffer_copyout(input(), head, sizeof head) < static_cast<ev_ssize_t>(sizeof head)) return false;
  const std::uint32_t length = postgres::readInt32(head), code = postgres::readInt32(head + 4);
  if (length < sizeof head || length > postgres::kLongestStartup) {
    reject("08P01", "malformed startup message", true);
    return false;
  }
  if (evbuffer_get_length(input()) < length) return false;
  if (code == postgres::kSslRequest || code == postgres::kGssEncRequest) {
    evbuffer_drain(input(), length);
    append(output(), "N");
    return true;
  }
  const std::string packet(pull(length));
  evbuffer_drain(input(), length);
  if (code == postgres::kCancelRequest) {
    // Of every version: what differs is how long the key is. Nothing is answered, whether it fits or not.
    if (const auto key = postgres::parseCancel(packet)) owner_.cancel(*key);
    end();
    return false;
  }
  if (code >> 16 == 3) return takeVersion3(packet);
  if (code >> 16 == 2 && owner_.config_.version2) return takeVersion2(packet);
  reject("0A000",
         owner_.config_.version2 ? "versions 2 and 3 of the protocol are spoken here"
                                 : "only version 3 of the protocol is spoken here",
         true);
  return false;
}

bool Session::takeVersion3(std::string_view packet) {
  const auto s = postgres::parseStartup(packet);
  if (!s) {
    reject("08P01", "malformed startup message", true);
    return false;
  }
  for (const auto& [name, value] : s->settings) {
    // Guards against turning away clients for what changes nothing: only what is known here can be wrong.
    const auto why =
        name == "options" ? translation::applyOptions(side_, value)
        : name == "standard_conforming_strings" || name == "bytea_output" || name == "client_encoding"
            ? translation::apply(side_, name, value)
            : std::nullopt;
    if (!why) continue;
    reject("22023", *why, true);
    return false;
  }
  const int minor = postgres::agreedMinor(s->minor);
  if (minor != s->minor || !s->extensions.empty())
    append(output(), postgres::negotiate(minor, s->extensions));
  speaks_ = Speaks::Version3;
  if (minor > 0) codec_ = &kVersion32;
  enter(s->user);
  return !ending_;
}

bool Session::takeVersion2(std::string_view packet) {
  codec_ = &kVersion20;
  const auto s = pg2::parseStartup(packet);
  side_.backslashes = true;  // in its time nothing else was known
  side_.bytea = translation::ByteaForm::Escape;
  const auto why = s ? translation::applyOptions(side_, s->options) : std::nullopt;
  if (!s || why) {
    reject("08P01", why ? *why : "malformed startup packet", true);
    return false;
  }
  speaks_ = Speaks::Version2;
  enter(s->user);
  return !ending_;
}

void Session::enter(const std::string& user) {
  const bool password = wantsPassword(owner_.config_);
  // One that has no place may have one by its name, once that is proved.
  if (owner_.gate_ && place_ == 0 && !(password && owner_.gate_->knowsNames()) && !admitted()) return;
  if (!password) return welcome();
  user_ = user;
  std::string why;
  login_ = openLogin(owner_.config_, *owner_.users_, user, speaks_ == Speaks::Version2, why);
  if (!login_) return reject("28000", why, true);
  append(output(), login_->ask());
}

// A password, or a word of SCRAM.
bool Session::takeLogin() {
  if (salting_) return false;
  std::size_t whole = 0;
  std::string_view body;
  if (speaks_ == Speaks::Version2) {
    const std::size_t have = std::min(evbuffer_get_length(input()), pg2::kLongestPassword);
    bool bad = false;
    const auto password = pg2::parsePassword(pull(have), whole, bad);
    if (bad) {
      reject("08P01", "malformed password packet", true);
      return false;
    }
    if (!password) return false;
    body = *password;
  } else {
    char bytes[postgres::kHead];
    if (evbuffer_copyout(input(), bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) return false;
    const auto head = postgres::parseHead(bytes);
    if (!head || head->type != 'p' || head->body > kLongestLogin) {
      reject("08P01", "expected a password", true);
      return false;
    }
    whole = sizeof bytes + head->body;
    if (evbuffer_get_length(input()) < whole) return false;
    body = pull(whole).substr(sizeof bytes);
  }
  const Login::Said s = login_->take(body);
  evbuffer_drain(input(), whole);
  said(s);
  return !ending_;
}

void Session::said(const Login::Said& s) {
  append(output(), s.messages);
  switch (s.next) {
    case Login::Next::Ask:
      return;
    case Login::Next::In:
      login_.reset();
      return admitted() ? welcome() : void();
    case Login::Next::Salt:
      salting_ = owner_.workers_.run(login_->slow(), [this](const std::string& result) {
        salting_.reset();
        said(login_->salted(result));
        if (!ending_) readSoon();
      });
      if (salting_) return;
      return reject("53300", "too many logins at once", true);
    case Login::Next::Out:
      logEvent(LogLevel::Warning, "login_failed", {{"user", user_.substr(0, kLongestName)}});
      return reject(
          "28P01", "password authentication failed for user \"" + user_.substr(0, kLongestName) + "\"", true);
  }
}

void Session::welcome() {
  key_ = owner_.newKey(*this, codec_ == &kVersion32 ? postgres::kLongKey : postgres::kShortKey);
  append(output(), speaks_ == Speaks::Version3
                       ? postgres::welcome(key_, side_.backslashes)
                       : pg2::authenticationOk() +
                             pg2::keyData({key_.process, postgres::readInt32(key_.secret.data())}) +
                             pg2::ready());
  lastActive_ = owner_.engine_.now();
  sideTold();
  if (owner_.gate_) owner_.gate_->idle(place_);
  settle();
}

void Session::sideTold() {
  told_ = side_.backslashes ? std::make_shared<const translation::Side>(side_) : nullptr;
  wanted_.bytea = side_.bytea;
}

// ---- messages -----------------------------------------------------------------------------------------
void Session::asked() {
  if (!asked_) owner_.firstAsked(*this);
  asked_ = true;
}

bool Session::takeMessage() {
  char bytes[postgres::kHead];
  if (evbuffer_copyout(input(), bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) return false;
  const auto head = postgres::parseHead(bytes);
  if (!head) {
    reject("08P01", "a message's length is out of range", true);
    return false;
  }
  const std::string_view known = owner_.config_.extended ? "QXPBDECSH" : "QX";
  if (known.find(head->type) == std::string_view::npos) {
    reject("0A000",
           !owner_.config_.extended ? "only simple queries are spoken here"
           : head->type == 'F'      ? "function calls are not supported here"
           : head->type == 'd'      ? "COPY is not supported here"
                                    : "a message that is not supported here",
           true);
    return false;
  }
  const std::size_t whole = sizeof bytes + head->body;
  if (!reserve(whole)) {
    reject("53200", "too many long statements at once", true);
    return false;
  }
  if (evbuffer_get_length(input()) < whole) return false;
  asked();
  lastByte_ = arrivals_.of(whole);
  if (head->type == 'X') {
    evbuffer_drain(input(), whole);
    end();
    return false;
  }
  if (head->type != 'Q') {
    const std::string_view body = pull(whole).substr(sizeof bytes);
    takeExtended(head->type, body);  // takes it out of the input, too
    return !ending_;
  }
  evbuffer_drain(input(), sizeof bytes);
  if (skipping_) {
    evbuffer_drain(input(), head->body);
    release();
    return true;
  }
  Buffer statement = newBuffer();
  evbuffer_remove_buffer(input(), statement.get(), head->body);
  if (prepared_) prepared_->simpleQuery();
  takeStatement(std::move(statement));
  return true;
}

// Nothing says how long a message of version 2 is: a query ends at its NUL.
bool Session::takeMessage2() {
  const std::size_t have = evbuffer_get_length(input());
  if (have == 0) return false;
  char type = 0;
  evbuffer_copyout(input(), &type, 1);
  if (type == 'X') {
    end();
    return false;
  }
  if (type != 'Q') {
    const std::string text = std::string("a message that protocol 2.0 does not have here: '") +
                             (type >= ' ' && type < 0x7f ? type : '?') + "'";
    reject("08P01", type == 'F' ? "function calls are not supported here" : text, true);
    return false;
  }
  const auto end = evbuffer_search(input(), "", 1, nullptr);  // the first NUL
  if (end.pos < 0) {
    if (have >= pg2::kLongestQuery)
      reject("08P01", "a query that does not end", true);
    else if (have >= kReadAhead && !reserve(pg2::kLongestQuery))
      reject("53200", "too many long statements at once", true);
    return false;
  }
  asked();
  lastByte_ = arrivals_.of(static_cast<std::size_t>(end.pos) + 1);
  evbuffer_drain(input(), 1);
  Buffer statement = newBuffer();
  evbuffer_remove_buffer(input(), statement.get(), static_cast<std::size_t>(end.pos));  // NUL included
  takeStatement(std::move(statement));
  return true;
}

void Session::take(const PreparedStatements::Said& said) {
  append(output(), said.answer);
  if (!said.code) return;
  extended_ = true;
  tell(problem("ERROR", said.code, said.text));
  extended_ = false;
}

void Session::takeExtended(char type, std::string_view body) {
  const std::size_t whole = postgres::kHead + body.size();
  if (!prepared_) prepared_ = std::make_unique<PreparedStatements>();
  PreparedStatements& p = *prepared_;
  std::optional<PreparedStatements::Asked> asked;
  batch_ = type != 'S';
  if (type == 'S') {
    const PreparedStatements::Said owed = p.sync();
    if (!skipping_) take(owed);
    skipping_ = false;
    append(output(), codec_->ready());
  } else if (!skipping_) {
    switch (type) {
      case 'P':
        take(p.parse(body, side_.backslashes));
        break;
      case 'B':
        take(p.bind(body, side_.backslashes, postgres::kLongestMessage));
        break;
      case 'D':
        take(p.describe(body));
        break;
      case 'C':
        take(p.close(body));
        break;
      case 'E':
        take(p.execute(body, asked));
        break;
      default:
        take(p.settle());
    }
  }
  evbuffer_drain(input(), whole);
  // Guards the memory: what clients have prepared counts like long statements.
  if (!hold(p.bytes())) return reject("53200", "too many prepared statements at once", true);
  if (!asked) {
    release();
    if (owner_.gate_) batch_ ? owner_.gate_->busy(place_) : owner_.gate_->idle(place_);
    if (type == 'S') settle();
    return;
  }
  extended_ = true;
  described_ = asked->described;
  mostRows_ = asked->mostRows;
  wanted_ = asked->wanted;
  wanted_.bytea = side_.bytea;
  Buffer statement = newBuffer();
  append(statement.get(), asked->statement);
  evbuffer_add(statement.get(), "", 1);
  takeStatement(std::move(statement));
}

bool Session::takeSetting(std::string_view text) {
  const auto set = translation::parseSet(text);
  if (!set) return false;
  if (const auto why = translation::apply(side_, set->first, set->second)) {
    reject("22023", *why, false);
    return true;
  }
  sideTold();
  if (extended_ && described_) append(output(), postgres::noData());
  append(output(), codec_->completed("SET"));
  if (set->first == "standard_conforming_strings" && speaks_ == Speaks::Version3)
    append(output(), postgres::parameterStatus(set->first, side_.backslashes ? "off" : "on"));
  answered();
  return true;
}

void Session::takeStatement(Buffer statement) {
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
    if (extended_ && described_) append(output(), postgres::noData());
    append(output(), codec_->emptyStatement());
    return answered();
  }
  const postgres::Comment comment = postgres::parseComment(text);
  if (comment.fault) {
    if (length < kLongestSet &&
        takeSetting({reinterpret_cast<const char*>(evbuffer_pullup(statement.get(), -1)), length - 1}))
      return;
    return reject("42601", comment.fault, false);
  }
  // Guards the data servers against work for a client that wrote and left while it waited to be accepted or
  // read: libevent tells of the end only after what came before it.
  if (clientGone()) return lingers();
  // Guards the one final answer that an id stands for: data servers know a request by it.
  std::string id(comment.id);
  if (owner_.openIds_.count(id) > 0) return reject("42710", "this id is that of an open request", false);
  const auto& classes = owner_.config_.classes;
  const auto cls = std::find(classes.begin(), classes.end(), comment.cls);
  if (cls == classes.end()) return reject("42704", "unknown class", false);

  const Time now = owner_.engine_.now();
  balancer::Request q;
  q.classIndex = static_cast<int>(cls - classes.begin());
  q.group = comment.cluster;
  const auto& settings = owner_.config_.settings.classes[static_cast<std::size_t>(q.classIndex)];
  // Its client's time runs from its last byte, also while it stands behind others here.
  q.deadline = lastByte_ + (comment.waitLength > 0
                                ? Time(std::chrono::milliseconds(std::min(comment.waitMs, kLongestWaitMs)))
                                : settings.deadline);
  q.deadline = std::min(q.deadline, owner_.answerBy_);
  if (comment.after > 0)
    q.sessionTokenAgeMs =
        std::max(0.001f, static_cast<float>(static_cast<double>(owner_.engine_.unixNow().count()) / 1e3 -
                                            static_cast<double>(comment.after)));
  if (owner_.config_.sessions) {
    char start[kStart];
    const auto got = evbuffer_copyout(statement.get(), start, sizeof start);
    const std::string_view key =
        postgres::parseKey({start, static_cast<std::size_t>(std::max<ev_ssize_t>(got, 0))});
    if (!key.empty()) q.session = std::max<std::uint64_t>(fnv1a(key), 1);
  }
  RequestMessage message{newBuffer(), std::move(statement), told_, {}, {}};
  message.clockOffset = owner_.engine_.clockOffset();
  if (owner_.config_.store) {
    message.id = id;
    message.key = comment.key;
  }
  if (comment.waitLength > 0) {
    evbuffer_remove_buffer(message.after.get(), message.before.get(), length - n + comment.waitAt);
    evbuffer_drain(message.after.get(), comment.waitLength);
  }
  owner_.openIds_.insert(id);
  id_ = std::move(id);
  if (owner_.gate_) owner_.gate_->busy(place_);
  request_ = owner_.request(*this, q, std::move(message), place_);
  if (tracing())
    logEvent(LogLevel::Trace, "request_accepted",
             {{"r", request_}, {"id", id_}, {"left_ms", (q.deadline - now).count() / 1000}});
}
void Session::forget() {
  if (!id_.empty()) owner_.openIds_.erase(id_);
  id_.clear();
}

}  // namespace sablespur
