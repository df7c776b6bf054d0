// The requests of a session: submitting statements to the engine and writing the answers to the
// client.
#include <algorithm>

#include "frontend/postgres/session.hpp"
#include "frontend/postgres/session_common.hpp"
#include "logging/log.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres/statement_comment.hpp"

namespace sablespur {
namespace {

// Bytes at the start of a statement that are searched for the quoted key.
constexpr std::size_t kKeySearchLength = 256;
constexpr std::size_t kMaxSetLength = 1024;
constexpr std::uint32_t kMaxClientDeadlineMs = 3600 * 1000;
constexpr float kMinSessionTokenAgeMs = 0.001f;  // zero means no token
// A translated answer may be up to twice as long as the original plus this allowance, which matters
// for short answers.
constexpr std::size_t kTranslationAllowance = 64 << 10;

std::string_view contiguous(evbuffer* buffer) {
  const std::size_t length = evbuffer_get_length(buffer);
  return {reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1)), length};
}

// Returns the body of the RowDescription at the front of an answer; empty if there is none. `drain`
// means that the message is removed from the answer.
std::string takeRowDescription(evbuffer* answer, bool drain) {
  char bytes[postgres::kHeaderSize];
  if (evbuffer_copyout(answer, bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) return {};
  if (bytes[0] != 'T') return {};
  const auto head = postgres::parseHeader(bytes);
  const std::size_t length = sizeof bytes + head->bodySize;
  const auto* const message = evbuffer_pullup(answer, static_cast<ev_ssize_t>(length));
  std::string body(reinterpret_cast<const char*>(message) + sizeof bytes, head->bodySize);
  if (drain) evbuffer_drain(answer, length);
  return body;
}

}  // namespace

// ---- to the engine ------------------------------------------------------------------------------------

void Session::submitStatement(Buffer statement) {
  const std::size_t length = evbuffer_get_length(statement.get());
  char tail[kCommentSearchLength];
  const std::size_t tailLength = std::min(length, kCommentSearchLength);
  const std::size_t tailOffset = length - tailLength;
  evbuffer_ptr from{};
  evbuffer_ptr_set(statement.get(), &from, tailOffset, EVBUFFER_PTR_SET);
  evbuffer_copyout_from(statement.get(), &from, tail, tailLength);
  // The only NUL has to be the last byte: a data server closes the connection if it cannot parse a
  // message.
  const auto firstNul = evbuffer_search(statement.get(), "", 1, nullptr).pos;
  if (tailLength == 0 || firstNul != static_cast<ev_ssize_t>(length) - 1)
    return reject("08P01", "a query's end is not where its length says", true);
  const std::string_view text(tail, tailLength - 1);
  if (tailOffset == 0 && text.find_first_not_of(" \t\r\n;") == std::string_view::npos)
    return answerEmptyStatement();
  const postgres::Comment comment = postgres::parseComment(text);
  if (!comment.fault) return submitRequest(comment, tailOffset, std::move(statement));
  if (length < kMaxSetLength && handleSet(contiguous(statement.get()).substr(0, length - 1))) return;
  reject("42601", comment.fault, false);
}

void Session::answerEmptyStatement() {
  if (request_.extended && request_.sendRowDescription) append(output(), postgres::noData());
  append(output(), protocol_.codec->emptyQueryResponse());
  finishRequest();
}

bool Session::handleSet(std::string_view statement) {
  const auto setting = translation::parseSet(statement);
  if (!setting) return false;
  const auto& [name, value] = *setting;
  if (const auto error = translation::apply(protocol_.settings, name, value)) {
    reject("22023", *error, false);
    return true;
  }
  onSettingsChanged();
  if (request_.extended && request_.sendRowDescription) append(output(), postgres::noData());
  append(output(), protocol_.codec->commandComplete("SET"));
  if (name == "standard_conforming_strings" && protocol_.version == ProtocolVersion::Version3)
    append(output(), postgres::parameterStatus(name, protocol_.settings.backslashes ? "off" : "on"));
  finishRequest();
  return true;
}

