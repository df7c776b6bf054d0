#include "frontend/postgres/session.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "frontend/postgres/session_common.hpp"

namespace sablespur {
namespace {

// A new client has so long to send its first bytes, however many others come.
constexpr Time kNewClientGrace = std::chrono::milliseconds(25);
constexpr Time kNewClientGraceInDrain = std::chrono::milliseconds(100);
// Before a close, input is read and discarded for so long: closing on unread input would reset the
// connection, and the client would not see the error.
constexpr Time kLingerTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLingerBytes = 1 << 20;
// The rest of a message that was begun earlier may still be on its way through the system.
constexpr Time kRestOfMessageTime = std::chrono::milliseconds(500);
// No further request is taken while the client has so much output to read.
constexpr std::size_t kMaxUnsentOutput = 16 << 10;
constexpr const char* kInvalidPassword = "28P01";

}  // namespace

Session::Session(SessionOwner& owner, evutil_socket_t fd, const Address& from, bool awaitProxyHeader)
    : owner_(owner),
      services_(owner.services()),
      descriptor_(services_.budget, DescriptorHolder::Clients),
      bev_(bufferevent_socket_new(services_.base, fd, BEV_OPT_CLOSE_ON_FREE)),
      client_{from, {}, {}} {
  startup_.awaitingProxyHeader = awaitProxyHeader;
  protocol_.codec = &kVersion30;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<Session*>(self)->onReadable(); },
      [](bufferevent*, void* self) { static_cast<Session*>(self)->onFlushed(); },
      [](bufferevent*, short what, void* self) { static_cast<Session*>(self)->onEvent(what); }, this);
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
  evbuffer_add_cb(input(), onInputChanged, this);
  const auto us = services_.config.unreadAnswerTimeout.count();
  const timeval unread{static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
  bufferevent_set_timeouts(bev_.get(), nullptr, &unread);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  lastActive_ = services_.engine.now();
  if (awaitProxyHeader) owner_.setUnadmitted(*this, true);
}

Session::~Session() {
  evbuffer_remove_cb(input(), onInputChanged, this);
  if (request_.id) owner_.cancelRequest(*request_.id);
  if (services_.admission) services_.admission->connectionClosed(client_.permit);
  services_.budget.releaseBytes(extended_.reservation);
  owner_.onSessionDestroyed(*this);
  releaseRequestName();
  releaseMessage();
}

// ---- admission ----------------------------------------------------------------------------------------

void Session::requestAdmission() {
  const AdmissionDecision decision = services_.admission->connectionArrived(*this, client_.address);
  client_.permit = decision.permit;
  client_.retryAfter = decision.retryAfter;
  owner_.setUnadmitted(*this, !client_.permit);
}

void Session::evict() {
  client_.permit.reset();
  owner_.setUnadmitted(*this, true);
  beginDrain();  // a request may have just arrived
}

EvictionPriority Session::evictionPriority(Time now) {
  const bool flushed = evbuffer_get_length(output()) == 0;
  if (closeState_ == CloseState::Lingering)
    return flushed ? EvictionPriority::Closing : EvictionPriority::Never;
  if (request_.id || closing()) return EvictionPriority::Never;
  if (!firstRequestReceived_)
    return now - lastActive_ >= kNewClientGrace ? EvictionPriority::NeverUsed : EvictionPriority::Never;
  return idle() && flushed ? EvictionPriority::Idle : EvictionPriority::Never;
}

bool Session::mayLeaveUnadmitted(Time now) {
  if (now - lastActive_ < kNewClientGrace || hasUnreadInput()) return false;
  if (closeState_ == CloseState::Lingering) return evbuffer_get_length(output()) == 0;
  return !closing() && protocol_.version == ProtocolVersion::Unknown;
}

bool Session::idle() {
  return !request_.id && !closing() && !extended_.awaitingSync && evbuffer_get_length(input()) == 0;
}

// ---- closing ------------------------------------------------------------------------------------------

void Session::beginClose() {
  if (closing()) return;
  closeState_ = CloseState::Closing;
  setReading(true);
  if (evbuffer_get_length(output()) == 0) shutdownSending();  // else onFlushed() does
}

void Session::startDraining() {
  if (closeState_ == CloseState::Open) closeState_ = CloseState::Draining;
}

