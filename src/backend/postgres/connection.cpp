#include "backend/postgres/connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "backend/postgres/server_error.hpp"
#include "engine/system_calls.hpp"
#include "logging/log.hpp"
#include "protocol/postgres/login.hpp"
#include "protocol/postgres/messages.hpp"

namespace sablespur {
namespace {

// Limits the wait for the rest of an answer after its first byte. A data server writes an answer in
// one go, so a longer wait means that a length announces more bytes than were sent.
constexpr Time kAnswerTimeout = std::chrono::milliseconds(250);
// A query carries the client's remaining time, which may be overstated by at most 0.15 s when the
// data server reads it. Delays of this process and a data server that does not read both use up
// that margin.
constexpr Time kFlushTimeout = std::chrono::milliseconds(100);

AnswerKind answerKindOf(const Operation& operation, const Config& config) {
  if (operation.isHealthCheck()) return AnswerKind::LoadReport;
  return config.anyRows ? AnswerKind::AnyRows : AnswerKind::SingleValue;
}

}  // namespace

Connection::Connection(const ConnectionContext& context, ConnectionListener& listener, EndpointId endpoint,
                       const Address& address, int minorVersion, evutil_socket_t fd)
    : context_(context),
      listener_(listener),
      descriptor_(context.resources, DescriptorHolder::Servers),
      endpoint_(endpoint),
      address_(address),
      bev_(bufferevent_socket_new(context.base, fd, BEV_OPT_CLOSE_ON_FREE)),
      timer_(event_new(
          context.base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<Connection*>(self)->timedOut(); }, this)),
      minorVersion_(minorVersion),
      login_(openServerLogin(context.config)) {
  sendStartup();
  // A connect that fails at once is reported by the timer, since the caller is still in the middle
  // of the dial.
  startTimer(timer_.get(), fd < 0 ? Time(0) : context_.config.dialTimeout);
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->read(); },
      [](bufferevent*, void* self) { static_cast<Connection*>(self)->outputDrained(); },
      [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->handleEvent(what); }, this);
  if (fd < 0) return;
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  bufferevent_socket_connect(bev_.get(), nullptr, 0);  // waits for the connect in progress
}

Connection::~Connection() {
  // bufferevent_free closes the descriptor only in the next iteration of the event loop. The data
  // server must see the end of an attempt before the next one is sent.
  const evutil_socket_t fd = bufferevent_getfd(bev_.get());
  if (fd >= 0) shutdown(fd, SHUT_RDWR);
}

void Connection::sendStartup() {
  postgres::Startup startup;
  startup.minor = minorVersion_;
  startup.user = context_.config.serverUser;
  startup.database = context_.config.serverDatabase;
  append(output(), postgres::startup(startup));
}

bool Connection::flushed() const { return evbuffer_get_length(output()) == 0 && !unsent_; }

