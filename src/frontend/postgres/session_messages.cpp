// The messages of a session after its startup: framing in protocol versions 3 and 2, extended
// protocol.
#include <algorithm>

#include "frontend/postgres/session.hpp"
#include "frontend/postgres/session_common.hpp"
#include "protocol/postgres/messages.hpp"
#include "protocol/postgres2/messages.hpp"

namespace sablespur {
namespace {

// Accepted message types: Query, Terminate and, in kExtendedTypes, those of the extended protocol.
constexpr std::string_view kSimpleTypes = "QX";
constexpr std::string_view kExtendedTypes = "QXPBDECSH";

}  // namespace

void Session::markFirstRequest() {
  if (!firstRequestReceived_) owner_.onFirstRequest(*this);
  firstRequestReceived_ = true;
}

void Session::rejectMessageType(char type) {
  const char* text = "a message that is not supported here";
  if (!services_.config.extended)
    text = "only simple queries are spoken here";
  else if (type == 'F')
    text = "function calls are not supported here";
  else if (type == 'd')
    text = "COPY is not supported here";
  reject("0A000", text, true);
}

bool Session::readMessageV3() {
  char bytes[postgres::kHeaderSize];
  if (evbuffer_copyout(input(), bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) return false;
  const auto head = postgres::parseHeader(bytes);
  if (!head) {
    reject("08P01", "a message's length is out of range", true);
    return false;
  }
  const std::string_view accepted = services_.config.extended ? kExtendedTypes : kSimpleTypes;
  if (accepted.find(head->type) == std::string_view::npos) {
    rejectMessageType(head->type);
    return false;
  }
  const std::size_t length = sizeof bytes + head->bodySize;
  if (!reserveMessage(length)) {
    reject("53200", "too many long statements at once", true);
    return false;
  }
  if (evbuffer_get_length(input()) < length) return false;
  markFirstRequest();
  inputState_.messageReceivedAt = inputState_.timestamps.receivedAt(length);
  if (head->type == 'X') {
    evbuffer_drain(input(), length);
    beginClose();
    return false;
  }
  if (head->type != 'Q') {
    handleExtended(head->type, peekInput(length).substr(sizeof bytes));
    return !closing();
  }
  request_.claim = pipelined_.take();
  evbuffer_drain(input(), sizeof bytes);
  readSimpleQuery(head->bodySize);
  return true;
}

void Session::readSimpleQuery(std::size_t length) {
  if (extended_.skippingUntilSync) {
    evbuffer_drain(input(), length);
    releaseRequestId();
    return releaseMessage();
  }
  Buffer statement = newBuffer();
  evbuffer_remove_buffer(input(), statement.get(), length);
  if (extended_.prepared) extended_.prepared->onSimpleQuery();
  submitStatement(std::move(statement));
}

// Messages of protocol version 2 have no length field: a query ends at its NUL.
bool Session::readMessageV2() {
  const std::size_t available = evbuffer_get_length(input());
  if (available == 0) return false;
  char type = 0;
  evbuffer_copyout(input(), &type, 1);
  if (type == 'X') {
    beginClose();
    return false;
  }
  if (type != 'Q') {
    const bool printable = type >= ' ' && type < 0x7f;
    const std::string text =
        std::string("a message that protocol 2.0 does not have here: '") + (printable ? type : '?') + "'";
    reject("08P01", type == 'F' ? "function calls are not supported here" : text, true);
    return false;
  }
  const auto end = evbuffer_search(input(), "", 1, nullptr);  // finds the first NUL
  if (end.pos < 0) {
    if (available >= postgres2::kMaxQuery)
      reject("08P01", "a query that does not end", true);
    else if (available >= kReadAhead && !reserveMessage(postgres2::kMaxQuery))
      reject("53200", "too many long statements at once", true);
    return false;
  }
  markFirstRequest();
  // Length of the text and its NUL, without the type byte.
  const auto length = static_cast<std::size_t>(end.pos);
  inputState_.messageReceivedAt = inputState_.timestamps.receivedAt(length + 1);
  request_.claim = pipelined_.take();
  evbuffer_drain(input(), 1);
  Buffer statement = newBuffer();
  evbuffer_remove_buffer(input(), statement.get(), length);
  submitStatement(std::move(statement));
  return true;
}

void Session::writeReply(const PreparedStatements::Reply& reply) {
  append(output(), reply.messages);
  if (!reply.errorCode) return;
  request_.extended = true;  // makes writeError() skip further messages until Sync
  writeError(makeErrorReport("ERROR", reply.errorCode, reply.errorText));
  request_.extended = false;
}

// Handles a message of the extended protocol and removes it from the input.
void Session::handleExtended(char type, std::string_view body) {
  const std::size_t length = postgres::kHeaderSize + body.size();
  if (!extended_.prepared) extended_.prepared = std::make_unique<PreparedStatements>();
  extended_.awaitingSync = type != 'S';
  const auto execution = applyExtended(type, body);
  evbuffer_drain(input(), length);
  // Prepared statements count against the same budget as long messages.
  if (!reservePrepared(extended_.prepared->bytes()))
    return reject("53200", "too many prepared statements at once", true);
  if (execution) return execute(*execution);
  releaseMessage();
  if (services_.admission && extended_.awaitingSync) services_.admission->connectionBusy(client_.permit);
  if (services_.admission && !extended_.awaitingSync) services_.admission->connectionIdle(client_.permit);
  if (type == 'S') resumeOrDrain();
}

// Applies a message to the prepared statements and portals. Returns the request to run if the
// message is a successful Execute.
std::optional<PreparedStatements::Execution> Session::applyExtended(char type, std::string_view body) {
  const bool backslashes = protocol_.settings.backslashes;
  std::optional<PreparedStatements::Execution> execution;
  if (type == 'S') {
    const PreparedStatements::Reply reply = extended_.prepared->sync();
    if (!extended_.skippingUntilSync) writeReply(reply);
    extended_.skippingUntilSync = false;
    append(output(), protocol_.codec->ready());
    return execution;
  }
  if (extended_.skippingUntilSync) return execution;
  switch (type) {
    case 'P':
      writeReply(extended_.prepared->parse(body, backslashes));
      break;
    case 'B':
      writeReply(extended_.prepared->bind(body, backslashes, postgres::kMaxMessage));
      break;
    case 'D':
      writeReply(extended_.prepared->describe(body));
      break;
    case 'C':
      writeReply(extended_.prepared->close(body));
      break;
    case 'E':
      writeReply(extended_.prepared->execute(body, execution));
      break;
    default:
      writeReply(extended_.prepared->flush());
  }
  return execution;
}

void Session::execute(const PreparedStatements::Execution& execution) {
  request_.extended = true;
  request_.sendRowDescription = execution.sendRowDescription;
  request_.maxRows = execution.maxRows;
  request_.format = execution.resultFormat;
  request_.format.bytea = protocol_.settings.bytea;
  Buffer statement = newBuffer();
  append(statement.get(), execution.statement);
  evbuffer_add(statement.get(), "", 1);
  submitStatement(std::move(statement));
}

}  // namespace sablespur
