#include "frontend/postgres/clients.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "frontend/postgres/session.hpp"
#include "frontend/postgres/session_common.hpp"
#include "frontend/postgres/shutdown.hpp"
#include "logging/log.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/messages.hpp"
#include "support/secret.hpp"

namespace sablespur {
namespace {

// Retry-After sent to a client that connects when no file descriptor is left.
constexpr Time kRetryAfterExhaustion = std::chrono::milliseconds(500);
constexpr Time kSweepInterval = std::chrono::milliseconds(100);
// From 0.1 s after a client has disconnected no attempt may be started for it; the poll interval is
// a fifth of that.
constexpr Time kDisconnectPollInterval = std::chrono::milliseconds(20);
constexpr Time kRejectionLogInterval = std::chrono::seconds(1);
// Input of a rejected connection that is read before its socket is closed: more than an honest client
// sends before its first answer. A client that goes on sending is reset.
constexpr std::size_t kDiscardBytesPerRead = 4 << 10;
constexpr int kMaxDiscardReads = 16;
// Clients with an incomplete message are not evicted unless there are more of them than this, which
// counts as a flood.
constexpr std::size_t kPartialMessageFloodThreshold = 8;
constexpr std::size_t kProcessNumberLength = 4;
constexpr std::uint32_t kProcessNumberMask = 0x7fffffff;  // process numbers are positive

struct EvictionCandidate {
  Session* session = nullptr;
  EvictionPriority priority = EvictionPriority::Never;
  Time lastActive{};

  bool outranks(const EvictionCandidate& other) const {
    return priority != other.priority ? priority > other.priority : lastActive < other.lastActive;
  }
};

}  // namespace

Clients::Clients(event_base* base, Engine& engine, RequestHandler& requestHandler, WorkerPool& workers,
                 ResourceBudget& budget, ReservedDescriptor& reserved, AdmissionController* admission,
                 const Config& config)
    : services_{base, engine, workers, budget, admission, config},
      requestHandler_(requestHandler),
      users_(config.users),
      inputs_(base, engine) {
  if (!config.requestIdsFile.empty())
    openRequestIds_.shareWith(&sharedRequestIds_.emplace(config.requestIdsFile));
  Acceptor::ConnectionHandler handler;
  handler.accepted = [this](evutil_socket_t fd, const sockaddr* from) { onAccepted(fd, from); };
  handler.hasRoom = [this] { return hasRoom(); };
  handler.onExhaustion = [this] { onExhaustion(); };
  handler.reject = [this](evutil_socket_t fd) { rejectConnection(fd, kRetryAfterExhaustion); };
  acceptor_ = std::make_unique<Acceptor>(base, engine.clock(), config.listen, budget, reserved,
                                         std::move(handler), !config.control.none());
  const auto newTimer = [&](short flags, event_callback_fn callback) {
    return Event(event_new(base, -1, flags, callback, this));
  };
  sweepTimer_ = newTimer(
      EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->sweepIdle(); });
  disconnectTimer_ = newTimer(EV_PERSIST, [](evutil_socket_t, short, void* self) {
    static_cast<Clients*>(self)->detectDisconnects();
  });
  stopListeningTimer_ =
      newTimer(0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->stopListening(); });
  answerDeadlineTimer_ =
      newTimer(0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->failOutstanding(); });
  exitTimer_ = newTimer(0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->done_(); });
  startTimer(sweepTimer_.get(), kSweepInterval);
}
Clients::~Clients() = default;

void Clients::setUsers(std::shared_ptr<const auth::Users> users) {
  if (users && users_) users_ = std::move(users);
}

int Clients::port() const { return acceptor_->port(); }

// ---- requests and cancel keys -------------------------------------------------------------------------

RequestId Clients::request(ResponseHandler& client, const balancer::Request& request, RequestMessage message,
                           std::optional<PermitId> permit) {
  if (services_.admission) return services_.admission->request(client, request, std::move(message), permit);
  return requestHandler_.request(client, request, std::move(message));
}

void Clients::cancelRequest(RequestId id) {
  if (services_.admission)
    services_.admission->requestCancelled(id);
  else
    requestHandler_.clientDisconnected(id);
}

// Generates a cancel key of which both the process number and the secret are random.
postgres::Key Clients::newKey(Session& session, std::size_t secretLength) {
  for (;;) {
    const std::string bytes = randomBytes(kProcessNumberLength + secretLength);
    const std::uint32_t process = postgres::readInt32(bytes.data()) & kProcessNumberMask;
    if (process == 0 || !keys_.emplace(process, &session).second) continue;
    return {process, bytes.substr(kProcessNumberLength)};
  }
}

void Clients::cancel(const postgres::Key& key) {
  const auto it = keys_.find(key.process);
  if (it == keys_.end() || !sameSecret(it->second->key().secret, key.secret)) return;
  it->second->onCancelRequest();
}

// ---- new connections ----------------------------------------------------------------------------------

