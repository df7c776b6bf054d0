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
// Minimum time left for the rest of an incomplete message once its beginning has been looked at;
// the rest may already be in the socket's receive buffer.
constexpr Time kMinRestOfMessageTime = std::chrono::milliseconds(500);
// Messages that one client may have processed before others get their turn.
constexpr int kMessagesPerSlice = 16;
// No further request is processed while the client has this many bytes of unsent output.
constexpr std::size_t kMaxUnsentOutput = 16 << 10;
// Input of one client that is read ahead while its request is out, so that its disconnect is seen
// behind pipelined requests; in steps of kReadAheadStep.
constexpr std::size_t kMaxExtraReadAhead = 1 << 20;
constexpr std::size_t kReadAheadStep = 64 << 10;
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

// ---- reading ------------------------------------------------------------------------------------------

void Session::onInputChanged(evbuffer*, const evbuffer_cb_info* change, void* session) {
  auto& self = *static_cast<Session*>(session);
  self.inputState_.timestamps.onConsumed(change->n_deleted);
  self.pipelined_.onConsumed(change->n_deleted);
  const bool full = change->orig_size + change->n_added >= self.inputLimit();
  if (change->n_added > 0)
    self.inputState_.timestamps.onReceived(change->n_added, self.services_.engine.now(), full);
}

// Within processInput() there is nothing to do: it looks at all of the input itself.
void Session::scheduleInput() {
  if (!inputState_.processing) owner_.scheduleInput(*this);
}

// Requests that are not processed at once are open from now on all the same.
void Session::reservePipelinedIds() {
  if (closing() || startup_.awaitingProxyHeader || startup_.login || evbuffer_get_length(input()) == 0)
    return;
  PipelinedRequests::Framing framing = PipelinedRequests::Framing::StartupVersion3;
  if (protocol_.version == ProtocolVersion::Version3) framing = PipelinedRequests::Framing::Version3;
  if (protocol_.version == ProtocolVersion::Version2) framing = PipelinedRequests::Framing::Version2;
  pipelined_.scan(services_.engine.now(), input(), framing);
}

// Called after an answer. The next pipelined request is processed in a later callback of the event
// loop rather than within this call, because the current callback has not returned yet.
void Session::resumeOrDrain() {
  if (evbuffer_get_length(input()) > 0 || pastAnswerDeadline())
    scheduleInput();
  else if (draining() || owner_.shutdownPhase() >= ShutdownPhase::ClosingIdle)
    beginDrain();
}

// Processes one message. Returns false if the message is incomplete or no further message may be
// processed.
bool Session::readMessage() {
  if (startup_.awaitingProxyHeader) return readProxyHeader();
  if (protocol_.version == ProtocolVersion::Unknown) return readStartup();
  if (startup_.login) return readLogin();
  return protocol_.version == ProtocolVersion::Version3 ? readMessageV3() : readMessageV2();
}

std::size_t Session::inputLimit() const {
  return std::max(kReadAhead, inputState_.messageReservation) + inputState_.extraReadAhead;
}

bool Session::inputIsFull() { return evbuffer_get_length(input()) >= inputLimit(); }

// libevent keeps calling back while the input is at its high watermark, so reading is disabled until
// it is below.
void Session::onReadable() {
  if (closing()) return discardInput();
  if (inputIsFull()) setReading(false);
  owner_.processOrScheduleInput(*this);
}

// While the input is full, the client's disconnect may be hidden behind unread input. Writing the
// output first shows whether the client is still there.
bool Session::mayProcessMessage() {
  if (request_.id || closing() || inputState_.paused) return false;
  const std::size_t unsent = evbuffer_get_length(output());
  return inputIsFull() ? unsent == 0 : unsent < kMaxUnsentOutput;
}

// Returns whether it stopped at kMessagesPerSlice, so that the input may hold more whole messages.
bool Session::processMessages() {
  for (int count = 0; mayProcessMessage(); ++count) {
    if (count == kMessagesPerSlice) return evbuffer_get_length(input()) > 0;
    if (!readMessage()) return false;
    inputState_.partialMessageSince.reset();
  }
  return false;
}

void Session::processInput() {
  if (closing()) return discardInput();
  inputState_.processing = true;
  const bool hasMore = processMessages();
  inputState_.processing = false;
  if (closing()) return;
  reservePipelinedIds();
  if (hasMore) {
    setReading(!inputIsFull() && !pastAnswerDeadline());
    return scheduleInput();
  }
  const std::size_t left = evbuffer_get_length(input());
  if (pastAnswerDeadline()) return rejectRemainder(left);
  if (!inputState_.partialMessageSince && left > 0)
    inputState_.partialMessageSince = inputIsFull() ? services_.engine.now() : partialMessageStart();
  if (request_.id && inputIsFull()) extendReadAhead();
  if (left <= kReadAhead) releaseReadAhead();
  setReading(!inputIsFull());
}

// Ends the session once the answer deadline of a shutdown has passed. Remaining input is an
// incomplete message, unless the session still waits for an answer, for the idle sweep or for the
// client to read its output.
void Session::rejectRemainder(std::size_t length) {
  setReading(false);
  if (request_.id || inputState_.paused || evbuffer_get_length(output()) >= kMaxUnsentOutput) return;
  if (length > 0)
    reject("57P01", "the proxy is shutting down", true);
  else
    beginClose();
}

// Returns when the first byte of the message at the front of the input was received, which may have
// been while an earlier request was being processed. The result is limited so that at least
// kMinRestOfMessageTime remains for reading the rest from the socket.
Time Session::partialMessageStart() const {
  const Time allowed = std::max(services_.config.partialMessageTimeout - kMinRestOfMessageTime, Time(0));
  return std::max(inputState_.timestamps.receivedAt(1), services_.engine.now() - allowed);
}

std::string_view Session::peekInput(std::size_t length) {
  const unsigned char* const bytes = evbuffer_pullup(input(), static_cast<ev_ssize_t>(length));
  return {reinterpret_cast<const char*>(bytes), length};
}

// ---- memory -------------------------------------------------------------------------------------------

// The reservation is held from the header of a long message until its answer.
bool Session::reserveMessage(std::size_t length) {
  if (length <= kReadAhead || inputState_.messageReservation > 0) return true;
  if (!services_.budget.reserveBytes(length)) return false;
  inputState_.messageReservation = length;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, inputLimit());
  return true;
}

void Session::releaseMessage() {
  if (inputState_.messageReservation == 0) return;
  services_.budget.releaseBytes(inputState_.messageReservation);
  inputState_.messageReservation = 0;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, inputLimit());
}

void Session::extendReadAhead() {
  if (inputState_.extraReadAhead >= kMaxExtraReadAhead) return;
  if (!services_.budget.reserveSpareBytes(kReadAheadStep)) return;
  inputState_.extraReadAhead += kReadAheadStep;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, inputLimit());
}

void Session::releaseReadAhead() {
  if (inputState_.extraReadAhead == 0) return;
  services_.budget.releaseBytes(inputState_.extraReadAhead);
  inputState_.extraReadAhead = 0;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, inputLimit());
}

bool Session::reservePrepared(std::size_t bytes) {
  const std::size_t reserved = extended_.reservation;
  if (bytes > reserved && !services_.budget.reserveBytes(bytes - reserved)) return false;
  if (bytes < reserved) services_.budget.releaseBytes(reserved - bytes);
  extended_.reservation = bytes;
  return true;
}

}  // namespace sablespur