bool Connection::hasNoPendingInput() const {
  if (evbuffer_get_length(bufferevent_get_input(bev_.get())) > 0) return false;
  char byte = 0;
  const ssize_t received = recv(bufferevent_getfd(bev_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::assign(Operation& operation) {
  operation_ = &operation;
  operation.connection = this;
  event_del(timer_.get());
  answer_.emplace(answerKindOf(operation, context_.config));
  flushing_ = false;
}

Operation* Connection::release() {
  if (operation_) operation_->connection = nullptr;
  return std::exchange(operation_, nullptr);
}

void Connection::writeHealthCheck() { append(output(), postgres::query("SHOW load")); }

void Connection::writeQuery(Buffer query, Time composed) {
  unsent_ = std::move(query);
  composedAt_ = composed;
  flushing_ = true;
  writeUnsent();
  if (!flushing_) return;
  const Time left = composed + kFlushTimeout - context_.engine.now();
  // Already late: nothing more may be sent in this iteration of the event loop either.
  if (left <= Time(0)) bufferevent_disable(bev_.get(), EV_WRITE);
  startTimer(timer_.get(), left);
}

// libevent would write the rest as soon as the kernel accepts it, however late. It is written here
// instead, after a check of the clock (becameWritable).
void Connection::writeUnsent() {
  const evutil_socket_t fd = bufferevent_getfd(bev_.get());
  if (evbuffer_write(unsent_.get(), fd) < 0 && errno != EAGAIN && errno != EINTR) {
    evbuffer_add_buffer(output(), unsent_.get());  // the error comes back as an event
    unsent_.reset();
    return;
  }
  if (evbuffer_get_length(unsent_.get()) == 0) {
    unsent_.reset();
    return outputDrained();
  }
  if (!writable_)
    writable_.reset(event_new(
        context_.base, fd, EV_WRITE,
        [](evutil_socket_t, short, void* self) { static_cast<Connection*>(self)->becameWritable(); }, this));
  event_add(writable_.get(), nullptr);
}

void Connection::becameWritable() {
  if (context_.engine.now() - composedAt_ >= kFlushTimeout) return timedOut();
  writeUnsent();
}

bool Connection::sendCancelRequest() {
  if (!key_ || cancelRequest_) return false;
  cancelDescriptor_ = ResourceBudget::DescriptorPermit(context_.resources, DescriptorHolder::Servers);
  cancelRequest_ =
      std::make_unique<CancelRequest>(context_.base, address_, postgres::cancel(*key_),
                                      context_.config.cancelResponseTimeout, [this](bool delivered) {
                                        const auto ended = std::move(cancelRequest_);
                                        cancelDescriptor_ = ResourceBudget::DescriptorPermit();
                                        listener_.cancelRequestEnded(*this, delivered);
                                      });
  return true;
}

void Connection::passwordDerived(const std::string& challenge, const std::string& result) {
  if (login_ && dialing_ && login_->challenge() == challenge)
    append(output(), login_->keyDerived(result).messages);
}

void Connection::handleEvent(short what) {
  // Read first, since any call may change errno.
  const int error = what & BEV_EVENT_ERROR ? EVUTIL_SOCKET_ERROR() : 0;
  if (what & BEV_EVENT_CONNECTED) {
    connected_ = true;
    const int on = 1;
    setsockopt(bufferevent_getfd(bev_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  const SocketCall call = connected_ ? SocketCall::Transfer : SocketCall::Connecting;
  if (classify(call, error) == SocketFault::OwnResource) return listener_.resourceExhausted(*this, error);
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) listener_.connectionLost(*this, resultIfLost_);
}

void Connection::outputDrained() {
  if (!flushing_ || unsent_) return;
  flushing_ = false;
  event_del(timer_.get());
}

void Connection::timedOut() {
  if (operation_ && flushing_) return listener_.connectionLost(*this, AttemptResult::Reset);
  if (operation_) return listener_.protocolError(*this, "an answer that did not complete in time");
  listener_.connectionLost(*this, resultIfLost_);
}

void Connection::read() {
  evbuffer* const input = bufferevent_get_input(bev_.get());
  ReadResult result = ReadResult::Consumed;
  while (result == ReadResult::Consumed && evbuffer_get_length(input) > 0) result = readMessage(input);
  if (result == ReadResult::ConnectionEnded) return;
  const bool answerDue = operation_ && operation_->written;
  if (answerDue && (answer_->started() || evbuffer_get_length(input) > 0) &&
      !event_pending(timer_.get(), EV_TIMEOUT, nullptr))
    startTimer(timer_.get(), kAnswerTimeout);
}

Connection::ReadResult Connection::readMessage(evbuffer* input) {
  if (!dialing_ && !(operation_ && operation_->written && flushed()))
    return reportProtocolError("an unsolicited message");
  char bytes[postgres::kHeaderSize];
  if (evbuffer_copyout(input, bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes))
    return ReadResult::Incomplete;
  const auto head = postgres::parseHeader(bytes);
  // Checked by its header before the body is read, whose announced length may be gigabytes.
  if (!head || !expects(head->type) || head->bodySize > maxBodySize(head->type))
    return reportProtocolError("a message of unexpected type or length");
  const std::size_t length = sizeof bytes + head->bodySize;
  if (!dialing_ && !answer_->hasRoomFor(length)) {
    listener_.answerTooLong(*this);
    return ReadResult::ConnectionEnded;
  }
  if (evbuffer_get_length(input) < length) return ReadResult::Incomplete;
  if (head->type == 'D' && answer_->forwardsRows()) {
    const MessageFault fault = answer_->takeRow(input, head->bodySize);
    return fault ? reportProtocolError(*fault) : ReadResult::Consumed;
  }
  const auto* const message =
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
  if (!handleMessage(head->type, std::string_view(message + sizeof bytes, head->bodySize)))
    return ReadResult::ConnectionEnded;
  if (head->type == 'T' || head->type == 'C')
    answer_->forward(input, length);
  else
    evbuffer_drain(input, length);
  return head->type == 'Z' ? becomeReady() : ReadResult::Consumed;
}

Connection::ReadResult Connection::reportProtocolError(std::string_view what) {
  listener_.protocolError(*this, what);
  return ReadResult::ConnectionEnded;
}

Connection::ReadResult Connection::becomeReady() {
  // A CancelRequest in progress may still hit the next query, so the connection is free only after
  // cancelRequestEnded.
  if (cancelRequest_ && !dialing_) return ReadResult::Consumed;
  if (!hasNoPendingInput() && !dialing_) {
    listener_.connectionUnusable(*this);
    return ReadResult::ConnectionEnded;
  }
  return listener_.connectionReady(*this) ? ReadResult::Consumed : ReadResult::ConnectionEnded;
}

bool Connection::expects(char type) const {
  if (!dialing_) return answer_->expects(type);
  return type == 'v' ? minorVersion_ > 0 : std::string_view("SNRKEZ").find(type) != std::string_view::npos;
}

std::size_t Connection::maxBodySize(char type) const {
  return dialing_ ? postgres::kMaxOtherMessage : answer_->maxBodySize(type);
}

bool Connection::handleMessage(char type, std::string_view body) {
  switch (type) {
    case 'E':
      return handleError(body);
    case 'S':
      return handleParameter(body);
    case 'R':
      return handleAuthentication(body);
    case 'K':
      key_ = postgres::parseKeyData(body);  // no CancelRequests if it is malformed
      return true;
    case 'T':
      return accept(answer_->takeDescription(body));
    case 'D':
      answer_->takeReport(body);
      return true;
    case 'C':
      return accept(answer_->takeCompletion(body));
    case 'v':
      return handleNegotiation(body);
    case 'Z':
      return handleReadyForQuery(body);
    default:
      return true;
  }
}

bool Connection::accept(const MessageFault& fault) {
  if (fault) listener_.protocolError(*this, *fault);
  return !fault;
}

bool Connection::handleError(std::string_view body) {
  const postgres::ErrorFields fields = postgres::parseError(body);
  if (fields.code.empty()) return accept("a malformed error");
  const ServerError error =
      classifyServerError(fields, dialing_ ? ConnectionPhase::Startup : ConnectionPhase::Query);
  const bool cancelled = operation_ && operation_->cancelledAs();
  if (error.result == AttemptResult::Error && !isInternalError(fields) && !cancelled)
    logEvent(LogLevel::Warning, "server_error", {{"code", fields.code}, {"text", fields.text}});
  resultIfLost_ = error.result;
  if (dialing_ && minorVersion_ > 0 && rejectsProtocolVersion(fields)) {
    listener_.versionRejected(*this);
    return false;
  }
  if (!dialing_) {
    answer_->takeError(error, body, context_.config.forwardStatementErrors);
    if (!error.fatal) return true;
  }
  listener_.connectionLost(*this, error.result);
  return false;
}

bool Connection::handleParameter(std::string_view body) {
  const auto [name, value] = postgres::parseParameter(body);
  if (name.empty()) return accept("a malformed parameter");
  if (name == "standard_conforming_strings") backslashes_ = value == "off";
  if (!dialing_) answer_->takeParameter(name, value);
  return true;
}

bool Connection::handleNegotiation(std::string_view body) {
  const auto supported = postgres::parseNegotiate(body);
  if (!supported || *supported > minorVersion_) return accept("a malformed NegotiateProtocolVersion");
  minorVersion_ = *supported;
  listener_.versionNegotiated(endpoint_, minorVersion_);
  return true;
}

bool Connection::handleReadyForQuery(std::string_view body) {
  if (body.size() != 1 || std::string_view("ITE").find(body[0]) == std::string_view::npos)
    return accept("a malformed ReadyForQuery");
  resultIfLost_ = AttemptResult::Reset;
  if (dialing_) return true;
  Operation& answered = *release();
  event_del(timer_.get());
  listener_.operationAnswered(answered, *answer_);
  return true;
}

bool Connection::handleAuthentication(std::string_view body) {
  constexpr std::size_t kCodeLength = 4;
  if (body.size() < kCodeLength) return accept("a malformed authentication request");
  const std::uint32_t code = postgres::readInt32(body.data());
  if (code != postgres::kAuthOk) return continueLogin(code, body.substr(kCodeLength));
  if (login_ && !login_->acceptsAuthenticationOk())
    return failLogin("it lets us in without having proved itself");
  login_.reset();
  return true;
}

bool Connection::continueLogin(std::uint32_t code, std::string_view data) {
  if (!login_) return failLogin("it wants a password, and there is none in the settings");
  const ServerLogin::Step step = login_->request(code, data);
  if (step.action == ServerLogin::Action::Fail) return failLogin(step.reason);
  append(output(), step.messages);
  if (step.action != ServerLogin::Action::DeriveKey) return true;
  if (const std::string* const known = context_.passwords.find(login_->challenge())) {
    append(output(), login_->keyDerived(*known).messages);
    return true;
  }
  return context_.passwords.derive(login_->challenge(), login_->keyDerivation()) ||
         failLogin("too many logins at once");
}

bool Connection::failLogin(std::string_view reason) {
  logEvent(LogLevel::Warning, "server_login_failed", {{"why", reason}});
  listener_.connectionLost(*this, AttemptResult::ConnectFailed);
  return false;
}

}  // namespace sablespur