void Session::submitRequest(const postgres::Comment& comment, std::size_t tailOffset, Buffer statement) {
  // The client may have disconnected before its connection was accepted or its request was read.
  // libevent reports the disconnect only after the input that precedes it.
  if (clientDisconnected()) return startLingeringClose();
  if (!reserveRequestId(comment.id)) return reject("42710", "this id is that of an open request", false);
  const auto& classes = services_.config.classes;
  const auto requestClass = std::find(classes.begin(), classes.end(), comment.className);
  if (requestClass == classes.end()) return reject("42704", "unknown class", false);
  const auto classIndex = static_cast<std::size_t>(requestClass - classes.begin());

  const Time now = services_.engine.now();
  const std::string clientId = tracing() ? std::string(comment.id) : std::string();
  const balancer::Request request = makeRequest(comment, classIndex, statement.get());
  RequestMessage message = makeMessage(comment, tailOffset, std::move(statement));
  if (services_.admission) services_.admission->connectionBusy(client_.permit);
  request_.deadline = request.deadline;
  request_.id = owner_.request(*this, request, std::move(message), client_.permit);
  if (tracing())
    logEvent(LogLevel::Trace, "request_accepted",
             {{"r", *request_.id}, {"id", clientId}, {"left_ms", (request.deadline - now).count() / 1000}});
}

balancer::Request Session::makeRequest(const postgres::Comment& comment, std::size_t classIndex,
                                       evbuffer* statement) const {
  balancer::Request request;
  request.classIndex = static_cast<int>(classIndex);
  request.group = comment.cluster;
  // The deadline counts from when the last byte of the request was received, so it includes the
  // time that the request waited behind others in the input buffer.
  Time allowed = services_.config.settings.classes[classIndex].deadline;
  if (comment.timeLeftLength > 0)
    allowed = std::chrono::milliseconds(std::min(comment.timeLeftMs, kMaxClientDeadlineMs));
  request.deadline = std::min(inputState_.messageReceivedAt + allowed, owner_.latestDeadline());
  if (comment.after > 0) {
    const double nowMs = static_cast<double>(services_.engine.unixNow().count()) / 1e3;
    const auto ageMs = static_cast<float>(nowMs - static_cast<double>(comment.after));
    request.sessionTokenAgeMs = std::max(kMinSessionTokenAgeMs, ageMs);
  }
  if (!services_.config.sessions) return request;
  char start[kKeySearchLength];
  const auto length = std::max<ev_ssize_t>(evbuffer_copyout(statement, start, sizeof start), 0);
  const std::string_view key = postgres::parseKey({start, static_cast<std::size_t>(length)});
  if (!key.empty()) request.session = std::max<std::uint64_t>(fnv1a64(key), 1);  // 0: no session
  return request;
}

// Splits the statement at the digits of the client's deadline, so that each attempt can insert the
// time that is left.
RequestMessage Session::makeMessage(const postgres::Comment& comment, std::size_t tailOffset,
                                    Buffer statement) const {
  RequestMessage message{newBuffer(), std::move(statement), protocol_.sharedSettings, {}, {}};
  message.clockOffset = services_.engine.clockOffset();
  if (services_.config.store) {
    message.id = std::string(comment.id);
    message.key = std::string(comment.key);
  }
  if (comment.timeLeftLength > 0) {
    evbuffer_remove_buffer(message.after.get(), message.before.get(), tailOffset + comment.timeLeftOffset);
    evbuffer_drain(message.after.get(), comment.timeLeftLength);
  }
  return message;
}

// ---- to the client ------------------------------------------------------------------------------------

void Session::served(Answer answer) {
  request_.id.reset();
  if (services_.admission) services_.admission->connectionServed(client_.permit);
  writeAnswer(std::move(answer));
  finishRequest();
}

void Session::rejected(Time retryAfter) {
  request_.id.reset();
  translation::ErrorReport error =
      makeErrorReport("ERROR", "53300", "no data server can take this request now");
  error.retryAfterMs = retryAfterMs(retryAfter);
  writeError(error);
  finishRequest();
}

