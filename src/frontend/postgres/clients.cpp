#include "frontend/postgres/clients.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "frontend/postgres/session.hpp"
#include "frontend/postgres/shutdown.hpp"
#include "logging/log.hpp"
#include "protocol/postgres/codec.hpp"
#include "protocol/postgres/pg.hpp"
#include "support/secret.hpp"

namespace sablespur {
namespace {

// What a client is told that came when there was no descriptor left.
constexpr Time kShortOf = std::chrono::milliseconds(500);
// How often all clients are looked at for what takes too long.
constexpr Time kRound = std::chrono::milliseconds(100);
// How often those that are not read are asked whether their client has gone: a fifth of the 0.1 s from which
// on nothing may begin for it.
constexpr Time kEnds = std::chrono::milliseconds(20);
// One line at most in so long tells of clients that sent what cannot be served.
constexpr Time kRejectionLogInterval = std::chrono::seconds(1);
constexpr int kAskAgain = 8;  // clients that look idle, before one is closed all the same

}  // namespace

Clients::Clients(event_base* base, Engine& engine, RequestHandler& entrance, WorkerPool& workers,
                 ResourceBudget& account, ReservedDescriptor& spare, AdmissionController* gate,
                 const Config& config)
    : base_(base),
      engine_(engine),
      entrance_(entrance),
      workers_(workers),
      account_(account),
      gate_(gate),
      config_(config),
      users_(config.users) {
  Acceptor::ConnectionHandler taker;
  taker.accepted = [this](evutil_socket_t fd, const sockaddr* from) { accepted(fd, from); };
  taker.hasRoom = [this] { return room(); };
  taker.onExhaustion = [this] { shortage(); };
  taker.reject = [this](evutil_socket_t fd) { turnAway(fd, kShortOf); };
  acceptor_ = std::make_unique<Acceptor>(base, engine.clock(), config.listen, account, spare,
                                         std::move(taker), !config.control.none());
  round_.reset(event_new(
      base, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->round(); },
      this));
  startTimer(round_.get(), kRound);
  ends_.reset(event_new(
      base, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->lookForEnds(); }, this));
  lastCall_.reset(event_new(
      base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->stopListening(); },
      this));
  answersDue_.reset(event_new(
      base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->finishAnswers(); },
      this));
  exit_.reset(event_new(
      base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->done_(); }, this));
}
Clients::~Clients() = default;

void Clients::users(std::shared_ptr<const auth::Users> u) {
  if (u && users_) users_ = std::move(u);
}

int Clients::port() const { return acceptor_->port(); }

RequestId Clients::request(ResponseHandler& asker, const balancer::Request& q, RequestMessage m,
                           PermitId place) {
  return gate_ ? gate_->request(asker, q, std::move(m), place) : entrance_.request(asker, q, std::move(m));
}
void Clients::left(RequestId id) { gate_ ? gate_->requestCancelled(id) : entrance_.clientDisconnected(id); }

// Unguessable, both the number that stands for a process and the secret.
postgres::Key Clients::newKey(Session& s, std::size_t length) {
  for (;;) {
    const std::string bytes = randomBytes(4 + length);
    const std::uint32_t process =
        postgres::readInt32(bytes.data()) & 0x7fffffff;  // as the numbers of processes are
    if (process == 0 || !keys_.emplace(process, &s).second) continue;
    return {process, bytes.substr(4)};
  }
}
void Clients::cancel(const postgres::Key& key) {
  const auto it = keys_.find(key.process);
  if (it != keys_.end() && sameSecret(it->second->key().secret, key.secret)) it->second->cancelled();
}

void Clients::accepted(evutil_socket_t fd, const sockaddr* from) {
  const Address address = Address::fromSocket(from);
  const bool hidden = gate_ && gate_->expectsProxyHeader(address);
  auto session = std::make_unique<Session>(*this, fd, address, hidden);
  if (gate_ && !hidden) session->enterDoor();
  // Guards the descriptors: only so many are held for a moment to be told in words of their version.
  if (gate_ && outside_ > gate_->maxUnadmittedConnections()) {
    turnAway(fd, session->comeBack());
    return;
  }
  sessions_.emplace(session.get(), std::move(session));
}