void Clients::onAccepted(evutil_socket_t fd, const sockaddr* from) {
  const Address address = Address::fromSocket(from);
  const bool awaitProxyHeader = services_.admission && services_.admission->expectsProxyHeader(address);
  SessionOwner& owner = *this;  // make_unique() cannot convert to a private base
  auto session = std::make_unique<Session>(owner, fd, address, awaitProxyHeader);
  if (services_.admission && !awaitProxyHeader) session->requestAdmission();
  // A session without a permit is kept open until its startup shows which protocol version the
  // error has to be written in. The number of these sessions is limited.
  if (services_.admission && unadmitted_.size() > services_.admission->maxUnadmittedConnections() &&
      !evictUnadmitted())
    return rejectConnection(fd, session->retryAfter());
  Session* const key = session.get();
  sessions_.emplace(key, std::move(session));
}

// The error is written in protocol version 3, whichever version the client uses: there is no
// descriptor to keep the connection open until its startup message shows the version.
void Clients::rejectConnection(evutil_socket_t fd, Time retryAfter) {
  translation::ErrorReport error = makeErrorReport("FATAL", "53300", "too many connections");
  error.retryAfterMs = retryAfterMs(retryAfter);
  const std::string message = kVersion30.errorResponse(error);
  // The connection ends here whether or not the error can be sent.
  [[maybe_unused]] const ssize_t sent = send(fd, message.data(), message.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(fd, SHUT_WR);
  cancelFromStartup(fd);
}

// Reads the input that has arrived, because closing a socket with unread input resets the
// connection and the error would be lost. A CancelRequest among it is carried out without
// admission, since the request would otherwise keep running although its client no longer wants the
// answer.
void Clients::cancelFromStartup(evutil_socket_t fd) {
  char bytes[kDiscardBytesPerRead];
  const ssize_t length = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (length <= 0) return;
  if (const auto key = postgres::parseCancel({bytes, static_cast<std::size_t>(length)})) cancel(*key);
  for (int reads = 1; reads < kMaxDiscardReads; ++reads)
    if (recv(fd, bytes, sizeof bytes, MSG_DONTWAIT) <= 0) return;
}

// Returns whether to accept another connection; otherwise it stays in the listener's backlog. With
// an AdmissionController every connection is accepted, because the controller has its own limits
// and sends an error to the connections that it rejects.
bool Clients::hasRoom() {
  return services_.admission || services_.budget.hasRoom(DescriptorHolder::Clients) || evictOne();
}

void Clients::onExhaustion() {
  if (services_.admission)
    services_.admission->onExhaustion();
  else
    evictOne();
}

// ---- eviction -----------------------------------------------------------------------------------------

bool Clients::evictOne() {
  Session* const session = findEvictable();
  if (session) sessions_.erase(session);
  return session != nullptr;
}

// Returns the session with the highest eviction priority, and among equals the one whose last
// activity is the longest ago.
//  - Unless it is closing, a session whose input may hold a request is never chosen, because the
//    request would be lost.
//  - A session with an incomplete message is chosen only if there are more than
//    kPartialMessageFloodThreshold of them, because the rest of the message may be on its way.
Session* Clients::findEvictable() {
  const Time now = services_.engine.now();
  EvictionCandidate best;
  EvictionCandidate bestPartial;  // among the sessions with an incomplete message
  std::size_t partialMessages = 0;
  for (const auto& [session, owned] : sessions_) {
    const EvictionCandidate candidate{session, session->evictionPriority(now), session->lastActive()};
    if (candidate.priority == EvictionPriority::Never) continue;
    const bool closing = candidate.priority == EvictionPriority::Closing;
    const bool partial = !closing && session->hasPartialMessage();
    if (partial) ++partialMessages;
    EvictionCandidate& chosen = partial ? bestPartial : best;
    if (candidate.outranks(chosen) && (closing || !session->mayHoldRequest())) chosen = candidate;
  }
  const bool flood = partialMessages > kPartialMessageFloodThreshold;
  return flood && bestPartial.outranks(best) ? bestPartial.session : best.session;
}

// Chooses the session whose last activity is the longest ago among those that have been sent their
// error or have not sent a startup message. The new connection that takes its place may still send
// a CancelRequest, or a startup message that shows its protocol version.
bool Clients::evictUnadmitted() {
  const Time now = services_.engine.now();
  Session* longestSilent = nullptr;
  for (Session* const session : unadmitted_) {
    if (longestSilent && session->lastActive() >= longestSilent->lastActive()) continue;
    if (session->canEvictUnadmitted(now)) longestSilent = session;
  }
  if (!longestSilent) return false;
  if (!longestSilent->closing()) rejectConnection(longestSilent->socket(), longestSilent->retryAfter());
  sessions_.erase(longestSilent);
  return true;
}

// Clients that send one request and then keep their connection open could use up the descriptors
// reserved for clients. Once more clients than the configured number have sent a request, the one
// that has been idle the longest is closed for each further client that sends its first request.
void Clients::onFirstRequest(const Session& by) {
  ++activeSessions_;
  if (activeSessions_ <= services_.config.maxActiveClients || services_.admission) return;
  const Time now = services_.engine.now();
  Session* longestIdle = nullptr;
  for (const auto& [session, owned] : sessions_) {
    if (session == &by || session->evictionPriority(now) != EvictionPriority::Idle) continue;
    if (longestIdle && session->lastActive() >= longestIdle->lastActive()) continue;
    if (!session->hasUnreadInput()) longestIdle = session;
  }
  if (longestIdle) longestIdle->beginClose();
}

void Clients::sweepIdle() {
  const Time now = services_.engine.now();
  std::vector<Session*> timedOut;
  for (const auto& [session, owned] : sessions_)
    if (!session->checkIdleTimeout(now)) timedOut.push_back(session);
  for (Session* session : timedOut) session->onIdleTimeout();
}

void Clients::logRejection(const char* code, std::string_view why, const Address& from) {
  ++rejectionsSinceLog_;
  const Time now = services_.engine.now();
  if (rejectionLoggedAt_ && now - *rejectionLoggedAt_ < kRejectionLogInterval) return;
  logEvent(LogLevel::Warning, "client_rejected",
           {{"from", from.text()}, {"code", code}, {"why", why}, {"count", rejectionsSinceLog_}});
  rejectionLoggedAt_ = now;
  rejectionsSinceLog_ = 0;
}

// ---- disconnects --------------------------------------------------------------------------------------

// While a session is not being read, its socket is polled instead of being registered with libevent
// for EV_CLOSED. libevent reports a reset as readable and writable, whatever was requested
// (epoll.c, EPOLLERR), so a callback for EV_CLOSED alone is not called; epoll reports the reset
// again at once and the event loop would spin.
void Clients::watchForDisconnect(Session& session, bool on) {
  const bool changed = on ? pausedReads_.insert(&session).second : pausedReads_.erase(&session) > 0;
  if (!changed) return;
  if (pausedReads_.empty())
    event_del(disconnectTimer_.get());
  else if (!event_pending(disconnectTimer_.get(), EV_TIMEOUT, nullptr))
    startTimer(disconnectTimer_.get(), kDisconnectPollInterval);
}

void Clients::detectDisconnects() {
  const std::vector<Session*> sessions(pausedReads_.begin(), pausedReads_.end());
  std::vector<pollfd> sockets;
  sockets.reserve(sessions.size());
  for (const Session* session : sessions) sockets.push_back({session->socket(), POLLRDHUP, 0});
  if (poll(sockets.data(), sockets.size(), 0) <= 0) return;
  for (std::size_t k = 0; k < sessions.size(); ++k)
    if (sockets[k].revents != 0) onSessionClosed(*sessions[k]);
}

void Clients::onSessionClosed(Session& session) {
  sessions_.erase(&session);
  if (acceptor_)
    acceptor_->resume();
  else if (draining() && sessions_.empty())
    done_();
}

void Clients::scheduleInput(Session& session) { inputs_.schedule(session); }

void Clients::processOrScheduleInput(Session& session) { inputs_.processOrSchedule(session); }

void Clients::onSessionDestroyed(Session& session) {
  inputs_.remove(session);
  watchForDisconnect(session, false);
  unadmitted_.erase(&session);
  keys_.erase(session.key().process);
  if (session.hasSentRequest()) --activeSessions_;
}

void Clients::setUnadmitted(Session& session, bool unadmitted) {
  if (unadmitted)
    unadmitted_.insert(&session);
  else
    unadmitted_.erase(&session);
}

// ---- shutdown -----------------------------------------------------------------------------------------

void Clients::drain(std::function<void()> done) {
  if (draining()) return;
  phase_ = ShutdownPhase::StillAccepting;
  done_ = std::move(done);
  if (!services_.config.control.none()) acceptor_->handOverListener();
  Time longestDeadline{};
  for (const auto& requestClass : services_.config.settings.classes)
    longestDeadline = std::max(longestDeadline, requestClass.deadline);
  const ShutdownTimes times = shutdownTimes(longestDeadline);
  answerBy_ = services_.engine.now() + times.answerBy;
  startTimer(stopListeningTimer_.get(), times.stopAccepting);
  startTimer(answerDeadlineTimer_.get(), times.answerBy);
  startTimer(exitTimer_.get(), times.exit);
}

// Returns a copy, so that callers may destroy sessions while they iterate over it.
std::vector<Session*> Clients::allSessions() const {
  std::vector<Session*> all;
  all.reserve(sessions_.size());
  for (const auto& [session, owned] : sessions_) all.push_back(session);
  return all;
}

void Clients::stopListening() {
  acceptor_->drainBacklog();
  acceptor_.reset();
  phase_ = std::max(phase_, ShutdownPhase::ClosingIdle);
  for (Session* session : allSessions()) session->beginDrain();
  if (sessions_.empty()) done_();
}

void Clients::failOutstanding() {
  phase_ = ShutdownPhase::AnswerDeadlinePast;
  for (Session* session : allSessions()) session->failOutstanding();
}

}  // namespace sablespur