void Session::beginDrain() {
  startDraining();
  if (request_.id || extended_.awaitingSync || closing() || evbuffer_get_length(output()) > 0) return;
  // One that has only just connected has had no time to send anything; checkIdleTimeout() closes it later.
  if (!firstRequestReceived_ && services_.engine.now() - lastActive_ < kNewClientGraceInDrain) return;
  // A request that crosses the close and is not read is repeated by its client; one that has arrived is not.
  const bool hasInput = pastAnswerDeadline() ? evbuffer_get_length(input()) > 0 : hasUnreadInput();
  if (hasInput)
    scheduleRead();
  else
    beginClose();
}

void Session::failOutstanding() {
  if (closing()) return;
  startDraining();
  setReading(false);
  if (!request_.id) return scheduleRead();
  owner_.cancelRequest(*request_.id);
  failed();
}

// A close on unread bytes would reset the connection, and output on its way would be lost.
void Session::shutdownSending() {
  closeState_ = CloseState::Lingering;
  lastActive_ = services_.engine.now();
  shutdown(socket(), SHUT_WR);
}

void Session::startLingeringClose() {
  releaseMessage();
  startup_.login.reset();
  closeState_ = CloseState::Lingering;
  lastActive_ = services_.engine.now();
  setReading(true);
  discardInput();
}

void Session::discardInput() {
  const std::size_t length = evbuffer_get_length(input());
  evbuffer_drain(input(), length);
  inputState_.discarded += length;
  if (inputState_.discarded > kMaxLingerBytes) owner_.onSessionClosed(*this);
}

// A fatal error closes the connection: the rest of its input cannot be interpreted. Otherwise nothing more is
// taken before the next idle sweep, so that a client that repeats its error at full speed does not keep the
// loop from the others.
void Session::reject(const char* code, std::string_view text, bool fatal) {
  writeError(problem(fatal ? "FATAL" : "ERROR", code, text));
  // A failed login is logged by itself.
  if (std::string_view(code) != kInvalidPassword) owner_.logRejection(code, text, client_.address);
  inputState_.paused = true;
  if (!fatal) return finishRequest();
  startLingeringClose();
}

// ---- timeouts and the client's end --------------------------------------------------------------------

evutil_socket_t Session::socket() const { return bufferevent_getfd(bev_.get()); }

bool Session::hasSocketInput() const {
  char byte = 0;
  return recv(socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Session::hasUnreadInput() { return evbuffer_get_length(input()) > 0 || hasSocketInput(); }

// While a key is derived the input waits, whatever it holds.
bool Session::hasPartialMessage() {
  return inputState_.partialMessageSince && !startup_.passwordWork && evbuffer_get_length(input()) > 0;
}

bool Session::mayHoldRequest() {
  return hasSocketInput() || (evbuffer_get_length(input()) > 0 && !hasPartialMessage());
}

bool Session::clientDisconnected() const {
  pollfd asked{socket(), POLLRDHUP, 0};
  return poll(&asked, 1, 0) > 0;
}

bool Session::checkIdleTimeout(Time now) {
  if (inputState_.paused && !closing() && evbuffer_get_length(input()) > 0) scheduleRead();
  inputState_.paused = false;
  const bool flushed = evbuffer_get_length(output()) == 0;
  // A client that does not read its last output is closed by the write timeout.
  if (closeState_ == CloseState::Lingering && flushed) return now - lastActive_ < kLingerTime;
  if (request_.id || closing() || !flushed) return true;
  if (draining() && !extended_.awaitingSync && now - lastActive_ >= kNewClientGraceInDrain &&
      !hasUnreadInput())
    return false;
  if (!firstRequestReceived_ && now - lastActive_ >= services_.config.firstQueryTimeout) return false;
  return !inputState_.partialMessageSince ||
         now - *inputState_.partialMessageSince < services_.config.partialMessageTimeout;
}

void Session::onIdleTimeout() {
  if (closeState_ == CloseState::Lingering) return owner_.onSessionClosed(*this);
  if (!inputState_.partialMessageSince || evbuffer_get_length(input()) == 0) return beginClose();
  reject("08P01", "a message that was begun and not finished in time", true);
}

// While reading is off libevent does not report the client's end; Clients polls for it then.
void Session::setReading(bool on) {
  if (on == inputState_.reading) return;
  inputState_.reading = on;
  (on ? bufferevent_enable : bufferevent_disable)(bev_.get(), EV_READ);
  owner_.watchForDisconnect(*this, !on);
}

void Session::onEvent(short what) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) owner_.onSessionClosed(*this);
}