// In version 3's words, whatever it speaks: there is no descriptor to hold it on until it has said so.
void Clients::turnAway(evutil_socket_t fd, Time comeBack) {
  translation::Problem p;
  p.severity = "FATAL";
  p.code = "53300";
  p.text = "too many connections";
  const auto ms = (comeBack.count() + 999) / 1000;
  if (ms > 0) p.comeBackMs = static_cast<std::uint32_t>(ms);
  const std::string last = postgres::Codec(0).problem(p);
  const ssize_t sent = send(fd, last.data(), last.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  (void)sent;  // it is the last word either way
  shutdown(fd, SHUT_WR);
  // Closing on unread input would reset the connection, and the word be lost; what has come is read.
  char startup[1024];
  ssize_t got = recv(fd, startup, sizeof startup, MSG_DONTWAIT);
  // A cancel needs no place: what it calls off would be tried again for nobody.
  if (got > 0)
    if (const auto key = postgres::parseCancel({startup, static_cast<std::size_t>(got)})) cancel(*key);
  while (got == static_cast<ssize_t>(sizeof startup)) got = recv(fd, startup, sizeof startup, MSG_DONTWAIT);
}

// Accepts while there is room, or someone to make it; the rest waits in the listener's backlog. With a Gate
// everyone is taken, if only to be told no: it keeps to its bounds, and what is told no is bounded too.
bool Clients::room() { return gate_ || account_.hasRoom(DescriptorHolder::Clients) || makeRoom(); }

void Clients::shortage() {
  if (gate_)
    gate_->onExhaustion();
  else
    makeRoom();
}

// Guards against connections that nobody uses keeping out those that ask: first what is being closed, then
// what has never asked, then what has been idle longest.
bool Clients::makeRoom() {
  Session* const best = mostSpare(1);
  if (best) sessions_.erase(best);
  return best != nullptr;
}

// Guards against closing on a request that has just come: what looks idle is asked once more, a few at most.
Session* Clients::mostSpare(int least, const Session* but) {
  const Time now = engine_.now();
  std::vector<const Session*> asking;
  for (int tries = 0;; ++tries) {
    Session* best = nullptr;
    int most = least;
    for (const auto& [s, owned] : sessions_) {
      const int spare = s->spare(now);
      if (spare < most || s == but || std::count(asking.begin(), asking.end(), s) > 0) continue;
      if (best && spare == most && s->lastActive() >= best->lastActive()) continue;
      best = s;
      most = spare;
    }
    if (!best || most == 3 || tries >= kAskAgain || !best->unread()) return best;
    asking.push_back(best);
  }
}

// Guards against clients that ask once and keep their connections: the longest idle one makes way for each
// that asks for the first time, lest their side has none left to ask on, while the table here is not even
// full.
void Clients::firstAsked(const Session& by) {
  if (++asking_ <= config_.askingClients || gate_) return;
  const Time now = engine_.now();
  Session* longest = nullptr;
  for (const auto& [s, owned] : sessions_)
    if (s != &by && s->spare(now) == 1 && (!longest || s->lastActive() < longest->lastActive()) &&
        !s->unread())
      longest = s;
  if (longest) longest->end();
}

void Clients::round() {
  const Time now = engine_.now();
  std::vector<Session*> over;
  for (const auto& [s, owned] : sessions_)
    if (!s->looksAlive(now)) over.push_back(s);
  for (Session* s : over) s->timedOut();
}

// Guards the log against clients that send nonsense at full speed: what is left out is counted.
void Clients::logRejection(const char* code, std::string_view why, const Address& from) {
  ++rejected_;
  const Time now = engine_.now();
  if (rejectionLogged_ > Time(0) && now - rejectionLogged_ < kRejectionLogInterval) return;
  logEvent(LogLevel::Warning, "client_rejected",
           {{"from", from.text()}, {"code", code}, {"why", why}, {"count", rejected_}});
  rejectionLogged_ = now;
  rejected_ = 0;
}

// Guards against a loop that never sleeps. libevent tells of a reset as readable and writable, whatever was
// asked for (epoll.c, EPOLLERR): an event for EV_CLOSED alone is not called, and the system reports the reset
// again at once. So what is not read is in no event, and is asked by poll(2).
void Clients::watchEnd(Session& s, bool on) {
  if (on ? !unread_.insert(&s).second : unread_.erase(&s) == 0) return;
  if (unread_.empty())
    event_del(ends_.get());
  else if (!event_pending(ends_.get(), EV_TIMEOUT, nullptr))
    startTimer(ends_.get(), kEnds);
}
void Clients::lookForEnds() {
  std::vector<pollfd> asked;
  std::vector<Session*> whose(unread_.begin(), unread_.end());
  for (const Session* s : whose) asked.push_back({s->socket(), POLLRDHUP, 0});
  if (poll(asked.data(), asked.size(), 0) <= 0) return;
  for (std::size_t k = 0; k < whose.size(); ++k)
    if (asked[k].revents != 0) closed(*whose[k]);
}

void Clients::closed(Session& s) {
  sessions_.erase(&s);
  if (acceptor_)
    acceptor_->resume();
  else if (draining_ && sessions_.empty())
    done_();
}

void Clients::drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  done_ = std::move(done);
  if (!config_.control.none()) acceptor_->handOverListener();
  Time longest{};
  for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline);
  const ShutdownTimes times = shutdownTimes(longest);
  answerBy_ = engine_.now() + times.answerBy;
  startTimer(lastCall_.get(), times.stopAccepting);
  startTimer(answersDue_.get(), times.answerBy);
  startTimer(exit_.get(), times.exit);
}

void Clients::stopListening() {
  acceptor_->drainBacklog();
  acceptor_.reset();
  std::vector<Session*> all;
  for (const auto& [s, owned] : sessions_) all.push_back(s);
  for (Session* s : all) s->retire();
  if (sessions_.empty()) done_();
}

void Clients::finishAnswers() {
  answersOver_ = true;
  std::vector<Session*> all;
  for (const auto& [s, owned] : sessions_) all.push_back(s);
  for (Session* s : all) s->finish();
}

}  // namespace sablespur
