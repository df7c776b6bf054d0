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
      descriptor_(owner.budget_, DescriptorHolder::Clients),
      bev_(bufferevent_socket_new(owner.base_, fd, BEV_OPT_CLOSE_ON_FREE)),
      from_(from),
      awaitingProxyHeader_(hidden),
      codec_(&kVersion30) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<Session*>(self)->onReadable(); },
      [](bufferevent*, void* self) { static_cast<Session*>(self)->onFlushed(); },
      [](bufferevent*, short what, void* self) { static_cast<Session*>(self)->onEvent(what); }, this);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
  evbuffer_add_cb(input(), inputChanged, this);
  const auto us = owner_.config_.unreadAnswer.count();
  const timeval unread{static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
  bufferevent_set_timeouts(bev_.get(), nullptr, &unread);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  lastActive_ = owner_.engine_.now();
  if (hidden) setUnadmitted(true);
}
Session::~Session() {
  evbuffer_remove_cb(input(), inputChanged, this);
  owner_.watchForDisconnect(*this, false);
  if (request_ != 0) owner_.cancelRequest(request_);
  setUnadmitted(false);
  if (owner_.admission_) owner_.admission_->connectionClosed(permit_);
  owner_.activeSessions_ -= firstRequestReceived_;
  owner_.budget_.releaseBytes(preparedReservation_);
  owner_.keys_.erase(key_.process);
  releaseRequestId();
  releaseMessage();
}

// ---- the door -----------------------------------------------------------------------------------------
void Session::setUnadmitted(bool is) {
  owner_.unadmittedSessions_ += is;
  owner_.unadmittedSessions_ -= unadmitted_;
  unadmitted_ = is;
}
void Session::requestAdmission() {
  const AdmissionDecision a = owner_.admission_->connectionArrived(*this, from_);
  permit_ = a.permit;
  retryAfter_ = a.retryAfter;
  setUnadmitted(permit_ == 0);
}
bool Session::ensureAdmitted() {
  if (!owner_.admission_) return true;
  if (!user_.empty() || permit_ != 0) {
    const AdmissionDecision a = owner_.admission_->userAuthenticated(*this, permit_, from_, user_);
    permit_ = a.permit;
    if (a.retryAfter > Time(0)) retryAfter_ = a.retryAfter;
    setUnadmitted(permit_ == 0);
  }
  if (permit_ != 0) return true;
  translation::Problem p = problem("FATAL", "53300", "too many connections of this client's group");
  p.comeBackMs = static_cast<std::uint32_t>(std::max<std::int64_t>((retryAfter_.count() + 999) / 1000, 1));
  writeError(p);
  startLingeringClose();
  return false;
}
void Session::evict() {
  permit_ = 0;
  setUnadmitted(true);
  beginDrain();  // a request may have come just now
}

// ---- answers ------------------------------------------------------------------------------------------
void Session::served(Answer answer) {
  request_ = 0;
  if (owner_.admission_) owner_.admission_->connectionServed(permit_);
  writeAnswer(std::move(answer));
  finishRequest();
}
void Session::rejected(Time retryAfter) {
  request_ = 0;
  translation::Problem p = problem("ERROR", "53300", "no data server can take this request now");
  const auto ms = (retryAfter.count() + 999) / 1000;
  if (ms > 0) p.comeBackMs = static_cast<std::uint32_t>(ms);
  writeError(p);
  finishRequest();
}
void Session::failed() {
  request_ = 0;
  writeError(problem("ERROR", "40003", "the request may have run; its outcome is unknown"));
  finishRequest();
}
void Session::onCancelRequest() {
  if (request_ == 0) return;  // its answer is out: there is nothing to give up
  owner_.cancelRequest(request_);
  request_ = 0;
  writeError(problem("ERROR", "57014", "canceling statement due to user request"));
  finishRequest();
}

void Session::writeError(const translation::Problem& p) {
  append(output(), codec_->problem(p));
  skippingUntilSync_ = extended_;
}