void Session::onFlushed() {
  if (closing()) return shutdownSending();
  onReadable();  // what was left while the client did not read its answers
  if (draining()) beginDrain();
}

// ---- reading ------------------------------------------------------------------------------------------

void Session::onInputChanged(evbuffer*, const evbuffer_cb_info* change, void* session) {
  auto& self = *static_cast<Session*>(session);
  self.inputState_.timestamps.onConsumed(change->n_deleted);
  const std::size_t limit = std::max(kReadAhead, self.inputState_.messageReservation);
  const bool full = change->orig_size + change->n_added >= limit;
  if (change->n_added > 0)
    self.inputState_.timestamps.onReceived(change->n_added, self.services_.engine.now(), full);
}

void Session::scheduleRead() {
  bufferevent_trigger(bev_.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

// After an answer. What is pipelined behind it comes next, but not within this call: the turn is not over.
void Session::resumeOrDrain() {
  if (evbuffer_get_length(input()) > 0 || pastAnswerDeadline())
    scheduleRead();
  else if (draining() || owner_.shutdownPhase() >= ShutdownPhase::ClosingIdle)
    beginDrain();
}

// Processes one message; false if it is not complete, or no further one may be taken.
bool Session::readMessage() {
  if (startup_.awaitingProxyHeader) return readProxyHeader();
  if (protocol_.version == ProtocolVersion::Unknown) return readStartup();
  if (startup_.login) return readLogin();
  return protocol_.version == ProtocolVersion::Version3 ? readMessageV3() : readMessageV2();
}

void Session::onReadable() {
  if (closing()) return discardInput();
  while (!request_.id && !closing() && !inputState_.paused &&
         evbuffer_get_length(output()) < kMaxUnsentOutput) {
    if (!readMessage()) break;
    inputState_.partialMessageSince.reset();
  }
  if (closing()) return;
  const std::size_t left = evbuffer_get_length(input());
  if (pastAnswerDeadline()) return rejectRemainder(left);
  // libevent calls back again and again while the input stands at its high watermark, so reading is off
  // there.
  const bool belowWatermark = left < std::max(kReadAhead, inputState_.messageReservation);
  if (!inputState_.partialMessageSince && left > 0)
    inputState_.partialMessageSince = belowWatermark ? partialMessageStart() : services_.engine.now();
  setReading(belowWatermark);
}

// Input that is left when nothing more is read is no complete message, unless the session waits for something
// else.
void Session::rejectRemainder(std::size_t length) {
  setReading(false);
  if (request_.id || inputState_.paused || evbuffer_get_length(output()) >= kMaxUnsentOutput) return;
  if (length > 0)
    reject("57P01", "the proxy is shutting down", true);
  else
    beginClose();
}

// When the message at the input's front was begun, possibly behind a request that was being processed; what
// of it is still in the system has kRestOfMessageTime to be read.
Time Session::partialMessageStart() const {
  const Time allowed = std::max(services_.config.partialMessageTimeout - kRestOfMessageTime, Time(0));
  return std::max(inputState_.timestamps.receivedAt(1), services_.engine.now() - allowed);
}

std::string_view Session::pull(std::size_t length) {
  const unsigned char* const bytes = evbuffer_pullup(input(), static_cast<ev_ssize_t>(length));
  return {reinterpret_cast<const char*>(bytes), length};
}

// ---- memory -------------------------------------------------------------------------------------------

// Held from the head of a long message to its answer.
bool Session::reserveMessage(std::size_t length) {
  if (length <= kReadAhead || inputState_.messageReservation > 0) return true;
  if (!services_.budget.reserveBytes(length)) return false;
  inputState_.messageReservation = length;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, length);
  return true;
}

void Session::releaseMessage() {
  if (inputState_.messageReservation == 0) return;
  services_.budget.releaseBytes(inputState_.messageReservation);
  inputState_.messageReservation = 0;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, kReadAhead);
}

bool Session::reservePrepared(std::size_t bytes) {
  const std::size_t held = extended_.reservation;
  if (bytes > held && !services_.budget.reserveBytes(bytes - held)) return false;
  if (bytes < held) services_.budget.releaseBytes(held - bytes);
  extended_.reservation = bytes;
  return true;
}

}  // namespace sablespur
