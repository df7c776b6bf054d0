// The input of a session: reading, processing it message by message, and its memory.
#include <algorithm>

#include "frontend/postgres/session.hpp"
#include "frontend/postgres/session_common.hpp"

namespace sablespur {
namespace {

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

}  // namespace

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