// Where client and data server speak the same form, and nothing else was asked for, buffers are moved on
// unread.
void Session::writeAnswer(Answer answer) {
  evbuffer* const from = answer.messages.get();
  const std::size_t length = evbuffer_get_length(from);
  const auto whole = [&] {
    return std::string_view(reinterpret_cast<const char*>(evbuffer_pullup(from, -1)), length);
  };
  if (answer.problem) return writeError(answer.reader->problem(whole()));
  const bool same = version_ == ProtocolVersion::Version3 && answer.reader == &postgres::reader() &&
                    resultFormat_.plain() && maxRows_ == 0;
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
      if (same && !sendRowDescription_) evbuffer_drain(from, sizeof bytes + head->body);
    }
  }
  if (extended_ && sendRowDescription_ && columns.empty()) append(output(), postgres::noData());
  if (same) {
    evbuffer_add_buffer(output(), from);
    return prepared_->onExecuted(columns, false);
  }
  translation::Conversion conversion(*codec_, resultFormat_, sendRowDescription_, 2 * length + kGrowth,
                                     maxRows_);
  if (!answer.reader->answer(whole(), conversion)) {
    const std::string why = conversion.why().empty() ? "a malformed answer" : conversion.why();
    logEvent(LogLevel::Warning, "answer_not_translated", {{"why", why}});
    return writeError(problem("ERROR", "22P03", "the answer cannot be told: " + why));
  }
  std::string told = conversion.take();
  told.size() > kReadAhead ? appendLong(output(), std::move(told)) : append(output(), told);
  if (!extended_) return;
  if (conversion.suspended()) append(output(), postgres::portalSuspended());
  prepared_->onExecuted(columns, conversion.suspended());
}

void Session::finishRequest() {
  releaseRequestId();
  releaseMessage();
  lastActive_ = owner_.engine_.now();
  partialMessageSince_ = Time(0);  // what waits behind is looked at next
  if (!extended_) append(output(), codec_->ready());
  extended_ = false;
  resultFormat_ = {};
  if (clientSettings_.bytea) resultFormat_.bytea = clientSettings_.bytea;
  sendRowDescription_ = true;
  maxRows_ = 0;
  // Amid a batch it is not: a Sync and its ReadyForQuery are still to come.
  if (owner_.admission_ && !awaitingSync_) owner_.admission_->connectionIdle(permit_);
  resumeOrDrain();
}

