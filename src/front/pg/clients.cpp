#include "front/pg/clients.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "base/secret.hpp"
#include "front/pg/session.hpp"
#include "log/log.hpp"
#include "wire/pg/pg.hpp"

namespace sablespur {
namespace {

constexpr Time kPause = std::chrono::milliseconds(20);
// New connections may keep coming for 0.4 s after SIGTERM.
constexpr Time kLastCall = std::chrono::milliseconds(500);
// After the last call, what is taken is finished within the longest deadline and this.
constexpr Time kFinish = std::chrono::seconds(1);
// How often all clients are looked at for what takes too long.
constexpr Time kRound = std::chrono::milliseconds(100);

}  // namespace

Clients::Clients(event_base* base, Engine& engine, Workers& workers, const Config& config)
    : base_(base),
      engine_(engine),
      workers_(workers),
      config_(config),
      users_(config.users),
      most_(config.clientConnections) {
  const auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<Clients*>(self)->accepted(fd);
  };
  listener_.reset(evconnlistener_new_bind(base, accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024,
                                          config.listen.data(), static_cast<int>(config.listen.size())));
  if (!listener_) throw std::runtime_error(std::string("key listen: ") + std::strerror(errno));
  evconnlistener_set_error_cb(
      listener_.get(), [](evconnlistener*, void* self) { static_cast<Clients*>(self)->acceptFailed(); });
  pause_.reset(event_new(
      base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->acceptAgain(); },
      this));
  round_.reset(event_new(
      base, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->round(); },
      this));
  startTimer(round_.get(), kRound);
  lastCall_.reset(event_new(
      base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Clients*>(self)->stopListening(); },
      this));
}
Clients::~Clients() = default;

void Clients::users(std::shared_ptr<const auth::Users> u) {
  if (u && users_) users_ = std::move(u);
}

int Clients::port() const {
  sockaddr_storage a{};
  socklen_t length = sizeof a;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&a), &length);
  return Address::fromSocket(reinterpret_cast<const sockaddr*>(&a)).port();
}

// Unguessable, both the number that stands for a process and the secret.
pg::Key Clients::newKey(Session& s, std::size_t length) {
  for (;;) {
    const std::string bytes = randomBytes(4 + length);
    const std::uint32_t process =
        pg::readInt32(bytes.data()) & 0x7fffffff;  // as the numbers of processes are
    if (process == 0 || !keys_.emplace(process, &s).second) continue;
    return {process, bytes.substr(4)};
  }
}
void Clients::cancel(const pg::Key& key) {
  const auto it = keys_.find(key.process);
  if (it != keys_.end() && sameSecret(it->second->key().secret, key.secret)) it->second->cancelled();
}

void Clients::accepted(evutil_socket_t fd) {
  auto session = std::make_unique<Session>(*this, fd);
  sessions_.emplace(session.get(), std::move(session));
  acceptAgain();
}

// Accepts while there is room, or someone to make it; the rest waits in the listener's backlog.
void Clients::acceptAgain() {
  if (!listener_) return;
  if (sessions_.size() < most_ || makeRoom()) {
    evconnlistener_enable(listener_.get());
  } else {
    evconnlistener_disable(listener_.get());
    startTimer(pause_.get(), kPause);
  }
}

// Guards against connections that nobody uses keeping out those that ask: first what is being closed, then
// what has never asked, then what has been idle longest.
bool Clients::makeRoom() {
  const Time now = engine_.now();
  Session* best = nullptr;
  int most = 0;
  for (const auto& [s, owned] : sessions_) {
    const int spare = s->spare(now);
    if (spare > most || (spare > 0 && spare == most && s->lastActive() < best->lastActive())) {
      best = s;
      most = spare;
    }
  }
  if (best) sessions_.erase(best);
  return best != nullptr;
}

// Guards against clients that ask once and keep their connections: the longest idle one makes way for each
// that asks for the first time, lest their side has none left to ask on, while the table here is not even
// full.
void Clients::firstAsked(const Session& by) {
  if (++asking_ <= config_.askingClients) return;
  const Time now = engine_.now();
  Session* longest = nullptr;
  for (const auto& [s, owned] : sessions_)
    if (s != &by && s->spare(now) == 1 && (!longest || s->lastActive() < longest->lastActive())) longest = s;
  if (longest) closed(*longest);
}

void Clients::round() {
  const Time now = engine_.now();
  std::vector<Session*> over;
  for (const auto& [s, owned] : sessions_)
    if (!s->looksAlive(now)) over.push_back(s);
  for (Session* s : over) closed(*s);
}

// Guards against spinning on a full descriptor table: the listener stays ready while nothing can be accepted.
void Clients::acceptFailed() {
  logEvent(LogLevel::Warning, "accept_failed", {{"why", std::strerror(EVUTIL_SOCKET_ERROR())}});
  evconnlistener_disable(listener_.get());
  startTimer(pause_.get(), kPause);
}

void Clients::closed(Session& s) {
  sessions_.erase(&s);
  acceptAgain();
  if (draining_ && !listener_ && sessions_.empty()) done_();
}

void Clients::drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  done_ = std::move(done);
  startTimer(lastCall_.get(), kLastCall);
}

// At the last call, and once more when what was taken should be finished.
void Clients::stopListening() {
  if (!listener_) return done_();
  listener_.reset();
  std::vector<Session*> all;
  for (const auto& [s, owned] : sessions_) all.push_back(s);
  for (Session* s : all)
    if (s->idle()) s->end();
  if (sessions_.empty()) return done_();
  Time longest{};
  for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline);
  startTimer(lastCall_.get(), longest + kFinish);
}

}  // namespace sablespur