void Session::failed() {
  request_.id.reset();
  writeError(makeErrorReport("ERROR", "40003", "the request may have run; its outcome is unknown"));
  finishRequest();
}

void Session::onCancelRequest() {
  if (!request_.id) return;  // already answered
  owner_.cancelRequest(*request_.id);
  request_.id.reset();
  writeError(makeErrorReport("ERROR", "57014", "canceling statement due to user request"));
  finishRequest();
}

void Session::writeError(const translation::ErrorReport& error) {
  append(output(), protocol_.codec->errorResponse(error));
  extended_.skippingUntilSync = request_.extended;
}

void Session::writeAnswer(Answer answer) {
  evbuffer* const messages = answer.messages.get();
  if (answer.problem) return writeError(answer.reader->readError(contiguous(messages)));
  const bool fromVersion3 = answer.reader == &postgres::reader();
  const bool sameForm = protocol_.version == ProtocolVersion::Version3 && fromVersion3 &&
                        request_.format.plain() && request_.maxRows == 0;
  // If the client takes the data server's format, the buffers are moved without being parsed.
  if (!request_.extended && sameForm) {
    evbuffer_add_buffer(output(), messages);
    return;
  }
  std::string columns;
  if (request_.extended && fromVersion3)
    columns = takeRowDescription(messages, sameForm && !request_.sendRowDescription);
  if (request_.extended && request_.sendRowDescription && columns.empty())
    append(output(), postgres::noData());
  if (!sameForm) return translateAnswer(answer, contiguous(messages), columns);
  evbuffer_add_buffer(output(), messages);
  extended_.prepared->onExecuted(columns, false);
}

void Session::translateAnswer(const Answer& answer, std::string_view messages, const std::string& columns) {
  const std::size_t maxLength = 2 * messages.size() + kTranslationAllowance;
  translation::AnswerConverter conversion(*protocol_.codec, request_.format, request_.sendRowDescription,
                                          maxLength, request_.maxRows);
  if (!answer.reader->read(messages, conversion)) {
    const std::string failure = conversion.failure().empty() ? "a malformed answer" : conversion.failure();
    logEvent(LogLevel::Warning, "answer_not_translated", {{"failure", failure}});
    return writeError(makeErrorReport("ERROR", "22P03", "the answer cannot be told: " + failure));
  }
  std::string translated = conversion.take();
  if (translated.size() > kReadAhead)
    appendByReference(output(), std::move(translated));
  else
    append(output(), translated);
  if (!request_.extended) return;
  if (conversion.suspended()) append(output(), postgres::portalSuspended());
  extended_.prepared->onExecuted(columns, conversion.suspended());
}

void Session::finishRequest() {
  releaseRequestId();
  releaseMessage();
  lastActive_ = services_.engine.now();
  inputState_.partialMessageSince.reset();  // recomputed for the next message
  if (!request_.extended) append(output(), protocol_.codec->ready());
  request_ = {};
  if (protocol_.settings.bytea) request_.format.bytea = protocol_.settings.bytea;
  // Within a batch of extended messages the connection is not idle before Sync and ReadyForQuery.
  if (services_.admission && !extended_.awaitingSync) services_.admission->connectionIdle(client_.permit);
  resumeOrDrain();
}

bool Session::reserveRequestId(std::string_view clientId) {
  if (!request_.claim) {
    const RequestIdHash id = hashRequestId(clientId);
    const auto reservation = owner_.openRequestIds().reserve(services_.engine.now(), id, this);
    request_.claim = PipelinedRequests::Claim{id, reservation == OpenRequestIds::Reservation::Granted};
  }
  return request_.claim->isReserved;
}

void Session::releaseRequestId() {
  if (request_.claim && request_.claim->isReserved) owner_.openRequestIds().release(request_.claim->id);
  request_.claim.reset();
}

// The client leaves while a data server may run its request.
void Session::retainRequestId() {
  if (!request_.claim) return;
  owner_.openRequestIds().retain(services_.engine.now(), request_.claim->id, request_.deadline);
  request_.claim.reset();
}

}  // namespace sablespur