// ---- the connection -----------------------------------------------------------------------------------
int Session::evictionPriority(Time now) {
  if (lingering_) return evbuffer_get_length(output()) == 0 ? 3 : 0;  // answers may stand before its error
  if (request_ != 0 || closing_) return 0;
  if (!firstRequestReceived_) return now - lastActive_ >= kNewcomer ? 2 : 0;
  return idle() && evbuffer_get_length(output()) == 0 ? 1 : 0;
}
void Session::beginClose() {
  if (closing_) return;
  closing_ = true;
  setReading(true);
  if (evbuffer_get_length(output()) == 0) shutdownSending();  // else flushed() does
}
void Session::beginDrain() {
  draining_ = true;
  if (request_ != 0 || awaitingSync_ || closing_ || evbuffer_get_length(output()) > 0) return;
  // One that has only just come has not had the time to say anything; looksAlive() comes back to it.
  if (!firstRequestReceived_ && owner_.engine_.now() - lastActive_ < kGreeting) return;
  // A request that crosses the end and was not read is sent again by its client; this one has come before.
  if (owner_.pastAnswerDeadline() ? evbuffer_get_length(input()) > 0 : hasUnreadInput())
    scheduleRead();
  else
    beginClose();
}
void Session::failOutstanding() {
  if (closing_) return;
  draining_ = true;
  setReading(false);
  if (request_ == 0) return scheduleRead();
  owner_.cancelRequest(request_);
  failed();
}
bool Session::hasUnreadInput() {
  char byte;
  return evbuffer_get_length(input()) > 0 ||
         recv(bufferevent_getfd(bev_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
bool Session::clientDisconnected() const {
  pollfd asked{socket(), POLLRDHUP, 0};
  return poll(&asked, 1, 0) > 0;
}
// Guards what was written against our own close: on unread bytes that would reset the connection.
void Session::shutdownSending() {
  lingering_ = true;
  lastActive_ = owner_.engine_.now();
  shutdown(bufferevent_getfd(bev_.get()), SHUT_WR);
}
// Guards against requests of a client that has gone: with reading off libevent does not see its end.
void Session::setReading(bool on) {
  if (on == reading_) return;
  reading_ = on;
  (on ? bufferevent_enable : bufferevent_disable)(bev_.get(), EV_READ);
  owner_.watchForDisconnect(*this, !on);
}
evutil_socket_t Session::socket() const { return bufferevent_getfd(bev_.get()); }
bool Session::checkIdleTimeout(Time now) {
  if (readingPaused_ && !closing_ && evbuffer_get_length(input()) > 0) scheduleRead();
  readingPaused_ = false;
  // What stands before its last word is still owed; one that does not read it is ended by unread_answer.
  if (lingering_ && evbuffer_get_length(output()) == 0) return now - lastActive_ < kLinger;
  if (request_ != 0 || closing_ || evbuffer_get_length(output()) > 0) return true;
  if (draining_ && !awaitingSync_ && now - lastActive_ >= kGreeting && !hasUnreadInput()) return false;
  if (!firstRequestReceived_ && now - lastActive_ >= owner_.config_.firstQuery) return false;
  return partialMessageSince_ == Time(0) || now - partialMessageSince_ < owner_.config_.halfMessage;
}
void Session::onIdleTimeout() {
  if (lingering_) return owner_.onSessionClosed(*this);
  if (partialMessageSince_ == Time(0) || evbuffer_get_length(input()) == 0) return beginClose();
  reject("08P01", "a message that was begun and not finished in time", true);
}
void Session::onEvent(short what) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) owner_.onSessionClosed(*this);
}
void Session::onFlushed() {
  if (closing_) return shutdownSending();
  onReadable();  // what was left while the client did not read its answers
  if (draining_) beginDrain();
}
void Session::scheduleRead() {
  bufferevent_trigger(bev_.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}
// After an answer. What was pipelined behind comes next, but not within this answer: the turn is not over.
void Session::resumeOrDrain() {
  if (evbuffer_get_length(input()) > 0 || owner_.pastAnswerDeadline())
    scheduleRead();
  else if (draining_ || (owner_.draining_ && !owner_.acceptor_))
    beginDrain();
}
// What cannot be read to its end is fatal. Otherwise nothing more is taken before the next round: guards
// against a client that sends the same again at full speed and keeps the loop from the others.
void Session::reject(const char* code, std::string_view text, bool fatal) {
  writeError(problem(fatal ? "FATAL" : "ERROR", code, text));
  // A failed login has a line of its own.
  if (std::string_view(code) != "28P01") owner_.logRejection(code, text, from_);
  readingPaused_ = true;
  if (!fatal) return finishRequest();
  startLingeringClose();
}
void Session::startLingeringClose() {
  releaseMessage();
  login_.reset();
  closing_ = lingering_ = true;
  lastActive_ = owner_.engine_.now();
  setReading(true);
  discardInput();
}
void Session::discardInput() {
  const std::size_t n = evbuffer_get_length(input());
  evbuffer_drain(input(), n);
  discarded_ += n;
  if (discarded_ > kLingerBytes) owner_.onSessionClosed(*this);
}

// Guards against clients that fill the memory together: a statement longer than what is read ahead takes
// its part of what the configuration leaves for all such, from its head to its answer.
bool Session::reserveMessage(std::size_t whole) {
  if (whole <= kReadAhead || messageReservation_ > 0) return true;
  if (!owner_.budget_.reserveBytes(whole)) return false;
  messageReservation_ = whole;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, whole);
  return true;
}
void Session::releaseMessage() {
  if (messageReservation_ == 0) return;
  owner_.budget_.releaseBytes(messageReservation_);
  messageReservation_ = 0;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
}
bool Session::reservePrepared(std::size_t bytes) {
  if (bytes > preparedReservation_ && !owner_.budget_.reserveBytes(bytes - preparedReservation_))
    return false;
  if (bytes < preparedReservation_) owner_.budget_.releaseBytes(preparedReservation_ - bytes);
  preparedReservation_ = bytes;
  return true;
}

void Session::inputChanged(evbuffer*, const evbuffer_cb_info* change, void* of) {
  auto& s = *static_cast<Session*>(of);
  s.inputTimestamps_.onConsumed(change->n_deleted);
  const bool full = change->orig_size + change->n_added >= std::max(kReadAhead, s.messageReservation_);
  if (change->n_added > 0) s.inputTimestamps_.onReceived(change->n_added, s.owner_.engine_.now(), full);
}

void Session::onReadable() {
  if (closing_) return discardInput();
  while (request_ == 0 && !closing_ && !readingPaused_ && evbuffer_get_length(output()) < kUnread) {
    const bool took = awaitingProxyHeader_                    ? readProxyHeader()
                      : version_ == ProtocolVersion::Unknown  ? readStartup()
                      : login_                                ? readLogin()
                      : version_ == ProtocolVersion::Version3 ? readMessageV3()
                                                              : readMessageV2();
    if (!took) break;
    partialMessageSince_ = Time(0);
  }
  if (closing_) return;
  const std::size_t left = evbuffer_get_length(input());
  if (owner_.pastAnswerDeadline()) return rejectRemainder(left);
  // Guards against spinning: libevent calls back time and again while the input stands at its high
  // watermark.
  const bool room = left < std::max(kReadAhead, messageReservation_);
  if (partialMessageSince_ == Time(0) && left > 0)
    partialMessageSince_ = room ? partialMessageStart() : owner_.engine_.now();
  setReading(room);
}

// What is left when no more is read is no whole message, unless the session waits for something else.
void Session::rejectRemainder(std::size_t left) {
  setReading(false);
  if (request_ != 0 || readingPaused_ || evbuffer_get_length(output()) >= kUnread) return;
  left > 0 ? reject("57P01", "the proxy is shutting down", true) : beginClose();
}

// When the message at the input's front was begun, which may have been behind a request that was out. What of
// it may still be on its way through the system has kRestOfMessage to be read.
Time Session::partialMessageStart() const {
  const Time allowed = std::max(owner_.config_.halfMessage - kRestOfMessage, Time(0));
  return std::max(inputTimestamps_.receivedAt(1), owner_.engine_.now() - allowed);
}

std::string_view Session::pull(std::size_t n) {
  return {reinterpret_cast<const char*>(evbuffer_pullup(input(), static_cast<ev_ssize_t>(n))), n};
}

// ---- the startup --------------------------------------------------------------------------------------
bool Session::readProxyHeader() {
  const std::size_t have = std::min(evbuffer_get_length(input()), proxy_protocol::kLongestV2);
  if (have == 0) return false;
  const proxy_protocol::Header h = proxy_protocol::parse(pull(have));
  if (h.bad) {
    reject("08P01", "expected a PROXY header", true);
    return false;
  }
  if (h.length == 0) return false;
  evbuffer_drain(input(), h.length);
  awaitingProxyHeader_ = false;
  if (h.client) from_ = *h.client;
  setUnadmitted(false);
  requestAdmission();
  return true;
}

bool Session::readStartup() {
  char head[8];
  // Guards against a TLS client that waits for a handshake: it reads no ErrorResponse, but an alert
  // (RFC 8446, 6: fatal, handshake_failure).
  if (evbuffer_copyout(input(), head, 2) == 2 && head[0] == 0x16 && head[1] == 0x03) {
    append(output(), std::string_view("\x15\x03\x01\x00\x02\x02\x28", 7));
    startLingeringClose();
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
    beginClose();
    return false;
  }
  if (code >> 16 == 3) return startVersion3(packet);
  if (code >> 16 == 2 && owner_.config_.version2) return startVersion2(packet);
  reject("0A000",
         owner_.config_.version2 ? "versions 2 and 3 of the protocol are spoken here"
                                 : "only version 3 of the protocol is spoken here",
         true);
  return false;
}

bool Session::startVersion3(std::string_view packet) {
  const auto s = postgres::parseStartup(packet);
  if (!s) {
    reject("08P01", "malformed startup message", true);
    return false;
  }
  for (const auto& [name, value] : s->settings) {
    // Guards against turning away clients for what changes nothing: only what is known here can be wrong.
    const auto why =
        name == "options" ? translation::applyOptions(clientSettings_, value)
        : name == "standard_conforming_strings" || name == "bytea_output" || name == "client_encoding"
            ? translation::apply(clientSettings_, name, value)
            : std::nullopt;
    if (!why) continue;
    reject("22023", *why, true);
    return false;
  }
  const int minor = postgres::agreedMinor(s->minor);
  if (minor != s->minor || !s->extensions.empty())
    append(output(), postgres::negotiate(minor, s->extensions));
  version_ = ProtocolVersion::Version3;
  if (minor > 0) codec_ = &kVersion32;
  authenticate(s->user);
  return !closing_;
}

bool Session::startVersion2(std::string_view packet) {
  codec_ = &kVersion20;
  const auto s = pg2::parseStartup(packet);
  clientSettings_.backslashes = true;  // in its time nothing else was known
  clientSettings_.bytea = translation::ByteaForm::Escape;
  const auto why = s ? translation::applyOptions(clientSettings_, s->options) : std::nullopt;
  if (!s || why) {
    reject("08P01", why ? *why : "malformed startup packet", true);
    return false;
  }
  version_ = ProtocolVersion::Version2;
  authenticate(s->user);
  return !closing_;
}

void Session::authenticate(const std::string& user) {
  const bool password = wantsPassword(owner_.config_);
  // One that has no place may have one by its name, once that is proved.
  if (owner_.admission_ && permit_ == 0 && !(password && owner_.admission_->admitsByUser()) &&
      !ensureAdmitted())
    return;
  if (!password) return completeStartup();
  user_ = user;
  std::string why;
  login_ = createLogin(owner_.config_, *owner_.users_, user, version_ == ProtocolVersion::Version2, why);
  if (!login_) return reject("28000", why, true);
  append(output(), login_->initialRequest());
}

// A password, or a word of SCRAM.
bool Session::readLogin() {
  if (passwordWork_) return false;
  std::size_t whole = 0;
  std::string_view body;
  if (version_ == ProtocolVersion::Version2) {
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
    if (!head || head->type != 'p' || head->body > kMaxLoginMessage) {
      reject("08P01", "expected a password", true);
      return false;
    }
    whole = sizeof bytes + head->body;
    if (evbuffer_get_length(input()) < whole) return false;
    body = pull(whole).substr(sizeof bytes);
  }
  const Login::StepResult s = login_->onResponse(body);
  evbuffer_drain(input(), whole);
  applyLoginStep(s);
  return !closing_;
}

void Session::applyLoginStep(const Login::StepResult& s) {
  append(output(), s.messages);
  switch (s.step) {
    case Login::Step::Continue:
      return;
    case Login::Step::Accept:
      login_.reset();
      return ensureAdmitted() ? completeStartup() : void();
    case Login::Step::DeriveKey:
      passwordWork_ = owner_.workers_.run(login_->keyDerivation(), [this](const std::string& result) {
        passwordWork_.reset();
        applyLoginStep(login_->onKeyDerived(result));
        if (!closing_) scheduleRead();
      });
      if (passwordWork_) return;
      return reject("53300", "too many logins at once", true);
    case Login::Step::Reject:
      logEvent(LogLevel::Warning, "login_failed", {{"user", user_.substr(0, kLongestName)}});
      return reject(
          "28P01", "password authentication failed for user \"" + user_.substr(0, kLongestName) + "\"", true);
  }
}

void Session::completeStartup() {
  key_ = owner_.newKey(*this, codec_ == &kVersion32 ? postgres::kLongKey : postgres::kShortKey);
  append(output(), version_ == ProtocolVersion::Version3
                       ? postgres::welcome(key_, clientSettings_.backslashes)
                       : pg2::authenticationOk() +
                             pg2::keyData({key_.process, postgres::readInt32(key_.secret.data())}) +
                             pg2::ready());
  lastActive_ = owner_.engine_.now();
  onSettingsChanged();
  if (owner_.admission_) owner_.admission_->connectionIdle(permit_);
  resumeOrDrain();
}

void Session::onSettingsChanged() {
  sharedSettings_ =
      clientSettings_.backslashes ? std::make_shared<const translation::Side>(clientSettings_) : nullptr;
  resultFormat_.bytea = clientSettings_.bytea;
}

// ---- messages -----------------------------------------------------------------------------------------
void Session::markFirstRequest() {
  if (!firstRequestReceived_) owner_.onFirstRequest(*this);
  firstRequestReceived_ = true;
}

bool Session::readMessageV3() {
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
  if (!reserveMessage(whole)) {
    reject("53200", "too many long statements at once", true);
    return false;
  }
  if (evbuffer_get_length(input()) < whole) return false;
  markFirstRequest();
  messageReceivedAt_ = inputTimestamps_.receivedAt(whole);
  if (head->type == 'X') {
    evbuffer_drain(input(), whole);
    beginClose();
    return false;
  }
  if (head->type != 'Q') {
    const std::string_view body = pull(whole).substr(sizeof bytes);
    handleExtended(head->type, body);  // takes it out of the input, too
    return !closing_;
  }
  evbuffer_drain(input(), sizeof bytes);
  if (skippingUntilSync_) {
    evbuffer_drain(input(), head->body);
    releaseMessage();
    return true;
  }
  Buffer statement = newBuffer();
  evbuffer_remove_buffer(input(), statement.get(), head->body);
  if (prepared_) prepared_->onSimpleQuery();
  submitStatement(std::move(statement));
  return true;
}

// Nothing says how long a message of version 2 is: a query ends at its NUL.
bool Session::readMessageV2() {
  const std::size_t have = evbuffer_get_length(input());
  if (have == 0) return false;
  char type = 0;
  evbuffer_copyout(input(), &type, 1);
  if (type == 'X') {
    beginClose();
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
    else if (have >= kReadAhead && !reserveMessage(pg2::kLongestQuery))
      reject("53200", "too many long statements at once", true);
    return false;
  }
  markFirstRequest();
  messageReceivedAt_ = inputTimestamps_.receivedAt(static_cast<std::size_t>(end.pos) + 1);
  evbuffer_drain(input(), 1);
  Buffer statement = newBuffer();
  evbuffer_remove_buffer(input(), statement.get(), static_cast<std::size_t>(end.pos));  // NUL included
  submitStatement(std::move(statement));
  return true;
}

void Session::writeReply(const PreparedStatements::Reply& said) {
  append(output(), said.messages);
  if (!said.errorCode) return;
  extended_ = true;
  writeError(problem("ERROR", said.errorCode, said.errorText));
  extended_ = false;
}

void Session::handleExtended(char type, std::string_view body) {
  const std::size_t whole = postgres::kHead + body.size();
  if (!prepared_) prepared_ = std::make_unique<PreparedStatements>();
  PreparedStatements& p = *prepared_;
  std::optional<PreparedStatements::Execution> asked;
  awaitingSync_ = type != 'S';
  if (type == 'S') {
    const PreparedStatements::Reply owed = p.sync();
    if (!skippingUntilSync_) writeReply(owed);
    skippingUntilSync_ = false;
    append(output(), codec_->ready());
  } else if (!skippingUntilSync_) {
    switch (type) {
      case 'P':
        writeReply(p.parse(body, clientSettings_.backslashes));
        break;
      case 'B':
        writeReply(p.bind(body, clientSettings_.backslashes, postgres::kLongestMessage));
        break;
      case 'D':
        writeReply(p.describe(body));
        break;
      case 'C':
        writeReply(p.close(body));
        break;
      case 'E':
        writeReply(p.execute(body, asked));
        break;
      default:
        writeReply(p.flush());
    }
  }
  evbuffer_drain(input(), whole);
  // Guards the memory: what clients have prepared counts like long statements.
  if (!reservePrepared(p.bytes())) return reject("53200", "too many prepared statements at once", true);
  if (!asked) {
    releaseMessage();
    if (owner_.admission_)
      awaitingSync_ ? owner_.admission_->connectionBusy(permit_) : owner_.admission_->connectionIdle(permit_);
    if (type == 'S') resumeOrDrain();
    return;
  }
  extended_ = true;
  sendRowDescription_ = asked->sendRowDescription;
  maxRows_ = asked->maxRows;
  resultFormat_ = asked->resultFormat;
  resultFormat_.bytea = clientSettings_.bytea;
  Buffer statement = newBuffer();
  append(statement.get(), asked->statement);
  evbuffer_add(statement.get(), "", 1);
  submitStatement(std::move(statement));
}

bool Session::handleSet(std::string_view text) {
  const auto set = translation::parseSet(text);
  if (!set) return false;
  if (const auto why = translation::apply(clientSettings_, set->first, set->second)) {
    reject("22023", *why, false);
    return true;
  }
  onSettingsChanged();
  if (extended_ && sendRowDescription_) append(output(), postgres::noData());
  append(output(), codec_->completed("SET"));
  if (set->first == "standard_conforming_strings" && version_ == ProtocolVersion::Version3)
    append(output(), postgres::parameterStatus(set->first, clientSettings_.backslashes ? "off" : "on"));
  finishRequest();
  return true;
}

void Session::submitStatement(Buffer statement) {
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
    if (extended_ && sendRowDescription_) append(output(), postgres::noData());
    append(output(), codec_->emptyStatement());
    return finishRequest();
  }
  const postgres::Comment comment = postgres::parseComment(text);
  if (comment.fault) {
    if (length < kLongestSet &&
        handleSet({reinterpret_cast<const char*>(evbuffer_pullup(statement.get(), -1)), length - 1}))
      return;
    return reject("42601", comment.fault, false);
  }
  // Guards the data servers against work for a client that wrote and left while it waited to be accepted or
  // read: libevent tells of the end only after what came before it.
  if (clientDisconnected()) return startLingeringClose();
  // Guards the one final answer that an id stands for: data servers know a request by it.
  std::string id(comment.id);
  if (owner_.openRequestIds_.count(id) > 0)
    return reject("42710", "this id is that of an open request", false);
  const auto& classes = owner_.config_.classes;
  const auto cls = std::find(classes.begin(), classes.end(), comment.cls);
  if (cls == classes.end()) return reject("42704", "unknown class", false);

  const Time now = owner_.engine_.now();
  balancer::Request q;
  q.classIndex = static_cast<int>(cls - classes.begin());
  q.group = comment.cluster;
  const auto& settings = owner_.config_.settings.classes[static_cast<std::size_t>(q.classIndex)];
  // Its client's time runs from its last byte, also while it stands behind others here.
  q.deadline =
      messageReceivedAt_ + (comment.waitLength > 0
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
  Message message{newBuffer(), std::move(statement), sharedSettings_, {}, {}};
  message.clockOffset = owner_.engine_.clockOffset();
  if (owner_.config_.store) {
    message.id = id;
    message.key = comment.key;
  }
  if (comment.waitLength > 0) {
    evbuffer_remove_buffer(message.after.get(), message.before.get(), length - n + comment.waitAt);
    evbuffer_drain(message.after.get(), comment.waitLength);
  }
  owner_.openRequestIds_.insert(id);
  requestName_ = std::move(id);
  if (owner_.admission_) owner_.admission_->connectionBusy(permit_);
  request_ = owner_.request(*this, q, std::move(message), permit_);
  if (tracing())
    logEvent(LogLevel::Trace, "request_accepted",
             {{"r", request_}, {"id", requestName_}, {"left_ms", (q.deadline - now).count() / 1000}});
}
void Session::releaseRequestId() {
  if (!requestName_.empty()) owner_.openRequestIds_.erase(requestName_);
  requestName_.clear();
}

}  // namespace sablespur
