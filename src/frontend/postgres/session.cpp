#include "frontend/postgres/session.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "frontend/postgres/session_common.hpp"

namespace sablespur {
namespace {

// Time in which a new client is not evicted although it has sent nothing, however many others
// connect.
constexpr Time kNewClientGrace = std::chrono::milliseconds(25);
constexpr Time kNewClientGraceInDrain = std::chrono::milliseconds(100);
// Time for which input is read and discarded before the socket is closed. Closing a socket with
// unread input resets the connection, and the client would not see the error.
constexpr Time kLingerTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLingerBytes = 1 << 20;
constexpr const char* kInvalidPassword = "28P01";

}  // namespace

Session::Session(SessionOwner& owner, evutil_socket_t fd, const Address& from, bool awaitProxyHeader)
    : owner_(owner),
      services_(owner.services()),
      descriptor_(services_.budget, DescriptorHolder::Clients),
      bev_(bufferevent_socket_new(services_.base, fd, BEV_OPT_CLOSE_ON_FREE)),
      client_{from, {}, {}},
      pipelined_(owner.openRequestIds(), this) {
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
  if (request_.id) {
    owner_.cancelRequest(*request_.id);
    retainRequestId();
  }
  if (services_.admission) services_.admission->connectionClosed(client_.permit);
  services_.budget.releaseBytes(extended_.reservation);
  owner_.onSessionDestroyed(*this);
  releaseRequestId();
  releaseMessage();
  releaseReadAhead();
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
  beginDrain();  // not beginClose(): a request may have just arrived
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

bool Session::canEvictUnadmitted(Time now) {
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
  pipelined_.clear();
  setReading(true);
  if (evbuffer_get_length(output()) == 0) shutdownSending();  // otherwise called by onFlushed()
}

void Session::startDraining() {
  if (closeState_ == CloseState::Open) closeState_ = CloseState::Draining;
}

void Session::beginDrain() {
  startDraining();
  if (request_.id || extended_.awaitingSync || closing() || evbuffer_get_length(output()) > 0) return;
  // A client that has only just connected may not have had time to send its first request;
  // checkIdleTimeout() closes it later.
  if (!firstRequestReceived_ && services_.engine.now() - lastActive_ < kNewClientGraceInDrain) return;
  // A client repeats a request that was still on its way when the connection was closed, but not
  // one that had already arrived, so input that has arrived is processed first.
  const bool hasInput = pastAnswerDeadline() ? evbuffer_get_length(input()) > 0 : hasUnreadInput();
  if (hasInput)
    scheduleInput();
  else
    beginClose();
}

void Session::failOutstanding() {
  if (closing()) return;
  startDraining();
  setReading(false);
  if (!request_.id) return scheduleInput();
  owner_.cancelRequest(*request_.id);
  failed();
}

// Closes the connection for sending only. Closing the socket with unread input would reset the
// connection, and output that the client has not received yet would be lost.
void Session::shutdownSending() {
  closeState_ = CloseState::Lingering;
  lastActive_ = services_.engine.now();
  shutdown(socket(), SHUT_WR);
}

void Session::startLingeringClose() {
  releaseMessage();
  pipelined_.clear();
  startup_.login.reset();
  closeState_ = CloseState::Lingering;
  lastActive_ = services_.engine.now();
  setReading(true);
  discardInput();
}

void Session::discardInput() {
  const std::size_t length = evbuffer_get_length(input());
  evbuffer_drain(input(), length);
  releaseReadAhead();
  inputState_.discarded += length;
  if (inputState_.discarded > kMaxLingerBytes) owner_.onSessionClosed(*this);
}

// Answers with an error. After a fatal error the rest of the input cannot be interpreted, so the
// connection is closed. After any other error no further message is processed until the next idle
// sweep, so that a client that repeats its error at full speed does not starve the other clients of
// the event loop.
void Session::reject(const char* code, std::string_view text, bool fatal) {
  writeError(makeErrorReport(fatal ? "FATAL" : "ERROR", code, text));
  // A failed login has its own log event (login_failed).
  if (std::string_view(code) != kInvalidPassword) owner_.logRejection(code, text, client_.address);
  inputState_.paused = true;
  if (!fatal) return finishRequest();
  startLingeringClose();
}

// ---- timeouts and disconnects -------------------------------------------------------------------------

evutil_socket_t Session::socket() const { return bufferevent_getfd(bev_.get()); }

bool Session::hasSocketInput() const {
  char byte = 0;
  return recv(socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Session::hasUnreadInput() { return evbuffer_get_length(input()) > 0 || hasSocketInput(); }

// While a key is being derived, input is not processed, so it may hold complete messages.
bool Session::hasPartialMessage() {
  return inputState_.partialMessageSince && !isScheduled() && !startup_.passwordWork &&
         evbuffer_get_length(input()) > 0;
}

bool Session::mayHoldRequest() {
  return hasSocketInput() || (evbuffer_get_length(input()) > 0 && !hasPartialMessage());
}

bool Session::clientDisconnected() const {
  pollfd descriptor{socket(), POLLRDHUP, 0};
  return poll(&descriptor, 1, 0) > 0;
}

bool Session::checkIdleTimeout(Time now) {
  if (inputState_.paused && !closing() && evbuffer_get_length(input()) > 0) scheduleInput();
  inputState_.paused = false;
  const bool flushed = evbuffer_get_length(output()) == 0;
  // If the client does not read its last output, the write timeout closes the session.
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
  if (isScheduled()) {
    // What it was waited for may have arrived.
    processInput();
    if (checkIdleTimeout(services_.engine.now())) return;
  }
  if (!inputState_.partialMessageSince || evbuffer_get_length(input()) == 0) return beginClose();
  reject("08P01", "a message that was begun and not finished in time", true);
}

// While reading is disabled libevent does not report that the client has disconnected, so the owner
// polls the socket.
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
  // Input may be left that was not processed while too much output was unsent.
  if (evbuffer_get_length(input()) > 0 || pastAnswerDeadline()) scheduleInput();
  if (draining()) beginDrain();
}

}  // namespace sablespur
